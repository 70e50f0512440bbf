"""What is seen in a soak of the gateway; times are of ``time.monotonic``, in seconds."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Final, NamedTuple

from standins.arrivals import Arrival

CONTACT_S: Final = 3.0
GRACE_S: Final = 8.0
SEND_S: Final = 0.05
"""Time between the end of an answer as its target records it and that of its sending."""

OUT_OF_TOUCH: Final = frozenset(("START", "TERM", "KILL", "STOP"))
"""What the soak does to a process that ends its being in touch."""


class Route(NamedTuple):
    """What a route promises; a ``safe`` one may repeat its requests."""

    service: str
    safe: bool
    attempts: int
    timeout_s: float = 4.0


class Request(NamedTuple):
    """A request as its caller saw it.

    ``served`` counts the answers on its connection before it.  ``sent_s`` is when the last byte was
    sent, if it was.  ``signed`` says whether the answer bore the signature for this request,
    ``matches`` whether its body, or the part that came, is what a target makes for this request.
    ``left`` says that the caller gave up, ``blocks`` are the shared ones of a prompt.
    """

    request_id: str
    entry: str
    route: str
    begun_s: float
    deadline_s: float
    served: int = 0
    sent_s: float | None = None
    status: int | None = None
    signed: bool = False
    matches: bool = True
    whole: bool = False
    ended_s: float = 0.0
    left: bool = False
    tenant: str | None = None
    blocks: tuple[str, ...] = ()


class Span(NamedTuple):
    """What the soak did to an entry, a target, the store or the configuration, and how long."""

    who: str
    what: str
    from_s: float
    to_s: float = float("inf")


class Dedication(NamedTuple):
    """A configuration by the tenants that are dedicated in it.

    ``from_s`` is when its first write was sent, and ``acknowledged_s`` when the store had it.
    """

    from_s: float
    acknowledged_s: float
    tenants: frozenset[str]


class Exit(NamedTuple):
    """The end of an entry; ``signals`` are those that the soak had sent to this process."""

    entry: str
    code: int
    signals: tuple[str, ...]
    in_grace: bool = True


class Sample(NamedTuple):
    """What a process of an entry holds at a moment."""

    entry: str
    pid: int
    at_s: float
    rss_mb: float
    fds: int
    threads: int


class Observed(NamedTuple):
    """All that was seen in a run; ``late_starts`` are entries that weren't ready in time."""

    routes: dict[str, Route]
    requests: dict[str, Request] = {}
    arrivals: list[Arrival] = []
    spans: list[Span] = []
    exits: list[Exit] = []
    late_starts: list[str] = []
    samples: list[Sample] = []
    crashes_s: list[float] = []
    crash_block: str = ""
    ratio: float = 0.2
    slack: float = 50.0
    memory_mb: float = 150.0
    max_fds: int = 1000
    dedications: list[Dedication] = []
    revoke_s: float = 2.5

    def dedicated(self, from_s: float, to_s: float) -> frozenset[str]:
        """Return the tenants that were dedicated from ``revoke_s`` before a span up to its end."""
        since_s = from_s - self.revoke_s
        before = [item for item in self.dedications if item.acknowledged_s <= since_s]
        known = [item for item in self.dedications if item.from_s <= to_s and item not in before]
        in_force = [item.tenants for item in (*before[-1:], *known)]
        return frozenset.intersection(*in_force) if before else frozenset()

    def sends(self) -> dict[str, list[Arrival]]:
        """Return the arrivals of each request of a caller, in order."""
        found: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in self.arrivals:
            if arrival.request_id in self.requests:
                found[arrival.request_id].append(arrival)
        return found

    def happened(self, who: str, what: Iterable[str], from_s: float, to_s: float) -> bool:
        """Whether the soak did one of these things to a process in a span."""
        return any(
            span.who == who and span.what in what and span.from_s <= to_s and span.to_s >= from_s
            for span in self.spans
        )

    def in_touch(self, entry: str, at_s: float) -> bool:
        """Whether nothing that excuses an entry happened to it for ``CONTACT_S``."""
        return not self.happened(entry, OUT_OF_TOUCH, at_s - CONTACT_S, at_s)

    def harmed(self, arrival: Arrival) -> bool:
        """Whether a target had a fault, broke off or ended while it had a request."""
        end_s = float("inf") if arrival.ended_s is None else arrival.ended_s
        return (
            arrival.ended_s is None
            or (arrival.cut and arrival.status is None)
            or self._crashed_at_end(arrival, end_s)
            or any(
                span.who == arrival.target and span.from_s <= end_s and span.to_s >= arrival.at_s
                for span in self.spans
            )
        )

    def _crashed_at_end(self, arrival: Arrival, end_s: float) -> bool:
        """Whether a prompt crashed the process of a target before an answer's end was sent."""
        return any(
            (other.target, other.start) == (arrival.target, arrival.start)
            and other.ended_s is None
            and self.crash_block in [item.partition(":")[0] for item in other.blocks.split(",")]
            and arrival.at_s <= other.at_s <= end_s + SEND_S
            for other in (self.arrivals if self.crash_block else ())
        )

    def ended(self, arrival: Arrival) -> bool:
        """Whether a target ended soon after a request arrived, whose limit is no longer."""
        until_s = arrival.at_s + self.requests[arrival.request_id].deadline_s
        return arrival.ended_s is None or self.happened(
            arrival.target, ("KILL",), arrival.at_s, until_s
        )
