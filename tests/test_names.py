"""Names of cached parts: what they hold apart, and what equal texts share."""

import hypothesis.strategies as st
from hypothesis import given

from filbertstream.request.prefix import MAX_BLOCKS, text_blocks, token_count
from filbertstream.units import BLOCK_BYTES
from filbertstream.version.weights_view import cache_namespace

NAMES = st.text("ab:/", min_size=0, max_size=3)
SCOPES = st.tuples(NAMES, NAMES, st.integers(0, 12))


@given(SCOPES, SCOPES)
def test_parts_never_cross_workspace_model_or_version(
    one: tuple[str, str, int], other: tuple[str, str, int]
) -> None:
    assert (cache_namespace(*one) == cache_namespace(*other)) == (one == other)


@given(st.integers(0, 6 * BLOCK_BYTES), st.integers(0, 6 * BLOCK_BYTES), st.integers(0, 9))
def test_equal_parts_are_equal_texts_up_to_their_end(shared: int, rest: int, byte: int) -> None:
    prefix = bytes(index % 251 for index in range(shared))
    one, other = prefix + b"x" * rest, prefix + bytes([byte]) * rest
    blocks, others = text_blocks(one), text_blocks(other)
    assert sum(block.tokens for block in blocks) >= token_count(one)
    assert len(blocks) <= MAX_BLOCKS
    end = 0
    for block, another in zip(blocks, others, strict=False):
        end = min(end + BLOCK_BYTES, len(one))
        same = one[:end] == other[: min(end, len(other))] and len(one[:end]) == len(other[:end])
        assert (block == another) == same


def test_a_part_after_another_beginning_has_another_name() -> None:
    same = b"y" * BLOCK_BYTES
    one, other = text_blocks(b"a" * BLOCK_BYTES + same), text_blocks(b"b" * BLOCK_BYTES + same)
    assert one[1] != other[1]
