"""The worst loads, replayed on the core in virtual time."""

from filbertstream.request.call_events import ResponseComplete, ResponseStarted, SendCall
from filbertstream.request.load_shedding import headroom, memory_limit, retry_after_s
from tests.gateway_world import World, answer, sends, statuses

READ_PER_S = 20_000.0
"""The stand-in runners read this many tokens a second, half of what a core first expects."""


class Overload(World):
    """Runners that read one prompt after the other, while more arrive than they can read."""

    def __init__(self) -> None:
        super().__init__()
        self.queues: dict[str, list[tuple[SendCall, float]]] = {"r1": [], "r2": []}
        self.free_at_s = {"r1": 0.0, "r2": 0.0}
        self.first_s: dict[int, float] = {}
        self.refused: dict[int, float] = {}
        self.arrived_s: dict[int, float] = {}

    def offer(self, name: str) -> None:
        actions = self.arrive(name)
        self.arrived_s[self.calls] = self.now_s
        for sent in sends(actions):
            ready_s = max(self.now_s, self.free_at_s[sent.target_id]) + 1_000 / READ_PER_S
            self.free_at_s[sent.target_id] = ready_s
            self.queues[sent.target_id].append((sent, ready_s))
        if statuses(actions):
            self.refused[self.calls] = self.now_s

    def play(self, seconds: float, per_s: float, names: tuple[str, ...]) -> None:
        step_s, owed = 0.02, 0.0
        for _ in range(round(seconds / step_s)):
            self.now_s += step_s
            self.confirm()
            for queue in self.queues.values():
                while queue and queue[0][1] <= self.now_s:
                    sent, ready_s = queue.pop(0)
                    self.first_s[sent.call_id] = ready_s - self.arrived_s[sent.call_id]
                    self.tell(ResponseStarted(sent.call_id, sent.number, answer()))
                    self.tell(ResponseComplete(sent.call_id, sent.number, 1))
            owed += per_s * step_s
            while owed >= 1.0:
                owed -= 1.0
                self.offer(names[self.calls % len(names)])


def test_twice_the_load_that_can_be_read_is_cut_to_what_is_answered_in_time() -> None:
    """Load pattern: 80 prompts a second before runners that can read 40."""
    world = Overload()
    world.play(20.0, 80.0, ("walk",))
    late = [first_s for first_s in world.first_s.values() if first_s > 1.0]
    assert len(world.first_s) > 0.85 * 40 * 20
    assert len(late) < 0.15 * len(world.first_s)
    assert world.refused


def test_what_is_turned_away_is_turned_away_on_arrival_with_a_time_to_come_back() -> None:
    world = Overload()
    world.play(10.0, 80.0, ("walk",))
    assert all(world.refused[call] == world.arrived_s[call] for call in world.refused)
    actions = []
    while not statuses(actions):
        actions = world.arrive("walk")
    (refusal,) = actions
    assert refusal.status == 503
    assert 0.2 < refusal.retry_after_s < 6.0


def test_a_load_that_can_be_read_turns_nobody_away() -> None:
    world = Overload()
    world.play(20.0, 30.0, ("walk", "draft"))
    assert not world.refused


def test_runs_that_fill_the_memory_turn_further_prompts_away() -> None:
    """Load pattern: runs go on and on, while the runners read every prompt at once."""
    world = World()
    admitted = 0
    for _ in range(400):
        world.now_s += 0.02
        world.confirm()
        for sent in sends(world.arrive("walk")):
            admitted += 1
            world.tell(ResponseStarted(sent.call_id, sent.number, answer()))
    per_run, memory = 1_050, 2 * 100_000
    assert 0.9 * memory / per_run < admitted < 1.2 * memory / per_run


def test_the_less_urgent_are_turned_away_first_when_memory_runs_out() -> None:
    urgent, patient = memory_limit(0), memory_limit(3)
    assert urgent > patient
    share = (urgent + patient) / 2
    assert retry_after_s(0.0, share, headroom(1.0, 0)) is None
    assert retry_after_s(0.0, share, headroom(1.0, 3)) is not None
