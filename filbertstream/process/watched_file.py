"""A settings file that another program writes, perhaps at this moment.

Faults handled: the file is missing, empty or cut off while it is written, and no signal follows
once it is complete.
"""

import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final, TypeVar

from result import Ok, Result

from filbertstream.checks import Mistake

T = TypeVar("T")

WRITE_WAIT_S: Final = 1.5
"""A file that is still wrong after this time is not being written."""

RETRY_S: Final = 0.05


class WatchedFile:
    """A file and the state of it that was read last."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._stamp = (0, 0)

    @property
    def changed(self) -> bool:
        """Whether the file may have changed since it was read."""
        return self._stamp_now() != self._stamp

    def read(self, read: Callable[[Path], Result[T, list[Mistake]]]) -> Result[T, list[Mistake]]:
        """Return what the file contains now, or its errors."""
        # Taken first, so that a change during the read is noticed later.
        self._stamp = self._stamp_now()
        return read(self._path)

    def read_complete(
        self, read: Callable[[Path], Result[T, list[Mistake]]]
    ) -> Result[T, list[Mistake]]:
        """Read until the file is valid; return its errors if it stays wrong for a short time."""
        ends_at_s = time.monotonic() + WRITE_WAIT_S
        while True:
            result = self.read(read)
            if isinstance(result, Ok) or time.monotonic() >= ends_at_s:
                return result
            time.sleep(RETRY_S)

    def _stamp_now(self) -> tuple[int, int]:
        try:
            stat = os.stat(self._path)
        except OSError:
            return (0, 0)
        return (stat.st_mtime_ns, stat.st_size)
