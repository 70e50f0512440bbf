"""Why a request went where it went: candidates, costs, attempts and outcome.

Kept in memory for the latest requests of this entry and shown to operators by ``explain``.  No
prompt, answer, key or piece name is in it.
"""

from collections import OrderedDict
from typing import Final, NamedTuple

from filbertstream.request.routing import Candidate

KEPT_REQUESTS: Final = 2_000
SHOWN_CANDIDATES: Final = 8


class AttemptNote(NamedTuple):
    """One attempt: where, and how it ended."""

    target: str
    began_s: float
    outcome: str


class Explanation(NamedTuple):
    """Everything that is remembered of a request; times are seconds after its arrival."""

    request_id: str
    workspace: str
    kind: str
    target_name: str
    weight_version: str
    candidates: tuple[Candidate, ...]
    attempts: tuple[AttemptNote, ...]
    outcome: str
    first_token_s: float | None
    total_s: float | None


class Explanations:
    """The latest requests, oldest dropped first."""

    def __init__(self) -> None:
        self._kept: OrderedDict[str, Explanation] = OrderedDict()

    def keep(self, explanation: Explanation) -> None:
        """Remember a request."""
        shown = explanation._replace(candidates=explanation.candidates[:SHOWN_CANDIDATES])
        self._kept[explanation.request_id] = shown
        while len(self._kept) > KEPT_REQUESTS:
            self._kept.popitem(last=False)

    def find(self, request_id: str) -> Explanation | None:
        """Return what is remembered of a request."""
        return self._kept.get(request_id)
