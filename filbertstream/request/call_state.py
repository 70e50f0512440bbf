"""The state of one call from its arrival to its final answer: data only.

``request.forwarding`` moves it along.
"""

from dataclasses import dataclass, field

from filbertstream.process.roster import RosterTarget
from filbertstream.request.call import CallHead
from filbertstream.version.routes import Route, Service, Workspace


@dataclass
class Call:
    """One call under way.

    ``number`` counts its sends, ``attempts`` those that may have run.  ``begun`` tells whether the
    caller has received a part of an answer, ``answering`` whether the current send has one.
    While ``claiming``, the call waits for its idempotency key.  ``weights`` is the version that the
    current send expects.
    """

    call_id: int
    head: CallHead
    route: Route
    service: Service
    workspace: Workspace | None
    arrived_s: float
    ends_at_s: float
    number: int = 0
    attempts: int = 0
    target: RosterTarget | None = None
    sent_at_s: float = 0.0
    queued_tokens: int = 0
    ahead_tokens: int = 0
    weights: int | None = None
    tried: set[str] = field(default_factory=set)
    may_have_run: bool = False
    begun: bool = False
    answering: bool = False
    last_event_id: str | None = None
    refusals: int = 0
    failed_sends: int = 0
    claiming: bool = False
    parked_until_s: float | None = None
    first_s: float | None = None

    @property
    def memory_tokens(self) -> int:
        """The tokens that the call fills on a runner at most."""
        prompt = self.head.prompt
        return 0 if prompt is None else prompt.tokens + prompt.max_new_tokens

    @property
    def urgency(self) -> int:
        """The call's priority, 0 being the most urgent; the workspace's goes first."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority
