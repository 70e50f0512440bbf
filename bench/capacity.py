"""Generates docs/CAPACITY.md from the measured slopes, so that page and slopes stay consistent.

    python -m bench.capacity [--write docs/CAPACITY.md]

The target sizes are those of the users' first letter.  Assumptions that were not measured are
marked as such on the page.
"""

import argparse
import json
import sys
from pathlib import Path
from typing import Any, Final, NamedTuple

from filbertstream.connection.watched_kinds import (
    ENTRIES_RELAY_WATCH,
    LEASES_RELAY_WATCH,
    QUARANTINE_RELAY_WATCH,
    RELAY_REVOKE_FRACTION,
    RELAY_TARGETS_FRACTION,
    RELAY_WEIGHTS_FRACTION,
)
from filbertstream.fleet.crash_evidence import MAX_CRASHES
from filbertstream.fleet.crash_facts import MAX_BEGUN_ROWS, MAX_CRASH_ROWS
from filbertstream.fleet.facts import REPEAT_INTERVAL_S
from filbertstream.fleet.quarantine import MAX_ROWS as MAX_QUARANTINE_ROWS
from filbertstream.gateway_process import TICK_S
from filbertstream.process.relays import MEMBERS_PER_RELAY, POLL_INTERVAL_S
from filbertstream.process.request_rates import MAX_ROWS as MAX_RATE_ROWS
from filbertstream.process.work_exchange import MAX_ROWS, RATES_INTERVAL_S, RELAYED_SEND_INTERVAL_S
from filbertstream.request.key_journal import MAX_ROWS as MAX_KEY_ROWS

ROOT: Final = Path(__file__).resolve().parent.parent
SLOPES: Final = ROOT / "docs" / "slopes.json"
STREAMS: Final = ROOT / "docs" / "streams.json"

NODES: Final = 1_300
RUNNERS: Final = 7_400
REQUESTS_PER_S: Final = 51_000
TOKENS_PER_S: Final = 15_000_000
WORKSPACES: Final = 35_000
DATA_CENTERS: Final = 10
CHANGES_PER_DAY: Final = 39_000
CONTROL_CORE_FRACTION: Final = 0.013
CONTROL_BYTES: Final = 64e6
CONTROL_BYTES_PER_S: Final = 2_000
PLATFORM_READS_PER_S: Final = 2_000
PLATFORM_WRITES_PER_S: Final = 300
OBJECT_BYTES: Final = 1e6
DAY_S: Final = 86_400

KEY_FRACTION: Final = 0.01
"""Assumed fraction of requests with an idempotency key."""

KEY_WRITES: Final = 2
HEARTBEAT_S: Final = 1.2
CHANGED_FRACTION: Final = 1.0
"""Assumed fraction of renewed registrations that change; watches report no others."""

LOCAL_ROWS: Final = 100
REVOKE_S: Final = 5.0
DRAIN_S: Final = 2.0
VERSION_S: Final = 8.0
"""The bounds of current deployments for removed keys, drains and outdated weights."""

RELAY_WAITS_S: Final = (
    RELAY_REVOKE_FRACTION * REVOKE_S,
    LEASES_RELAY_WATCH.wait_s,
    RELAY_WEIGHTS_FRACTION * VERSION_S,
    RELAY_TARGETS_FRACTION * DRAIN_S,
    ENTRIES_RELAY_WATCH.pause_s,
    QUARANTINE_RELAY_WATCH.wait_s,
)
"""Minimum time between two calls of each of a relay's watches."""

BYTES_PER_MB: Final = 1e6


class Line(NamedTuple):
    """One figure of the page: what it is, its value, its bound, and the mechanism behind it."""

    what: str
    value: float
    unit: str
    bound: float | None
    slope: str
    mechanism: str


def read(path: Path) -> dict[str, Any]:
    """Return a file of measured values."""
    values: dict[str, Any] = json.loads(path.read_text())
    return values


def value_at(slopes: dict[str, Any], name: str, size: int) -> float:
    """Return a slope's value at one of its measured sizes."""
    slope = slopes[name]
    return float(slope["values"][slope["sizes"].index(size)])


def control_lines(slopes: dict[str, Any]) -> list[Line]:
    """Return the cost of control work for a node."""
    runners = RUNNERS // DATA_CENTERS
    changes_per_s = CHANGES_PER_DAY / DAY_S
    messages_per_s = 1.0 / RELAYED_SEND_INTERVAL_S
    work_us = messages_per_s * value_at(slopes, "fleet_in", MAX_ROWS)
    renewal_us = RUNNERS / HEARTBEAT_S * CHANGED_FRACTION * value_at(slopes, "refresh", runners)
    change_us = changes_per_s * value_at(slopes, "change", WORKSPACES)
    sent_bytes_per_s = messages_per_s * value_at(slopes, "work_size", LOCAL_ROWS)
    received_bytes_per_s = messages_per_s * value_at(slopes, "fleet_size", MAX_ROWS)
    size = value_at(slopes, "documents", WORKSPACES)
    memory = (
        value_at(slopes, "configuration", WORKSPACES)
        + value_at(slopes, "roster", 2_000) * RUNNERS / 2_000
    )
    return [
        Line(
            "processor: work reported by peers", work_us / 1e6, "of a core", CONTROL_CORE_FRACTION,
            f"fleet_in at {MAX_ROWS} rows", "one message from a relay, five times a second",
        ),
        Line(
            "processor: registrations", renewal_us / 1e6, "of a core", CONTROL_CORE_FRACTION,
            "refresh", "every entry receives every change, from a relay",
        ),
        Line(
            "processor: changes", change_us / 1e6, "of a core", CONTROL_CORE_FRACTION, "change",
            "all documents are recompiled for each change",
        ),
        Line(
            "work sent to a relay", sent_bytes_per_s, "bytes a second", CONTROL_BYTES_PER_S,
            f"work_size at {LOCAL_ROWS} rows", "only targets with local work are listed",
        ),
        Line(
            "work received from a relay", received_bytes_per_s, "bytes a second",
            CONTROL_BYTES_PER_S, f"fleet_size at {MAX_ROWS} rows", "the targets with the most work",
        ),
        Line(
            "limits of targets, in each direction",
            value_at(slopes, "rates_size", MAX_RATE_ROWS) / RATES_INTERVAL_S, "bytes a second",
            CONTROL_BYTES_PER_S, f"rates_size at {MAX_RATE_ROWS} rows",
            "in the messages about work, while targets limit their rate; the latest ones",
        ),
        Line(
            "crashes, in each direction",
            value_at(slopes, "crashes_size", MAX_CRASH_ROWS) / REPEAT_INTERVAL_S,
            "bytes a second", CONTROL_BYTES_PER_S, f"crashes_size at {MAX_CRASH_ROWS} rows",
            "in the messages about work, while crashes of the last two minutes are not explained",
        ),
        Line(
            "acquitted blocks, in each direction",
            value_at(slopes, "begun_size", MAX_BEGUN_ROWS) / REPEAT_INTERVAL_S,
            "bytes a second", CONTROL_BYTES_PER_S, f"begun_size at {MAX_BEGUN_ROWS} rows",
            "the same, for 15 s after an acquittal",
        ),
        Line(
            "quarantined blocks, in each direction",
            value_at(slopes, "quarantine_size", MAX_QUARANTINE_ROWS) / REPEAT_INTERVAL_S,
            "bytes a second", CONTROL_BYTES_PER_S,
            f"quarantine_size at {MAX_QUARANTINE_ROWS} rows",
            "in the messages about work; those that were of use last",
        ),
        Line(
            "recent keys, in each direction",
            value_at(slopes, "keys_size", MAX_KEY_ROWS) / RELAYED_SEND_INTERVAL_S,
            "bytes a second", CONTROL_BYTES_PER_S, f"keys_size at {MAX_KEY_ROWS} rows",
            "in the messages about work, while keys are claimed; the last ones, at most",
        ),
        Line(
            "processor: wait for the recovery of peers",
            value_at(slopes, "recovery", NODES) / 1e6 / TICK_S, "of a core",
            CONTROL_CORE_FRACTION, f"recovery at {NODES} entries",
            "each tick, for up to 8 s after a restore of the object store",
        ),
        Line(
            "processor: search for a verdict",
            value_at(slopes, "verdict", MAX_CRASHES) / 1e6 / TICK_S, "of a core",
            CONTROL_CORE_FRACTION, f"verdict at {MAX_CRASHES} crashes",
            "each tick, within 2 s after a change of the evidence",
        ),
        Line(
            "documents in", changes_per_s * size, "bytes a second", CONTROL_BYTES_PER_S,
            "documents", "one object holds all documents",
        ),
        Line(
            "memory: configuration and all runners", memory / BYTES_PER_MB, "MB",
            CONTROL_BYTES / BYTES_PER_MB, "configuration, roster", "every entry holds all of both",
        ),
    ]  # fmt: skip


def request_lines(slopes: dict[str, Any], streams: dict[str, Any]) -> list[Line]:
    """Return the cost of requests for a node."""
    requests = REQUESTS_PER_S / NODES
    tokens = TOKENS_PER_S / NODES
    decision = value_at(slopes, "decision", RUNNERS // DATA_CENTERS)
    claims = requests * KEY_FRACTION
    return [
        Line("requests", requests, "a second", None, "51,000 / 1,300", "platform's balancer"),
        Line(
            "decisions", requests * decision / 1e6, "of a core", None,
            "decision at 740 runners", "a few runners are compared, all are filtered",
        ),
        Line(
            "screening of prompts", requests * value_at(slopes, "screen", MAX_CRASHES) / 1e6,
            "of a core", None, f"screen at {MAX_CRASHES} quarantined blocks and as many crashes",
            "one lookup per block; nothing while no block is suspected or quarantined",
        ),
        Line(
            "claims of keys", claims * value_at(slopes, "claim", 200) / 1e6, "of a core", None,
            "claim", "1 in 100 requests assumed to have a key",
        ),
        Line(
            "streams", tokens * streams["cpu_ms_per_token"] / 1e3, "of a core", None,
            "cpu_ms_per_token of bench.streams", "one event loop per process",
        ),
    ]  # fmt: skip


def relays_reads_per_s() -> float:
    """Return the maximum rate of watch calls of all relays; other entries make none."""
    return NODES / MEMBERS_PER_RELAY * sum(1.0 / wait_s for wait_s in RELAY_WAITS_S)


def platform_lines(slopes: dict[str, Any]) -> list[Line]:
    """Return the object store calls of the whole fleet."""
    keys_per_s = REQUESTS_PER_S * KEY_FRACTION
    return [
        Line(
            "reads: watches", relays_reads_per_s(), "a second", PLATFORM_READS_PER_S,
            "waits and pauses of six watches", "one entry in 32 reads, the others poll it",
        ),
        Line(
            "polls of a relay", MEMBERS_PER_RELAY / POLL_INTERVAL_S, "a second", None,
            "the poll interval", "the response has the changes and their age",
        ),
        Line(
            "writes: keys", keys_per_s * KEY_WRITES, "a second", PLATFORM_WRITES_PER_S,
            "two writes per key", "one object per key",
        ),
        Line(
            "writes: registrations of targets", RUNNERS / HEARTBEAT_S, "a second", None,
            "heartbeats of targets", "not made by this system",
        ),
        Line(
            "size of the documents", value_at(slopes, "documents", WORKSPACES), "bytes",
            OBJECT_BYTES, "documents", "one object holds all documents",
        ),
        Line(
            "size of a key with a complete response", value_at(slopes, "key", 64_000), "bytes",
            OBJECT_BYTES, "key", "longer responses are not stored",
        ),
    ]  # fmt: skip


def rows(lines: list[Line]) -> list[str]:
    """Return a Markdown table."""
    table = ["| what | value | bound | from | mechanism |", "|---|---|---|---|---|"]
    for line in lines:
        bound = "" if line.bound is None else f"{line.bound:g} {line.unit}"
        exceeded = " **over**" if line.bound is not None and line.value > line.bound else ""
        table.append(
            f"| {line.what} | {line.value:.3g} {line.unit}{exceeded} | {bound} | {line.slope} "
            f"| {line.mechanism} |"
        )
    return table


PREFACE: Final = """\
# Capacity at the target size

Made by `python -m bench.capacity --write docs/CAPACITY.md` from `docs/slopes.json`
(`python -m bench.slopes --write docs/slopes.json`) and `docs/streams.json` (`python -m
bench.streams`); a test fails when page and slopes differ. Every figure is calculated, not
measured, at the size of the users' letter: 1,300 nodes, 7,400 runners, 51,000 requests and 15
million tokens a second, 35,000 workspaces, 39,000 changes a day, 10 data centers. All nodes have
one role, *entry*: the roll-out lease and the work of relays move between them.

Assumed and not measured: 1 in 100 requests has an idempotency key, an entry has work at 100 targets
at once, targets renew their registration every 1.2 s.
"""

LIMITS: Final = """\
## Limits of the current design, and the changes needed

The design supports current fleets (6 to 81 entries were run). At the target size:

- **Registrations and work sent by a relay** take bytes and processor time that grow with the
  runners. Change: an entry gets the runners of its own data center; others are summed up.
- **Decisions** compare a few runners, but still filter all of a service first (healthy, not tried,
  not swapped). Change: update these sets when their inputs change.
- **Relays** send each other their sums: 41 relays at 1,300 entries. Change: one more level.
- **A relay's link** carries the largest messages about work to 32 followers at full rate, 1.46 MB a
  second, only from 58 Mbit/s on, since they take a fifth of it. Below, they are sent less often.
- **Documents** are one object: over a megabyte at 35,000 workspaces, and recompiled for each
  change. Change: an object for each group of workspaces, compiled by group.
- **Keys** cost two writes each. Change: keys on the same shard within a short time share a write.
  Objects of keys are never removed today: stored responses need an expiry.
- **Quarantined blocks** are told again every two seconds, up to 64 of them. Change: tell those that
  are in the object store less often; and search for a verdict at intervals, not at each tick.
- **Pauses and leaving targets** are known to the entry alone that was told: a time for each target
  that said so, no message. With 1,300 entries each learns a pause by a request of its own.
"""


def page() -> str:
    """Return the page."""
    slopes, streams = read(SLOPES), read(STREAMS)
    sections = [
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
        sections.append(f"| {name} | {slope['by']} | {slope['unit']} | {values} |")
    return "\n".join([*sections, "", LIMITS])


def main() -> int:
    """Print the page, or write it to a file."""
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
