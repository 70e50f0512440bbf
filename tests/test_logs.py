"""The thread that writes the log.

Failure guarded against: the log ends for good at the first line that can't be written.
"""

import io
import threading

from filbertstream.process.logs import BoundedStream

TIMEOUT_S = 10.0


class FullStream(io.StringIO):
    """A stream whose first write fails, as on a full disk."""

    def __init__(self) -> None:
        super().__init__()
        self.failed = threading.Event()

    def write(self, text: str) -> int:
        if not self.failed.is_set():
            self.failed.set()
            raise OSError(28, "No space left on device")
        return super().write(text)


def test_log_goes_on_after_a_write_that_failed() -> None:
    """The disk is full for a moment, and the thread that writes the log ends."""
    sink = FullStream()
    stream = BoundedStream(sink)
    stream.write("lost\n")
    stream.start()
    assert sink.failed.wait(TIMEOUT_S)
    stream.write("written\n")
    stream.close()
    assert sink.getvalue() == "written\n"
    assert stream.dropped == 1
