"""When responses to prompts with a block came last, by the kind of runner.

>>> responses = BlockResponses()
>>> kind = RunnerKind("runners", "m", 1)
>>> responses.note(kind, "popular", 2.0, Scope.LOCAL)
False
>>> responses.at_s(kind, "popular"), responses.at_s(kind, "rare")
(2.0, None)
"""

from typing import Final, NamedTuple

from filbertstream.fleet.scope import Scope

PROVEN_S: Final = 60.0
"""A block with which a response came this recently is proven: it is not suspected at first."""

MAX_BLOCKS_KEPT: Final = 4096
"""Blocks whose last response is kept; about a megabyte."""

REPORTED_S: Final = 15.0
"""Time for which an acquittal is reported: long enough for several repeats."""


class RunnerKind(NamedTuple):
    """The runners on which what a prompt does is alike: its service, model and weight version."""

    service: str
    model: str
    weights: int


class ReportedResponse(NamedTuple):
    """When a response with a block came last on a kind of runner, as told to peers."""

    kind: RunnerKind
    block_id: str
    at_s: float


class _Response(NamedTuple):
    at_s: float
    scope: Scope


BlockKey = tuple[RunnerKind, str]


class BlockResponses:
    """The last responses with each block, and the suspicions that they refute.

    A block is suspected from ``suspect`` on until a response that came no earlier than the crash.
    ``changes`` counts the responses that peers should learn of at once.
    """

    def __init__(self) -> None:
        self.changes = 0
        self._last: dict[BlockKey, _Response] = {}
        self._suspected: dict[BlockKey, float] = {}
        self._report_until_s: dict[BlockKey, float] = {}

    def note(self, kind: RunnerKind, block: str, at_s: float, scope: Scope) -> bool:
        """Record a response; return whether it refutes a suspicion."""
        key = (kind, block)
        known = self._last.pop(key, None)
        newer = known is None or known.at_s < at_s
        self._last[key] = _Response(at_s, scope) if known is None or newer else known
        if len(self._last) > MAX_BLOCKS_KEPT:
            del self._last[next(iter(self._last))]
        if key not in self._suspected or at_s < self._suspected[key]:
            return False
        del self._suspected[key]
        return True

    def suspect(self, kind: RunnerKind, block: str, crashed_s: float) -> None:
        """Suspect a block of a crash unless a response with it came since."""
        if not self.refutes(kind, block, crashed_s):
            key = (kind, block)
            self._suspected[key] = max(crashed_s, self._suspected.get(key, crashed_s))

    def is_suspected(self, kind: RunnerKind, block: str) -> bool:
        """Whether a block is suspected."""
        return (kind, block) in self._suspected

    def refutes(self, kind: RunnerKind, block: str, crashed_s: float) -> bool:
        """Whether a response with a block came no earlier than a crash."""
        last = self._last.get((kind, block))
        return last is not None and last.at_s >= crashed_s

    def is_proven(self, kind: RunnerKind, block: str, now_s: float) -> bool:
        """Whether a response with a block came recently, or after ``now_s``."""
        last = self._last.get((kind, block))
        return last is not None and now_s - last.at_s < PROVEN_S

    def at_s(self, kind: RunnerKind, block: str) -> float | None:
        """Return when a response with a block came last, as far as it is known."""
        last = self._last.get((kind, block))
        return None if last is None else last.at_s

    def by_weights(self, model: str, block: str) -> dict[int, float]:
        """Return when a response with a block came last, by the weights of its runner."""
        found = {
            kind.weights: last.at_s
            for (kind, block_id), last in self._last.items()
            if kind.model == model and block_id == block
        }
        return dict(sorted(found.items()))

    def suspected(self, model: str) -> set[str]:
        """Return the blocks of a model that are suspected."""
        return {block for kind, block in self._suspected if kind.model == model}

    def all_suspected(self) -> set[tuple[str, str]]:
        """Return the models and blocks that are suspected."""
        return {(kind.model, block) for kind, block in self._suspected}

    def report(self, kind: RunnerKind, block: str, now_s: float) -> bool:
        """Tell peers of the last response with a block; return whether there was one."""
        if (kind, block) not in self._last:
            return False
        self._report_until_s[kind, block] = now_s + REPORTED_S
        self.changes += 1
        return True

    def reported(self, scope: Scope) -> list[ReportedResponse]:
        """Return the responses that peers should learn of, the latest first."""
        found = [
            ReportedResponse(*key, last.at_s)
            for key in self._report_until_s
            if (last := self._last.get(key)) is not None and last.scope <= scope
        ]
        return sorted(found, key=lambda item: -item.at_s)

    def expire(self, now_s: float, kept_s: float) -> None:
        """Drop old suspicions and what is no longer to be reported."""
        self._suspected = {
            key: at_s for key, at_s in self._suspected.items() if now_s - at_s <= kept_s
        }
        self._report_until_s = {
            key: until_s for key, until_s in self._report_until_s.items() if until_s > now_s
        }
