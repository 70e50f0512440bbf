"""Runs the ``filbertstream`` command of ``cli`` for ``python -m filbertstream``."""

import signal

# A reload signal during the start would end the process.  The settings are read later, and a change
# of their file is noticed without a signal.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from filbertstream.cli import app  # noqa: E402

if __name__ == "__main__":
    app()
