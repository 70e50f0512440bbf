"""Measures processor time, memory and peer messages of idle entries.

python -m bench.idle [--seconds 20] [--entries 8]
"""

import argparse
import sys
import time
from pathlib import Path
from typing import Final, NamedTuple

from standins.fleet import Fleet, Options, running_fleet

ENTRIES: Final = 8
CLOCK_TICKS_PER_S: Final = 100
SETTLE_S: Final = 6.0
PAGE_BYTES: Final = 4_096
BYTES_METRIC: Final = "filbertstream_peer_bytes_total{"


class Usage(NamedTuple):
    """Processor seconds and resident bytes of a process."""

    cpu_s: float
    resident_bytes: int


def usage(pid: int) -> Usage:
    """Read a process's usage from the kernel."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    return Usage(cpu_s, pages * PAGE_BYTES)


def peer_bytes(fleet: Fleet, name: str) -> float:
    """Return the bytes of messages that an entry has sent to peers."""
    page = fleet.http.request("GET", fleet.running[name].url + "/metrics").data.decode()
    lines = [line for line in page.splitlines() if line.startswith(BYTES_METRIC)]
    return sum(float(line.rpartition(" ")[2]) for line in lines)


def main() -> int:
    """Measure and print one line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--entries", type=int, default=ENTRIES)
    options = parser.parse_args()
    entries = options.entries
    with running_fleet(Options(entries=entries, log_level="error")) as fleet:
        time.sleep(SETTLE_S)
        names = [f"entry-{number}" for number in range(1, entries + 1)]
        pids = [fleet.running[name].process.pid for name in names]
        sent_before = [peer_bytes(fleet, name) for name in names]
        before = [usage(pid) for pid in pids]
        time.sleep(options.seconds)
        after = [usage(pid) for pid in pids]
        sent_after = [peer_bytes(fleet, name) for name in names]
    cpu_fractions = [
        (b.cpu_s - a.cpu_s) / options.seconds for a, b in zip(before, after, strict=True)
    ]
    sent = [(b - a) / options.seconds for a, b in zip(sent_before, sent_after, strict=True)]
    memory = [item.resident_bytes / 1e6 for item in after]
    print(
        f"entries={entries} seconds={options.seconds:.0f} "
        f"cpu_percent_mean={100 * sum(cpu_fractions) / entries:.2f} "
        f"cpu_percent_max={100 * max(cpu_fractions):.2f} "
        f"resident_mb_max={max(memory):.1f} "
        f"peer_bytes_per_s_max={max(sent):.0f}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
