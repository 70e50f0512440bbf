"""Starts targets again that a prompt has crashed, some seconds later."""

import threading
from collections.abc import Callable, Iterable
from typing import Final

from standins.platform_runner import CRASHED
from standins.processes import Processes

DOWN_S: Final = 2.5
POLL_S: Final = 0.05


class Restarts:
    """Restarts the crashed ones among some targets until it is closed."""

    def __init__(
        self, processes: Processes, names: Iterable[str], start: Callable[[str], object]
    ) -> None:
        self._processes = processes
        self._names = tuple(names)
        self._start = start
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to watch the targets."""
        self._thread.start()

    def close(self) -> None:
        """Stop watching; targets that are down stay down."""
        self._closed.set()
        self._thread.join()

    def _run(self) -> None:
        down_s: dict[str, float] = {}
        while not self._closed.wait(POLL_S):
            for name in self._names:
                if self._processes.running[name].process.poll() != CRASHED:
                    down_s.pop(name, None)
                    continue
                down_s[name] = down_s.get(name, 0.0) + POLL_S
                if down_s[name] >= DOWN_S:
                    self._start(name)
