"""A soak over real processes with overlapping random faults; a summary and an exit code.

    python -m bench.soak [--seconds 30] [--seed 1] [--seeds 1]

Callers ask for prompts and bookings all the while, over connections that they keep open; faults
(``bench.soak_faults``) strike from outside: signals, proxies that harm links, a store and targets
that misbehave.  While it runs: every whole answer is compared with what the runner makes of that
prompt, revisions seen at one life of an entry never fall.  At the end: every entry serves again,
runs are counted for each booking, and what was refused as not run did not run.
"""

import argparse
import functools
import random
import signal
import sys
import threading
import time
from collections import Counter
from typing import Any, Final

import msgspec
import urllib3

from bench.soak_faults import FAULTS, HARMED, End
from standins.fleet import Fleet, Options, running_fleet
from standins.platform_runner import response_tokens

WORKSPACE: Final = "bethesda-tours"
CHAT: Final = "/v1/chat/completions"
BOOK: Final = "/v1/services/bookings/bookings"
CALLERS: Final = 8
TOKENS: Final = 10
COME_BACK_S: Final = 0.3
MOST_AT_ONCE: Final = 3
FAULT_LEAST_S: Final = 0.3
FAULT_MOST_S: Final = 6.0
PAUSE_LEAST_S: Final = 0.1
PAUSE_MOST_S: Final = 1.0
REPAIR_S: Final = 20.0
"""Several times the bound for removed keys, after which all entries have been confirmed again."""

SERVICES: Final = ("bookings-1", "bookings-2", "bookings-3")


class Soak:
    """Callers, faults and what was seen."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.wrong: list[str] = []
        self.answered: Counter[str] = Counter()
        self.not_run: set[str] = set()
        self.revisions: dict[str, int] = {}
        self.stop = threading.Event()
        self.lock = threading.Lock()

    def run(self, seconds: float) -> None:
        """Run callers and faults for a time, end all faults, and let the fleet settle."""
        threads = [
            threading.Thread(target=self._caller, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]
        threads.append(threading.Thread(target=self._watch, daemon=True))
        for thread in threads:
            thread.start()
        try:
            self._play(time.monotonic() + seconds)
            self._repaired()
        finally:
            self.stop.set()
        for thread in threads:
            thread.join()

    def _play(self, end_s: float) -> None:
        """Begin faults at random times, several at once; end them all at the end."""
        under_way: list[tuple[float, End]] = []
        while time.monotonic() < end_s or under_way:
            now_s = time.monotonic()
            for item in [item for item in under_way if item[0] <= now_s or now_s >= end_s]:
                under_way.remove(item)
                item[1]()
            if now_s < end_s and len(under_way) < MOST_AT_ONCE:
                name = self.rng.choice(sorted(FAULTS))
                self.counts[f"fault: {name}"] += 1
                ends = FAULTS[name](self.fleet, self.rng)
                under_way.append((now_s + self.rng.uniform(FAULT_LEAST_S, FAULT_MOST_S), ends))
            time.sleep(self.rng.uniform(PAUSE_LEAST_S, PAUSE_MOST_S))

    def _repaired(self) -> None:
        """Once all faults are over, every entry must be ready and serve within a bound."""
        for number in range(1, self.fleet.options.entries + 1):
            entry = f"entry-{number}"
            try:
                self.fleet.wait_ready(entry)
                self.fleet.wait(functools.partial(self._serves, entry), REPAIR_S, "it serves")
            except TimeoutError as exc:
                self.wrong.append(f"{entry} after all faults: {exc}")

    def _serves(self, entry: str) -> bool:
        text = f"after {entry}"
        message = {"role": "user", "content": text}
        body = {"model": "guide-7b", "messages": [message], "stream": True, "max_tokens": TOKENS}
        return self.fleet.call(entry, CHAT, body, WORKSPACE).status == 200

    def _caller(self, number: int) -> None:
        rng = random.Random(number)
        turn = 0
        while not self.stop.is_set():
            turn += 1
            entry = f"entry-{rng.randint(1, self.fleet.options.entries)}"
            try:
                if turn % 3:
                    self._prompt(entry, f"caller {number} turn {turn}")
                else:
                    self._booking(entry, f"booking-{number}-{turn}")
            except urllib3.exceptions.HTTPError:
                self._count("connection lost")

    def _come_back(self, resp: urllib3.BaseHTTPResponse) -> None:
        """Wait as a refusal asks, but not for long: the next call is another one."""
        self.stop.wait(min(COME_BACK_S, float(resp.headers.get("Retry-After", "0"))))

    def _count(self, what: str) -> None:
        with self.lock:
            self.counts[what] += 1

    def _prompt(self, entry: str, text: str) -> None:
        message = {"role": "user", "content": text}
        body = {"model": "guide-7b", "messages": [message], "stream": True, "max_tokens": TOKENS}
        resp = self.fleet.call(entry, CHAT, body, WORKSPACE)
        if resp.status != 200:
            self._count(f"prompt refused: {_type_of(resp)}")
            self._come_back(resp)
        elif not resp.data.endswith(b"data: [DONE]\n\n"):
            self._count("prompt ended as an error")
        elif _words(resp.data) == "".join(response_tokens(f"user\x1f{text}\x1e", TOKENS)):
            self._count("prompt whole")
        else:
            self.wrong.append(f"{text}: another answer")

    def _booking(self, entry: str, reference: str) -> None:
        headers = {"Idempotency-Key": reference}
        resp = self.fleet.call(entry, BOOK, {"reference": reference}, WORKSPACE, headers)
        if resp.status == 200:
            self._count("booking answered")
            self.answered[reference] += 1
            return
        problem = msgspec.json.decode(resp.data)
        self._count(f"booking refused: {problem['type']} {problem['run']}")
        if problem["run"] == "not_run":
            self.not_run.add(reference)
        self._come_back(resp)

    def _watch(self) -> None:
        """Read revisions; a new life of an entry begins where the platform's log ends."""
        while not self.stop.wait(0.5):
            for number in range(1, self.fleet.options.entries + 1):
                name = f"entry-{number}"
                pid = self.fleet.running[name].process.pid
                try:
                    status = self.fleet.operator(name, "GET", "/v1/status")
                except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
                    continue
                life = f"{name} {pid}"
                if status["revision"] < self.revisions.get(life, 0):
                    self.wrong.append(f"{life}: revision fell")
                self.revisions[life] = status["revision"]

    def judge(self) -> list[str]:
        """Return everything that must not have happened."""
        runs: Counter[str] = Counter()
        for name in SERVICES:
            runs.update(self.fleet.counts(name)["references"])
        found = list(self.wrong)
        found += [f"{key} ran {count} times" for key, count in runs.items() if count > 1]
        found += [f"{key} was answered and never ran" for key in self.answered if not runs[key]]
        found += [f"{key} ran, refused as not run" for key in self.not_run if runs[key]]
        self.counts["bookings run"] = sum(runs.values())
        return found


def _type_of(resp: urllib3.BaseHTTPResponse) -> str:
    body: dict[str, Any] = msgspec.json.decode(resp.data)
    return str(body.get("type"))


def _words(body: bytes) -> str:
    datas = [event.partition(b"data: ")[2] for event in body.split(b"\n\n")[:-2]]
    chunks = [msgspec.json.decode(data) for data in datas]
    return "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks)


def play(seed: int, seconds: float) -> Soak:
    """Play a seed on a fleet of its own; ``judge`` tells what went wrong."""
    HARMED.clear()
    with running_fleet(Options(gap_s=0.01, log_level="error", proxied=True)) as fleet:
        soak = Soak(fleet, seed)
        soak.run(seconds)
        soak.wrong = soak.judge()
    return soak


def main() -> int:
    """Run the soak and print a summary of each seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many, one after the other")
    options = parser.parse_args()
    # All processes that were started here are ended on the way out.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        soak = play(seed, options.seconds)
        failed += bool(soak.wrong)
        print(f"seed={seed} seconds={options.seconds:.0f}")
        for what, count in sorted(soak.counts.items()):
            print(f"  {what}: {count}")
        for text in soak.wrong:
            print(f"  WRONG: {text}")
    print(f"{options.seeds} seeds, {failed} with a promise broken")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
