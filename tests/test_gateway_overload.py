"""Overload: the worst loads, replayed on the core in virtual time.

Failures guarded against: queues that grow until every call misses its first-token objective, and
calls rejected although there is capacity.  They come about when more prompts arrive than the
runners can prefill, or when runs fill the runners' memory.
"""

from filbertstream.request.call_events import ResponseComplete, ResponseStarted, SendCall
from filbertstream.request.load_shedding import headroom, memory_limit, retry_after_s
from tests.gateway_world import World, response_head, sends, statuses

PREFILL_TOKENS_PER_S = 20_000.0
"""Prefill rate of the simulated runners, half of what a core expects at first."""


class Overload(World):
    """Runners that prefill one prompt after the other, while prompts arrive at a given rate."""

    def __init__(self) -> None:
        super().__init__()
        self.queues: dict[str, list[tuple[SendCall, float]]] = {"r1": [], "r2": []}
        self.free_at_s = {"r1": 0.0, "r2": 0.0}
        self.first_token_s: dict[int, float] = {}
        self.refused_at_s: dict[int, float] = {}
        self.arrived_s: dict[int, float] = {}

    def offer(self, name: str) -> None:
        actions = self.arrive(name)
        self.arrived_s[self.calls] = self.now_s
        for sent in sends(actions):
            ready_s = max(self.now_s, self.free_at_s[sent.target_id]) + 1_000 / PREFILL_TOKENS_PER_S
            self.free_at_s[sent.target_id] = ready_s
            self.queues[sent.target_id].append((sent, ready_s))
        if statuses(actions):
            self.refused_at_s[self.calls] = self.now_s

    def play(self, seconds: float, per_s: float, names: tuple[str, ...]) -> None:
        step_s, due_calls = 0.02, 0.0
        for _ in range(round(seconds / step_s)):
            self.now_s += step_s
            self.confirm()
            for queue in self.queues.values():
                while queue and queue[0][1] <= self.now_s:
                    sent, ready_s = queue.pop(0)
                    self.first_token_s[sent.call_id] = ready_s - self.arrived_s[sent.call_id]
                    self.step(ResponseStarted(sent.call_id, sent.number, response_head()))
                    self.step(ResponseComplete(sent.call_id, sent.number, 1))
            due_calls += per_s * step_s
            while due_calls >= 1.0:
                due_calls -= 1.0
                self.offer(names[self.calls % len(names)])


def test_overload_is_shed_so_that_admitted_calls_meet_their_objective() -> None:
    """Load pattern: 80 prompts a second arrive at runners that can prefill 40."""
    world = Overload()
    world.play(20.0, 80.0, ("walk",))
    late = [first_token_s for first_token_s in world.first_token_s.values() if first_token_s > 1.0]
    assert len(world.first_token_s) > 0.85 * 40 * 20
    assert len(late) < 0.15 * len(world.first_token_s)
    assert world.refused_at_s


def test_overload_is_rejected_on_arrival_with_a_retry_time() -> None:
    """Under overload, calls queued first and rejected later waste their callers' time."""
    world = Overload()
    world.play(10.0, 80.0, ("walk",))
    assert all(world.refused_at_s[call] == world.arrived_s[call] for call in world.refused_at_s)
    actions = []
    while not statuses(actions):
        actions = world.arrive("walk")
    (refusal,) = actions
    assert refusal.status == 503
    assert 0.2 < refusal.retry_after_s < 6.0


def test_load_within_capacity_is_never_rejected() -> None:
    """Arrivals at three quarters of the prefill rate form short queues. These are no overload."""
    world = Overload()
    world.play(20.0, 30.0, ("walk", "draft"))
    assert not world.refused_at_s


def test_prompts_are_rejected_when_runs_fill_the_memory() -> None:
    """Load pattern: runs never end, while the runners prefill every prompt at once."""
    world = World()
    admitted = 0
    for _ in range(400):
        world.now_s += 0.02
        world.confirm()
        for sent in sends(world.arrive("walk")):
            admitted += 1
            world.step(ResponseStarted(sent.call_id, sent.number, response_head()))
    per_run, memory = 1_050, 2 * 100_000
    assert 0.9 * memory / per_run < admitted < 1.2 * memory / per_run


def test_lower_priorities_are_rejected_first_when_memory_runs_out() -> None:
    """Memory use lies between the limits of the highest and the lowest priority."""
    limit_high, limit_low = memory_limit(0), memory_limit(3)
    assert limit_high > limit_low
    used_fraction = (limit_high + limit_low) / 2
    assert retry_after_s(0.0, used_fraction, headroom(1.0, 0)) is None
    assert retry_after_s(0.0, used_fraction, headroom(1.0, 3)) is not None
