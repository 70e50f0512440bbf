"""The type of a guard, for ``bench.guards``."""

from typing import NamedTuple


class Guard(NamedTuple):
    """A guard: the rule that it enforces, its code, and the test that must fail without it.

    ``present`` is the guard's code in ``file``; ``without`` replaces it to remove the guard.
    """

    name: str
    file: str
    present: str
    without: str
    check: str
    also_present: str = ""
    """A second place in the same file that would suffice alone; it is removed as well."""
