"""Retries spend from a budget, so that a brown-out is not made worse by them.

Every first attempt pays a share of a retry in; a retry takes a whole one out.  There is a budget
for each workspace and one for each target, and a retry needs both.
"""

from typing import Final

RETRY_SHARE: Final = 0.1
"""Retries add at most this share to the first attempts."""

RESERVE: Final = 3.0
"""How many retries a budget holds when it is new, and after a quiet time at most."""

CEILING: Final = 100.0


class RetryBudget:
    """Budgets by name; unknown names start with the reserve."""

    def __init__(self) -> None:
        self._balances: dict[str, float] = {}

    def first_attempt(self, *names: str) -> None:
        """Pay in for a first attempt."""
        for name in names:
            balance = self._balances.get(name, RESERVE)
            self._balances[name] = min(CEILING, balance + RETRY_SHARE)

    def take(self, *names: str) -> bool:
        """Take a retry out of all the budgets, or out of none; whether there was one in each."""
        balances = [self._balances.get(name, RESERVE) for name in names]
        if min(balances) < 1.0:
            return False
        for name, balance in zip(names, balances, strict=True):
            self._balances[name] = balance - 1.0
        return True
