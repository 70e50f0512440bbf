#!/usr/bin/env bash
# The stand-ins of the cases are Python and use the standard library alone: this only compiles them.
set -euo pipefail
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -r "$out"' EXIT
for file in stand.py [1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)' "$file" "$out/x.pyc"
done
