"""Lets ``python -m filbertstream`` stand for the ``filbertstream`` command of ``cli``."""

from filbertstream.cli import app

if __name__ == "__main__":
    app()
