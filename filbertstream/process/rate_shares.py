"""Divides a limit on the requests to a target among the entries.

The limit is a rate that the target names (``NamedRate``), or that of a target that has just started
(``fleet.cold_targets``).  The mechanism is the same; a ``RateRule`` says how many entries hold
shares and how large these are.

Load patterns handled:

- Hundreds of entries and a target that accepts two requests a second: an equal share would be far
  below one request, and one request from each entry would be far above the limit.  So few entries
  hold shares of a target's rate, the ones with the highest rendezvous ranks.
- Entries that start, join, leave or lose the object store while others still have an older view of
  the fleet.  No entry uses a share that another one may still be using: a view counts up to an age
  of ``VIEW_MAX_AGE_S``, and an entry gets a share, or a larger one, only ``SETTLE_S`` after the
  registration or removal from which it results.  An entry with an older view uses no share while it
  hears that a peer has a current configuration, since others may have taken its share over.  If it
  hears no such peer, the object store may be down for all, and it uses a fraction of its share.
- A holder that is dead or has no calls for the target.  If no other entry has reported a response
  of the target for a while, the entry next in rank uses a part of a holder's share.  Its own
  reports keep the others from doing the same.

In any window of ``WINDOW_S``, all holders together send at most the burst and the rate over the
window.  ``burst`` leaves room for as many holders that are out of contact, and for calls outside of
callers' requests (``request.rate_admission``): the sum stays below 1.5 times the rate, plus 5.

>>> shares = RateShares("e1")
>>> shares.registered("e1", 0.0)
>>> shares.confirmed(7.0)
>>> [shares.share("t", 2.0, now_s).per_s for now_s in (1.0, 7.0, 20.0)]
[0.0, 2.0, 0.3]
"""

from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from filbertstream.names import rank

WINDOW_S: Final = 4.0
"""The window over which a target's limit is checked."""

VIEW_MAX_AGE_S: Final = 6.0
"""Age at which the view of the registrations counts as old: twice the wait of their watch, or a
relay's view and the poll of the relay."""

SETTLE_S: Final = VIEW_MAX_AGE_S + 0.5
"""Time after which no entry has an older view of the registrations; the rest covers sends in
progress."""

OLD_VIEW_FRACTION: Final = 0.15
"""The fraction of its share that an entry with an old view uses if it hears of no current peer."""

UNREPORTED_S: Final = 10.0
UNREPORTED_REQUESTS: Final = 3.0
"""The entry next in rank substitutes for the holders if no response was reported for this time, or
for the time of this many requests at the rate of the target, whichever is longer.  The one after it
waits twice as long, and so on."""

SUBSTITUTE_FRACTION: Final = 0.4
"""The fraction of a holder's share that the first substitute uses.  The one of turn n uses this
divided by the square of n: in all less than 0.66, however many substitute without contact to one
another."""

BURST_REQUESTS: Final = 1.25
BURST_RATE_FRACTION: Final = 0.5

MIN_PER_S: Final = 0.1
"""Rate at which a target that accepts fewer requests, or none, still gets them: only its responses
show when the limit ends."""


class Share(NamedTuple):
    """The part of a target's rate that this entry may use: requests per second, and a burst.

    ``holders`` is the number of entries with a share; ``per_s`` is 0 on any other entry.  ``rank``
    is the position of this entry among all, 0 for the first holder.
    """

    per_s: float
    burst: float
    holders: int
    rank: int = 0


class Split(NamedTuple):
    """How many entries hold shares, their rate and burst together, and the fraction in use."""

    holders: int
    per_s: float
    burst: float
    used_fraction: float = 1.0


class RateRule(Protocol):
    """A limit on the requests that all entries together send to a target."""

    @property
    def substitutes_after_s(self) -> float:
        """Time without a peer's report after which entries without a share use a part of one."""

    @property
    def needs_settled_view(self) -> bool:
        """Whether an entry uses its share only once no other entry can use the same one."""

    def split(self, members: int, current: bool) -> Split:
        """Return the shares in a fleet; with ``current`` False, those of entries with old views."""


def burst(per_s: float) -> float:
    """Return how many requests all holders together may send at once, in addition to the rate."""
    return BURST_REQUESTS + BURST_RATE_FRACTION * per_s


class NamedRate(NamedTuple):
    """The rate that a target names in its responses."""

    per_s: float

    @property
    def substitutes_after_s(self) -> float:
        """Time without a peer's report after which entries without a share use a part of one."""
        return max(UNREPORTED_S, UNREPORTED_REQUESTS / max(MIN_PER_S, self.per_s))

    @property
    def needs_settled_view(self) -> bool:
        """Whether an entry uses its share only once no other entry can use the same one."""
        return True

    def split(self, members: int, current: bool) -> Split:
        """Return the shares: as many as the burst allows, smaller ones for an old view."""
        per_s = max(MIN_PER_S, self.per_s)
        holders = min(members, max(1, int(burst(per_s))))
        return Split(holders, per_s, burst(per_s), 1.0 if current else OLD_VIEW_FRACTION)


class RateShares:
    """The registered entries as seen by the entry ``name``, and its shares."""

    def __init__(
        self, name: str, peer_is_current: Callable[[float], bool] = lambda now_s: False
    ) -> None:
        self._name = name
        self._peer_is_current = peer_is_current
        self._registered: set[str] = set()
        self._left_at_s: dict[str, float] = {}
        self._registered_at_s: float | None = None
        self._confirmed_at_s = float("-inf")
        self._positions: dict[str, int] = {}
        self._members: frozenset[str] | None = None
        self._stopped = False

    def registered(self, name: str, now_s: float) -> None:
        """Record that an entry is registered."""
        if name == self._name and self._registered_at_s is None:
            self._registered_at_s = now_s
        if name not in self._registered:
            self._registered.add(name)
            self._members = None

    def unregistered(self, name: str, now_s: float) -> None:
        """Record that an entry is not registered any more."""
        if name == self._name:
            self._registered_at_s = None
        if name in self._registered:
            self._registered.discard(name)
            self._left_at_s[name] = now_s
            self._members = None

    def confirmed(self, sent_at_s: float) -> None:
        """Record that the registrations were the newest when a request was sent."""
        self._confirmed_at_s = max(self._confirmed_at_s, sent_at_s)

    def stop(self) -> None:
        """Give up all shares, since this entry is about to stop."""
        self._stopped = True

    def age_s(self, now_s: float) -> float:
        """Return the age of the view of the registrations."""
        return now_s - self._confirmed_at_s

    def members(self, now_s: float) -> frozenset[str]:
        """Return the entries that may use shares: the registered ones, and those that just left."""
        for name in [item for item, at_s in self._left_at_s.items() if now_s - at_s >= SETTLE_S]:
            del self._left_at_s[name]
            self._members = None
        if self._members is None:
            self._members = frozenset({*self._registered, *self._left_at_s, self._name})
            self._positions = {}
        return self._members

    def share(self, target_id: str, per_s: float, now_s: float, unreported_s: float = 0.0) -> Share:
        """Return this entry's share of the rate that a target names.

        ``unreported_s`` is how long no other entry has reported a response of the target.
        """
        return self.share_of(target_id, NamedRate(per_s), now_s, unreported_s)

    def share_of(
        self, target_id: str, rule: RateRule, now_s: float, unreported_s: float = 0.0
    ) -> Share:
        """Return this entry's share of a limit on the requests to a target."""
        members = self.members(now_s)
        current = self.age_s(now_s) <= VIEW_MAX_AGE_S
        split = rule.split(len(members), current)
        position = self._position(target_id, members)
        used = 0.0
        may_use = self._has_settled(now_s) and self._may_use(now_s)
        if not self._stopped and (may_use or not rule.needs_settled_view):
            turn = position - split.holders + 1
            used = split.used_fraction
            if turn > 0:
                wait_s = rule.substitutes_after_s * turn
                used *= SUBSTITUTE_FRACTION / turn**2 if unreported_s >= wait_s else 0.0
        holders = split.holders
        if not used:
            return Share(0.0, 0.0, holders, position)
        return Share(used * split.per_s / holders, split.burst / holders, holders, position)

    def _has_settled(self, now_s: float) -> bool:
        registered_at_s = self._registered_at_s
        return registered_at_s is not None and now_s - registered_at_s >= SETTLE_S

    def _may_use(self, now_s: float) -> bool:
        """Whether the view is current, or no peer is known to have a current one."""
        if self.age_s(now_s) <= VIEW_MAX_AGE_S:
            return True
        return not self._peer_is_current(now_s)

    def _position(self, target_id: str, members: frozenset[str]) -> int:
        """Return how many entries rank higher than this one for a target."""
        position = self._positions.get(target_id)
        if position is None:
            local = rank(self._name, target_id)
            position = sum(1 for name in members if rank(name, target_id) > local)
            self._positions[target_id] = position
        return position
