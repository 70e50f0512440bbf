"""The rule on sound prompts beside those that crash targets; see ``bench.gateway_rules``."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from bench.gateway_records import CONTACT_S, Observed, Request
from bench.gateway_rules import CRASHES, rule

LEAST_REQUESTS: Final = 20
LEAST_SHARE: Final = 0.5
"""The share of the usual share of sound prompts that begin."""

OK: Final = 200


def _is_calm(seen: Observed, request: Request) -> bool:
    """Whether the soak did nothing else for a while before a request."""
    at_s = request.begun_s
    return not any(span.from_s <= at_s <= span.to_s + CONTACT_S for span in seen.spans)


@rule("LOST crashes")
def sound_prompts_refused(seen: Observed) -> Iterator[str]:
    """Sound prompts with a shared block begin much less often while others crash targets."""
    crashing = [item for item in seen.requests.values() if seen.crash_block in item.blocks]
    if not seen.crashes_s or not crashing:
        return
    crashes = sorted(seen.crashes_s)
    from_s = crashes[:CRASHES][-1] + 2.0 * CONTACT_S
    to_s = max(item.begun_s for item in crashing)
    groups: dict[str, tuple[list[bool], list[bool]]] = defaultdict(lambda: ([], []))
    for item in seen.requests.values():
        if seen.crash_block in item.blocks or item.left or not _is_calm(seen, item):
            continue
        for block in item.blocks:
            if item.begun_s < crashes[0]:
                groups[block][0].append(item.status == OK)
            elif from_s <= item.begun_s <= to_s:
                groups[block][1].append(item.status == OK)
    for block, (before, after) in groups.items():
        if min(len(before), len(after)) >= LEAST_REQUESTS:
            shares = sum(before) / len(before), sum(after) / len(after)
            if shares[1] < LEAST_SHARE * shares[0]:
                yield f"{block}: {shares[0]:.2f} began before, {shares[1]:.2f} after"
