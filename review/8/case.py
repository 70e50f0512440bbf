"""A sound part is quarantined for the crashes of the part before it: see ``claim.txt``."""

import asyncio
import itertools
import sys
from pathlib import Path
from typing import Final

FOLDER: Final = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_2 import (  # noqa: E402
    BOUNDS,
    HOST,
    Entry,
    Message,
    Record,
    Runner,
    Store,
    configuration,
    now,
    read_message,
    request,
    response,
    route,
    run_case,
    troubled,
)

PREFILL_S: Final = 0.02
DOWN_S: Final = 2.0
"""A crashed runner is back after this time."""

ENTRIES: Final = 2
RUNNERS: Final = 4
SOUND: Final = 40
"""Sound requests before the trouble, and again in the time that the rule looks at."""

SOUND_S: Final = 0.1
QUIET_S: Final = 62.0
"""The callers send nothing for this long; their prompts return after long gaps."""

DEADLY: Final = 4
DEADLY_S: Final = 0.6
CONTACT_S: Final = BOUNDS["contact_ms"] / 1000
MODEL: Final = "daka510000"
DEADLY_PART: Final = "dead0bad"
FIRST_PART: Final = "5c1e07a2"
SHARED_PART: Final = "91bd3f06"


class Counts:
    """Sound requests of one time, and those that began at the first attempt."""

    def __init__(self) -> None:
        self.sent = self.begun = 0


async def case(files: Path, record: Record) -> bool:
    """Return whether sound requests begin less than half as often as before."""
    store = Store(record)
    await store.start()
    crashes: list[float] = []
    restarts: set[asyncio.Task[None]] = set()

    async def restart(runner: Runner) -> None:
        await asyncio.sleep(DOWN_S)
        await runner.start()
        record.note(runner.name, "is back")

    async def work(runner: Runner, call: Message, writer: asyncio.StreamWriter) -> bytes | None:
        deadly = DEADLY_PART in call.get("prefix-hash")
        request_id = call.get("request-id")
        await asyncio.sleep(PREFILL_S)
        if deadly:
            crashes.append(now())
            record.note(runner.name, "crashes on", request_id, "as number", len(crashes))
            runner.end()
            restarts.add(asyncio.create_task(restart(runner)))
            return None
        body = "".join(f"id: {n}\ndata: t{n}\n\n" for n in range(1, 4)).encode()
        headers = {**runner.signed(call), "Content-Type": "text/event-stream"}
        return response(200, body, {**headers, "Weight-Versions": "1"})

    engine = {
        "slots": 64,
        "kv_capacity": 105184,
        "token_bytes": 163840,
        "max_inflight": 12,
        "models": [{"name": MODEL}],
    }
    service = {
        "name": "model-pool",
        "health_path": "/health",
        "max_conns": 360,
        "engine": engine,
    }
    changes = {"timeout_ms": 15000, "latency_target_ms": 1000, "gap_target_ms": 300, "sticky": True}
    routes = [route("draft", "stream", "model-pool", **changes)]
    await store.put("config", "main", configuration(routes, [service]))
    await store.put("versions", MODEL, {"model": MODEL, "version": 1})
    models = [{"name": MODEL, "version": 1, "adapters": []}]
    runners = [
        Runner(store, record, f"i-{number}", "model-pool", work, 64, models)
        for number in range(RUNNERS)
    ]
    for runner in runners:
        await runner.start()
    entries = [Entry(files, f"front-a-{number}", store, BOUNDS) for number in range(ENTRIES)]
    numbers = itertools.count()
    before, after = Counts(), Counts()

    async def ask(first_part: str) -> int:
        number = next(numbers)
        entry = entries[number % ENTRIES]
        reader, writer = await asyncio.open_connection(HOST, entry.callers)
        request_id = f"{'deadly' if first_part == DEADLY_PART else 'sound'}{number:04d}"
        headers = (
            f"Model: {MODEL}\r\nToken-Count: 1260,40\r\n"
            f"Prefix-Hash: {first_part}:800,{SHARED_PART}:400,e{number:07x}:60\r\n"
        )
        writer.write(request("POST", "/draft/1", request_id, 15000, headers, b"{}"))
        found = await read_message(reader)
        writer.close()
        status = 0 if found is None else found.status
        why = b"" if found is None or status == 200 else found.body
        record.note(request_id, "sent to", entry.name, "was answered", status or "nothing", why)
        return status

    async def sound(counts: Counts) -> None:
        counts.sent += 1
        counts.begun += await ask(FIRST_PART) == 200

    async def sounds(counts: Counts) -> None:
        for _ in range(SOUND):
            await sound(counts)
            await asyncio.sleep(SOUND_S)

    try:
        for entry in entries:
            await entry.start()
        for entry in entries:
            await entry.until_ready()
        await asyncio.sleep(CONTACT_S + 0.5)
        await sounds(before)
        record.note("the callers send nothing for", QUIET_S, "s")
        await asyncio.sleep(QUIET_S)
        for _ in range(DEADLY):
            if troubled():
                await ask(DEADLY_PART)
            await asyncio.sleep(DEADLY_S)
        await asyncio.sleep(2 * CONTACT_S + 0.1)
        bound_s = (crashes[4] if len(crashes) > 4 else crashes[-1]) if crashes else 0.0
        record.note(f"{now() - bound_s:.3f} s after the crash that counts" if crashes else "")
        more = asyncio.create_task(sounds(after))
        while not more.done():
            # Requests with the deadly part still come.
            if troubled():
                await ask(DEADLY_PART)
            await asyncio.sleep(2.0)
        await more
    finally:
        for entry in entries:
            await entry.end()
        for task in restarts:
            task.cancel()
        for runner in runners:
            runner.end()
    record.note("crashes:", len(crashes))
    record.note("sound requests before:", before.sent, "begun:", before.begun)
    record.note("sound requests after:", after.sent, "begun:", after.begun)
    return after.begun / after.sent < before.begun / before.sent / 2


if __name__ == "__main__":
    run_case(case, FOLDER / "record.txt")
