"""How requests end: refusals, errors and answers, and what is remembered of each.

Every path of ``request.serving`` and ``request.claimed`` ends here once.  A refusal says whether
the request may have run and when to come back; it goes out at once.
"""

from collections.abc import Callable

from filbertstream.actions import Action, Log, Refuse
from filbertstream.events import CallerRequest
from filbertstream.log_events import LogEvent
from filbertstream.process.burn import Burn
from filbertstream.process.counters import Counters
from filbertstream.request.admission import Admission
from filbertstream.request.explain import Explanation, Explanations
from filbertstream.request.run import Run


class Endings:
    """The requests under way, and how each is taken out."""

    def __init__(
        self,
        admission: Admission,
        burn: Burn,
        counters: Counters,
        explanations: Explanations,
    ) -> None:
        self.runs: dict[str, Run] = {}
        self.close_claim: Callable[[Run, float], list[Action]] = lambda run, now_s: []
        self._admission = admission
        self._burn = burn
        self._counters = counters
        self._explanations = explanations

    def refuse_new(
        self, req: CallerRequest, code: str, retry_after_s: float, detail: str = ""
    ) -> list[Action]:
        """Refuse a request that has not begun."""
        self._counters.add("refused", code)
        fields = (("request_id", req.request_id), ("code", code))
        return [
            Refuse(req.request_id, code, detail, "not_run", retry_after_s),
            Log(LogEvent.REQUEST_REFUSED, fields),
        ]

    def give_up(
        self, run: Run, code: str, now_s: float, wait_s: float = 0.0, detail: str = ""
    ) -> list[Action]:
        """Give the caller its final answer now: whether it may have run, when to come back."""
        state = "may_have_run" if run.sent else "not_run"
        retry_after_s = self._admission.spread(wait_s)
        self._counters.add("refused", code)
        request_id = run.req.request_id
        return [
            Refuse(request_id, code, detail, state, retry_after_s),
            Log(LogEvent.REQUEST_REFUSED, (("request_id", request_id), ("code", code))),
            *self.end(run, code, now_s, missed=True),
        ]

    def end(self, run: Run, outcome: str, now_s: float, missed: bool) -> list[Action]:
        """Count a run out and remember why it went as it did."""
        del self.runs[run.req.request_id]
        self._admission.end(run.workspace)
        objectives = run.grant.objectives
        late = run.first_token_s is not None and run.first_token_s > objectives.first_token_s
        self._burn.note(run.workspace, objectives.within, now_s, missed or late, run.first_token_s)
        self._counters.add("ended", outcome)
        self._explanations.keep(self._explain(run, outcome, now_s))
        fields = (("request_id", run.req.request_id), ("outcome", outcome))
        log = Log(LogEvent.REQUEST_FINISHED, (*fields, ("workspace", run.workspace)))
        return [log, *self.close_claim(run, now_s)]

    def _explain(self, run: Run, outcome: str, now_s: float) -> Explanation:
        return Explanation(
            run.req.request_id,
            run.workspace,
            run.req.kind,
            run.req.target_name,
            run.weight_version,
            run.candidates,
            tuple(run.notes),
            outcome,
            run.first_token_s,
            now_s - run.arrived_s,
        )
