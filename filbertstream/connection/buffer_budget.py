"""The memory that one process may hold for its callers and targets, and who gives way.

Everything that grows with what others send is counted here as it is kept, not as it was sent:
requests that arrive, pipelined and running requests, response bodies that are buffered, and
responses that callers do not read.  Nothing here does I/O or reads a clock.

Load patterns handled:

- Many callers send large bodies at once.  Callers wait (they are not read from) while there is no
  room, in the order of their requests; the first always goes on, so that some request completes.
- Callers stop short of the end of their requests.  While others wait, a request that makes no
  progress is refused, first the one that has held the most bytes for the longest time.
- Small requests arrive while large ones hold all room: a part of the memory is kept for them.
- A target in trouble sends bodies without end: requests that have not run are refused first, then
  the largest response body is given up.  A response is never given up to make room for a request.
"""

import enum
import heapq
from collections import Counter
from collections.abc import Callable
from typing import Final, Protocol

from filbertstream.statuses import TIMEOUT, UNAVAILABLE

DEFAULT_BUFFER_BYTES: Final = 32_000_000
"""Limit on everything counted; a quarter of the smallest VM's memory."""

BUFFER_FRACTION: Final = 0.25
"""The fraction of the process's memory that may be counted here.  An idle process takes 51 MB, and
a body is copied up to two more times while it is passed on."""

ARRIVING_FRACTION: Final = 0.5
"""The fraction of the limit that requests of more than ``SMALL_BYTES`` may hold as they arrive."""

SMALL_BYTES: Final = 16_384
"""A request that holds no more than this waits only when everything is used up."""

MIN_SLICE_BYTES: Final = 2_048
HEAD_SLICE_BYTES: Final = 4_096
FULL_HEAD_SLICE_BYTES: Final = 128
MAX_SLICE_BYTES: Final = 65_536
"""What is read from one connection before the others get their turn.  A slice of heads may hold
hundreds of requests or lines, each of which takes far more memory than its bytes.  So while nothing
more should be kept, a new head is read only as far as needed to make its caller wait."""

SLICES: Final = 64
"""A slice is at most this part of the room: many connections are read before one is paused."""

PROGRESS_BYTES: Final = 16_384
STALL_S: Final = 1.0
"""While others wait, a request must grow by ``PROGRESS_BYTES`` in each such time."""

WAIT_S: Final = 3.0
"""A caller that has waited for room for so long is refused, so that it can try another entry."""


REFUSED_AT_ONCE: Final = 16
"""Stalled requests that are refused in one call, so that a call stays short."""


class Kind(enum.StrEnum):
    """What is counted."""

    ARRIVING = "arriving"
    """Requests that have not arrived completely, and complete ones behind a running one."""

    RUNNING = "running"
    """Requests that were passed on, whose bodies are held for retries."""

    RESPONSE = "response"
    """Buffered bodies of responses."""

    UNSENT = "unsent"
    """Responses that their callers have not read."""


class Reason(enum.StrEnum):
    """Why a request is refused."""

    STALLED = "stalled"
    WAITED = "waited"
    CROWDED_OUT = "crowded_out"

    @property
    def status(self) -> int:
        """The status of the refusal."""
        return TIMEOUT if self is Reason.STALLED else UNAVAILABLE


class Arrival(Protocol):
    """A caller whose request arrives."""

    def pause_arrival(self) -> None:
        """Stop to read."""

    def resume_arrival(self) -> None:
        """Read again."""

    def refuse_arrival(self, reason: Reason) -> None:
        """Refuse the request, drop what was kept of it and call ``BufferBudget.arrived``."""


class _Progress:
    """How far one request has arrived."""

    def __init__(self, now_s: float) -> None:
        self.size = 0
        self.marked_bytes = 0
        self.marked_at_s = now_s
        self.waits_since_s: float | None = None

    def is_stalled(self, now_s: float) -> bool:
        """Whether the caller, and not this process, is why the request does not arrive."""
        return self.waits_since_s is None and now_s - self.marked_at_s > STALL_S

    def cost(self, now_s: float) -> float:
        """Return the bytes held times the seconds without progress."""
        return self.size * (now_s - self.marked_at_s)


class BufferBudget:
    """Counts what is held; one for each process.

    >>> given_up = []
    >>> budget = BufferBudget(limit_bytes=100)
    >>> small, large = object(), object()
    >>> budget.set(small, 30, lambda: given_up.append("small"))
    >>> budget.set(large, 80, lambda: given_up.append("large"))
    >>> given_up, budget.total_bytes
    (['large'], 30)
    """

    def __init__(self, limit_bytes: int = DEFAULT_BUFFER_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self.by_kind: Counter[Kind] = Counter()
        self.given_up = 0
        self.closed: Counter[str] = Counter()
        """Connections closed, and requests refused, by reason."""
        self._reported: Counter[str] = Counter()
        self._sizes: dict[object, int] = {}
        self._give_up: dict[object, Callable[[], None]] = {}
        self._held: dict[tuple[object, Kind], int] = {}
        # In the order in which the requests began.
        self._arrivals: dict[Arrival, _Progress] = {}
        self._waiting: dict[Arrival, None] = {}
        self._first: Arrival | None = None

    def _count(self, kind: Kind, change: int) -> None:
        self.by_kind[kind] += change
        self.total_bytes += change

    def set(self, owner: object, size: int, give_up: Callable[[], None]) -> None:
        """Set how much of a response an owner buffers; ``give_up`` must drop all of it."""
        self._count(Kind.RESPONSE, size - self._sizes.get(owner, 0))
        self._sizes[owner] = size
        self._give_up[owner] = give_up
        while self.total_bytes > self.limit_bytes and self._arrivals:
            self._refuse(max(self._arrivals, key=self._size_of), Reason.CROWDED_OUT)
        while self.total_bytes > self.limit_bytes and self._sizes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            drop = self._give_up[largest]
            self.release(largest)
            self.given_up += 1
            drop()

    def release(self, owner: object) -> None:
        """Forget an owner, which buffers nothing of a response any more."""
        self._give_up.pop(owner, None)
        self._count(Kind.RESPONSE, -self._sizes.pop(owner, 0))

    def unreported(self) -> list[tuple[str, int]]:
        """Return the closed connections and refused requests since the last call, by reason."""
        new = [(why, count - self._reported[why]) for why, count in self.closed.items()]
        self._reported = self.closed.copy()
        return [(why, count) for why, count in new if count]

    def hold(self, owner: object, kind: Kind, size: int) -> None:
        """Set how much an owner holds that can't be given up."""
        held = self._held.pop((owner, kind), 0)
        if size:
            self._held[owner, kind] = size
        self._count(kind, size - held)

    @property
    def is_full(self) -> bool:
        """Whether nothing more should be kept."""
        return self.total_bytes > self.limit_bytes

    def slice_bytes(self) -> int:
        """Return how much to read from a connection in its turn."""
        room = self.limit_bytes - self.total_bytes
        return max(MIN_SLICE_BYTES, min(MAX_SLICE_BYTES, room // SLICES))

    def head_slice_bytes(self) -> int:
        """Return how much to read of a head from a connection in its turn."""
        if self.is_full:
            return FULL_HEAD_SLICE_BYTES
        return min(HEAD_SLICE_BYTES, self.slice_bytes())

    def arrive(self, caller: Arrival, size: int, now_s: float) -> None:
        """Set how much is kept of a caller's request; the caller may have to wait from now on."""
        progress = self._arrivals.get(caller)
        if progress is None:
            progress = self._arrivals[caller] = _Progress(now_s)
        self._count(Kind.ARRIVING, size - progress.size)
        progress.size = size
        if size - progress.marked_bytes >= PROGRESS_BYTES or size < progress.marked_bytes:
            progress.marked_bytes, progress.marked_at_s = size, now_s
        if progress.waits_since_s is None and self._must_wait(caller, progress):
            progress.waits_since_s = now_s
            self._waiting[caller] = None
            caller.pause_arrival()

    def arrived(self, caller: Arrival) -> None:
        """Forget a request, which is complete, refused or gone."""
        progress = self._arrivals.pop(caller, None)
        if progress is None:
            return
        self._count(Kind.ARRIVING, -progress.size)
        self._waiting.pop(caller, None)
        if caller is self._first:
            self._first = None
        if progress.waits_since_s is not None:
            caller.resume_arrival()

    def _size_of(self, caller: Arrival) -> int:
        return self._arrivals[caller].size

    def _must_wait(self, caller: Arrival, progress: _Progress) -> bool:
        arriving = self.by_kind[Kind.ARRIVING]
        half = self.limit_bytes * ARRIVING_FRACTION
        if caller is self._first or len(self._arrivals) == 1:
            # It goes on beyond the limit, unless running requests hold the memory.
            return self.is_full and self.total_bytes - arriving > half
        return self.is_full or (arriving > half and progress.size > SMALL_BYTES)

    @property
    def waiting(self) -> int:
        """The number of callers that wait for room."""
        return len(self._waiting)

    def relieve(self, now_s: float) -> None:
        """Let callers go on for which there is room, and refuse requests to make room."""
        if not self._waiting:
            return
        self._resume(now_s)
        for stalled in self._stalled(now_s):
            if not self._waiting:
                break
            self._refuse(stalled, Reason.STALLED)
            self._resume(now_s)
        for caller in list(self._waiting):
            progress = self._arrivals.get(caller)
            since_s = None if progress is None else progress.waits_since_s
            if since_s is not None and now_s - since_s > WAIT_S:
                self._refuse(caller, Reason.WAITED)

    def _resume(self, now_s: float) -> None:
        if self._first is None or self._arrivals[self._first].is_stalled(now_s):
            self._first = next(
                (one for one, progress in self._arrivals.items() if not progress.is_stalled(now_s)),
                None,
            )
        # Each caller that goes on may read a slice before it is stopped again.
        reads = max(1, int(self.limit_bytes * ARRIVING_FRACTION) - self.by_kind[Kind.ARRIVING])
        may_read = 1 + reads // MAX_SLICE_BYTES
        # While everything is used up, only the first can go on.
        candidates = [self._first] if self.is_full else list(self._waiting)
        for caller in candidates:
            if caller is None or caller not in self._waiting:
                continue
            if not may_read:
                break
            progress = self._arrivals[caller]
            if not self._must_wait(caller, progress):
                may_read -= 1
                del self._waiting[caller]
                progress.waits_since_s = None
                progress.marked_at_s = now_s
                caller.resume_arrival()

    def refuse_stalled(self, now_s: float) -> None:
        """Refuse stalled requests for the sake of their connections."""
        for stalled in self._stalled(now_s):
            self._refuse(stalled, Reason.STALLED)

    def _stalled(self, now_s: float) -> list[Arrival]:
        """Return the stalled requests that have held most bytes for the longest time."""
        stalled = [one for one, progress in self._arrivals.items() if progress.is_stalled(now_s)]
        return heapq.nlargest(
            REFUSED_AT_ONCE, stalled, key=lambda one: self._arrivals[one].cost(now_s)
        )

    def _refuse(self, caller: Arrival, reason: Reason) -> None:
        self.closed[reason] += 1
        caller.refuse_arrival(reason)
        self.arrived(caller)
