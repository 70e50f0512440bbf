"""Measures the time added to the first token, against direct calls of the stand-in runner.

    python -m bench.overhead [--streams 50] [--rounds 6]

Each round opens the same number of streams through an entry and then directly to the runners, so
that both run under the same load of the machine.  Wall times depend on the machine, so CI has no
bounds for them.
"""

import argparse
import statistics
import sys
import threading
import time
from typing import Final

import msgspec
import urllib3

from standins.fleet import Fleet, Options, running_fleet

WORKSPACE: Final = "bethesda-tours"
PROMPT: Final = "When does the gate open? "
TOKENS: Final = 20


def body(number: int) -> bytes:
    """Return the request body of a short prompt, different for each number."""
    message = {"role": "user", "content": f"{number} {PROMPT * 4}"}
    fields = {"model": "guide-7b", "messages": [message], "stream": True, "max_tokens": TOKENS}
    return msgspec.json.encode(fields)


def first_token_s(pool: urllib3.PoolManager, url: str, number: int) -> float:
    """Return the time to the first event of a stream; the stream is read to its end."""
    headers = {
        "Authorization": f"Bearer key-{WORKSPACE}",
        "Content-Type": "application/json",
        "Request-Id": f"direct-{number}",
        "Token-Count": f"0,{TOKENS}",
    }
    began_s = time.monotonic()
    resp = pool.request("POST", url, body=body(number), headers=headers, preload_content=False)
    chunks = resp.stream()
    next(chunks)
    first_s = time.monotonic() - began_s
    for _ in chunks:
        pass
    resp.release_conn()
    return first_s


def one_round(pool: urllib3.PoolManager, urls: list[str], streams: int, base: int) -> list[float]:
    """Return the times of streams opened at once, spread over the URLs."""
    times: list[float] = []

    def caller(number: int) -> None:
        times.append(first_token_s(pool, urls[number % len(urls)], base + number))

    threads = [threading.Thread(target=caller, args=(number,)) for number in range(streams)]
    for thread in threads:
        thread.start()
        # Streams begin one after another, like those of independent callers.
        time.sleep(0.01)
    for thread in threads:
        thread.join()
    return times


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile of measured values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def main() -> int:
    """Measure and print one line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=50)
    parser.add_argument("--rounds", type=int, default=6)
    options = parser.parse_args()
    with running_fleet(Options(entries=1, log_level="error")) as fleet:
        through, direct = measure(fleet, options.streams, options.rounds)
    added_median_ms = 1e3 * (statistics.median(through) - statistics.median(direct))
    added_p95_ms = 1e3 * (percentile(through, 0.95) - percentile(direct, 0.95))
    print(
        f"streams={options.streams} rounds={options.rounds} "
        f"direct_median_ms={1e3 * statistics.median(direct):.2f} "
        f"added_median_ms={added_median_ms:.2f} added_p95_ms={added_p95_ms:.2f}"
    )
    return 0


def measure(fleet: Fleet, streams: int, rounds: int) -> tuple[list[float], list[float]]:
    """Return the times through the entry and direct, from alternating rounds."""
    pool = urllib3.PoolManager(num_pools=20, maxsize=streams, retries=False, timeout=30.0)
    path = "/v1/chat/completions"
    entry = [fleet.running["entry-1"].url + path]
    runners = [
        process.url + path for name, process in fleet.running.items() if name.startswith("runner")
    ]
    through: list[float] = []
    direct: list[float] = []
    one_round(pool, entry, streams, 0)
    one_round(pool, runners, streams, 0)
    for number in range(1, rounds + 1):
        through += one_round(pool, entry, streams, 1_000 * number)
        direct += one_round(pool, runners, streams, 1_000 * number)
    return through, direct


if __name__ == "__main__":
    sys.exit(main())
