"""Works docs/CAPACITY.md out from the measured slopes, so that page and slopes can't drift apart.

    python -m bench.capacity [--write docs/CAPACITY.md]

The target sizes are those of the users' first letter.  Assumptions that were not measured are named
as such on the page.
"""

import argparse
import json
import sys
from pathlib import Path
from typing import Any, Final, NamedTuple

from filbertstream.connection.watched_kinds import (
    ENTRIES_RELAY_WATCH,
    LEASES_RELAY_WATCH,
    RELAY_REVOKE_FRACTION,
    RELAY_TARGETS_FRACTION,
    RELAY_WEIGHTS_FRACTION,
)
from filbertstream.process.relays import MEMBERS_PER_RELAY, POLL_INTERVAL_S
from filbertstream.process.work_exchange import MAX_ROWS, RELAYED_SEND_INTERVAL_S

ROOT: Final = Path(__file__).resolve().parent.parent
SLOPES: Final = ROOT / "docs" / "slopes.json"
STREAMS: Final = ROOT / "docs" / "streams.json"

NODES: Final = 1_300
RUNNERS: Final = 7_400
REQUESTS_PER_S: Final = 51_000
TOKENS_PER_S: Final = 15_000_000
WORKSPACES: Final = 35_000
CENTERS: Final = 10
CHANGES_PER_DAY: Final = 39_000
CONTROL_CORE_SHARE: Final = 0.013
CONTROL_BYTES: Final = 64e6
CONTROL_BYTES_PER_S: Final = 2_000
PLATFORM_READS_PER_S: Final = 2_000
PLATFORM_WRITES_PER_S: Final = 300
OBJECT_BYTES: Final = 1e6
DAY_S: Final = 86_400

KEY_SHARE: Final = 0.01
"""Assumed share of requests with an idempotency key."""

KEY_WRITES: Final = 2
BEAT_S: Final = 1.2
CHANGED_SHARE: Final = 1.0
"""Assumed share of refreshed registrations that change; the store passes on no others."""

OWN_ROWS: Final = 100
REVOKE_S: Final = 5.0
DRAIN_S: Final = 2.0
VERSION_S: Final = 8.0
"""The bounds of today's deployments for removed keys, drains and old weights."""

RELAY_WAITS_S: Final = (
    RELAY_REVOKE_FRACTION * REVOKE_S,
    LEASES_RELAY_WATCH.wait_s,
    RELAY_WEIGHTS_FRACTION * VERSION_S,
    RELAY_TARGETS_FRACTION * DRAIN_S,
    ENTRIES_RELAY_WATCH.pause_s,
)
"""Least time between two calls of each of a relay's watches."""

MEGABYTE: Final = 1e6


class Line(NamedTuple):
    """One number of the page: what, how much, the bound, and what carries it."""

    what: str
    value: float
    unit: str
    bound: float | None
    slope: str
    mechanism: str


def read(path: Path) -> dict[str, Any]:
    """Return a file of measured values."""
    found: dict[str, Any] = json.loads(path.read_text())
    return found


def at(slopes: dict[str, Any], name: str, size: int) -> float:
    """Return a slope's value at a size it was measured at."""
    slope = slopes[name]
    return float(slope["values"][slope["sizes"].index(size)])


def control_lines(slopes: dict[str, Any]) -> list[Line]:
    """Return what a node spends on control."""
    runners = RUNNERS // CENTERS
    changes_per_s = CHANGES_PER_DAY / DAY_S
    messages_per_s = 1.0 / RELAYED_SEND_INTERVAL_S
    work_us = messages_per_s * at(slopes, "fleet_in", MAX_ROWS)
    refresh_us = RUNNERS / BEAT_S * CHANGED_SHARE * at(slopes, "refresh", runners)
    change_us = changes_per_s * at(slopes, "change", WORKSPACES)
    told = messages_per_s * at(slopes, "work_size", OWN_ROWS)
    heard = messages_per_s * at(slopes, "fleet_size", MAX_ROWS)
    size = at(slopes, "documents", WORKSPACES)
    memory = at(slopes, "configuration", WORKSPACES) + at(slopes, "roster", 2_000) * RUNNERS / 2_000
    return [
        Line(
            "processor: work told by others", work_us / 1e6, "of a core", CONTROL_CORE_SHARE,
            f"fleet_in at {MAX_ROWS} rows", "one message from a relay, five times a second",
        ),
        Line(
            "processor: registrations", refresh_us / 1e6, "of a core", CONTROL_CORE_SHARE,
            "refresh", "every entry takes every change in, from a relay",
        ),
        Line(
            "processor: changes", change_us / 1e6, "of a core", CONTROL_CORE_SHARE, "change",
            "all documents are compiled anew for each change",
        ),
        Line(
            "work told to a relay", told, "bytes a second", CONTROL_BYTES_PER_S,
            f"work_size at {OWN_ROWS} rows", "only targets with own work are named",
        ),
        Line(
            "work told by a relay", heard, "bytes a second", CONTROL_BYTES_PER_S,
            f"fleet_size at {MAX_ROWS} rows", "the targets with the most work",
        ),
        Line(
            "documents in", changes_per_s * size, "bytes a second", CONTROL_BYTES_PER_S,
            "documents", "one object holds all documents",
        ),
        Line(
            "memory: configuration and all runners", memory / MEGABYTE, "MB",
            CONTROL_BYTES / MEGABYTE, "configuration, roster", "every entry holds all of both",
        ),
    ]  # fmt: skip


def request_lines(slopes: dict[str, Any], streams: dict[str, Any]) -> list[Line]:
    """Return what a node spends on requests."""
    requests = REQUESTS_PER_S / NODES
    tokens = TOKENS_PER_S / NODES
    decision = at(slopes, "decision", RUNNERS // CENTERS)
    claims = requests * KEY_SHARE
    return [
        Line("requests", requests, "a second", None, "51,000 / 1,300", "platform's balancer"),
        Line(
            "decisions", requests * decision / 1e6, "of a core", None,
            "decision at 740 runners", "a few runners are compared, all are filtered",
        ),
        Line(
            "claims of keys", claims * at(slopes, "claim", 200) / 1e6, "of a core", None, "claim",
            "1 in 100 requests assumed to have a key",
        ),
        Line(
            "streams", tokens * streams["cpu_ms_per_token"] / 1e3, "of a core", None,
            "cpu_ms_per_token of bench.streams", "one event loop a process",
        ),
    ]  # fmt: skip


def relays_reads_per_s() -> float:
    """Return the watch calls of all relays at most; other entries make none."""
    return NODES / MEMBERS_PER_RELAY * sum(1.0 / wait_s for wait_s in RELAY_WAITS_S)


def platform_lines(slopes: dict[str, Any]) -> list[Line]:
    """Return the calls on the platform's store, for the whole fleet."""
    keys_per_s = REQUESTS_PER_S * KEY_SHARE
    return [
        Line(
            "reads: watches", relays_reads_per_s(), "a second", PLATFORM_READS_PER_S,
            "waits and pauses of five watches", "one entry in 32 reads, the others ask it",
        ),
        Line(
            "questions to a relay", MEMBERS_PER_RELAY / POLL_INTERVAL_S, "a second", None,
            "the interval of questions", "answered with what is new and its age",
        ),
        Line(
            "writes: keys", keys_per_s * KEY_WRITES, "a second", PLATFORM_WRITES_PER_S,
            "two writes a key", "one object a key",
        ),
        Line(
            "writes: registrations of targets", RUNNERS / BEAT_S, "a second", None,
            "the targets' own", "not this system's",
        ),
        Line(
            "size of the documents", at(slopes, "documents", WORKSPACES), "bytes", OBJECT_BYTES,
            "documents", "one object holds all documents",
        ),
        Line(
            "size of a key with a whole answer", at(slopes, "key", 64_000), "bytes", OBJECT_BYTES,
            "key", "longer answers are not kept",
        ),
    ]  # fmt: skip


def rows(lines: list[Line]) -> list[str]:
    """Return a table."""
    found = ["| what | value | bound | from | carried by |", "|---|---|---|---|---|"]
    for line in lines:
        bound = "" if line.bound is None else f"{line.bound:g} {line.unit}"
        over = " **over**" if line.bound is not None and line.value > line.bound else ""
        found.append(
            f"| {line.what} | {line.value:.3g} {line.unit}{over} | {bound} | {line.slope} "
            f"| {line.mechanism} |"
        )
    return found


PREFACE: Final = """\
# Capacity at the target size

Made by `python -m bench.capacity --write docs/CAPACITY.md` from `docs/slopes.json`
(`python -m bench.slopes --write docs/slopes.json`) and `docs/streams.json` (`python -m
bench.streams`); a test fails when page and slopes differ. Every figure is worked out, not
measured, at the size of the users' letter: 1,300 nodes, 7,400 runners, 51,000 requests and 15
million tokens a second, 35,000 workspaces, 39,000 changes a day, 10 data centers. All nodes have
one role, *entry*: duties move between them.

Assumed and not measured: 1 in 100 requests has an idempotency key, an entry has work at 100 targets
at once, targets refresh their registration every 1.2 s.
"""

HOLES: Final = """\
## Where today's design would not hold, and the change

The design carries the fleets of today (6 to 81 entries were played). At the target size:

- **Registrations and work told by a relay** take bytes and a processor share that grow with the
  runners. Change: an entry is told of the runners of its own data center; others are summed up.
- **Decisions** compare a few runners, but still filter all of a service first (healthy, not tried,
  not swapped). Change: keep these sets up to date as their inputs change.
- **Relays** tell each other their sums: 41 relays at 1,300 entries. Change: one level more.
- **Documents** are one object: over a megabyte at 35,000 workspaces, and compiled anew for each
  change. Change: an object for each group of workspaces, compiled by group.
- **Keys** cost two writes each. Change: keys that fall on the same shard within a moment share a
  write. Objects of keys are never removed today: kept answers need an end of their life.
"""


def page() -> str:
    """Return the page."""
    slopes, streams = read(SLOPES), read(STREAMS)
    parts = [
        PREFACE,
        "## Control, for each node\n",
        *rows(control_lines(slopes)),
        "\n## Requests, for each node\n",
        *rows(request_lines(slopes, streams)),
        "\n## Calls on the platform, for the whole fleet\n",
        *rows(platform_lines(slopes)),
        "\n## The slopes\n",
        "| slope | by | unit | values |",
        "|---|---|---|---|",
    ]
    for name, slope in slopes.items():
        pairs = zip(slope["sizes"], slope["values"], strict=True)
        values = ", ".join(f"{size:,}: {value:,.6g}" for size, value in pairs)
        parts.append(f"| {name} | {slope['by']} | {slope['unit']} | {values} |")
    return "\n".join([*parts, "", HOLES])


def main() -> int:
    """Print or write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", type=Path)
    options = parser.parse_args()
    if options.write is None:
        print(page())
    else:
        options.write.write_text(page())
    return 0


if __name__ == "__main__":
    sys.exit(main())
