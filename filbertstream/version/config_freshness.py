"""Tracks how recently the applied configuration was confirmed to be the newest one.

A response of the object store proves that a configuration was the newest when the request was sent.
A key that was revoked later may still be in the applied configuration, so calls with a key are
refused once ``revoke_s`` have passed without a new confirmation.

After a restore of the object store the newest configuration may be missing there until the
operators have written it again, so responses prove nothing for a while.
"""

from typing import Final

from filbertstream.process.store_recovery import SETTLE_S

REVOKE_MARGIN_S: Final = 0.15
"""Subtracted from the bound, since timers and the caller's clock are inexact."""

FRESH_FRACTION: Final = 0.4
"""The fraction of the bound up to which a confirmation relayed by a peer is recent enough.

It is below the fraction for readiness, so that the entry reads the object store itself before it
becomes unready.
"""

UNREADY_FRACTION: Final = 0.5
"""The fraction of the bound after which the entry reports itself unready to the load balancer."""

WAIT_APPLY_FRACTION: Final = 0.4
WAIT_REVOKE_FRACTION: Final = 0.2
"""The wait of a watch as fractions of the bounds for configurations and for removed keys.  The age
of a confirmation reaches twice the wait, which must stay below ``UNREADY_FRACTION``."""


def watch_wait_s(config_apply_s: float, revoke_s: float) -> float:
    """Return the longest wait of a watch of the configuration."""
    return min(WAIT_APPLY_FRACTION * config_apply_s, WAIT_REVOKE_FRACTION * revoke_s)


CONFIRM_WITHIN_S: Final = 1.0
"""Time after ``SETTLE_S`` within which the first confirmation that counts is expected."""


class ConfigFreshness:
    """The time at which the configuration was last confirmed to be the newest one."""

    def __init__(self, revoke_s: float, strict: bool) -> None:
        self._revoke_s = revoke_s
        self._strict = strict
        self.confirmed_at_s = float("-inf")
        self._proves_from_s = float("-inf")
        self.recovered = True

    def on_restored(self, epoch: int, now_s: float) -> None:
        """Ignore confirmations until operators have had time to write again.

        This holds for an entry that was in contact too: it may lack a configuration that was
        accepted between its last read and the outage.
        """
        self._proves_from_s = now_s + SETTLE_S

    def set_bounds(self, revoke_s: float, strict: bool) -> None:
        """Replace the bounds."""
        self._revoke_s, self._strict = revoke_s, strict

    def confirm(self, sent_at_s: float) -> bool:
        """Record that a request sent at ``sent_at_s`` showed the configuration to be the newest.

        Return whether this is the first confirmation that counts after a restore.
        """
        if sent_at_s < self._proves_from_s:
            return False
        is_first = self.confirmed_at_s < self._proves_from_s
        self.confirmed_at_s = max(self.confirmed_at_s, sent_at_s)
        return is_first

    def awaits_confirmation(self, now_s: float) -> bool:
        """Whether a restore was so recent that no confirmation that counts is due yet."""
        unconfirmed = self.confirmed_at_s < self._proves_from_s
        return unconfirmed and now_s < self._proves_from_s + CONFIRM_WITHIN_S

    def age_s(self, now_s: float) -> float:
        """Return the time since the last confirmation."""
        return now_s - self.confirmed_at_s

    def is_recent(self, now_s: float) -> bool:
        """Whether the last confirmation is within the bound for removed keys."""
        return self.age_s(now_s) < self._revoke_s - REVOKE_MARGIN_S

    def admits_keys(self, now_s: float) -> bool:
        """Whether calls with a key may be admitted."""
        return not self._strict or self.is_recent(now_s)

    def is_fresh(self, now_s: float) -> bool:
        """Whether the last confirmation is recent enough for peers to rely on."""
        return self.age_s(now_s) < self._revoke_s * FRESH_FRACTION

    def keeps_ready(self, now_s: float) -> bool:
        """Whether the last confirmation is recent enough for this entry to be ready.

        After a restore no entry has a recent one, so callers are not sent elsewhere for it.
        """
        if self.awaits_confirmation(now_s) and self.is_recent(now_s):
            return True
        return self.age_s(now_s) < self._revoke_s * UNREADY_FRACTION
