"""What an entry sends to targets that want a pause, or that say that they leave."""

from typing import Any

import pytest

from filbertstream.gateway_events import TargetObserved, TargetsListed
from filbertstream.platform.headers import decode_response
from filbertstream.process.target_notices import UNREGISTERED_KEPT_S
from filbertstream.request.call import ResponseHead
from filbertstream.request.call_events import RespondLocally, ResponseComplete, ResponseStarted
from filbertstream.version.rollout import OrderResponse, ReportFailed, Rollout
from tests.gateway_world import APPS, RUNNERS, World, entry, sends
from tests.helpers import unlimited
from tests.test_rollout import view_with_named

NOT_RUN = [(b"not-executed", b"1")]
SIGNED = [(b"response-signature", b"s")]


def busy(seconds: str, *others: tuple[bytes, bytes]) -> ResponseHead:
    return decode_response(503, [(b"retry-after", seconds.encode()), *others])


def leaving(status: int = 200) -> ResponseHead:
    return decode_response(status, [(b"server-leaving", b"1"), *SIGNED])


class ServiceWorld(World):
    """Targets of one service, each of whose responses is given by a function of its id."""

    def __init__(self, *targets: Any) -> None:
        super().__init__()
        self.step(TargetsListed((*RUNNERS, *(targets or APPS))))
        self.sent_to: list[tuple[float, str]] = []

    def call(self, respond: Any, name: str = "read") -> list[RespondLocally]:
        """Make a call and respond to each of its sends at once; return what its caller gets."""
        refusals: list[RespondLocally] = []
        queue = self.arrive(name)
        while queue:
            action = queue.pop(0)
            refusals += [action] if isinstance(action, RespondLocally) else []
            for send in sends([action]):
                self.sent_to.append((self.now_s, send.target_id))
                head = respond(send.target_id)
                queue += self.step(ResponseStarted(send.call_id, send.number, head))
                if head.status < 400:
                    self.step(ResponseComplete(send.call_id, send.number, 2, None))
        return refusals

    def sent(self, target_id: str, after_s: float, until_s: float) -> int:
        times = [at_s for at_s, name in self.sent_to if name == target_id]
        return sum(after_s < at_s < until_s for at_s in times)


def ok(target_id: str) -> ResponseHead:
    return decode_response(200, SIGNED)


# BUDGET over real processes: a pause that a target named was cut to 0.6 s, or not kept at all.
@pytest.mark.parametrize("others", [NOT_RUN, []], ids=["not run", "says nothing"])
@pytest.mark.parametrize("service", ["read", "draft"])
def test_target_that_names_a_pause_gets_nothing_until_its_end(
    service: str, others: list[tuple[bytes, bytes]]
) -> None:
    world = ServiceWorld()
    first, *_ = sends(world.arrive(service))
    paused = first.target_id
    began_s = world.now_s
    world.step(ResponseStarted(first.call_id, first.number, busy("3", *others)))
    while world.now_s < began_s + 6.0:
        world.run(0.1)
        world.call(ok, service)
    assert world.sent(paused, began_s, began_s + 2.95) == 0
    assert world.sent(paused, began_s + 3.0, world.now_s + 0.1) > 0


def test_shorter_pause_and_success_that_arrive_later_shorten_nothing() -> None:
    world = ServiceWorld(APPS[0])
    first, second, third = (sends(world.arrive("read"))[0] for _ in range(3))
    for send, head in ((first, busy("3", *NOT_RUN)), (second, busy("0.1", *NOT_RUN))):
        world.step(ResponseStarted(send.call_id, send.number, head))
    world.step(ResponseStarted(third.call_id, third.number, ok("a1")))
    world.run(2.9)
    assert not sends(world.arrive("read"))
    world.run(0.2)
    assert sends(world.arrive("read"))


@pytest.mark.parametrize(
    "value", ["", "-3", "soon", "nan", "inf", "Sat, 05 Dec 2026 21:00:00 GMT", "1_0"]
)
def test_malformed_pause_is_ignored(value: str) -> None:
    assert busy(value).notice.pause_s is None


def test_longest_of_several_pauses_counts() -> None:
    assert busy("1", (b"retry-after", b"2.5")).notice.pause_s == 2.5


def test_caller_is_refused_at_once_until_the_first_pause_ends() -> None:
    world = ServiceWorld()
    world.call(lambda name: busy("2" if name == "a1" else "5", *NOT_RUN))
    (refusal,) = world.call(ok)
    assert (refusal.status, refusal.code) == (503, "targets_paused")
    assert refusal.retry_after_s is not None
    assert 2.0 <= refusal.retry_after_s <= 3.0


def test_new_start_of_a_paused_target_gets_calls_at_once() -> None:
    world = ServiceWorld(APPS[0])
    world.call(lambda name: busy("30", *NOT_RUN))
    assert world.call(ok)
    world.step(TargetObserved("a1", APPS[0]._replace(started_ms=2), False))
    assert not world.call(ok)


# A registration that expires and comes back must not end the pause.
def test_pause_outlasts_the_registration() -> None:
    world = ServiceWorld(APPS[0])
    world.call(lambda name: busy("30", *NOT_RUN))
    world.step(TargetObserved("a1", None, True))
    world.run(3.0)
    world.step(TargetObserved("a1", APPS[0], False))
    assert world.call(ok)


# DRAIN over real processes: targets that said that they leave went on getting calls.
@pytest.mark.parametrize("status", [200, 503, 421])
def test_target_that_says_that_it_leaves_gets_no_more_calls(status: int) -> None:
    world = ServiceWorld()
    while not any(name == "a1" for _, name in world.sent_to):
        world.call(lambda name: leaving(status) if name == "a1" else ok(name))
        world.run(0.1)
    noted_s = world.now_s
    for _ in range(50):
        world.call(ok)
        world.run(0.1)
    assert world.sent("a1", noted_s, world.now_s) == 0
    world.step(TargetObserved("a1", entry("a1", "app"), False))
    assert world.core.roster.is_leaving(world.core.roster.targets["a1"])


def test_new_start_of_a_target_that_left_gets_calls_at_once() -> None:
    world = ServiceWorld(APPS[0])
    world.call(lambda name: leaving())
    assert world.call(ok)
    world.step(TargetObserved("a1", APPS[0]._replace(started_ms=2), False))
    assert not world.call(ok)
    world.step(TargetObserved("a1", None, True))
    world.run(UNREGISTERED_KEPT_S + 5.0)
    assert not world.core.roster.notices.is_leaving(APPS[0].start)


@pytest.mark.parametrize("failed", [True, False], ids=["report", "order"])
def test_paused_runner_is_polled(failed: bool) -> None:
    world = World()
    notice = busy("3").notice
    event = ReportFailed("r1", notice) if failed else OrderResponse("r1", 503, notice=notice)
    world.step(event)
    rollout = Rollout(world.core.roster, view_with_named(2, at_s=0.0), unlimited())
    polled: dict[str, list[float]] = {"r1": [], "r2": []}
    for step in range(1, 41):
        now_s = world.now_s + 0.1 * step
        rollout.swapping(now_s)
        for action in rollout.step(now_s, 5):
            polled[action.target_id].append(now_s - world.now_s)
        world.core.roster.targets["r2"].note_weights("m", 2)
    assert min(polled["r1"]) >= 3.0
