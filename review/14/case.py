"""One entry of another writer among those of the runners; see ``claim.txt``."""

import asyncio
import sys
import time
from pathlib import Path

from stand_3 import KEY, TROUBLE, Deployment, Record, Runner, ask, config, head, route, run

FOLDER = Path(__file__).resolve().parent
MEMORY_MB = 150
NOTE_BYTES = 1_040_000
"""With the rest of the object fewer than ``value_bytes`` (1,048,576)."""

WATCHED_S = 8.0
BYTES_PER_MB = 1_048_576


async def play(deployment: Deployment, record: Record) -> bool:
    """Write the entry, and look at the memory of each process that follows the runners."""
    runners = [Runner(f"a{number}", "app", record) for number in (1, 2)]
    routes = [route("read", "idempotent", "app", timeout_ms=1500, attempts=2)]
    await deployment.start(3, runners, config(3, [KEY], routes))
    for entry in deployment.entries:
        record.line("calm", entry=entry.name, peak_kb=entry.memory_kb("VmHWM"))
    # A lone surrogate can't be read as text; the rest of the entry is of no known form either.
    odd = {"note": "a" * NOTE_BYTES, "by": "\ud800" if TROUBLE else "x"}
    await deployment.store.put("servers", "of-another-writer", odd)
    record.line("entry written", bytes=NOTE_BYTES, readable=not TROUBLE)
    began_s = time.monotonic()
    number = 0
    while time.monotonic() - began_s < WATCHED_S:
        for entry in deployment.entries:
            number += 1
            whole = head("GET", "/read/1", f"{number:016x}", KEY, deadline_ms=1500)
            asked_s = time.monotonic()
            answer = await ask(entry.port, whole, 3.0)
            record.line(
                "memory",
                entry=entry.name,
                rss_kb=entry.memory_kb("VmRSS"),
                peak_kb=entry.memory_kb("VmHWM"),
                ordinary_answer=answer.status,
                after_s=round(time.monotonic() - asked_s, 3),
            )
        await asyncio.sleep(0.5)
    peaks_mb = [
        round(entry.memory_kb("VmHWM") * 1024 / BYTES_PER_MB, 1) for entry in deployment.entries
    ]
    record.line("peaks", peaks_mb=peaks_mb, limit_mb=MEMORY_MB)
    over = sum(peak_mb > MEMORY_MB for peak_mb in peaks_mb)
    print(f"{over} of {len(peaks_mb)} processes held more than {MEMORY_MB} MB: {peaks_mb}")
    return over > 0


if __name__ == "__main__":
    sys.exit(run(FOLDER, play, MEMORY_MB))
