"""Applies the policy of ``request.capacity_shares`` to prompts, with the record of this entry.

A call is decided on once: a retry or a resumed stream of an admitted call has its share already.
"""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from filbertstream.fleet.share_facts import MAX_WORKSPACES, ServiceShares, ShareFacts
from filbertstream.process.counters import Counters
from filbertstream.process.roster import LOAD_FRESH_S, RosterTarget
from filbertstream.request.call_state import Call
from filbertstream.request.capacity_shares import OVER_SHARE, SCARCE_FRACTION, Room, Verdict, admit
from filbertstream.request.load_shedding import Headroom
from filbertstream.request.placement import Placement
from filbertstream.request.recent_demand import Asked, CapacityShares, ShareEstimate
from filbertstream.version.routes import Engine

OUTPUT_TOKEN_WORK: Final = 4.0
"""The work of an output token, in prefilled tokens.  It is assumed, not measured: a decoding step
serves all runs of a runner, so it costs each of them a few tokens' worth of prefill."""

MAX_SERVICES: Final = 32
"""Services with a record; calls to further ones are decided on by load shedding only."""


def expected_work(prefill_tokens: int, max_new_tokens: int) -> float:
    """Return the expected work of a prompt, in prefilled tokens.

    >>> expected_work(1_000, 50)
    1200.0
    """
    return prefill_tokens + OUTPUT_TOKEN_WORK * max_new_tokens


class Decision(NamedTuple):
    """The verdict on a call, with the share of its workspace and the pressure at that time.

    ``free`` are free runners that were not compared, if the call is to be placed on one of them.
    """

    verdict: Verdict
    shares: float
    pressed_fraction: float
    free: list[RosterTarget]

    @property
    def log_fields(self) -> tuple[tuple[str, str | float], ...]:
        """The reason and the figures that it rests on, for the line of the call."""
        return (
            ("admission", self.verdict.reason),
            ("shares", round(self.shares, 2)),
            ("pressed", round(self.pressed_fraction, 2)),
        )


class FairAdmission:
    """Decides on prompts by fair shares; ``facts`` is what entries exchange.

    With ``needs_reports`` it decides only on prompts whose runners report their slowness.  These
    share their VMs with others, so their capacity changes, and their reported load shows when it
    is short.
    """

    def __init__(self, name: str, counters: Counters, needs_reports: bool = False) -> None:
        self._counters = counters
        self._needs_reports = needs_reports
        self._services: dict[str, CapacityShares] = {}
        self.facts = ShareFacts(name, self._heaviest)

    @classmethod
    def create(cls, name: str, counters: Counters, setting: bool | None) -> "FairAdmission | None":
        """Return what the setting asks for; None leaves it to the runners' reports."""
        return None if setting is False else cls(name, counters, setting is None)

    def decide(
        self,
        call: Call,
        engine: Engine,
        placement: Placement,
        compared: Sequence[RosterTarget],
        targets: Sequence[RosterTarget],
        limits: Headroom,
        now_s: float,
    ) -> Decision | None:
        """Decide on a call for which the best placement is known; None if no share applies.

        The placement is the best of the ``compared`` runners, which are some of all ``targets``.
        """
        if self._needs_reports and not any(
            target.reported_slowness.is_reported for target in targets
        ):
            return None
        shares = self._shares_of(call.service.name, now_s)
        prompt = call.head.prompt
        if shares is None or prompt is None or call.number > 0:
            return None
        asked = Asked(
            "" if call.workspace is None else call.workspace.name,
            call.route.name,
            call.urgency,
            prompt.tokens,
            expected_work(placement.prefill_tokens, prompt.max_new_tokens),
        )
        shares.note_arrival(asked, now_s)
        room = Room(
            any(_is_free(target, call, engine, limits, now_s) for target in compared),
            placement.queue_s,
            placement.first_event_s - placement.queue_s,
            placement.memory_fraction,
            call.route.objective_s,
            limits,
            shares.pressed_fraction(now_s),
            call.ends_at_s - now_s,
        )
        claim = shares.claim(asked, now_s)
        verdict, free = admit(claim, shares.demand(now_s), room), []
        if verdict.retry_after_s is not None:
            free = [item for item in targets if _is_free(item, call, engine, limits, now_s)]
            verdict = Verdict("free") if free else verdict
        if verdict.retry_after_s is None:
            shares.note_served(asked, now_s)
        shares.note_decision(asked, room.is_pressed, now_s)
        if shares.pressed_fraction(now_s) >= SCARCE_FRACTION:
            self.facts.note_pressure(now_s)
        self._counters.add("fair_share_decisions", verdict.reason)
        return Decision(verdict, claim.shares, room.pressed_fraction, free)

    def workspaces_over_share(self, now_s: float) -> int:
        """Return the number of workspaces above their share of a service that is under pressure."""
        return sum(
            shares.count_over(OVER_SHARE, now_s)
            for shares in self._services.values()
            if shares.pressed_fraction(now_s) >= SCARCE_FRACTION
        )

    def _shares_of(self, service: str, now_s: float) -> CapacityShares | None:
        known = self._services.get(service)
        if known is None and len(self._services) >= MAX_SERVICES:
            for name in [name for name, item in self._services.items() if item.is_idle(now_s)]:
                del self._services[name]
        if known is None and len(self._services) < MAX_SERVICES:
            known = self._services[service] = CapacityShares(self._fleet_estimate(service))
        return known

    def _fleet_estimate(self, service: str) -> Callable[[str, float], ShareEstimate | None]:
        def estimate(workspace: str, now_s: float) -> ShareEstimate | None:
            known = self.facts.fleet(service, now_s)
            if known is None:
                return None
            return ShareEstimate(known.work.get(workspace, 0.0), known.share, known.total)

        return estimate

    def _heaviest(self, now_s: float) -> dict[str, ServiceShares]:
        """Return the shares of the services under pressure."""
        found = {}
        for service, shares in self._services.items():
            if shares.pressed_fraction(now_s) >= SCARCE_FRACTION:
                share, total, work = shares.heaviest(MAX_WORKSPACES, now_s)
                found[service] = ServiceShares(share, total, dict(work))
        return found


def _is_free(
    target: RosterTarget, call: Call, engine: Engine, limits: Headroom, now_s: float
) -> bool:
    """Whether a runner has free slots and memory for a call, and nothing is waiting there."""
    load = target.load
    if load is not None and load.waiting > 0 and now_s - target.load_at_s <= LOAD_FRESH_S:
        return False
    memory = (target.memory(now_s) + call.memory_tokens) / max(1, engine.cache_tokens)
    return (
        target.queued_tokens(now_s) == 0
        and target.running(now_s) < engine.slots
        and memory <= limits.memory_fraction
    )
