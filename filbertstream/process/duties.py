"""The duty of rolling weights out: who holds its lease, and which runners are being swapped.

``version.weights`` conducts the swaps while the lease (``process.leases``) is held here.  Every
member marks the runners that any live member swaps, so that they get no new work.
"""

from filbertstream.actions import Action, Log
from filbertstream.events import OrderFinished
from filbertstream.log_events import LogEvent
from filbertstream.process.directory import Directory
from filbertstream.process.leases import Lease
from filbertstream.process.membership import Membership
from filbertstream.version.resolve import View
from filbertstream.version.weights import Rollout


class Duties:
    """The lease, the roll-out and the marks of swaps."""

    def __init__(
        self, lease: Lease, membership: Membership, directory: Directory, view: View
    ) -> None:
        self.lease = lease
        self.rollout = Rollout()
        self._membership = membership
        self._directory = directory
        self._view = view
        self._was_held = False
        self._swapping_by: dict[str, tuple[str, ...]] = {}

    def on_order(self, event: OrderFinished, now_s: float) -> list[Action]:
        """Take in a runner's answer to an order."""
        return list(self.rollout.on_order(event))

    def on_peer_swaps(self, member: str, names: tuple[str, ...], now_s: float) -> None:
        """Note which runners a peer is swapping."""
        self._swapping_by[member] = names
        self.mark(now_s)

    def mark(self, now_s: float) -> None:
        """Mark exactly the runners that a live member swaps."""
        live = self._membership.live(now_s)
        marked = set(self.rollout.swapping())
        for member, names in self._swapping_by.items():
            if names and member in live:
                marked.update(names)
        self._directory.mark_swapping(frozenset(marked))

    def tick(self, now_s: float, may_hold: bool) -> list[Action]:
        """Renew or take the lease, and conduct swaps while it is held."""
        duty = self.lease.duty
        owner = self._membership.owner(f"duty:{duty}", now_s)
        wanted = may_hold and owner == self._membership.own.name
        actions = list(self.lease.tick(now_s, wanted))
        held = self.lease.held(now_s)
        if held != self._was_held:
            self._was_held = held
            event = LogEvent.LEASE_TAKEN if held else LogEvent.LEASE_LOST
            actions.append(Log(event, (("duty", duty),)))
        if held:
            fencing = self.lease.fencing
            actions += self.rollout.tick(now_s, self._view, self._directory, fencing)
        else:
            self.rollout.stop()
        self.mark(now_s)
        return actions
