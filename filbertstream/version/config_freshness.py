"""Whether the configuration at hand may still be relied on.

The store shows a configuration to be the newest as of the moment at which the call was sent that
returned it.  A key that was taken away later may still be in the copy at hand, so after
``revoke_s`` without a new confirmation no call with a key is admitted.
"""

from typing import Final

MARGIN_S: Final = 0.15
"""Kept from the bound: timers and the caller's own clock are not exact."""

FRESH_SHARE: Final = 0.4
"""The share of the bound within which another entry's word counts; less than that for readiness, so
that the store is asked before callers are sent away."""

UNREADY_FRACTION: Final = 0.5
"""The share of the bound after which the balancer is told to send new connections elsewhere."""


class ConfigFreshness:
    """When the configuration was last confirmed."""

    def __init__(self, revoke_s: float, strict: bool) -> None:
        self._revoke_s = revoke_s
        self._strict = strict
        self.confirmed_at_s = float("-inf")

    def set_bounds(self, revoke_s: float, strict: bool) -> None:
        """Go by other bounds from now on."""
        self._revoke_s, self._strict = revoke_s, strict

    def confirm(self, sent_at_s: float) -> None:
        """Note that a call sent at this moment showed the configuration at hand to be newest."""
        self.confirmed_at_s = max(self.confirmed_at_s, sent_at_s)

    def age_s(self, now_s: float) -> float:
        """Return the age of the last confirmation."""
        return now_s - self.confirmed_at_s

    def admits_keys(self, now_s: float) -> bool:
        """Whether a call with a key may be admitted now."""
        return not self._strict or self.age_s(now_s) < self._revoke_s - MARGIN_S

    def is_fresh(self, now_s: float) -> bool:
        """Whether the last confirmation is as young as one should be that others rely on."""
        return self.age_s(now_s) < self._revoke_s * FRESH_SHARE

    def keeps_ready(self, now_s: float) -> bool:
        """Whether this entry should get new connections."""
        return self.age_s(now_s) < self._revoke_s * UNREADY_FRACTION
