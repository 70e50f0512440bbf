"""Fair sharing in the core: the setting, its effect, and none without it.

Failures guarded against: decisions that change where the setting is off; a small workspace that
loses its share; prompts that are held back although there is room; rejections without a reason.
"""

import hashlib
from pathlib import Path
from typing import Any

import pytest
from result import Ok

from filbertstream.actions import Log
from filbertstream.epoch_number import EpochNumber
from filbertstream.fleet.facts import decode_rows
from filbertstream.fleet.scope import Scope
from filbertstream.gateway_events import ConfigurationObserved, TargetsListed
from filbertstream.log_events import LogEvent
from filbertstream.names import digest_key
from filbertstream.platform.settings_file import read_settings_file
from filbertstream.request.call import TargetLoad
from filbertstream.request.call_events import (
    RespondLocally,
    ResponseComplete,
    ResponseStarted,
    SendCall,
)
from filbertstream.version.routes import Workspace
from tests.gateway_world import configuration, entry, response_head, sends
from tests.test_gateway_overload import Overload
from tests.test_gateway_parts import BOOT

RECORDED = "4a2194dd39abe14d32c06834c45cb55d53148b73281f4a6dd40ae99af1ea539f"
"""The digest of the decisions on this load by the code before fair sharing."""

MIXED = (*("walk:big", "draft:big") * 5, "walk:small")


class Shared(Overload):
    """Calls of two workspaces; a name such as ``walk:big`` gives the route and the workspace."""

    fair_shares: bool | None = True

    def __init__(self) -> None:
        super().__init__()
        workspaces = {digest_key(name): Workspace(name) for name in ("big", "small")}
        changed = configuration(2)._replace(version=EpochNumber(0, 2), workspaces=workspaces)
        self.step(ConfigurationObserved(changed, self.now_s))
        self.decisions: list[tuple[Any, ...]] = []
        self.logs: list[Log] = []
        step = self.core.step

        def logged(now_s: float, event: Any) -> list[Any]:
            actions = step(now_s, event)
            self.logs += [item for item in actions if isinstance(item, Log)]
            return actions

        self.core.step = logged  # type: ignore[method-assign]
        self.of: dict[str, list[int]] = {"big": [], "small": []}

    def arrive(self, name: str, key: str | None = None, *args: Any, **kwargs: Any) -> list[Any]:
        path, _, workspace = name.partition(":")
        actions = super().arrive(path, workspace, *args, **kwargs)
        self.of[workspace].append(self.calls)
        for item in actions:
            if isinstance(item, SendCall):
                self.decisions.append((item.call_id, item.target_id))
            elif isinstance(item, RespondLocally):
                self.decisions.append((item.call_id, item.status, item.code, item.retry_after_s))
        return actions

    def rate(self, workspace: str) -> float:
        served = [call for call in self.of[workspace] if call not in self.refused_at_s]
        return len(served) / len(self.of[workspace])


class Plain(Shared):
    """The same without the setting; the runners don't report their slowness."""

    fair_shares = None


def test_without_the_setting_decisions_are_those_recorded_before() -> None:
    """The load goes from room to twice the capacity and back, with retry times and choices."""
    world = Plain()
    for per_s in (20.0, 80.0, 30.0, 120.0):
        world.play(5.0, per_s, MIXED)
    digest = hashlib.sha256(repr(world.decisions).encode()).hexdigest()
    assert digest == RECORDED
    assert not any(name == "fair_share_decisions" for name, _ in world.core.counters.snapshot())


@pytest.mark.parametrize(("setting", "decides"), [(None, True), (False, False)])
def test_reported_slowness_has_no_effect_or_the_setting_does_not_prevent_it(
    setting: bool | None, decides: bool
) -> None:
    """Runners report their slowness, and the setting is absent or off."""

    class Reporting(Shared):
        fair_shares = setting

    world = Reporting()
    for target in world.core.roster.of_service("models"):
        target.note_load(TargetLoad(1, 0, 8, 1.0, True), world.now_s)
    world.arrive("draft:big")
    world.run(0.2)
    counted = [name for name, _ in world.core.counters.snapshot()]
    assert ("fair_share_decisions" in counted) is decides


def test_a_small_workspace_keeps_its_share_beside_one_that_sends_ten_times_as_much() -> None:
    """Load pattern: twice the capacity, of which the small one asks for less than a fifth."""
    rates = {}
    for kind in (Plain, Shared):
        world = kind()
        world.play(30.0, 80.0, MIXED)
        rates[kind] = world.rate("small")
        assert world.rate("big") > 0.25 * (len(world.first_token_s) / world.calls)
    assert rates[Plain] < 0.7
    assert rates[Shared] > 0.9


def test_load_within_capacity_is_decided_on_as_without_shares() -> None:
    """At three quarters of the capacity, with one workspace that sends almost all."""
    plain, shared = Plain(), Shared()
    for world in (plain, shared):
        world.play(20.0, 30.0, MIXED)
    assert shared.decisions == plain.decisions
    assert not shared.refused_at_s


def test_rejections_are_logged_with_a_true_reason_and_its_inputs() -> None:
    """An operator must see why a call was held back, and whether its runner had a queue."""
    world = Shared()
    world.play(20.0, 80.0, MIXED)
    refused = [dict(item.fields) for item in world.logs if item.number == LogEvent.REQUEST_REFUSED]
    assert len(refused) == len(world.refused_at_s)
    fair = world.core.fair_admission
    assert fair is not None
    assert fair.workspaces_over_share(world.now_s) == 1
    held_back = [line for line in refused if line["admission"] == "over_share"]
    assert held_back
    assert all(line["shares"] > 1.0 and line["queue_s"] > 0.0 for line in held_back)
    reasons = {line["admission"] for line in refused}
    counted = world.core.counters
    assert sum(counted.get("fair_share_decisions", item) for item in reasons) == len(refused)


def test_prompts_go_to_a_free_runner_that_was_not_compared() -> None:
    """Of 40 runners all but one have long queues, and only some of them are compared."""
    world = Shared()
    names = [f"m{number}" for number in range(40)]
    world.step(TargetsListed(tuple(entry(name, "models") for name in names)))
    for name in names[1:]:
        world.core.roster.targets[name].prefill.sent(10**6)
    for number in range(30):
        world.now_s += 0.1
        world.confirm()
        (sent,) = sends(world.arrive("walk:big" if number % 2 else "walk:small"))
        assert sent.target_id == "m0"
        world.step(ResponseStarted(sent.call_id, sent.number, response_head()))
        world.step(ResponseComplete(sent.call_id, sent.number, 1))


def test_peers_are_told_of_heavy_workspaces_only_while_capacity_is_scarce() -> None:
    """Reports that are never sent, or that load the peers of an idle fleet."""
    world = Shared()
    world.play(5.0, 20.0, MIXED)
    facts = world.core.crash_watch.facts
    assert "shares" not in facts.due(Scope.LOCAL, world.now_s)
    world.play(5.0, 80.0, MIXED)
    world.now_s += 2.0
    rows = decode_rows("shares", facts.due(Scope.LOCAL, world.now_s)["shares"])
    assert [row.workspace for row in rows] == [None, "big"]


@pytest.mark.parametrize(
    ("line", "expected"),
    [("", None), ("fair_shares: true\n", True), ("fair_shares: false\n", False)],
)
def test_setting_is_off_unless_it_is_set(tmp_path: Path, line: str, expected: bool) -> None:
    """Fair sharing takes effect where nobody asked for it."""
    file = tmp_path / "boot.yaml"
    file.write_text(BOOT + line)
    read = read_settings_file(file)
    assert isinstance(read, Ok)
    assert read.ok_value.fair_shares is expected
