"""Explains a request from log files: its own lines and the state observed by its entry.

Lines of several entries may be mixed, and each may have a prefix before its JSON, as log collectors
add one.  For every entry that logged the request, the last line of each kind of state event before
the request's end is shown: configuration, readiness, object store, evacuations, and the request's
targets.  For a request that found no target, it is shown how many targets each of the reasons in
``request.eligibility`` excluded.  For a request that was refused for a quarantined block, the
decision on the block and the crashes behind it are shown, as each entry saw them.  Where requests
are placed by their work, its estimate is compared with what it was.
"""

from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final

import msgspec

from filbertstream.log_events import DESCRIPTIONS, LogEvent

STATE_EVENTS: Final = frozenset(
    {
        LogEvent.ENTRY_STARTED,
        LogEvent.ENTRY_FRESH,
        LogEvent.ENTRY_STALE,
        LogEvent.DRAIN_BEGAN,
        LogEvent.REVISION_IN_FORCE,
        LogEvent.PLATFORM_LOST,
        LogEvent.PLATFORM_BACK,
        LogEvent.WEIGHTS_NAMED,
        LogEvent.LEASE_TAKEN,
        LogEvent.LEASE_LOST,
    }
)
"""Events that change the state observed by an entry, independent of requests."""

TARGET_EVENTS: Final = frozenset(
    {
        LogEvent.TARGET_JOINED,
        LogEvent.TARGET_LEAVING,
        LogEvent.TARGET_EJECTED,
        LogEvent.SWAP_ORDERED,
        LogEvent.SWAP_VERIFIED,
    }
)
"""Events about one target, shown if the request was sent to that target."""

QUARANTINE_EVENTS: Final = frozenset(
    {LogEvent.BLOCK_QUARANTINED, LogEvent.QUARANTINE_NARROWED, LogEvent.BLOCK_RELEASED}
)
"""Decisions on a block, which most entries log."""

EVACUATION_EVENTS: Final = frozenset({LogEvent.EVACUATION_BEGAN, LogEvent.EVACUATION_ENDED})
"""The beginning and the end of the evacuation of a data center."""

Line = dict[str, Any]

COMMON_FIELDS: Final = frozenset({"number", "event", "time", "entry", "level", "request_id"})


def read_lines(files: Iterable[Path]) -> list[Line]:
    """Return the log lines of files in the order of their times; other text is ignored."""
    found: list[Line] = []
    for file in files:
        for text in file.read_text(errors="replace").splitlines():
            start = text.find("{")
            if start < 0:
                continue
            try:
                line = msgspec.json.decode(text[start:])
            except msgspec.DecodeError:
                continue
            if isinstance(line, dict) and "number" in line and "time" in line:
                found.append(line)
    return sorted(found, key=lambda line: str(line["time"]))


def explain_lines(lines: list[Line], request_id: str) -> list[str]:
    """Return the lines that explain a request, or none if no line mentions it."""
    request_lines = [line for line in lines if line.get("request_id") == request_id]
    if not request_lines:
        return []
    output = []
    for entry in dict.fromkeys(str(line.get("entry")) for line in request_lines):
        entry_lines = [line for line in request_lines if str(line.get("entry")) == entry]
        targets = {str(line["target"]) for line in entry_lines if "target" in line}
        output.append(f"entry {entry}")
        output += [
            f"  before  {_text(line)}" for line in _state_lines(lines, entry, targets, entry_lines)
        ]
        for line in entry_lines:
            output.append(f"  request {_text(line)}")
            output += [f"  because {text}" for text in _excluded_texts(line)]
        output += _work_lines(entry_lines)
    for block in dict.fromkeys(line["block"] for line in request_lines if "block" in line):
        output.append(f"block {block}")
        output += [
            f"  {line.get('entry')} {_text(line)}" for line in _quarantine_lines(lines, block)
        ]
    return output


def _excluded_texts(line: Line) -> list[str]:
    """Return for each reason how many targets it excluded from a request without a target."""
    if "excluded" not in line:
        return []
    counts = [text.partition("=") for text in str(line["excluded"]).split(",") if text]
    return [
        f"{count} of {line.get('targets')} targets: {reason.replace('_', ' ')}"
        for reason, _, count in counts
    ]


def _work_lines(entry_lines: list[Line]) -> list[str]:
    """Return how far the work of a request was from its estimate, and who was the runner-up."""
    output = []
    for line in entry_lines:
        expected, actual = line.get("expected_work"), line.get("actual_work")
        if not isinstance(expected, int | float) or not isinstance(actual, int | float):
            continue
        ratio = f"{actual / expected:.2f}" if expected else "?"
        placed = [item for item in entry_lines if "runner_up" in item]
        choice = f"; {placed[-1].get('target')} before {placed[-1]['runner_up']}" if placed else ""
        output.append(f"  work    expected {expected}, was {actual}, ratio {ratio}{choice}")
    return output


def _quarantine_lines(lines: list[Line], block: str) -> list[Line]:
    """Return the decisions on a block, each once, and the crashes that they name."""
    decisions: dict[tuple[Any, Any], Line] = {}
    for line in lines:
        if line["number"] in QUARANTINE_EVENTS and line.get("block") == block:
            decisions.setdefault((line["number"], line.get("generation")), line)
    targets = {
        target for line in decisions.values() for target in str(line.get("crashes")).split(",")
    }
    crashes = [
        line
        for line in lines
        if line["number"] == LogEvent.TARGET_CRASHED and str(line.get("target")) in targets
    ]
    return [*decisions.values(), *crashes]


def _state_lines(
    lines: list[Line], entry: str, targets: set[str], request_lines: list[Line]
) -> list[Line]:
    """Return the last line of each kind of state event before the end of the request."""
    latest: dict[tuple[Any, ...], Line] = {}
    for line in lines:
        if line.get("entry") != entry or str(line["time"]) > str(request_lines[-1]["time"]):
            continue
        if line["number"] in STATE_EVENTS:
            latest[line["number"], line.get("kind")] = line
        elif line["number"] in EVACUATION_EVENTS:
            latest["evacuation", line.get("data_center")] = line
        elif line["number"] in TARGET_EVENTS and str(line.get("target")) in targets:
            latest[line["number"], line["target"]] = line
    return sorted(latest.values(), key=lambda line: str(line["time"]))


def _text(line: Line) -> str:
    fields = " ".join(f"{key}={value}" for key, value in line.items() if key not in COMMON_FIELDS)
    description = DESCRIPTIONS.get(line["number"], "")
    return f"{line['time']} {line['event']} {fields}  ({description})"
