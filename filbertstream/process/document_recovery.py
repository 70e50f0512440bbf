"""Writes the operators' documents again after a restore of the object store."""

import random
from collections.abc import Callable
from typing import Final, NamedTuple

from filbertstream.actions import Log
from filbertstream.log_events import LogEvent

RETRY_S: Final = 0.5
TIMEOUT_S: Final = 5.0
"""Time after which a write whose result was lost is repeated."""

SPREAD_PER_MEMBER_S: Final = 0.01
"""The first writes of all entries are spread over this time for each; most find it done."""


class RewriteDocuments(NamedTuple):
    """Write the newest documents that this entry knows, unless the object store has them."""

    epoch: int


class DocumentsRewritten(NamedTuple):
    """The result of a ``RewriteDocuments``: whether the object store has the documents now."""

    epoch: int
    done: bool


class DocumentRecovery:
    """When this entry writes the documents; never if it has none (``enabled``)."""

    def __init__(self, enabled: bool, members: Callable[[], int], rng: random.Random) -> None:
        self._enabled = enabled
        self._members = members
        self._rng = rng
        self._epoch = 0
        self._write_at_s = 0.0
        self.recovered = True

    def on_restored(self, epoch: int, now_s: float) -> None:
        """Write the documents again."""
        if self._enabled:
            self._epoch = epoch
            self.recovered = False
            spread_s = SPREAD_PER_MEMBER_S * max(0, self._members() - 1)
            self._write_at_s = now_s + self._rng.random() * spread_s

    def due(self, now_s: float) -> list[RewriteDocuments]:
        """Return the write if it is due."""
        if self.recovered or now_s < self._write_at_s:
            return []
        self._write_at_s = now_s + TIMEOUT_S
        return [RewriteDocuments(self._epoch)]

    def on_rewritten(self, event: DocumentsRewritten, now_s: float) -> list[Log]:
        """Note the result of a write; one of an earlier epoch may be lost."""
        if self.recovered or event.epoch != self._epoch:
            return []
        if not event.done:
            self._write_at_s = now_s + RETRY_S
            return []
        self.recovered = True
        return [Log(LogEvent.RECORD_REWRITTEN, (("kind", "documents"), ("name", "all")))]
