"""How widely something is known in a fleet."""

import enum


class Scope(enum.IntEnum):
    """The origin of evidence: the scopes are nested, from this entry to the whole fleet."""

    LOCAL = 0
    """Responses to this entry."""

    GROUP = 1
    """Also those that peers have reported as their own, as followers do to their relay."""

    FLEET = 2
    """Also those that relays have passed on."""
