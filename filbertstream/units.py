"""Named constants with their units that more than one module relies on.

Constants that concern a single module stand at the top of that module instead.
"""

from typing import Final

BYTES_PER_TOKEN: Final = 4
PIECE_TOKENS: Final = 2_000
PIECE_BYTES: Final = PIECE_TOKENS * BYTES_PER_TOKEN
"""A piece of kept cache covers this many bytes of prompt text."""

KV_BYTES_PER_TOKEN: Final = 40
"""How much cache a prompt token takes; every model counts alike so far."""

HEARTBEAT_S: Final = 1.0
"""How often a member sends a heartbeat to each peer it monitors."""

FRESH_S: Final = 3.0
"""A member that can't confirm its configuration for this long refuses new work."""

DEAD_AFTER_S: Final = 5.0
"""A peer that stays silent for this long is taken for dead.

It is longer than ``FRESH_S``, so a silent peer has stopped taking work before others drop it.
"""

ACCEPT_WITHIN_S: Final = 6.0
"""How long an operator waits for a change to be in force everywhere before hearing *staged*."""

VALUE_LIMIT_BYTES: Final = 1_000_000
"""The largest value that the platform's object API holds."""
