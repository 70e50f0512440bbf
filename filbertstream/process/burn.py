"""Error-budget burn rate: how fast each workspace uses up the misses that its objective allows.

At a burn rate of 1, misses occur exactly at the rate that the objective allows; at 10, the error
budget of a month is used up in three days.  Each entry keeps counts per minute and a histogram of
times to first token for each workspace; ``cli`` merges them over the entries.
"""

from collections import deque
from typing import Final, NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

SLOT_S: Final = 60.0
WINDOWS_S: Final[dict[str, float]] = {"5m": 300.0, "1h": 3_600.0, "6h": 21_600.0}
SLOTS_KEPT: Final = int(max(WINDOWS_S.values()) / SLOT_S)
LOWEST_US: Final = 1
HIGHEST_US: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 2
MICROSECONDS: Final = 1e6


class _Slot(NamedTuple):
    number: int
    total: int
    missed: int


class WindowCount(TypedDict):
    """Requests of one window, and those that missed the objective."""

    total: int
    missed: int


class WorkspaceBurn(TypedDict):
    """One entry's report for a workspace; ``histogram`` is in the encoding of HdrHistogram."""

    within: float
    windows: dict[str, WindowCount]
    histogram: str


class BurnRow(NamedTuple):
    """One line of the merged report; ``burn`` is the burn rate by window."""

    workspace: str
    requests: int
    missed: int
    p50_s: float
    p95_s: float
    burn: dict[str, float]


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


class _Record:
    def __init__(self, within: float) -> None:
        self.within = within
        self.slots: deque[_Slot] = deque(maxlen=SLOTS_KEPT)
        self.histogram = new_histogram()


class Burn:
    """Counts and histograms of one entry, by workspace."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def note(
        self, workspace: str, within: float, now_s: float, missed: bool, first_token_s: float | None
    ) -> None:
        """Count one request; ``first_token_s`` is None if no token arrived."""
        record = self._records.get(workspace)
        if record is None:
            record = self._records[workspace] = _Record(within)
        record.within = within
        number = int(now_s // SLOT_S)
        if record.slots and record.slots[-1].number == number:
            slot = record.slots.pop()
        else:
            slot = _Slot(number, 0, 0)
        record.slots.append(_Slot(number, slot.total + 1, slot.missed + missed))
        if first_token_s is not None:
            record.histogram.record_value(max(LOWEST_US, int(first_token_s * MICROSECONDS)))

    def report(self, now_s: float) -> dict[str, WorkspaceBurn]:
        """Return this entry's counts, for merging."""
        return {
            workspace: WorkspaceBurn(
                within=record.within,
                windows={
                    name: _count(record.slots, now_s, span_s) for name, span_s in WINDOWS_S.items()
                },
                histogram=record.histogram.encode().decode(),
            )
            for workspace, record in self._records.items()
        }


def _count(slots: deque[_Slot], now_s: float, span_s: float) -> WindowCount:
    first = int((now_s - span_s) // SLOT_S) + 1
    inside = [slot for slot in slots if slot.number >= first]
    return WindowCount(
        total=sum(slot.total for slot in inside), missed=sum(slot.missed for slot in inside)
    )


def merge(reports: list[dict[str, WorkspaceBurn]]) -> list[BurnRow]:
    """Return the fleet's report, merged from the reports of the entries."""
    workspaces = sorted({name for report in reports for name in report})
    return [
        _merge_one(name, [report[name] for report in reports if name in report])
        for name in workspaces
    ]


def _merge_one(workspace: str, parts: list[WorkspaceBurn]) -> BurnRow:
    histogram = new_histogram()
    for part in parts:
        histogram.decode_and_add(part["histogram"])
    allowed = max(1e-6, 1.0 - parts[0]["within"])
    burn = {}
    for window in WINDOWS_S:
        total = sum(part["windows"][window]["total"] for part in parts)
        missed = sum(part["windows"][window]["missed"] for part in parts)
        burn[window] = round(missed / total / allowed, 3) if total else 0.0
    longest = max(WINDOWS_S, key=lambda window: WINDOWS_S[window])
    return BurnRow(
        workspace,
        sum(part["windows"][longest]["total"] for part in parts),
        sum(part["windows"][longest]["missed"] for part in parts),
        histogram.get_value_at_percentile(50) / MICROSECONDS,
        histogram.get_value_at_percentile(95) / MICROSECONDS,
        burn,
    )
