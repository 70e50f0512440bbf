"""A store of kept KV cache restarts right after a part was stored in it; the others go on."""

import asyncio
import time
from typing import Any

import stand
from stand import TROUBLE, Client, Deployment, Record, Request, Runner, Server, json_response

ENTRIES = 4
MODELS = 6
RESTARTS = 3
MOST_PARTS = 15
SETTLED_S = 5.5
"""After a restart nothing is saved for some seconds."""
DOWN_S = 0.3
EVENTS_LAG_S = 0.06
LINK_BYTES_PER_S = 420e9 / 8
FIRST_S = 0.006
TOKEN_BYTES = 163_840
TOKENS_PER_S = 64_200
PART, SESSION, OWN = 5000, 6000, 100
ASK_FROM_S, ASK_UNTIL_S, ASK_EVERY_S = 0.005, 0.15, 0.005


class Piece:
    """A part at the store: the tokens that are reserved, and whether it is whole."""

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.whole = False


class KvStore(Server):
    """A store with ``managed``: keeps parts, tells events, returns empty after a crash."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record
        self.boot = 77_000
        self.next = 1
        self.events: list[list[Any]] = []
        self.pieces: dict[tuple[str, str], Piece] = {}
        self.told: dict[str, int] = {}
        self._port = 0
        self._changed = asyncio.Condition()

    async def answer(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a call for events or for all that is kept."""
        boot = self.boot
        body: dict[str, Any] = {}
        if request.path == "/kv-events":
            since = int(request.query["since"])
            wait_ms = int(request.headers.get("wait-ms", "0"))
            if since >= self.next:
                # The number is from before a restart: there is nothing to wait for.
                wait_ms = 0
            until_s = time.monotonic() + wait_ms / 1000
            while boot == self.boot and not [item for item in self.events if item[0] > since]:
                left_s = until_s - time.monotonic()
                if left_s <= 0:
                    break
                async with self._changed:
                    try:
                        await asyncio.wait_for(self._changed.wait(), left_s)
                    except TimeoutError:
                        break
            found = [item for item in self.events if item[0] > since]
            for item in found:
                self.told[item[3]] = self.told.get(item[3], 0) + 1
            body = {"lost": since >= self.next, "events": found}
        elif request.path == "/kv-list":
            pieces = self.pieces.items()
            held = [[*key, piece.tokens, stand.MODEL] for key, piece in pieces if piece.whole]
            partial = [[*key, 0, piece.tokens] for key, piece in pieces if not piece.whole]
            body = {"held": held, "partial": partial}
        clock_ms = int(time.monotonic() * 1000)
        head = {"boot_epoch": self.boot, "next": self.next - 1, "clock_ms": clock_ms}
        writer.write(json_response(200, head | body))
        return boot == self.boot

    async def save(self, key: tuple[str, str], tokens: int) -> None:
        """Take a part: its space is reserved at once, and it is whole when all has arrived."""
        if key in self.pieces or self.boot < 0:
            return
        boot = self.boot
        piece = self.pieces[key] = Piece(tokens)
        self._record.write("save_begins", part=key[1], tokens=tokens)
        await asyncio.sleep(transfer_s(tokens))
        if boot != self.boot:
            return
        piece.whole = True
        self._record.write("save_ends", part=key[1])
        await asyncio.sleep(EVENTS_LAG_S)
        if boot == self.boot:
            self.events.append([self.next, "+", *key, tokens, stand.MODEL])
            self.next += 1
            async with self._changed:
                self._changed.notify_all()

    async def restart(self, port: int) -> None:
        """Crash, be down for a while, and return empty at the same address."""
        boot, self.boot = self.boot, -1
        self.close()
        self.pieces, self.events, self.next = {}, [], 1
        self._record.write("store_crashes")
        await asyncio.sleep(DOWN_S)
        self._server = await asyncio.start_server(self._serve, stand.HOST, port)
        self.boot = boot + 1
        self._record.write("store_is_back", boot_epoch=self.boot)


def transfer_s(tokens: int) -> float:
    """Return how long a part of a prompt takes between a runner and the store."""
    return FIRST_S + tokens * TOKEN_BYTES / LINK_BYTES_PER_S


class KvRunner(Runner):
    """A model runner that fetches parts from the store, reads the others and saves them."""

    store: KvStore
    mixed: list[str]

    async def serve(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Prepare the prompt as the request tells, then answer."""
        if not self.is_model:
            await super().serve(request, writer)
            return
        salt = request.headers.get("cache-salt", "")
        fetch = request.headers.get("kv-fetch", "").split(",")
        save = request.headers.get("kv-save", "").split(",")
        for index, item in enumerate(request.headers["prefix-hash"].split(",")):
            part, _, tokens = item.partition(":")
            key = (salt, part)
            if key in self.kept:
                pass
            elif index < len(fetch) and fetch[index] not in ("", "-"):
                await self._fetch(request, key, int(tokens))
            if key not in self.kept:
                await asyncio.sleep(int(tokens) / TOKENS_PER_S)
                self.kept[key] = "read"
            if index < len(save) and save[index] not in ("", "-"):
                asyncio.get_running_loop().create_task(self.store.save(key, int(tokens)))
        await super().serve(request, writer)

    async def _fetch(self, request: Request, key: tuple[str, str], tokens: int) -> None:
        piece = self.store.pieces.get(key)
        if piece is None:
            await asyncio.sleep(0.001)
            return
        whole, boot = piece.whole, self.store.boot
        await asyncio.sleep(transfer_s(tokens))
        until_ms = int(request.headers.get("kv-until", "0"))
        if boot != self.store.boot or (until_ms and time.monotonic() * 1000 > until_ms):
            return
        self.kept[key] = "fetched"
        self._record.write("fetched", id=request.request_id, part=key[1], was_whole=whole)
        if not whole:
            self.mixed.append(request.request_id)

    def _note_parts(self, request: Request) -> None:
        """Do nothing: ``serve`` notes the parts."""


async def ask(deployment: Deployment, number: int, part: str, session: int) -> None:
    """Ask one entry for a stream whose prompt begins with a part that many share."""
    entry = deployment.entries[number % ENTRIES]
    client = Client(deployment.record, entry.front)
    prefix = f"{part}:{PART},{session:08x}:{SESSION},{session + 0x1000000:08x}:{OWN}"
    await client.call("/resumen/x", "key-of-bozi", prefix=prefix, tokens=PART + SESSION + OWN)
    client.close()


async def trial(deployment: Deployment, store: KvStore, number: int) -> bool:
    """Store a new part, restart the store when some entries know of it, and ask again.

    Return False if all entries had learned of the part at once.
    """
    part, port = f"{0xABC000 + number:08x}", int(store.address.rpartition(":")[2])
    session = 0x10000 * (number + 1)
    await ask(deployment, 0, part, session)
    until_s = time.monotonic() + 1.5
    while not store.told.get(part) and time.monotonic() < until_s:
        await asyncio.sleep(0.001)
    told = store.told.get(part, 0)
    deployment.record.write("told", part=part, entries=told)
    if told == ENTRIES:
        await asyncio.sleep(1.0)
        return False
    if TROUBLE:
        await store.restart(port)
    else:
        await asyncio.sleep(DOWN_S)
    for index in range(ENTRIES):
        deployment.spawn(ask(deployment, index, part, session + 1 + index))
    await asyncio.sleep(ASK_FROM_S)
    end_s, index = time.monotonic() + ASK_UNTIL_S, 0
    while time.monotonic() < end_s:
        index += 1
        deployment.spawn(ask(deployment, index, part, session + 0x100 + index))
        await asyncio.sleep(ASK_EVERY_S)
    await asyncio.sleep(SETTLED_S)
    return True


async def play(deployment: Deployment) -> bool:
    """Return whether a request used a part that wasn't whole at the store."""
    store = KvStore(deployment.record)
    await store.listen()
    mixed: list[str] = []
    KvRunner.store, KvRunner.mixed = store, mixed
    deployment.runner_type = KvRunner
    deployment.stores = [
        {
            "name": "memoria",
            "store_addr": store.address,
            "zone": stand.ZONE,
            "kv_capacity": 558_593,
            "link_mbps": 420_000.0,
            "max_inflight": 12,
            "managed": True,
            "first_ms": 6.0,
        }
    ]
    await deployment.start(ENTRIES, models=MODELS)
    for runner in deployment.runners.values():
        runner.event_s = 0.002
    await asyncio.sleep(3.0)
    restarts = 0
    for number in range(MOST_PARTS):
        restarts += await trial(deployment, store, number)
        if restarts == RESTARTS:
            break
    store.close()
    deployment.record.write("result", used_parts_that_were_not_whole=len(mixed))
    print(f"requests that used a part that was not whole at the store: {len(mixed)}")
    return bool(mixed)


if __name__ == "__main__":
    stand.main(play, __file__)
