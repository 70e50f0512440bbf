"""Ends calls: refusals with their retry times, final errors, and what is recorded of each call."""

from typing import Final, TypeAlias

from filbertstream.actions import Log
from filbertstream.fleet.crash_detector import ProbeTarget
from filbertstream.request import call_logs
from filbertstream.request.authorization import Refused
from filbertstream.request.call import BufferedResponse
from filbertstream.request.call_events import (
    AbortResponse,
    CallAction,
    CallArrived,
    CancelSend,
    RespondLocally,
)
from filbertstream.request.call_state import Call
from filbertstream.request.forwarding_dependencies import ForwardingDependencies
from filbertstream.request.idempotency_keys import ClaimKey, SettleKey
from filbertstream.request.prompt_placer import Rejection
from filbertstream.request.standby_sends import FINAL_CODES, end_standby, restore
from filbertstream.request.target_feedback import release
from filbertstream.statuses import BAD_GATEWAY, GATEWAY_TIMEOUT, UNAVAILABLE

NO_TARGET_RETRY_S: Final = 0.6
"""About the time in which a target renews its registration or a runner loads its weights."""

FULL_RETRY_S: Final = 0.25
"""A few times the duration of a service call; a queue that was full has shrunk by then."""

SUSPECTED_RETRY_S: Final = 1.0
"""About the time in which the trial of a suspected block ends."""

RETRY_JITTER: Final = 0.5
"""Retries of callers that are refused together are spread over this fraction of the wait."""

SERVED_OUTCOMES: Final = frozenset({"complete", "kept", "caller_left"})
"""Outcomes of calls that do not count as failures of this system."""

Action: TypeAlias = CallAction | ClaimKey | SettleKey | Log | ProbeTarget


class CallEndings:
    """Ends the calls in ``calls``."""

    def __init__(self, dependencies: ForwardingDependencies, calls: dict[int, Call]) -> None:
        self._deps = dependencies
        self._calls = calls

    def refuse(self, event: CallArrived, refused: Refused, now_s: float) -> list[Action]:
        """Refuse a call on its arrival."""
        self._deps.counters.add("calls_refused", refused.code)
        config = self._deps.authorizer.config
        version = 0 if config is None else config.version.number
        line = call_logs.refused_on_arrival(
            event, refused, version, self._deps.config_freshness.age_s(now_s)
        )
        after_s = self.with_jitter(refused.retry_after_s)
        response = RespondLocally(event.call_id, refused.status, refused.code, "", after_s)
        return [response, line]

    def with_jitter(self, retry_after_s: float | None) -> float | None:
        """Return a retry time that differs between callers that are refused together."""
        if retry_after_s is None:
            return None
        return retry_after_s * (1.0 + RETRY_JITTER * self._deps.rng.random())

    def give_up(
        self, call: Call, code: str, now_s: float, rejected: Rejection | None = None
    ) -> list[Action]:
        """End a call with a final error response, or abort a response that has started.

        A call that still has a silent send waits for that one instead while there is time.
        """
        if call.standby is not None and code not in FINAL_CODES:
            self._deps.counters.add("sends_kept", call.route.kind.value)
            return [*restore(call, code, now_s)]
        actions: list[Action] = []
        if call.target is not None:
            actions.append(CancelSend(call.call_id, call.number))
            release(call)
        if call.response_started:
            actions.append(AbortResponse(call.call_id))
            return [*actions, *self.end(call, code, now_s)]
        status, retry_after_s = self._refusal(call, code)
        if rejected is not None and not call.may_have_run:
            retry_after_s = rejected.retry_after_s
        refusal = RespondLocally(call.call_id, status, code, "", self.with_jitter(retry_after_s))
        inputs = () if rejected is None else rejected.inputs
        return [
            *actions,
            refusal,
            call_logs.refused(call, refusal, inputs),
            *self.end(call, code, now_s),
        ]

    def _refusal(self, call: Call, code: str) -> tuple[int, float | None]:
        if call.may_have_run:
            return (GATEWAY_TIMEOUT if code == "deadline" else BAD_GATEWAY), None
        if code == "suspected":
            return UNAVAILABLE, SUSPECTED_RETRY_S
        if code == "quarantined":
            return UNAVAILABLE, None
        return UNAVAILABLE, FULL_RETRY_S if code == "targets_full" else NO_TARGET_RETRY_S

    def end(
        self, call: Call, outcome: str, now_s: float, response: BufferedResponse | None = None
    ) -> list[Action]:
        """Drop a call, with the silent send that it may still have, and record its outcome."""
        standby = end_standby(call, outcome, now_s)
        del self._calls[call.call_id]
        self._deps.counters.add("calls_ended", outcome)
        workspace = call.workspace
        if workspace is not None and workspace.workspace_limits is not None:
            workspace_limits = workspace.workspace_limits
            self._deps.admission.end(workspace.name)
            late = call.first_s is not None and call.first_s > workspace_limits.first_token_s
            missed = late or outcome not in SERVED_OUTCOMES
            self._deps.burn.note(
                workspace.name, workspace_limits.within, now_s, missed, call.first_s
            )
        settled = self._deps.idempotency_keys.end(call, response, now_s)
        return [*standby, *settled, call_logs.finished(call, outcome, now_s)]
