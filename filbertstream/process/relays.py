"""Selects the relays, which read the object store for the fleet, and the relay to poll.

Load pattern handled: a large fleet in which every entry reads the object store by itself.  Calls to
the object store are metered, and it would send each change once to every entry.  In a small fleet
each entry reads the object store.  In a larger one only a few do, the relays: of the entries whose
VM has at least the median cores, those with the most bandwidth, and among these the ones with the
highest rendezvous ranks.  Every other entry polls one of them for updates
(``process.relayed_view``).  A relay that does not respond, or whose own view is stale, is skipped
for a while.  The entries next in order replace it, and read the object store once they are polled.

The polling entry bounds the age of a response by its own clock: the response was made after the
poll was sent, so a state that was the newest ``age_s`` before the response was also the newest
``age_s`` before the poll, or later.  A delayed message therefore never makes a state look more
recent than it is.

>>> relays = Relays("e1", lambda: tuple(f"e{n}" for n in range(3)))
>>> (relays.small_fleet, relays.due(0.0))
(True, None)
"""

import math
import statistics
from collections.abc import Callable
from typing import Final, NamedTuple

from filbertstream.names import rank

DIRECT_READ_MEMBERS: Final = 12
"""Largest fleet in which every entry reads the object store: at most a few hundred reads/s."""

MEMBERS_PER_RELAY: Final = 32
"""Fleet size per relay; each relay responds to about 60 polls a second."""

MIN_RELAYS: Final = 3
"""Two relays may be dead, partitioned or suspended at once."""

SUBSTITUTE_RELAYS: Final = 8
"""Entries next in order that are polled while no relay responds.  Lost VMs leave registrations
behind, so some of these may be dead too."""

POLL_INTERVAL_S: Final = 0.5
"""Interval of polls; added to the age of a relay's own view it stays below every ``max_age_s``."""

RESPONSE_TIMEOUT_S: Final = 1.0
"""Responses that arrive later than this after the poll are ignored."""

SUSPECT_S: Final = 5.0
"""An unresponsive or stale relay is skipped for this long, doubled each time up to
``SUSPECT_MAX_S``: registrations outlive processes."""

SUSPECT_MAX_S: Final = 40.0

REQUEST_RECENT_S: Final = 2.0
"""An entry that was polled within this time serves peers: four poll intervals."""

KEPT_POLLS: Final = 3
"""Polls that are kept; responses to older ones are past the timeout."""

SUFFICIENT_LINK_MBPS: Final = 100.0
"""More bandwidth makes no better relay: the largest messages to ``MEMBERS_PER_RELAY`` followers
take a quarter of it."""

RANK_SUBJECT: Final = "relays"


class VmResources(NamedTuple):
    """Link bandwidth in Mbit/s and cores of an entry's VM."""

    link_mbps: float
    cores: float


UNKNOWN_RESOURCES: Final = VmResources(0.0, 0.0)


class ViewPoll(NamedTuple):
    """A poll that is to be sent to a member."""

    member: str
    number: int


class _SentPoll(NamedTuple):
    """A poll whose response is awaited, or has arrived."""

    member: str
    at_s: float
    responded: bool


class _Suspicion(NamedTuple):
    """Time until which a member is skipped, and duration of the next skip."""

    until_s: float
    next_s: float


class Relays:
    """Whether this entry is a relay, and which relay it polls."""

    def __init__(
        self,
        name: str,
        members: Callable[[], tuple[str, ...]],
        vm_resources: Callable[[str], VmResources] = lambda name: UNKNOWN_RESOURCES,
    ) -> None:
        self._name = name
        self._members = members
        self._vm_resources = vm_resources
        self._ranked_members: tuple[str, ...] = ()
        self._relays: tuple[str, ...] = ()
        self._poll_order: tuple[str, ...] = ()
        self._poll_number = 0
        self._polls: dict[int, _SentPoll] = {}
        self._suspects: dict[str, _Suspicion] = {}
        self._next_poll_s = float("-inf")
        self._requested_at_s = float("-inf")

    def _recompute(self) -> None:
        """Select the relays again if the members have changed."""
        names = self._members()
        if names is self._ranked_members:
            return
        self._ranked_members = names
        if len(names) <= DIRECT_READ_MEMBERS:
            self._relays = self._poll_order = ()
            return
        count = max(MIN_RELAYS, math.ceil(len(names) / MEMBERS_PER_RELAY))
        resources = {name: self._vm_resources(name) for name in names}
        median_cores = statistics.median(item.cores for item in resources.values())

        def preference(name: str) -> tuple[bool, float, float]:
            link_mbps = min(resources[name].link_mbps, SUFFICIENT_LINK_MBPS)
            return resources[name].cores < median_cores, -link_mbps, -rank(name, RANK_SUBJECT)

        ranked = sorted(names, key=preference)
        self._relays = tuple(ranked[:count])
        # Each entry has its own order of relays, so that followers spread evenly over them.
        local_order = sorted(self._relays, key=lambda name: -rank(self._name, name))
        poll_order = [*local_order, *ranked[count : count + SUBSTITUTE_RELAYS]]
        self._poll_order = tuple(name for name in poll_order if name != self._name)

    @property
    def small_fleet(self) -> bool:
        """Whether the fleet is small enough for every entry to read the object store."""
        self._recompute()
        return not self._relays

    @property
    def is_relay(self) -> bool:
        """Whether this entry is a relay."""
        self._recompute()
        return self._name in self._relays

    def other_relays(self) -> tuple[str, ...]:
        """Return the relays except this entry."""
        self._recompute()
        return tuple(name for name in self._relays if name != self._name)

    def serves_peers(self, now_s: float) -> bool:
        """Whether peers rely on this entry, as a relay or as a substitute for one."""
        return self.is_relay or (
            not self.small_fleet and now_s - self._requested_at_s < REQUEST_RECENT_S
        )

    def note_view_request(self, now_s: float) -> None:
        """Record that a peer has polled this entry."""
        self._requested_at_s = now_s

    def relay(self, now_s: float) -> str | None:
        """Return the member to poll now: the first in order that is not skipped.

        If all are suspect, the members take turns.
        """
        self._recompute()
        for name in self._poll_order:
            suspicion = self._suspects.get(name)
            if suspicion is None or suspicion.until_s <= now_s:
                return name
        return (
            self._poll_order[self._poll_number % len(self._poll_order)]
            if self._poll_order
            else None
        )

    def due(self, now_s: float) -> ViewPoll | None:
        """Return the poll that is due, if any."""
        if self.small_fleet or now_s < self._next_poll_s:
            return None
        self._next_poll_s = now_s + POLL_INTERVAL_S
        last = self._polls.get(self._poll_number)
        if last is not None and not last.responded:
            self.mark_suspect(self._poll_number, now_s)
        member = self.relay(now_s)
        if member is None:
            return None
        self._poll_number += 1
        self._polls[self._poll_number] = _SentPoll(member, now_s, False)
        self._polls.pop(self._poll_number - KEPT_POLLS, None)
        return ViewPoll(member, self._poll_number)

    def accept_response(self, number: int, now_s: float) -> float | None:
        """Return when the poll of a response was sent, or None if the response is to be ignored.

        Responses that are late, duplicate or unrequested are ignored.
        """
        sent = self._polls.get(number)
        if sent is None or sent.responded or now_s - sent.at_s >= RESPONSE_TIMEOUT_S:
            return None
        self._polls[number] = sent._replace(responded=True)
        return sent.at_s

    def mark_suspect(self, number: int, now_s: float) -> None:
        """Skip the relay of a poll: it is unresponsive, stale or inconsistent."""
        sent = self._polls.get(number)
        if sent is None:
            return
        before = self._suspects.get(sent.member)
        skip_s = SUSPECT_S if before is None else before.next_s
        self._suspects[sent.member] = _Suspicion(now_s + skip_s, min(SUSPECT_MAX_S, 2 * skip_s))

    def mark_healthy(self, number: int) -> None:
        """Stop skipping the relay of a poll: its response was current and consistent."""
        sent = self._polls.get(number)
        if sent is not None:
            self._suspects.pop(sent.member, None)
