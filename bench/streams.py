"""Measures the streams and tokens per second of entry processes, and the gaps between tokens.

    python -m bench.streams [--streams 160] [--entries 1] [--seconds 8]

Each client is a selector loop over plain sockets in a separate process, so that it measures the
entries and not itself.  Wall times depend on the machine, so CI has no bounds for them.
"""

import argparse
import multiprocessing
import selectors
import socket
import sys
import time
from typing import Any, Final, NamedTuple

import msgspec

from bench.idle import usage
from standins.fleet import Fleet, Options, running_fleet

WORKSPACE: Final = "llanberis-ice"
GAP_S: Final = 0.027
STREAMS_PER_CLIENT: Final = 80
RECEIVE_BYTES: Final = 65_536


class Measured(NamedTuple):
    """Measurements of one client process: gaps between tokens, complete streams, events."""

    gaps: list[float]
    complete: int
    events: int


class _Stream:
    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.last_s: float | None = None
        self.events = 0
        self.tail = b""


def _open(address: tuple[str, int], number: int, tokens: int) -> _Stream:
    message = {"role": "user", "content": f"stream {number}"}
    fields = {"model": "guide-7b", "messages": [message], "stream": True, "max_tokens": tokens}
    body = msgspec.json.encode(fields)
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {address[0]}\r\n"
        f"Authorization: Bearer key-{WORKSPACE}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    sock = socket.create_connection(address)
    sock.sendall(head.encode() + body)
    sock.setblocking(False)
    return _Stream(sock)


def read_streams(addresses: list[tuple[str, int]], streams: int, tokens: int, queue: Any) -> None:
    """Open streams, read them to their ends, and put the measurements on the queue."""
    selector = selectors.DefaultSelector()
    for number in range(streams):
        stream = _open(addresses[number % len(addresses)], number, tokens)
        selector.register(stream.sock, selectors.EVENT_READ, stream)
        # Callers are independent, so their tokens must not arrive at the same times.
        time.sleep(GAP_S / 7)
    gaps: list[float] = []
    complete = 0
    events = 0
    open_streams = streams
    while open_streams:
        for key, _ in selector.select():
            stream = key.data
            data = stream.sock.recv(RECEIVE_BYTES)
            now_s = time.monotonic()
            count = data.count(b"data: {")
            events += count
            if count and stream.last_s is not None:
                gaps += [now_s - stream.last_s, *[0.0] * (count - 1)]
            if count:
                stream.last_s = now_s
            ended = b"data: [DONE]" in stream.tail + data
            stream.tail = data[-16:]
            if ended or not data:
                complete += ended
                open_streams -= 1
                selector.unregister(stream.sock)
                stream.sock.close()
    queue.put(Measured(gaps, complete, events))


def run(fleet: Fleet, streams: int, seconds: float) -> tuple[Measured, float]:
    """Read streams through all entries; return the measurements and the elapsed seconds."""
    addresses = []
    for name, process in fleet.running.items():
        if name.startswith("entry"):
            host, _, port = process.address.rpartition(":")
            addresses.append((host, int(port)))
    tokens = int(seconds / GAP_S)
    queue: Any = multiprocessing.Queue()
    stream_counts = [
        min(STREAMS_PER_CLIENT, streams - begin) for begin in range(0, streams, STREAMS_PER_CLIENT)
    ]
    began_s = time.monotonic()
    clients = [
        multiprocessing.Process(target=read_streams, args=(addresses, stream_count, tokens, queue))
        for stream_count in stream_counts
    ]
    for client in clients:
        client.start()
    measured = [queue.get(timeout=10 * seconds + 60) for _ in clients]
    elapsed_s = time.monotonic() - began_s
    for client in clients:
        client.join()
    gaps = [gap for process in measured for gap in process.gaps]
    return (
        Measured(gaps, sum(p.complete for p in measured), sum(p.events for p in measured)),
        elapsed_s,
    )


def main() -> int:
    """Measure and print one line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=160)
    parser.add_argument("--entries", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    with running_fleet(Options(entries=options.entries, gap_s=GAP_S, log_level="error")) as fleet:
        names = [name for name in fleet.running if name.startswith("entry")]
        pids = [fleet.running[name].process.pid for name in names]
        before = sum(usage(pid).cpu_s for pid in pids)
        measured, elapsed_s = run(fleet, options.streams, options.seconds)
        after = [usage(pid) for pid in pids]
    gaps = sorted(measured.gaps)
    cpu_s = sum(item.cpu_s for item in after) - before
    print(
        f"entries={options.entries} streams={options.streams} complete={measured.complete} "
        f"tokens_per_s={measured.events / elapsed_s:.0f} "
        f"p50_gap_ms={1e3 * gaps[len(gaps) // 2]:.1f} "
        f"p95_gap_ms={1e3 * gaps[int(0.95 * len(gaps))]:.1f} "
        f"p99_gap_ms={1e3 * gaps[int(0.99 * len(gaps))]:.1f} "
        f"cpu_ms_per_token={1e3 * cpu_s / measured.events:.3f} "
        f"resident_mb={max(item.resident_bytes for item in after) / 1e6:.0f}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
