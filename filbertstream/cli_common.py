"""Exit codes and output formats of the command line; ``cli`` describes the codes."""

from enum import StrEnum
from typing import Final

EXIT_REJECTED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNREACHABLE: Final = 3
EXIT_OUTCOME_UNKNOWN: Final = 4
EXIT_CONFLICT: Final = 5
EXIT_INVARIANT: Final = 70
EXIT_NO_ADDRESS: Final = 71


class Output(StrEnum):
    """Output formats."""

    text = "text"
    json = "json"
