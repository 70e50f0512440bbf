"""The parts of a prompt's text that runners may keep cache of, named by what was said up to there.

A part covers ``units.BLOCK_TOKENS`` tokens of text, and what is left at the end is one more.  Its
id is a digest chained over all text before it, so equal ids are equal prefixes.  Runners and stores
find parts only within a namespace, which is made of workspace, model and weight version.
"""

import hashlib
from typing import Final

from filbertstream.request.call import PromptBlock
from filbertstream.units import BLOCK_BYTES, BYTES_PER_TOKEN

BLOCK_ID_BYTES: Final = 16

MAX_BLOCKS: Final = 64
"""Parts of one prompt at most; the last covers all that is left."""


def text_blocks(text: bytes) -> tuple[PromptBlock, ...]:
    """Return the parts of a prompt's text, in order.

    >>> first, second = text_blocks(b"x" * 16_000), text_blocks(b"x" * 16_000 + b"y" * 800)
    >>> (first == second[:2], second[2].tokens)
    (True, 200)
    """
    blocks: list[PromptBlock] = []
    chain = b""
    start = 0
    while start < len(text):
        size = BLOCK_BYTES if len(blocks) < MAX_BLOCKS - 1 else len(text) - start
        block = text[start : start + size]
        chain = hashlib.blake2b(block, key=chain, digest_size=BLOCK_ID_BYTES).digest()
        blocks.append(PromptBlock(chain.hex(), token_count(block)))
        start += size
    return tuple(blocks)


def token_count(text: bytes) -> int:
    """Return the tokens that a text is counted as."""
    return (len(text) + BYTES_PER_TOKEN - 1) // BYTES_PER_TOKEN
