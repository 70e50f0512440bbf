"""Draws the few targets among which the expected work decides.

Load pattern handled: 65 entries decide on the same late information.  If each took the target with
the least outstanding work, all would send their requests to that one until the next reports.  With
two random choices the least loaded of n targets gets at most 2 of n requests (Mitzenmacher, The
Power of Two Choices in Randomized Load Balancing, 2001), and the most loaded one gets almost none.
"""

from collections.abc import Sequence
from typing import Final

from filbertstream.names import rank

DRAWN: Final = 2
"""How many targets are compared, and for calls that are no prompts how many in either of the own
data center and all others."""


def draw_prompts(names: Sequence[str], draw: str) -> list[int]:
    """Return the indexes of the targets that are compared for a prompt.

    >>> len(draw_prompts(["r1", "r2", "r3"], "e1-7"))
    2
    """
    return _drawn(range(len(names)), names, draw)


def draw_calls(names: Sequence[str], local: Sequence[bool], draw: str) -> list[int]:
    """Return the indexes of the targets that are compared for a call that is no prompt."""
    near = [index for index, is_local in enumerate(local) if is_local]
    far = [index for index, is_local in enumerate(local) if not is_local]
    return [*_drawn(near, names, draw), *_drawn(far, names, draw)]


def _drawn(indexes: Sequence[int], names: Sequence[str], draw: str) -> list[int]:
    if len(indexes) <= DRAWN:
        return list(indexes)
    return sorted(indexes, key=lambda index: rank(names[index], draw))[:DRAWN]
