"""A runner in trouble sends bytes without end in the body of an answer: in its trailer section."""

import asyncio
import contextlib

import stand
from stand import TROUBLE, Client, Deployment, Request, Runner, event_chunk, stream_head

ENTRIES = 3
CLIENTS_PER_ENTRY = 12
WORK_S = 0.5
BEFORE_S = 3.0
AFTER_S = 20.0
STREAM_EVERY_S = 1.0
ALLOWED = 3
LINES = b"".join(b"X-Line: " + b"%05d" % number * 200 + b"\r\n" for number in range(32))
PAUSE_S = 0.002
"""Between two writes of 32 KB: 16 MB a second at most, an eighth of a machine's link."""


class Endless:
    """Answers as a sound runner does, but its answer never ends."""

    def __init__(self, runner: Runner) -> None:
        self._runner = runner

    async def answer(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send a stream and then lines until the caller closes."""
        writer.write(stream_head(self._runner.signed(request)))
        for number in range(1, 6):
            writer.write(event_chunk(number))
        writer.write(b"0\r\n")
        with contextlib.suppress(OSError):
            while not writer.is_closing():
                writer.write(LINES)
                await writer.drain()
                await asyncio.sleep(PAUSE_S)
        return False


class Caller:
    """A client that sends one request after the other on a kept connection."""

    def __init__(self, client: Client) -> None:
        self._client = client
        self.unanswered: list[str] = []

    async def book(self, deployment: Deployment, until_s: float) -> None:
        """Send requests; note those on a connection in use that ended without an answer."""
        kept = False
        while deployment.record.now_s() < until_s:
            request_id, answer = await self._client.call("/pago/x", "key-of-luma", 4.0)
            if kept and answer.status == 0:
                self.unanswered.append(request_id)
            kept = answer.whole
            if not answer.whole:
                await asyncio.sleep(0.3)


async def streams(deployment: Deployment, address: str, until_s: float) -> None:
    """Ask for streams, each on a connection of its own."""
    number = 0
    while deployment.record.now_s() < until_s:
        number += 1
        client = Client(deployment.record, address)
        prefix = f"{number % 7:08x}:160,{number:08x}:60"
        deployment.spawn(client.call("/resumen/x", "key-of-bozi", prefix=prefix))
        await asyncio.sleep(STREAM_EVERY_S)


async def play(deployment: Deployment) -> bool:
    """Return whether a machine cut more than three requests that it had passed on."""
    await deployment.start(ENTRIES)
    record = deployment.record
    for runner in deployment.runners.values():
        runner.work_s = WORK_S
    callers = [
        (entry, Caller(Client(record, entry.front)))
        for entry in deployment.entries
        for _ in range(CLIENTS_PER_ENTRY)
    ]
    until_s = record.now_s() + BEFORE_S + AFTER_S
    work = [asyncio.create_task(caller.book(deployment, until_s)) for _, caller in callers]
    work += [
        asyncio.create_task(streams(deployment, entry.front, until_s))
        for entry in deployment.entries
    ]
    await asyncio.sleep(BEFORE_S)
    if TROUBLE:
        runner = deployment.runners["m-1"]
        runner.handler = Endless(runner).answer
        record.write("runner_in_trouble", name="m-1")
    await asyncio.gather(*work)
    sound = {
        request.request_id
        for runner in deployment.runners.values()
        if runner.service == "app"
        for _, request in runner.ran
    }
    broken = False
    for entry in deployment.entries:
        cut = [
            request_id
            for at, caller in callers
            if at is entry
            for request_id in caller.unanswered
            if request_id in sound
        ]
        ends = f"{len(entry.ends)} ends, {entry.killed_for_memory} of them over its memory"
        record.write("result", name=entry.name, ends=len(entry.ends), cut=len(cut))
        print(f"{entry.name}: {ends}; passed on to sound runners and cut: {len(cut)}")
        broken = broken or len(cut) > ALLOWED
    return broken


if __name__ == "__main__":
    stand.main(play, __file__)
