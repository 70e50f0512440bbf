"""Names of cache blocks.

Failure guarded against: a prompt reads a block of another text, workspace, model or weight version
because their names are equal.  Equal texts must have equal names, so that they share blocks.
"""

import hypothesis.strategies as st
from hypothesis import given

from filbertstream.request.prefix import MAX_BLOCKS, text_blocks, token_count
from filbertstream.units import BLOCK_BYTES
from filbertstream.version.weights_view import cache_namespace

NAMES = st.text("ab:/", min_size=0, max_size=3)
SCOPES = st.tuples(NAMES, NAMES, st.integers(0, 12))


@given(SCOPES, SCOPES)
def test_cache_namespaces_differ_by_workspace_model_and_version(
    one: tuple[str, str, int], other: tuple[str, str, int]
) -> None:
    """Names that contain separators could make two different scopes look alike."""
    assert (cache_namespace(*one) == cache_namespace(*other)) == (one == other)


@given(st.integers(0, 6 * BLOCK_BYTES), st.integers(0, 6 * BLOCK_BYTES), st.integers(0, 9))
def test_blocks_are_equal_exactly_if_the_texts_up_to_their_ends_are(
    shared: int, rest: int, byte: int
) -> None:
    """Two texts share a prefix of any length."""
    prefix = bytes(index % 251 for index in range(shared))
    one, other = prefix + b"x" * rest, prefix + bytes([byte]) * rest
    blocks, other_blocks = text_blocks(one), text_blocks(other)
    assert sum(block.tokens for block in blocks) >= token_count(one)
    assert len(blocks) <= MAX_BLOCKS
    end = 0
    for block, other_block in zip(blocks, other_blocks, strict=False):
        end = min(end + BLOCK_BYTES, len(one))
        same = one[:end] == other[: min(end, len(other))] and len(one[:end]) == len(other[:end])
        assert (block == other_block) == same


def test_block_after_a_different_prefix_has_a_different_name() -> None:
    """The same text follows two different prefixes. Its cache depends on the prefix."""
    same = b"y" * BLOCK_BYTES
    one, other = text_blocks(b"a" * BLOCK_BYTES + same), text_blocks(b"b" * BLOCK_BYTES + same)
    assert one[1] != other[1]
