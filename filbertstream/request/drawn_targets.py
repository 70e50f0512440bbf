"""Draws the few targets among which the expected work decides.

Load pattern handled: 65 entries decide on the same late information.  If each took the target with
the least outstanding work, all would send their requests to that one until the next reports.  With
d random choices the least loaded of n targets gets at most d of n requests (Mitzenmacher, The Power
of Two Choices in Randomized Load Balancing, 2001), and the most loaded one gets almost none.
"""

from collections.abc import Sequence
from typing import Final

from filbertstream.names import rank

DRAWN: Final = 3
DRAWN_OF_FEW: Final = 4
"""How many targets are compared, and for calls that are no prompts how many in either of the own
data center and all others.  Of 2, 3 and 4, bench.work_placement gave the lowest mean time to the
first token with 3 at 65 entries and 35 runners; at 16 entries and 10 runners only 4 was clearly
better than the placement without estimates (docs/design/work-estimates.md)."""

FEW_TARGETS: Final = 12
"""Up to this many targets, prompts are compared on all of them (``request.candidates``), and the
best of few random ones is often a bad one."""


def drawn_count(targets: int) -> int:
    """Return how many of a service's targets are compared."""
    return DRAWN_OF_FEW if targets <= FEW_TARGETS else DRAWN


def draw_prompts(names: Sequence[str], draw: str, count: int) -> list[int]:
    """Return the indexes of the targets that are compared for a prompt.

    >>> len(draw_prompts(["r1", "r2", "r3"], "e1-7", 2))
    2
    """
    return _drawn(range(len(names)), names, draw, count)


def draw_calls(names: Sequence[str], local: Sequence[bool], draw: str, count: int) -> list[int]:
    """Return the indexes of the targets that are compared for a call that is no prompt."""
    near = [index for index, is_local in enumerate(local) if is_local]
    far = [index for index, is_local in enumerate(local) if not is_local]
    return [*_drawn(near, names, draw, count), *_drawn(far, names, draw, count)]


def _drawn(indexes: Sequence[int], names: Sequence[str], draw: str, count: int) -> list[int]:
    if len(indexes) <= count:
        return list(indexes)
    return sorted(indexes, key=lambda index: rank(names[index], draw))[:count]
