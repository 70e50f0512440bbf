"""Runs the ``filbertstream`` command of ``cli`` for ``python -m filbertstream``."""

import signal
import sys

# A reload signal during the start would end the process.  The settings are read later, and a change
# of their file is noticed without a signal.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# An exception inside an import would end the start with a traceback, or crash a compiled module.
signal.signal(signal.SIGINT, signal.SIG_DFL)

try:
    from filbertstream.cli import app
except ImportError as exc:
    import platform

    # The packages are missing, or were built for another Python or kind of machine.
    kind = f"Python {platform.python_version()} on {platform.machine()}"
    sys.exit(f"filbertstream: cannot start: {exc} ({kind}); install the packages again")

if __name__ == "__main__":
    app()
