"""Tasks on the event loop that each talk to one other party, isolated from one another.

Data of another party may cause an exception that nothing expects.  It fails the call, probe or poll
with that party alone; ending the process would fail the calls of everybody else too.  Exceptions of
the core are different: ``GatewayIO.emit`` reports them before they reach a task.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from filbertstream.actions import Log
from filbertstream.log_events import LogEvent
from filbertstream.process.counters import Counters


def _do_nothing() -> None:
    """The core needs no event for the failure of a task."""


class IsolatedTasks:
    """Runs tasks, and logs and counts their exceptions.

    ``tasks.start(poll(holder), "cache_events", on_error)`` runs ``poll(holder)``; if that raises,
    ``on_error`` tells the core that the poll failed, so that the core doesn't wait for it.
    """

    def __init__(self, counters: Counters, write_log: Callable[[Log], None]) -> None:
        self._counters = counters
        self._write_log = write_log
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self,
        work: Coroutine[Any, Any, None],
        kind: str,
        on_error: Callable[[], None] = _do_nothing,
    ) -> None:
        """Run a task of a kind, which is the label of its errors."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._on_done(done, kind, on_error))

    def _on_done(self, task: asyncio.Task[None], kind: str, on_error: Callable[[], None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or (exc := task.exception()) is None:
            return
        self._counters.add("task_errors", kind)
        self._write_log(Log(LogEvent.TASK_FAILED, (("kind", kind), ("error", repr(exc)))))
        on_error()
