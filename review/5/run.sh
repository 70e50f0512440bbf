#!/usr/bin/env bash
# Writes record.txt beside this file.  Exit 1: the rule was broken, 0: it held, 2: it could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.. exec python3 case.py
