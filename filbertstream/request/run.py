"""The state of one request from its arrival to its final answer: data only.

``request.serving`` moves it along; ``request.claimed`` handles the claim of a run that must happen
at most once.
"""

import enum
from dataclasses import dataclass, field
from typing import NamedTuple

from filbertstream.events import CallerRequest
from filbertstream.messages import Holding
from filbertstream.request.claims import ClaimOp
from filbertstream.request.explain import AttemptNote
from filbertstream.request.routing import Candidate
from filbertstream.version.resolve import Grant


class KeptAnswer(NamedTuple):
    """A whole answer that repeats of the same key get again."""

    status: int
    body: bytes


class Phase(enum.Enum):
    """What a run waits for."""

    LOOKUP = "lookup"
    CLAIM = "claim"
    ATTEMPT = "attempt"


@dataclass
class Attempt:
    """One try at a target; ``resumes`` counts its further connections."""

    attempt_id: str
    target: str
    began_s: float
    expected_tokens: int
    resumes: int = 0


@dataclass
class Run:
    """One request under way."""

    req: CallerRequest
    grant: Grant
    arrived_s: float
    deadline_at_s: float
    phase: Phase = Phase.ATTEMPT
    names: tuple[str, ...] = ()
    weight_version: str = ""
    holdings: tuple[Holding, ...] = ()
    chosen: Candidate | None = None
    candidates: tuple[Candidate, ...] = ()
    attempt: Attempt | None = None
    attempt_count: int = 0
    notes: list[AttemptNote] = field(default_factory=list)
    failed: set[str] = field(default_factory=set)
    claim: ClaimOp | None = None
    sent: bool = False
    answer: KeptAnswer | None = None
    first_token_s: float | None = None

    @property
    def workspace(self) -> str:
        """The workspace that the request belongs to."""
        return self.grant.workspace

    @property
    def must_run_once(self) -> bool:
        """Whether the request is not idempotent."""
        return self.claim is not None
