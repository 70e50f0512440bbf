"""Which entries read the platform's store for the others, and whom an entry asks.

Load pattern: a large fleet in which every entry follows the store by itself.  The store counts each
call, and each change would be answered once to every entry.  While the entries are few, each reads
the store.  In a larger fleet a few do, as relays: those with the highest rendezvous ranks among the
members that have no less than most.  Every other entry asks one of them what is new, again and
again (``process.relayed_view``).  A relay that does not answer, or is out of touch itself, is
passed over for a while; the next ones in rank take its place, and read the store once they are
asked.

What is told is true as of a moment that the asking entry can bound by its own clock: the answer was
made after the question was sent, so what was newest ``age_s`` before the answer was newest
``age_s`` before the question, or later.  A message that is held up therefore never makes anything
look newer than it is.

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
"""Up to this many entries, each reads the store itself: a few hundred reads a second at most."""

MEMBERS_PER_RELAY: Final = 32
"""One entry in so many reads the store for the others, and answers about 60 questions a second."""

MIN_RELAYS: Final = 3
"""So many, so that two may be dead, cut off or suspended."""

SUBSTITUTE_RELAYS: Final = 8
"""Entries next in rank that are asked while no relay answers.  VMs that are lost leave their
registrations behind, so some of these may be dead too."""

POLL_INTERVAL_S: Final = 0.5
"""Interval of questions; with a relay's own age it stays under the ages that are asked for."""

RESPONSE_TIMEOUT_S: Final = 1.0
"""An answer that comes later is not taken."""

SUSPECT_S: Final = 5.0
"""A relay that is silent or out of touch is passed over for this long, doubled each time up to
``DOUBT_MAX_S``: registrations outlive processes."""

DOUBT_MAX_S: Final = 40.0

REQUEST_RECENT_S: Final = 2.0
"""An entry that was asked within this time reads the store for others; four questions' time."""

KEPT_QUESTIONS: Final = 3
"""Questions whose answers are still taken; older ones are too late."""

RANK_SUBJECT: Final = "relays"


class VmResources(NamedTuple):
    """What an entry's VM has: its link in Mbit/s and its cores."""

    link_mbps: float
    cores: float


UNKNOWN_RESOURCES: Final = VmResources(0.0, 0.0)


class Question(NamedTuple):
    """A question that is to be sent to a member."""

    member: str
    number: int


class _Sent(NamedTuple):
    """A question under way."""

    member: str
    at_s: float
    answered: bool


class _Doubt(NamedTuple):
    """Until when a member is passed over, and for how long at the next time."""

    until_s: float
    next_s: float


class Relays:
    """This entry's part: whom it asks, and whether others rely on it."""

    def __init__(
        self,
        own: str,
        members: Callable[[], tuple[str, ...]],
        vm_resources: Callable[[str], VmResources] = lambda name: UNKNOWN_RESOURCES,
    ) -> None:
        self._own = own
        self._members = members
        self._strength = vm_resources
        self._known: tuple[str, ...] = ()
        self._relays: tuple[str, ...] = ()
        self._turns: tuple[str, ...] = ()
        self._number = 0
        self._sent: dict[int, _Sent] = {}
        self._doubts: dict[str, _Doubt] = {}
        self._next_s = float("-inf")
        self._asked_at_s = float("-inf")

    def _update(self) -> None:
        """Work out the relays anew where the members have changed."""
        names = self._members()
        if names is self._known:
            return
        self._known = names
        if len(names) <= DIRECT_READ_MEMBERS:
            self._relays = self._turns = ()
            return
        count = max(MIN_RELAYS, math.ceil(len(names) / MEMBERS_PER_RELAY))
        weak = self._weak(names)
        ranked = sorted(names, key=lambda name: (name in weak, -rank(name, RANK_SUBJECT)))
        self._relays = tuple(ranked[:count])
        # Each entry begins with another relay, so that all have about as many followers.
        own_order = sorted(self._relays, key=lambda name: -rank(self._own, name))
        turns = [*own_order, *ranked[count : count + SUBSTITUTE_RELAYS]]
        self._turns = tuple(name for name in turns if name != self._own)

    def _weak(self, names: tuple[str, ...]) -> set[str]:
        """Return the members that have less than most: what a relay sends would fill their link."""
        having = {name: self._strength(name) for name in names}
        link_mbps = statistics.median(item.link_mbps for item in having.values())
        cores = statistics.median(item.cores for item in having.values())
        return {
            name
            for name, item in having.items()
            if item.link_mbps < link_mbps or item.cores < cores
        }

    @property
    def small_fleet(self) -> bool:
        """Whether every entry reads the store itself."""
        self._update()
        return not self._relays

    @property
    def is_relay(self) -> bool:
        """Whether this entry is one of those that read the store for the others."""
        self._update()
        return self._own in self._relays

    def others(self) -> tuple[str, ...]:
        """Return the relays but this entry."""
        self._update()
        return tuple(name for name in self._relays if name != self._own)

    def serves_peers(self, now_s: float) -> bool:
        """Whether other entries rely on this one, as a relay or in the place of one."""
        return self.is_relay or (
            not self.small_fleet and now_s - self._asked_at_s < REQUEST_RECENT_S
        )

    def note_view_request(self, now_s: float) -> None:
        """Note that another entry asks this one."""
        self._asked_at_s = now_s

    def relay(self, now_s: float) -> str | None:
        """Return the member to ask now: the first in turn that is not passed over."""
        self._update()
        for name in self._turns:
            doubt = self._doubts.get(name)
            if doubt is None or doubt.until_s <= now_s:
                return name
        return self._turns[self._number % len(self._turns)] if self._turns else None

    def due(self, now_s: float) -> Question | None:
        """Return the question that is due."""
        if self.small_fleet or now_s < self._next_s:
            return None
        self._next_s = now_s + POLL_INTERVAL_S
        last = self._sent.get(self._number)
        if last is not None and not last.answered:
            self.doubt(self._number, now_s)
        member = self.relay(now_s)
        if member is None:
            return None
        self._number += 1
        self._sent[self._number] = _Sent(member, now_s, False)
        self._sent.pop(self._number - KEPT_QUESTIONS, None)
        return Question(member, self._number)

    def accept_response(self, number: int, now_s: float) -> float | None:
        """Return when the question of an answer was sent, or None for an answer not to be taken."""
        sent = self._sent.get(number)
        if sent is None or sent.answered or now_s - sent.at_s >= RESPONSE_TIMEOUT_S:
            return None
        self._sent[number] = sent._replace(answered=True)
        return sent.at_s

    def doubt(self, number: int, now_s: float) -> None:
        """Pass the relay over that a question went to: silent, out of touch, or contradicted."""
        sent = self._sent.get(number)
        if sent is None:
            return
        before = self._doubts.get(sent.member)
        for_s = SUSPECT_S if before is None else before.next_s
        self._doubts[sent.member] = _Doubt(now_s + for_s, min(DOUBT_MAX_S, 2 * for_s))

    def mark_healthy(self, number: int) -> None:
        """Note that a question's answer was of use."""
        sent = self._sent.get(number)
        if sent is not None:
            self._doubts.pop(sent.member, None)
