"""The state of one call from its arrival to its final response.

This module has data only; ``request.forwarding`` makes the transitions.
"""

import enum
from dataclasses import dataclass, field

from filbertstream.fleet.block_responses import RunnerKind
from filbertstream.process.roster import RosterTarget
from filbertstream.process.target_registration import TargetStart
from filbertstream.request.call import CallHead
from filbertstream.request.work_estimate import WorkEstimate
from filbertstream.version.routes import Route, Service, Workspace


class SendStage(enum.Enum):
    """How far the response to a send has come."""

    WAITING = "waiting"
    HEAD = "head"
    BEGUN = "begun"
    ESTABLISHED = "established"


@dataclass
class LoadProbe:
    """The targets that a call has asked for their load, by whether they have answered yet."""

    pending: set[str]
    answered: set[str]


@dataclass
class SendState:
    """The state of one send; the fields are those of ``Call``."""

    number: int
    target: RosterTarget | None
    sent_at_s: float
    silent_since_s: float
    prefill_tokens: int
    ahead_tokens: int
    weights: int | None
    stage: SendStage
    begun_s: float
    succeeds: bool


@dataclass
class Call:
    """One call in progress.

    ``number`` is that of the current send, ``sends`` counts all of them, ``attempts`` only those
    that may have run.  ``standby`` is a silent send that goes on until the current one responds.
    ``silent_since_s`` is when the current send was last given time to respond, and
    ``interrupted_s`` when a send last failed.
    ``response_started`` is whether the caller has received a part of a response, ``stage`` how far
    the response to the current send has come, and ``begun_s`` when it began.  ``claiming`` is set
    while the claim of the idempotency key is pending.  ``weights`` is the weight version that the
    current send expects.  ``prefill_tokens`` are the tokens of the current send that the runner has
    to prefill, and ``ahead_tokens`` those that were queued there ahead of them.  ``suspected_at``
    and ``suspected_kind`` are the start and kind of a runner that the call may have crashed, until
    it is cleared.  ``succeeds`` is whether the current response has a status of success.  ``work``
    is the expected work, None if the targets don't report their slowness; ``actual_work`` is what
    it was after all, in output tokens of a prompt or in seconds of another call.
    """

    call_id: int
    head: CallHead
    route: Route
    service: Service
    workspace: Workspace | None
    arrived_s: float
    ends_at_s: float
    number: int = 0
    sends: int = 0
    attempts: int = 0
    standby: SendState | None = None
    target: RosterTarget | None = None
    sent_at_s: float = 0.0
    silent_since_s: float = 0.0
    interrupted_s: float = 0.0
    prefill_tokens: int = 0
    ahead_tokens: int = 0
    weights: int | None = None
    tried: set[str] = field(default_factory=set)
    may_have_run: bool = False
    response_started: bool = False
    stage: SendStage = SendStage.WAITING
    begun_s: float = 0.0
    last_event_id: str | None = None
    content_type: str = ""
    rejections: int = 0
    failed_sends: int = 0
    claiming: bool = False
    queued_until_s: float | None = None
    suspected_at: TargetStart | None = None
    suspected_kind: RunnerKind | None = None
    last_cause: str = ""
    succeeds: bool = False
    first_s: float | None = None
    probe: LoadProbe | None = None
    work: WorkEstimate | None = None
    actual_work: float | None = None

    def take_send(self) -> SendState:
        """Return the state of the current send, and leave the call without one."""
        state = SendState(
            self.number,
            self.target,
            self.sent_at_s,
            self.silent_since_s,
            self.prefill_tokens,
            self.ahead_tokens,
            self.weights,
            self.stage,
            self.begun_s,
            self.succeeds,
        )
        self.target, self.prefill_tokens = None, 0
        return state

    def put_send(self, state: SendState) -> None:
        """Make a send the current one."""
        self.number, self.target = state.number, state.target
        self.sent_at_s, self.silent_since_s = state.sent_at_s, state.silent_since_s
        self.prefill_tokens, self.ahead_tokens = state.prefill_tokens, state.ahead_tokens
        self.weights, self.succeeds = state.weights, state.succeeds
        self.stage, self.begun_s = state.stage, state.begun_s

    @property
    def memory_tokens(self) -> int:
        """The most tokens of KV cache memory that the call can occupy on a runner."""
        prompt = self.head.prompt
        return 0 if prompt is None else prompt.tokens + prompt.max_new_tokens

    @property
    def urgency(self) -> int:
        """The call's priority, with 0 as the most urgent.

        A priority of the workspace takes precedence over that of the route.
        """
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority
