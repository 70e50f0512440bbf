"""Runners preempt streams while others are full: see ``claim.txt``."""

import asyncio
import signal
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

EVENTS: Final = 16
EVENT_S: Final = 0.05
PREEMPTED_AFTER: Final = 5
PREEMPTED_S: Final = 2.5
"""A preempted run goes on after this time, sooner than its client gives up (3.2 s)."""

EARLIER: Final = 60
STREAMS: Final = 8
STOP_AFTER_S: Final = 0.15
FULL_AFTER_S: Final = 0.2
MODEL: Final = "daka510000"


async def case(files: Path, record: Record) -> bool:
    """Return whether a stream was cut whose runner went on with it."""
    store = Store(record)
    await store.start()
    full = False
    preempts = False
    newest: dict[str, str] = {}
    closed: dict[str, str] = {}

    async def work(runner: Runner, call: Message, writer: asyncio.StreamWriter) -> bytes | None:
        request_id = call.get("request-id")
        if full:
            record.note(request_id, "is rejected by", runner.name, "which is full")
            headers = {**runner.head(call), "Not-Executed": "1"}
            return response(503, b"", headers)
        last = int(call.get("last-event-id", "0") or 0)
        record.note(request_id, "runs at", runner.name, "from event", last + 1)
        newest[runner.name] = request_id
        fields = {**runner.signed(call), "Content-Type": "text/event-stream"}
        fields |= {"Weight-Versions": "1", "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields.items())]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(last + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            is_newest = newest[runner.name] == request_id
            if preempts and is_newest and number == PREEMPTED_AFTER + 1:
                record.note(request_id, "is preempted by", runner.name)
                left_s = PREEMPTED_S
                while left_s > 0 and not writer.transport.is_closing():
                    await asyncio.sleep(0.05)
                    left_s -= 0.05
            if writer.transport.is_closing():
                record.note(request_id, "lost its connection before event", number)
                closed[request_id] = runner.name
                return None
            data = f"id: {number}\ndata: t{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
        record.note(request_id, "is complete at", runner.name)
        return b"0\r\n\r\n"

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
    changes = {
        "timeout_ms": 15000,
        "latency_target_ms": 800,
        "gap_target_ms": 300,
        "sticky": True,
        "resumable": True,
        "attempts": 2,
    }
    routes = [route("walkin", "stream", "model-pool", **changes)]
    await store.put("config", "main", configuration(routes, [service]))
    await store.put("versions", MODEL, {"model": MODEL, "version": 1})
    models = [{"name": MODEL, "version": 1, "adapters": []}]
    runners = [
        Runner(store, record, f"i-{number}", "model-pool", work, 64, models) for number in (1, 2, 3)
    ]
    for runner in runners:
        await runner.start()
    entry = Entry(files, "front-a-1", store, BOUNDS)
    cut: list[str] = []

    async def ask(number: int) -> None:
        reader, writer = await asyncio.open_connection(HOST, entry.callers)
        request_id = f"s{number:04d}"
        headers = (
            f"Model: {MODEL}\r\nToken-Count: 400,{EVENTS}\r\n"
            f"Prefix-Hash: a{number % 12:07x}:300,e{number:07x}:100\r\n"
        )
        writer.write(request("POST", "/walkin/1", request_id, 15000, headers, b"{}"))
        found = await read_message(reader)
        writer.close()
        events = 0 if found is None else found.body.count(b"data:")
        if found is None:
            cut.append(request_id)
        shown = "nothing complete" if found is None else (found.status, f"{events} events")
        record.note(request_id, "was answered", shown)

    try:
        await entry.start()
        await entry.until_ready()
        await asyncio.sleep(3.5)
        for first in range(0, EARLIER, 10):
            await asyncio.gather(*(ask(number) for number in range(first, first + 10)))
        preempts = troubled()
        start_s = now()
        streams = [asyncio.create_task(ask(number)) for number in range(500, 500 + STREAMS)]
        await asyncio.sleep(STOP_AFTER_S)
        record.note("SIGTERM to", entry.name)
        if entry.process is not None:
            entry.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(start_s + FULL_AFTER_S - now())
        full = True
        record.note("all runners are full")
        await asyncio.gather(*streams)
        # The runners notice the end of a connection within 0.05 s.
        await asyncio.sleep(0.5)
    finally:
        await entry.end()
        for runner in runners:
            runner.end()
    lost = [name for name in cut if name in closed]
    record.note("streams cut:", len(cut), *cut)
    record.note("of these closed by the entry while their runner had them:", len(lost), *lost)
    return bool(lost)


if __name__ == "__main__":
    run_case(case, FOLDER / "record.txt")
