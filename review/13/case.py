"""A part of prompts that crashes each runner as it begins its answer; see ``claim.txt``."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

from stand_3 import (
    BOUNDS,
    KEY,
    MODEL,
    TROUBLE,
    Deployment,
    Record,
    Request,
    Runner,
    ask,
    config,
    head,
    route,
    run,
)

FOLDER = Path(__file__).resolve().parent

WRITTEN = os.environ.get("WRITTEN", "event")
"""What a runner has written when it crashes: nothing, its head, a part of an event, or an event."""

DEADLY = "dead0001"
FIRST = "5c1e07a2"
RUNNERS = 8
BACK_S = 2.0
DEADLY_PER_S = 1.2
SOUND_PER_S = 10.0
PLAYED_S = 40.0
ALLOWED = 3
CRASHES = 5
CONTACT_S = BOUNDS["contact_ms"] / 1000


class Crashing(Runner):
    """A runner whose process ends when it begins to write an answer on the deadly part."""

    def __init__(self, name: str, record: Record, deployment: Deployment) -> None:
        super().__init__(name, "models", record)
        self._deployment = deployment
        self._writers: set[asyncio.StreamWriter] = set()
        self.born = 1
        self.crashed_s: list[float] = []
        self.deadly_s: list[float] = []
        self._back: asyncio.Task[None] | None = None

    def registration(self) -> dict[str, object]:
        """Return the registration with the time of this start."""
        return super().registration() | {"born": self.born}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection, which ends with the process."""
        self._writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer, or begin to write the answer and crash."""
        if DEADLY not in request.headers.get("prefix-hash", ""):
            await super().answer(request, writer)
            return
        self.deadly_s.append(time.monotonic())
        self.record.line("deadly request", runner=self.name, id=request.request_id)
        if not TROUBLE:
            await super().answer(request, writer)
            return
        await asyncio.sleep(0.05)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += ["Transfer-Encoding: chunked", "Weight-Versions: 1"]
        lines += [f"{name}: {value}" for name, value in self.headers(request).items()]
        event = b"id: 1\ndata: token 1\n\n"
        begun = "\r\n".join(lines).encode() + b"\r\n\r\n"
        told = {
            "nothing": b"",
            "head": begun,
            "part": begun + b"%x\r\n%b" % (len(event), event[:9]),
            "event": begun + b"%x\r\n%b\r\n" % (len(event), event),
        }[WRITTEN]
        if told:
            writer.write(told)
            await writer.drain()
            await asyncio.sleep(0.01)
        self._crash()

    def _crash(self) -> None:
        if self._back is not None and not self._back.done():
            return
        self.crashed_s.append(time.monotonic())
        self.record.line("crash", runner=self.name)
        self.close()
        for writer in list(self._writers):
            writer.close()
        self._back = asyncio.create_task(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(BACK_S)
        self.born += 1
        await self.listen(port=int(self.address.rpartition(":")[2]))
        await self._deployment.store.put("servers", self.name, self.registration())
        self.record.line("back", runner=self.name, born=self.born)


async def play(deployment: Deployment, record: Record) -> bool:
    """Send prompts with the deadly part and sound ones; count the deadly ones at runners."""
    runners = [Crashing(f"r{number}", record, deployment) for number in range(1, RUNNERS + 1)]
    routes = [route("walk", "stream", "models")]
    await deployment.start(2, list(runners), config(3, [KEY], routes))
    rng = random.Random(61)
    statuses: dict[str, list[int]] = {"deadly": [], "sound": []}

    async def prompt(number: int, kind: str) -> None:
        request_id = f"{number:015x}{'d' if kind == 'deadly' else '0'}"
        middle = DEADLY if kind == "deadly" else f"{rng.randrange(12) + 4096:08x}"
        lines = (
            f"Model: {MODEL}",
            "Token-Count: 827,8",
            f"Prefix-Hash: {FIRST}:119,{middle}:531,{number + 65536:08x}:177",
            "Content-Length: 2",
        )
        data = head("POST", f"/walk/{number}", request_id, KEY, *lines, deadline_ms=8_000) + b"{}"
        answer = await ask(deployment.entries[number % 2].port, data, 9.0)
        statuses[kind].append(answer.status if answer.complete else 0)
        record.line("answer", id=request_id, status=answer.status, complete=answer.complete)

    tasks: list[asyncio.Task[None]] = []
    began_s = time.monotonic()
    due_s = {"deadly": 3.0, "sound": 0.0}
    while (now_s := time.monotonic() - began_s) < PLAYED_S:
        for kind, per_s in (("deadly", DEADLY_PER_S), ("sound", SOUND_PER_S)):
            if now_s >= due_s[kind]:
                due_s[kind] += 1.0 / per_s
                tasks.append(asyncio.create_task(prompt(len(tasks), kind)))
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    crashes = sorted(at_s for runner in runners for at_s in runner.crashed_s)
    arrived = [at_s for runner in runners for at_s in runner.deadly_s]
    from_s = crashes[CRASHES - 1] + CONTACT_S if len(crashes) >= CRASHES else float("inf")
    late = sum(at_s > from_s for at_s in arrived)
    sound = statuses["sound"]
    record.line("sound", sent=len(sound), served=sum(status == 200 for status in sound))
    record.line("late deadly requests", count=late, crashes=len(crashes), arrived=len(arrived))
    served = sum(status == 200 for status in sound)
    print(
        f"{late} requests with the part at runners later than {CONTACT_S} s after the fifth crash"
    )
    print(f"{len(crashes)} crashes; {served} of {len(sound)} sound prompts served")
    return late > ALLOWED


if __name__ == "__main__":
    sys.exit(run(FOLDER, play))
