"""One entry of another writer among those of the runners; see ``claim.txt``."""

import asyncio
import sys
from pathlib import Path

from stand_3 import KEY, TROUBLE, Deployment, KeptCaller, Record, Runner, config, lost, route, run

FOLDER = Path(__file__).resolve().parent
MEMORY_MB = 150
NOTE_BYTES = 1_040_000
"""With the rest of the object fewer than ``value_bytes`` (1,048,576)."""

CALLERS = 8
WORK_S = 0.09
DEADLINE_MS = 4_000
CALM_S = 3.0
PLAYED_S = 15.0
ENDS = 3
MACHINES = 2
"""The rule: three ends each, on a tenth of the machines, two at least."""


async def play(deployment: Deployment, record: Record) -> bool:
    """Write the entry while clients book at each machine; count the ends of processes."""
    runners = [Runner(f"a{number}", "app", record) for number in (1, 2, 3)]
    for runner in runners:
        runner.work_s = WORK_S
    routes = [route("book", "non_idempotent", "app", timeout_ms=DEADLINE_MS)]
    await deployment.start(3, runners, config(3, [KEY], routes))
    callers = {
        entry.name: [KeptCaller(100 * index + n, entry, record) for n in range(CALLERS)]
        for index, entry in enumerate(deployment.entries)
    }
    tasks = [asyncio.create_task(entry.enforce_memory()) for entry in deployment.entries]
    tasks += [
        asyncio.create_task(caller.play("/book/1", DEADLINE_MS))
        for group in callers.values()
        for caller in group
    ]
    await asyncio.sleep(CALM_S)
    # A lone surrogate can't be read as text; no field of an entry is there either.
    odd = {"note": "a" * NOTE_BYTES, "by": "\ud800" if TROUBLE else "x"}
    await deployment.store.put("servers", "of-another-writer", odd)
    record.line("entry written", bytes=NOTE_BYTES, readable=not TROUBLE)
    await asyncio.sleep(PLAYED_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    often = 0
    for entry in deployment.entries:
        gone = lost(callers[entry.name], runners)
        answered = sum(caller.answered for caller in callers[entry.name])
        often += entry.ends >= ENDS
        told = {"ended": entry.ends, "most_mb": round(entry.most_mb, 1), "lost": gone}
        record.line("machine", entry=entry.name, **told, answered=answered)
        print(f"{entry.name}: {told}, {answered} bookings answered")
    return often >= MACHINES


if __name__ == "__main__":
    sys.exit(run(FOLDER, play, MEMORY_MB))
