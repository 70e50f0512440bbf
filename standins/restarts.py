"""Starts targets again that a prompt has crashed, some seconds later."""

import functools
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
        """Stop watching, start the targets that are down, and wait until all respond."""
        self._closed.set()
        if self._thread.ident is not None:
            self._thread.join()
        for name in self._names:
            if name in self._processes.running and self._is_down(name):
                self._start(name)
                self._processes.wait(
                    functools.partial(self._responds, name), what=f"{name} responds"
                )

    def _is_down(self, name: str) -> bool:
        return self._processes.running[name].process.poll() == CRASHED

    def _responds(self, name: str) -> bool:
        return self._processes.counts(name) is not None

    def _run(self) -> None:
        down_s: dict[str, float] = {}
        while not self._closed.wait(POLL_S):
            for name in self._names:
                if not self._is_down(name):
                    down_s.pop(name, None)
                    continue
                down_s[name] = down_s.get(name, 0.0) + POLL_S
                if down_s[name] >= DOWN_S:
                    self._start(name)
