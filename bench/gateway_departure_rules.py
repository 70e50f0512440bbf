"""The rule on callers that leave, checked against what targets saw; see ``bench.gateway_rules``."""

from collections.abc import Iterator
from typing import Final

from bench.gateway_callers import STREAMED
from bench.gateway_records import Observed, Request
from bench.gateway_rules import SLACK_S, rule
from standins.arrivals import Arrival

LATE_SHARE: Final = 0.25
"""The share of runs that may go on after their callers have left."""


def _sends_of_departed(seen: Observed) -> Iterator[tuple[Request, Arrival]]:
    for request_id, sends in seen.sends().items():
        request = seen.requests[request_id]
        for send in sends if request.left else ():
            if seen.in_touch(request.entry, max(request.ended_s + SLACK_S, send.at_s)):
                yield request, send


@rule("GONE arrivals", allowed=3)
def arrivals_after_departures(seen: Observed) -> Iterator[str]:
    """Requests that reach a target after their callers have left."""
    for request, send in _sends_of_departed(seen):
        late_s = send.at_s - request.ended_s
        if late_s > SLACK_S:
            yield f"{request.request_id}: {late_s:.2f} s late at {send.target}"


def runs_of_departed(seen: Observed) -> list[tuple[Request, Arrival]]:
    """Return the streams that ran when their callers left, at targets that were well.

    Targets that are in trouble may not notice the end of a connection.
    """
    return [
        (request, send)
        for request, send in _sends_of_departed(seen)
        if request.route in STREAMED
        and send.ran_s is not None
        and not (send.ended_s is not None and send.ended_s <= request.ended_s)
        and not seen.harmed(send)
    ]


@rule("GONE runs")
def runs_after_departures(seen: Observed) -> list[str]:
    """Streams that targets go on with after their callers have left, if it is a share of them."""
    running = runs_of_departed(seen)
    late = [
        f"{request.request_id}: {send.ended_s - request.ended_s:.2f} s more at {send.target}"
        for request, send in running
        if send.ended_s is not None and send.ended_s - request.ended_s > SLACK_S
    ]
    return late if len(late) > LATE_SHARE * len(running) else []
