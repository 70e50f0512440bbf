"""Whether this member may take new work: is its configuration confirmed recently enough?

A member is fresh while one of two holds:

* a chain of peers leads to a member that has just read the configuration's end from the platform,
  and every age along the chain is measured by one clock, from the echo of an own stamp;
* a majority of the registered members, itself included, has echoed a recent stamp.

The second keeps the service up in a plain outage of the platform.  A small group that is cut off
from the platform and from the majority stops taking work.  ``version.acceptance`` relies on it.
"""

from filbertstream.messages import Heartbeat
from filbertstream.units import FRESH_S


class Freshness:
    """Ages of confirmations, in this member's own monotonic time."""

    def __init__(self) -> None:
        self._confirmed_at_s: float | None = None
        self._heard_at_s: dict[str, float] = {}
        self._majority_until_s = float("-inf")
        self._majority_of = 0

    def confirm(self, asked_at_s: float) -> None:
        """Note that the platform was read; the moment of asking counts, not of the answer."""
        self._advance(asked_at_s)

    def on_heartbeat(self, heartbeat: Heartbeat, revision: int) -> None:
        """Note what a peer proves: that it heard the stamp it echoes, and its own confirmation.

        A peer's confirmation counts only if this member holds the peer's revision: else the peer
        knows of a change that is not in force here yet.
        """
        if heartbeat.echo_s <= 0:
            return
        heard = max(heartbeat.echo_s, self._heard_at_s.get(heartbeat.member, 0.0))
        self._heard_at_s[heartbeat.member] = heard
        if heartbeat.revision <= revision and heartbeat.confirmed_age_s >= 0:
            self._advance(heartbeat.echo_s - heartbeat.confirmed_age_s)

    def _advance(self, at_s: float) -> None:
        if self._confirmed_at_s is None or at_s > self._confirmed_at_s:
            self._confirmed_at_s = at_s

    def confirmed_age_s(self, now_s: float) -> float:
        """Return the age of the last confirmation, or -1 where there was none."""
        return -1.0 if self._confirmed_at_s is None else now_s - self._confirmed_at_s

    def is_fresh(self, now_s: float, peers: tuple[str, ...]) -> bool:
        """Whether new work may be taken; ``peers`` are the other registered members."""
        if self._confirmed_at_s is not None and now_s - self._confirmed_at_s <= FRESH_S:
            return True
        if now_s > self._majority_until_s or len(peers) != self._majority_of:
            self._majority_of = len(peers)
            self._majority_until_s = self._majority_deadline_s(peers)
        return now_s <= self._majority_until_s

    def _majority_deadline_s(self, peers: tuple[str, ...]) -> float:
        """Return until when a majority counts as heard; later echoes can only extend it."""
        needed = (len(peers) + 1) // 2
        if needed == 0:
            return float("-inf")
        heard = sorted((self._heard_at_s.get(peer, float("-inf")) for peer in peers), reverse=True)
        return heard[needed - 1] + FRESH_S
