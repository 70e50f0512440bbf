"""A key taken away right before a drill of the store, and a machine cut off after it.

See ``claim.txt``.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

from stand_3 import BOUNDS, KEY, TROUBLE, Deployment, Record, Runner, ask, config, head, route, run

FOLDER = Path(__file__).resolve().parent

LOST_KEY = "key-taken-away"
COPY_AGE_S = 3.0
AWAY_S = float(os.environ.get("AWAY_S", "0.3"))
WRITTEN_AGAIN_S = float(os.environ.get("WRITTEN_AGAIN_S", "2.0"))
"""After the store's return the operator writes again: as late as runners' entries may be back."""

CUT_AFTER_S = float(os.environ.get("CUT_AFTER_S", "1.7"))
"""From the store's return to the cut of the machine."""

RUNNER_AGAIN_S = 0.5
CUT_S = 5.5
CHANGE_S = 1.0
REVOKE_S = BOUNDS["revoke_ms"] / 1000
ASKED_S = 0.1
END_S = 11.0


async def play(deployment: Deployment, record: Record) -> bool:
    """Take a key away, and look which requests with it run later than ``revoke_ms``."""
    runners = [Runner(f"a{number}", "app", record) for number in (1, 2)]
    routes = [route("read", "idempotent", "app", timeout_ms=1500, attempts=2)]
    await deployment.start(2, runners, config(3, [KEY, LOST_KEY], routes))
    store, link = deployment.store, deployment.links["e1"]
    await asyncio.sleep(COPY_AGE_S - CHANGE_S)
    # Something else is written meanwhile, as always: a runner's entry changes.
    changed = runners[1].registration() | {"cold_left_ms": 1}
    await store.put("servers", "a2", changed)
    await asyncio.sleep(CHANGE_S)
    without = config(5, [KEY], routes)
    acknowledged_s = time.monotonic()
    record.line("acknowledged", version=5, without=LOST_KEY)
    tasks = []
    if TROUBLE:
        store.note("config", "main", without)

        async def disrupt() -> None:
            record.line("drill", copy_age_s=COPY_AGE_S, away_s=AWAY_S)
            await store.drill(COPY_AGE_S, AWAY_S)
            record.line("store is back", era=store.era)
            back_s = time.monotonic()

            async def cut() -> None:
                await asyncio.sleep(CUT_AFTER_S)
                link.cut = True
                record.line("cut", entry="e1")
                await asyncio.sleep(CUT_S)
                link.cut = False
                record.line("cut ends", entry="e1")

            cutting = asyncio.create_task(cut()) if CUT_AFTER_S >= 0 else None
            await asyncio.sleep(RUNNER_AGAIN_S)
            await store.put("servers", "a2", changed)
            await asyncio.sleep(WRITTEN_AGAIN_S - (time.monotonic() - back_s))
            await store.put("config", "main", without)
            record.line("written again", version=5)
            if cutting is not None:
                await cutting

        tasks.append(asyncio.create_task(disrupt()))
    else:
        await store.put("config", "main", without)
    sent_s: dict[str, float] = {}

    async def request(number: int, entry: int, key: str) -> None:
        request_id = f"{entry}{number:07x}{'f' if key == KEY else '0'}"
        sent_s[request_id] = time.monotonic() - acknowledged_s
        whole = head("GET", "/read/1", request_id, key, deadline_ms=1500)
        answer = await ask(deployment.entries[entry - 1].port, whole, 3.0)
        record.line(
            "answer",
            id=request_id,
            entry=f"e{entry}",
            sent_s=round(sent_s[request_id], 3),
            key=key,
            status=answer.status,
            signed=answer.signed,
        )

    number = 0
    while time.monotonic() - acknowledged_s < END_S:
        for entry in (1, 2):
            tasks.append(asyncio.create_task(request(number, entry, LOST_KEY)))
            if number % 5 == 0:
                tasks.append(asyncio.create_task(request(number, entry, KEY)))
        number += 1
        await asyncio.sleep(ASKED_S)
    await asyncio.gather(*tasks)
    late = [
        item.request_id
        for runner in runners
        for item in runner.ran
        if item.request_id.endswith("0") and sent_s[item.request_id] > REVOKE_S
    ]
    for request_id in sorted(late):
        record.line("ran too late", id=request_id, sent_s=round(sent_s[request_id], 3))
    latest = max((sent_s[request_id] for request_id in late), default=0.0)
    print(f"{len(late)} requests with the key ran later than {REVOKE_S} s, up to {latest:.2f} s")
    return bool(late)


if __name__ == "__main__":
    sys.exit(run(FOLDER, play))
