"""Runs the ``filbertstream`` command of ``cli`` for ``python -m filbertstream``."""

from filbertstream.cli import app

if __name__ == "__main__":
    app()
