"""Callers of the gateway on raw connections, which they use until their process is gone."""

import asyncio
import contextlib
import itertools
import random
import struct
from socket import SO_LINGER, SOL_SOCKET
from time import monotonic
from typing import Any, Final, NamedTuple

import msgspec

from bench.gateway_records import Request
from standins.platform_fleet import KEYS, MODEL
from standins.platform_runner import CRASH_COMMENT, response_tokens

TOKENS: Final = 8
CONNECT_S: Final = 1.0
PLAIN: Final = ("read", "open", "book")
STREAMED: Final = ("draft", "walk", "tour")
ANONYMOUS: Final = ("open", "tour")
DEADLINES_S: Final = {"draft": 6.0, "walk": 6.0, "tour": 6.0}
DEADLINE_S: Final = 4.0
PIECE_PAUSE_S: Final = 0.05
MAX_RETRY_WAIT_S: Final = 0.3
MAX_IDLE_S: Final = 0.1
LEAVES_S: Final = (0.05, 1.9)
WRITTEN_BEHIND: Final = 24


BLOCK_TOKENS: Final = {"a": 800, "b": 300}
RARE_BLOCK: Final = "rare"
RARE_SHARE: Final = 0.15
RARE_BESIDE_CRASHES: Final = 0.7


class Habits(NamedTuple):
    """How callers call; shares are of requests, or of connections for ``fresh``.

    Those that are ``leaving`` give up early and close their connections, some of them with requests
    that they have written behind the first.
    """

    kinds: tuple[str, ...] = (
        *("read", "read", "open", "book", "book"),
        *("draft", "draft", "draft", "walk", "tour"),
    )
    fresh: float = 0.2
    pipelined: float = 0.05
    pieces: float = 0.15
    long_work: float = 0.25
    crashing: float = 0.0
    leaving: float = 0.04


class Callers:
    """Callers of all entries, and the requests as they saw them."""

    def __init__(self, addresses: dict[str, str], seed: int, crash_block: str) -> None:
        self.habits = Habits()
        self.requests: dict[str, Request] = {}
        self._addresses = addresses
        self._seed = seed
        self._crash_block = crash_block
        self._numbers = itertools.count(1)
        self.stopped = False

    async def run(self, number: int) -> None:
        """Call until stopped, on one connection after the other."""
        rng = random.Random(f"{self._seed} {number}")
        while not self.stopped:
            entry = rng.choice(sorted(self._addresses))
            host, _, port = self._addresses[entry].rpartition(":")
            try:
                async with asyncio.timeout(CONNECT_S):
                    reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(PIECE_PAUSE_S)
                continue
            conn = _Connection(self, entry, reader, writer, rng)
            try:
                await conn.use(1 if rng.random() < self.habits.fresh else 10**6)
            finally:
                writer.close()

    def prepare(self, entry: str, rng: random.Random, kinds: tuple[str, ...]) -> "_Prepared":
        """Return a new request with its bytes."""
        route, request_id = rng.choice(kinds), f"{self._seed}-{next(self._numbers):06d}"
        deadline_s = DEADLINES_S.get(route, DEADLINE_S)
        work_s = rng.uniform(0.3, 1.6) if rng.random() < self.habits.long_work else 0.02
        headers = {
            "Host": "h.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(round(deadline_s * 1000)),
            "Work-S": f"{max(work_s, rng.uniform(0.02, 0.2)):.3f}",
        }
        tenant = None if route in ANONYMOUS else rng.choice(sorted(KEYS))
        if tenant is not None:
            headers["X-Api-Key"] = KEYS[tenant]
        blocks: tuple[str, ...] = ()
        body = b"x" * rng.choice((0, 2, 300, 5000))
        if route not in PLAIN:
            body = msgspec.json.encode({"prompt": request_id})
            blocks = (f"a{rng.randint(1, 3)}", f"b{rng.randint(1, 12)}")
            blocks = self._shaped(request_id, blocks, rng.random() < self.habits.crashing)
            shared = [f"{block}:{BLOCK_TOKENS.get(block[0], 200)}" for block in blocks]
            prefix = ",".join([*shared, f"c{request_id}:100"])
            headers |= {"Model": MODEL, "Token-Count": f"1200,{TOKENS}", "Prefix-Hash": prefix}
        in_pieces = bool(body) and rng.random() < self.habits.pieces
        if in_pieces and rng.random() < 0.5:
            headers["Transfer-Encoding"] = "chunked"
            half = len(body) // 2
            chunks = [b"%x\r\n%b\r\n" % (len(c), c) for c in (body[:half], body[half:]) if c]
            body_pieces = [*chunks, b"0\r\n\r\n"]
        else:
            headers["Content-Length"] = str(len(body))
            body_pieces = [body[:1], body[1:]] if in_pieces else [body]
        lines = [f"POST /{route}/x HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items()), "", ""]
        head = "\r\n".join(lines).encode()
        pieces = [head, *body_pieces] if in_pieces else [head + body]
        request = Request(request_id, entry, route, 0.0, deadline_s, tenant=tenant, blocks=blocks)
        return _Prepared(request, pieces, len(body))

    def _shaped(self, request_id: str, blocks: tuple[str, ...], crashing: bool) -> tuple[str, ...]:
        """Return the shared blocks of a prompt.

        A block that crashes targets comes before, between and behind sound ones, mostly with one
        that few of the sound prompts have.
        """
        rng = random.Random(request_id)
        if rng.random() < (RARE_BESIDE_CRASHES if crashing else RARE_SHARE):
            blocks = (*blocks, RARE_BLOCK)
        if crashing:
            place = rng.randint(0, len(blocks))
            blocks = (*blocks[:place], self._crash_block, *blocks[place:])
        return blocks


class _Prepared(NamedTuple):
    request: Request
    pieces: list[bytes]
    body_bytes: int


class _Answer(NamedTuple):
    status: int
    headers: dict[str, str]


class _Connection:
    """One connection; its requests are recorded as they end."""

    def __init__(
        self,
        callers: Callers,
        entry: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        rng: random.Random,
    ) -> None:
        self._callers = callers
        self._entry = entry
        self._reader = reader
        self._writer = writer
        self._rng = rng
        self._served = 0
        self._usable = True

    async def use(self, requests: int) -> None:
        """Send this many requests at most, until the connection can't be used any more."""
        while requests > 0 and self._usable and not self._callers.stopped:
            habits = self._callers.habits
            if self._rng.random() < habits.leaving:
                await self._leave()
                return
            pipelined = requests > 1 and self._rng.random() < habits.pipelined
            kinds = ("read", "open") if pipelined else habits.kinds
            sent = []
            for _ in range(2 if pipelined else 1):
                prepared = self._callers.prepare(self._entry, self._rng, kinds)
                sent.append(prepared._replace(request=await self._send(prepared)))
                requests -= 1
            for prepared in sent:
                await self._receive(prepared)
            if self._usable and self._rng.random() < 0.3:
                await asyncio.sleep(self._rng.random() * MAX_IDLE_S)

    async def _leave(self) -> None:
        """Send a stream, possibly requests behind it, read nothing, and close the connection."""
        behind = WRITTEN_BEHIND if self._rng.random() < 0.3 else 0
        first = self._callers.prepare(self._entry, self._rng, STREAMED)
        others = [self._callers.prepare(self._entry, self._rng, PLAIN[:2]) for _ in range(behind)]
        sent = [
            await self._send(prepared._replace(pieces=[b"".join(prepared.pieces)]))
            for prepared in (first, *others)
        ]
        await asyncio.sleep(self._rng.uniform(*LEAVES_S))
        if self._rng.random() < 0.3:
            sock = self._writer.get_extra_info("socket")
            # The entry may have closed the connection, and the transport its socket.
            with contextlib.suppress(OSError):
                sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
        self._writer.transport.abort()
        for request in sent:
            left = request._replace(left=True, ended_s=monotonic())
            self._callers.requests[request.request_id] = left

    async def _send(self, prepared: _Prepared) -> Request:
        request = prepared.request._replace(begun_s=monotonic(), served=self._served)
        try:
            for index, piece in enumerate(prepared.pieces):
                if index:
                    await asyncio.sleep(PIECE_PAUSE_S)
                self._writer.write(piece)
                await self._writer.drain()
        except OSError:
            return request
        return request._replace(sent_s=monotonic())

    async def _receive(self, prepared: _Prepared) -> None:
        """Read the answer, or see the connection end, or leave at the deadline."""
        request, part = prepared.request, bytearray()
        answer: list[_Answer] = []
        whole = left = False
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time()
                + request.deadline_s
                - (monotonic() - request.begun_s)
            ):
                await self._read(answer, part)
            whole = True
        except TimeoutError:
            left = True
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        request = request._replace(whole=whole, left=left, ended_s=monotonic())
        if answer:
            request = _judge(request, answer[0], bytes(part), prepared.body_bytes)
        self._callers.requests[request.request_id] = request
        self._served += whole
        if not whole or answer[0].headers.get("connection") == "close":
            self._usable = False
        elif answer[0].status != 200 and not self._callers.stopped:
            wait_s = float(answer[0].headers.get("retry-after", "0"))
            await asyncio.sleep(min(MAX_RETRY_WAIT_S, wait_s))

    async def _read(self, answer: list[_Answer], part: bytearray) -> None:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        fields = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in fields}
        answer.append(_Answer(int(first.split()[1]), headers))
        if headers.get("transfer-encoding") == "chunked":
            while size := int((await self._reader.readline()).strip(), 16):
                part += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
            await self._reader.readexactly(2)
        elif "content-length" in headers:
            part += await self._reader.readexactly(int(headers["content-length"]))
        else:
            part += await self._reader.read()


def _judge(request: Request, answer: _Answer, body: bytes, sent_bytes: int) -> Request:
    """Add what an answer says: whether it is signed for this request and is its target's."""
    signed = answer.headers.get("response-signature") == f"signed.{request.request_id}"
    request = request._replace(status=answer.status, signed=signed)
    if answer.status != 200:
        return request
    if request.route in PLAIN:
        found: Any = None
        with contextlib.suppress(msgspec.DecodeError):
            found = msgspec.json.decode(body)
        expected = {"id": request.request_id, "bytes": sent_bytes, "tenant": request.tenant}
        return request._replace(matches=found == expected or not request.whole)
    tokens = enumerate(response_tokens(request.request_id, TOKENS), 1)
    stream = b"".join(f"id: {number}\ndata: {text}\n\n".encode() for number, text in tokens)
    body = body.replace(CRASH_COMMENT, b"")
    matches = body == stream if request.whole else stream.startswith(body)
    return request._replace(matches=matches)
