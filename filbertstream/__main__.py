"""Runs the ``filbertstream`` command of ``cli`` for ``python -m filbertstream``."""

import os
import signal
import sys

# A reload signal during the start would end the process.  The settings are read later, and a change
# of their file is noticed without a signal.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# A stop during the start is a planned one too: nothing is served yet.  An exception, which SIGINT
# raises by default, could crash a compiled module inside its import.
for number in (signal.SIGTERM, signal.SIGINT):
    signal.signal(number, lambda received, frame: os._exit(0))

try:
    from filbertstream.cli import app
except ImportError as exc:
    import platform

    # The packages are missing, or were built for another Python or kind of machine.
    kind = f"Python {platform.python_version()} on {platform.machine()}"
    sys.exit(f"filbertstream: cannot start: {exc} ({kind}); install the packages again")

if __name__ == "__main__":
    app()
