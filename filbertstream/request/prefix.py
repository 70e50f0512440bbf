"""Divides the text of a prompt into cache blocks, which are identified by their prefix.

A block covers ``units.BLOCK_TOKENS`` tokens of text, and the last block covers the rest.  The id of
a block is a digest chained over all text up to its end, so blocks with equal ids have equal
prefixes.  Runners and cache stores look blocks up only within a namespace, which consists of the
workspace, the model and the weight version.
"""

import hashlib
from typing import Final

from filbertstream.request.call import PromptBlock
from filbertstream.units import BLOCK_BYTES, BYTES_PER_TOKEN

BLOCK_ID_BYTES: Final = 16

MAX_BLOCKS: Final = 64
"""The most blocks of one prompt; the last one covers all text that is left."""


def text_blocks(text: bytes) -> tuple[PromptBlock, ...]:
    """Return the blocks of a prompt's text, in order.

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
    """Return the number of tokens that a text is counted as, from its size in bytes."""
    return (len(text) + BYTES_PER_TOKEN - 1) // BYTES_PER_TOKEN
