"""Named constants with their units that more than one module relies on.

Constants that concern a single module stand at the top of that module instead.
"""

from typing import Final

BYTES_PER_TOKEN: Final = 4
BLOCK_TOKENS: Final = 2_000
BLOCK_BYTES: Final = BLOCK_TOKENS * BYTES_PER_TOKEN
"""A part of kept cache covers this many bytes of prompt text."""
