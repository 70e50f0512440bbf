"""Callers that misbehave, many at once, against a real entry between stand-ins.

Failure guarded against: callers that nobody controls make a process run out of memory or of
descriptors, or keep it so busy that ordinary callers get no answers.  The tests check no times and
no share of served requests: only that the process lives, that its resident memory and its open
descriptors stay within what its settings name, and that an ordinary request is answered afterwards.

``bench/shards.py`` runs this file alone, after all others.
"""

import asyncio
import contextlib
import socket
import uuid
from collections.abc import Iterator
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any, Final

import pytest
import yaml

from standins.platform_fleet import KEY, PlatformFleet

RUNS_ALONE: Final = True
"""Read by ``bench/shards.py``."""

MEMORY_MB: Final = 128
"""The memory of the smallest VM; resident memory must stay below it."""

MAX_FDS: Final = 200
"""Open descriptors must stay below it."""

BYTES_PER_MB: Final = 1_000_000
BODY_BYTES: Final = 4_194_304
LIMITS: Final = {
    "header_bytes": 32_768,
    "body_bytes": BODY_BYTES,
    "header_timeout_ms": 8_000,
    "idle_timeout_ms": 15_000,
}

CROWD_S: Final = 20.0
"""A crowd that isn't read from stops to send after this time."""

ANSWER_WITHIN_S: Final = 90.0
"""An ordinary request that is never answered fails the test after this time."""

FIELDS: Final = f"Host: h.example\r\nX-Api-Key: {KEY}\r\nRequest-Id: q\r\n".encode()
CHUNKED: Final = b"POST /read/x HTTP/1.1\r\n" + FIELDS + b"Transfer-Encoding: chunked\r\n\r\n"

CHUNK_BYTES: Final = 985_661
"""0.94 MiB; four such chunks stay within the body limit."""

LARGE_CHUNK: Final = b"%x\r\n" % CHUNK_BYTES + b"x" * CHUNK_BYTES + b"\r\n"
LARGE_CHUNKS: Final = (CHUNKED, *[LARGE_CHUNK] * 3, LARGE_CHUNK[:-3])
ONE_BYTE_CHUNKS: Final = (CHUNKED, *[b"1\r\nx\r\n" * 10_000] * 30)
OVER_THE_LIMIT: Final = (CHUNKED, *[LARGE_CHUNK] * 12)
ANNOUNCED: Final = (
    b"POST /read/x HTTP/1.1\r\n" + FIELDS + b"Content-Length: %d\r\n\r\n" % (40 * BODY_BYTES),
    *[b"z" * CHUNK_BYTES] * 4,
)
HEAD: Final = b"GET /read/x HTTP/1.1\r\n" + FIELDS
SHORT_LINES: Final = (HEAD, b"".join(b"%03x:%02x\r\n" % (n % 4096, n % 256) for n in range(3_900)))
ODD_LINES: Final = (
    HEAD,
    b"".join(b"%02x:\r\n%02X: \t\r\n" % (n % 256, n % 199) for n in range(2_400)),
)
TRAILER_LINE: Final = (
    CHUNKED,
    b"%x\r\n" % 90_000 + b"x" * 90_000 + b"\r\n0\r\nt: ",
    *[b"y" * 43_000] * 16,
)
LONG_PATH: Final = (b"GET /", *[b"p" * CHUNK_BYTES] * 4)

MIX: Final = (LARGE_CHUNKS, ONE_BYTE_CHUNKS, OVER_THE_LIMIT, ANNOUNCED, SHORT_LINES, ODD_LINES)

CROWDS: Final = {
    "large chunks": [LARGE_CHUNKS] * 60,
    "chunks of one byte": [ONE_BYTE_CHUNKS] * 48,
    "over the limit": [OVER_THE_LIMIT] * 60,
    "announced too long": [ANNOUNCED] * 60,
    "short header lines": [SHORT_LINES] * 240,
    "odd header lines": [ODD_LINES] * 240,
    "trailer lines": [TRAILER_LINE] * 150,
    "a mix": list(MIX) * 20,
}


class SmallFleet(PlatformFleet):
    """One entry with the memory and the descriptors of a small VM."""

    def write_settings(self, name: str, **bounds: float) -> None:
        super().write_settings(name, **bounds)
        file = self.settings_file(name)
        settings: dict[str, Any] = yaml.safe_load(file.read_text())
        settings["limits"] |= {"max_fds": MAX_FDS}
        file.write_text(yaml.safe_dump(settings))

    def put_config(self, config: dict[str, Any]) -> bool:
        return super().put_config(config | {"limits": LIMITS})


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SmallFleet]:
    fleet = SmallFleet(
        tmp_path_factory.mktemp("hostile"), entries=1, runners=0, apps=1, memory_mb=MEMORY_MB
    )
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.close()


@pytest.fixture
def fleet(running: SmallFleet) -> SmallFleet:
    """Return the fleet with an entry that no crowd has called yet."""
    running.kill("e1")
    running.start_entry("e1")
    running.wait(lambda: running.ready("e1") and running.lists_targets("e1", 1))
    return running


def proc(fleet: SmallFleet) -> Path:
    return Path(f"/proc/{fleet.running['e1'].process.pid}")


def most_resident_mb(fleet: SmallFleet) -> float:
    """Return the largest resident memory that the process has had."""
    for line in (proc(fleet) / "status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024 / BYTES_PER_MB
    raise AssertionError("the process has ended")


async def send_all(address: tuple[str, int], parts: tuple[bytes, ...]) -> socket.socket:
    """Send as a caller that reads nothing, and leave the connection open."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(CROWD_S):
            await loop.sock_connect(sock, address)
            for part in parts:
                await loop.sock_sendall(sock, part)
    return sock


async def count_descriptors(fleet: SmallFleet, counts: list[int]) -> None:
    while True:
        with contextlib.suppress(OSError):
            counts.append(len(list((proc(fleet) / "fd").iterdir())))
        await asyncio.sleep(0.05)


async def send_crowd(
    fleet: SmallFleet, address: tuple[str, int], crowd: list[tuple[bytes, ...]]
) -> tuple[list[socket.socket], int]:
    """Return the sockets of a crowd that has sent, and the most descriptors meanwhile."""
    counts: list[int] = [0]
    counter = asyncio.create_task(count_descriptors(fleet, counts))
    socks = await asyncio.gather(*(send_all(address, parts) for parts in crowd))
    await asyncio.sleep(0.2)
    counter.cancel()
    return socks, max(counts)


def is_answered(fleet: SmallFleet) -> bool:
    """Send one ordinary request; return whether it was served."""
    host, _, port = fleet.running["e1"].address.rpartition(":")
    conn = HTTPConnection(host, int(port), timeout=20.0)
    fields = {"Host": "h.example", "X-Api-Key": KEY, "Request-Id": uuid.uuid4().hex[:16]}
    try:
        conn.request("POST", "/read/x", body=b"y" * 5_000, headers=fields)
        return conn.getresponse().status == 200
    except (OSError, HTTPException):
        return False
    finally:
        conn.close()


def check(fleet: SmallFleet, address: str, crowd: list[tuple[bytes, ...]]) -> None:
    host, _, port = address.rpartition(":")
    socks, descriptors = asyncio.run(send_crowd(fleet, (host, int(port)), crowd))
    try:
        # The crowd's connections are still open on its side.
        assert fleet.running["e1"].process.poll() is None
        fleet.wait(lambda: is_answered(fleet), ANSWER_WITHIN_S, "an ordinary request is answered")
    finally:
        for sock in socks:
            sock.close()
    fleet.wait(lambda: is_answered(fleet), ANSWER_WITHIN_S, "a request after the crowd has left")
    assert fleet.running["e1"].process.poll() is None
    assert most_resident_mb(fleet) < MEMORY_MB
    assert descriptors < MAX_FDS


@pytest.mark.parametrize("kind", CROWDS)
def test_crowd_of_callers_takes_no_more_than_the_process_has(fleet: SmallFleet, kind: str) -> None:
    """Callers send bodies that don't end, bodies that are too long, or heads of many lines."""
    check(fleet, fleet.running["e1"].address, CROWDS[kind])


def test_crowd_at_the_port_of_the_balancer(fleet: SmallFleet) -> None:
    """Connections to the readiness port send a path without end."""
    check(fleet, fleet.running["e1"].control, [LONG_PATH] * 60)
