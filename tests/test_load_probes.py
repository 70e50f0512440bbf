"""Which runners are asked for their load before a prompt is placed, and what their answers change.

Failures guarded against: a prompt goes to a runner that became slow or filled up since its last
response, and a call that waits for answers that never come.
"""

from typing import Any

import pytest

from filbertstream.process.roster import RosterTarget
from filbertstream.request.call import RequestRate, ResponseHead, TargetLoad, TargetNotice
from filbertstream.request.call_events import CallerDisconnected, LoadProbed, ProbeLoad, SendCall
from filbertstream.request.load_probes import PROBE_TIMEOUT_S
from tests.gateway_world import World, response_head, sends

USUAL = TargetLoad(0, 0, 64, 1.0, True)
SLOW = TargetLoad(0, 0, 64, 4.0, True)
FULL = TargetLoad(64, 20, 64, 1.0, True)
OLD_S = 2.0


def reporting(load: TargetLoad = USUAL) -> World:
    """Return an entry whose runners have reported a load some time ago."""
    world = World()
    for target in runners(world):
        target.note_load(load, world.now_s)
    world.run(OLD_S)
    return world


def runners(world: World) -> list[RosterTarget]:
    return world.core.roster.of_service("models")


def asked(actions: list[Any]) -> list[ProbeLoad]:
    return [action for action in actions if isinstance(action, ProbeLoad)]


def answer(world: World, probe: ProbeLoad, load: TargetLoad | None) -> list[SendCall]:
    head = None if load is None else health(load=load)
    return sends(world.step(LoadProbed(probe.call_id, probe.start, world.now_s, head)))


def health(status: int = 200, **changes: Any) -> ResponseHead:
    """Return the head of a response of the health path, which nobody signs."""
    return response_head(status, signed=False, **changes)


def test_prompt_goes_to_the_runner_that_answers_that_it_is_least_loaded() -> None:
    """One of two runners has become slow, or full, since its last response."""
    for trouble in (SLOW, FULL):
        for troubled in (0, 1):
            world = reporting()
            actions = world.arrive("draft")
            probes = asked(actions)
            assert len(probes) == 2
            assert not sends(actions)
            assert not answer(world, probes[troubled], trouble)
            (sent,) = answer(world, probes[1 - troubled], USUAL)
            assert sent.target_id == probes[1 - troubled].start.target_id


def test_runner_that_does_not_answer_is_not_chosen() -> None:
    """One of two runners is cut off; the other one answers in time."""
    world = reporting()
    silent, sound = asked(world.arrive("draft"))
    assert not answer(world, sound, FULL._replace(waiting=0))
    (sent,) = sends(world.run(2 * PROBE_TIMEOUT_S))
    assert sent.target_id == sound.start.target_id
    assert not answer(world, silent, USUAL)


def test_call_is_placed_without_answers_if_none_comes() -> None:
    """All runners' health paths hang, or answer without a load: the prompt is not held for long."""
    world = reporting()
    assert len(asked(world.arrive("draft"))) == 2
    assert len(sends(world.run(2 * PROBE_TIMEOUT_S))) == 1
    world = reporting()
    first, second = asked(world.arrive("draft"))
    assert not answer(world, first, None)
    assert len(answer(world, second, None)) == 1


def test_nothing_is_asked_where_it_changes_nothing() -> None:
    """Runners don't report their slowness, have just reported, or limit their requests."""
    silent = World()
    assert not asked(silent.arrive("draft"))
    recent = reporting()
    for target in runners(recent):
        target.note_load(USUAL, recent.now_s)
    assert len(sends(recent.arrive("draft"))) == 1
    limited = reporting()
    for target in runners(limited):
        rate = RequestRate(50.0)
        limited.core.request_rates.on_response(
            target.start, rate, limited.now_s - 0.1, limited.now_s
        )
    assert not asked(limited.arrive("draft"))


def test_late_answers_and_those_for_ended_calls_only_update_the_load() -> None:
    """The caller disconnects while its call waits, and the answers come afterwards."""
    world = reporting()
    first, second = asked(world.arrive("draft"))
    world.step(CallerDisconnected(world.calls))
    assert not answer(world, first, SLOW)
    assert not answer(world, second, SLOW)
    assert all(target.slowness(world.now_s) > 1.0 for target in runners(world))
    assert not world.core.forwarding.calls


@pytest.mark.parametrize(
    "said",
    [
        {"status": 503, "notice": TargetNotice(5.0, False)},
        {"notice": TargetNotice(None, True)},
        {"request_rate": RequestRate(0.5)},
    ],
    ids=["pause", "leaving", "rate"],
)
def test_notice_in_an_answer_binds_like_that_in_any_response(said: dict[str, Any]) -> None:
    """A runner says only in the answer to a probe that it wants fewer requests, or none."""
    world = reporting()
    first, second = asked(world.arrive("draft"))
    head = health(load=USUAL, **said)
    world.step(LoadProbed(first.call_id, first.start, world.now_s, head))
    (sent,) = answer(world, second, FULL)
    assert sent.target_id == second.start.target_id
    for _ in range(5):
        later = world.arrive("draft")
        assert first.start not in [probe.start for probe in asked(later)]
        for probe in asked(later):
            later += world.step(
                LoadProbed(probe.call_id, probe.start, world.now_s, health(load=FULL))
            )
        assert {item.target_id for item in sends(later)} <= {second.start.target_id}
