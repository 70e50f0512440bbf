"""Who waits and who is refused when a process has no memory left for its callers.

Failures guarded against: memory that grows with the number of callers, callers that keep all others
out by sending nothing more, and a response that is given up for a request that has not run.
"""

import pytest

from filbertstream.connection.buffer_budget import (
    PROGRESS_BYTES,
    STALL_S,
    WAIT_S,
    BufferBudget,
    Kind,
    Reason,
)
from filbertstream.version.routes import CallerLimits

LIMIT_BYTES = 1_000_000
LATE_S = STALL_S + 0.1


class Caller:
    """A caller that is read from until it is paused or refused."""

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self.size = 0
        self.paused = False
        self.refused: Reason | None = None

    def pause_arrival(self) -> None:
        self.paused = True

    def resume_arrival(self) -> None:
        self.paused = False

    def refuse_arrival(self, reason: Reason) -> None:
        self.refused = reason
        self._budget.arrived(self)

    def send(self, size: int, now_s: float = 0.0) -> None:
        """Send in slices until everything is sent or the caller is stopped."""
        end = self.size + size
        while self.size < end and not self.paused and self.refused is None:
            self.size += min(end - self.size, self._budget.slice_bytes())
            self._budget.arrive(self, self.size, now_s)


def crowd(budget: BufferBudget, count: int, size: int) -> list[Caller]:
    callers = [Caller(budget) for _ in range(count)]
    for caller in callers:
        caller.send(size)
    return callers


def test_single_request_of_the_largest_size_never_waits() -> None:
    """Nothing else is held, even where the memory is smaller than one request."""
    for limit_bytes in (100_000, 32_000_000):
        budget = BufferBudget(limit_bytes)
        (caller,) = crowd(budget, 1, CallerLimits().body_bytes)
        assert (caller.size, caller.paused) == (CallerLimits().body_bytes, False)


@pytest.mark.parametrize("count", [10, 1_000])
def test_callers_wait_before_the_memory_is_used_up(count: int) -> None:
    """Large requests arrive together; only what is read in one slice exceeds half of the limit."""
    budget = BufferBudget(LIMIT_BYTES)
    callers = crowd(budget, count, 400_000)
    assert sum(caller.paused for caller in callers) >= count - 4
    assert budget.total_bytes <= LIMIT_BYTES + 2_048 * count


def test_small_request_does_not_wait_behind_large_ones() -> None:
    """Large requests that don't end hold all the memory that they may have."""
    budget = BufferBudget(LIMIT_BYTES)
    crowd(budget, 20, 400_000)
    (small,) = crowd(budget, 1, 5_000)
    assert not small.paused


def test_stalled_request_is_refused_only_while_others_wait() -> None:
    """Callers stop short of the end of their bodies; the one with most bytes goes first."""
    budget = BufferBudget(LIMIT_BYTES)
    small, large = (crowd(budget, 1, size)[0] for size in (200_000, 290_000))
    budget.relieve(LATE_S)
    assert small.refused is large.refused is None
    waiting = crowd(budget, 3, 300_000)
    budget.relieve(LATE_S)
    assert (small.refused, large.refused) == (None, Reason.STALLED)
    assert not any(caller.paused or caller.refused for caller in waiting)


def test_trickle_counts_as_no_progress() -> None:
    """A caller sends a byte now and then, so that it never seems to have stopped."""
    budget = BufferBudget(LIMIT_BYTES)
    (slow,) = crowd(budget, 1, 450_000)
    for tenth in range(1, 12):
        slow.send(PROGRESS_BYTES // 20, tenth / 10)
    waiting = crowd(budget, 3, 300_000)
    budget.relieve(LATE_S)
    assert slow.refused is Reason.STALLED
    assert not any(caller.refused for caller in waiting)


def test_caller_without_room_is_told_so_after_a_while() -> None:
    """Running requests hold the memory and don't end."""
    budget = BufferBudget(LIMIT_BYTES)
    budget.hold("running", Kind.RUNNING, LIMIT_BYTES)
    (caller,) = crowd(budget, 1, 100_000)
    assert caller.paused
    budget.relieve(WAIT_S - 0.1)
    assert caller.refused is None
    budget.relieve(WAIT_S + 0.1)
    assert (caller.refused, Reason.WAITED.status) == (Reason.WAITED, 503)
    assert budget.total_bytes == LIMIT_BYTES


def test_request_gives_way_to_a_response_and_never_the_other_way() -> None:
    """A response body grows while requests arrive, and requests arrive beside a large response."""
    budget = BufferBudget(LIMIT_BYTES)
    given_up: list[str] = []
    (caller,) = crowd(budget, 1, 300_000)
    budget.set("response", 900_000, lambda: given_up.append("response"))
    assert (caller.refused, given_up) == (Reason.CROWDED_OUT, [])
    crowd(budget, 20, 400_000)
    budget.relieve(LATE_S)
    assert not given_up


def test_first_request_completes_while_all_others_wait() -> None:
    """Requests that fill the memory together would all wait for each other."""
    budget = BufferBudget(LIMIT_BYTES)
    callers = crowd(budget, 20, 600_000)
    for step in range(1, 9):
        now_s = step * 0.1
        budget.relieve(now_s)
        for caller in callers:
            caller.send(600_000 - caller.size, now_s)
    assert callers[0].size == 600_000
    assert all(caller.refused is None for caller in callers)


def test_nothing_is_counted_after_all_have_left() -> None:
    """A count that never returns to zero would refuse everybody in the end."""
    budget = BufferBudget(LIMIT_BYTES)
    for caller in crowd(budget, 30, 300_000):
        budget.arrived(caller)
    budget.hold("running", Kind.RUNNING, 10)
    budget.hold("running", Kind.RUNNING, 0)
    budget.set("response", 10, lambda: None)
    budget.release("response")
    assert (budget.total_bytes, budget.waiting) == (0, 0)
    assert not any(budget.by_kind.values())
