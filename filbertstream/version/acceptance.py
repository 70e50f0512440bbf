"""When an operator hears *accepted*: once every live member has the revision in force.

An entry that can't confirm its configuration stops taking work after ``units.FRESH_S``
(``process.freshness``), and a silent member is dropped only after ``units.DEAD_AFTER_S``, so a
member that is no longer waited for has stopped serving the old revision before.  A majority of the
registered members must have acknowledged as well: members that serve on without the platform need
a majority to hear each other, so at least one of them holds the accepted revision.

A member takes work only after it has registered and then read the configuration, and a change is
accepted only after a listing of the members that began after the change was written: a newcomer
has either read the change or is in that listing and waited for.
"""

from typing import NamedTuple

from filbertstream.actions import ApplyEnded
from filbertstream.units import ACCEPT_WITHIN_S


class _Staged(NamedTuple):
    request_id: str
    revision: int
    since_s: float


class Acceptance:
    """Changes written by this member that not every member has acknowledged yet."""

    def __init__(self) -> None:
        self._staged: list[_Staged] = []
        self._in_force: dict[str, int] = {}

    def begin(self, request_id: str, revision: int, now_s: float) -> None:
        """Wait for acknowledgements of a revision that was just written."""
        self._staged.append(_Staged(request_id, revision, now_s))

    def acknowledge(self, member: str, revision: int) -> None:
        """Note that a member has a revision in force."""
        if revision > self._in_force.get(member, 0):
            self._in_force[member] = revision

    def lagging(self, members: tuple[str, ...], revision: int) -> tuple[str, ...]:
        """Return the members that have not acknowledged a revision."""
        return tuple(name for name in members if self._in_force.get(name, 0) < revision)

    def settle(
        self,
        now_s: float,
        live: tuple[str, ...],
        registered: tuple[str, ...],
        listed_at_s: float | None,
    ) -> tuple[ApplyEnded, ...]:
        """Return the answers that are due: accepted, or staged once the time is over."""
        ended = []
        still = []
        for staged in self._staged:
            missing = self.lagging(live, staged.revision)
            reached = len(registered) - len(self.lagging(registered, staged.revision))
            listed = listed_at_s is not None and listed_at_s >= staged.since_s
            if listed and not missing and 2 * reached > len(registered):
                ended.append(_answer(staged, "accepted", ()))
            elif now_s - staged.since_s >= ACCEPT_WITHIN_S:
                unreached = missing or self.lagging(registered, staged.revision)
                ended.append(_answer(staged, "staged", unreached))
            else:
                still.append(staged)
        self._staged = still
        return tuple(ended)


def _answer(staged: _Staged, state: str, missing: tuple[str, ...]) -> ApplyEnded:
    return ApplyEnded(staged.request_id, state, staged.revision, "", missing)
