"""Named constants that several modules use.

Constants of a single module are defined at the top of that module instead.
"""

from typing import Final

BYTES_PER_TOKEN: Final = 4
BLOCK_TOKENS: Final = 2_000
BLOCK_BYTES: Final = BLOCK_TOKENS * BYTES_PER_TOKEN
"""A cache block covers this many bytes of prompt text."""
