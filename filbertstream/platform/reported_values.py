"""Decodes the values by which targets report their state in the headers of responses.

Malformed values count as absent.
"""

import math
import re
from typing import Final

from filbertstream.request.call import UNLIMITED, RequestRate, TargetLoad, TargetNotice
from filbertstream.statuses import UNAVAILABLE

MS: Final = 1000.0

DECIMAL: Final = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)

MAX_VERSION_DIGITS: Final = 15
"""Versions of weights with more digits don't fit into a message."""

LOAD_COUNTS: Final = 3
"""Figures of ``Server-Load`` that are counts; on some deployments the slowness follows."""

PERCENT: Final = 100.0

MAX_COUNT: Final = 2**31
"""Largest number of tokens or requests; sums over all calls of a fleet fit into a message."""


def decode_notice(status: int, retry_after: list[bytes], leaving: list[bytes]) -> TargetNotice:
    """Return what a response says of its target, from the values of its headers.

    Only a 503 names a pause.  Dates and other malformed values are ignored; of several pauses the
    longest counts.

    >>> decode_notice(503, [b"2.5"], [])
    TargetNotice(pause_s=2.5, leaving=False)
    >>> decode_notice(503, [b"Sat, 05 Dec 2026 21:00:00 GMT"], [b"1"])
    TargetNotice(pause_s=None, leaving=True)
    """
    found = [seconds(value) for value in retry_after] if status == UNAVAILABLE else []
    pauses = [pause_s for pause_s in found if pause_s is not None]
    leaves = any(value.strip() == b"1" for value in leaving)
    return TargetNotice(max(pauses, default=None), leaves)


def decode_request_rate(values: list[bytes]) -> RequestRate:
    """Return the rate that a response names in all its headers of that name.

    >>> decode_request_rate([b"2.5"])
    RequestRate(per_s=2.5, malformed=False)
    >>> decode_request_rate([b"2", b"2"]).malformed
    True
    """
    if not values:
        return UNLIMITED
    text = values[0].decode("latin-1").strip()
    rate = float(text) if len(values) == 1 and DECIMAL.fullmatch(text) else math.inf
    return RequestRate(rate) if math.isfinite(rate) else RequestRate(None, malformed=True)


def decode_cold_left(values: list[bytes]) -> float | None:
    """Return how long a target says that it stays cold, in seconds; the longest of several values.

    >>> decode_cold_left([b"1500"])
    1.5
    >>> decode_cold_left([b"-1"]) is None
    True
    """
    found = [seconds(value) for value in values]
    named = [milliseconds / MS for milliseconds in found if milliseconds is not None]
    return max(named, default=None)


def decode_load(value: bytes | None) -> TargetLoad | None:
    """Return the load in a value of three figures, or of four with the slowness in percent.

    A malformed fourth figure is ignored, and so are any after it.

    >>> decode_load(b"5,2,16")
    TargetLoad(running=5, waiting=2, slots=16, slowness=1.0, reports_slowness=False)
    >>> decode_load(b"5,2,16,250")
    TargetLoad(running=5, waiting=2, slots=16, slowness=2.5, reports_slowness=True)
    """
    if value is None:
        return None
    items = value.split(b",")
    try:
        running, waiting, slots = (int(item) for item in items[:LOAD_COUNTS])
    except ValueError:
        return None
    if not all(0 <= item <= MAX_COUNT for item in (running, waiting, slots)):
        return None
    percent = items[LOAD_COUNTS].decode("latin-1").strip() if len(items) > LOAD_COUNTS else ""
    slowness = float(percent) / PERCENT if DECIMAL.fullmatch(percent) else 0.0
    if slowness <= 0.0 or not math.isfinite(slowness):
        return TargetLoad(running, waiting, slots)
    return TargetLoad(running, waiting, slots, slowness, True)


def whole_number(value: bytes | None) -> int | None:
    """Return a version or a count, None for anything else."""
    text = b"" if value is None else value.strip()
    return int(text) if text.isdigit() and len(text) <= MAX_VERSION_DIGITS else None


def seconds(value: bytes | None) -> float | None:
    """Return a decimal number of seconds, None for anything else."""
    text = "" if value is None else value.decode("latin-1").strip()
    found = float(text) if DECIMAL.fullmatch(text) else math.inf
    return found if math.isfinite(found) else None
