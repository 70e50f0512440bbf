"""A soak over real processes with overlapping random faults; a summary and an exit code.

    python -m bench.soak [--seconds 30] [--seed 1] [--seeds 1] [--entries 3]
                         [--first FAULT]

Callers send prompts and bookings continuously over persistent connections; faults
(``bench.soak_faults``) are injected from outside: signals, proxies that break links, a faulty
object store and faulty targets.  Checked during the run: every complete response is the one that a
runner derives from that prompt, no call is denied that the documents allow, and the revision
reported by one incarnation of an entry never decreases.  Checked at the end: every entry serves
again and applies a change, each booking ran at most once and ran if
it got a response, no booking ran that was refused as not run, and no target that limited its
request rate got more than allowed.  Runners crash at certain prompts and come back; from soon after
the fifth crash they must get no more than a few of these.
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

from bench.arrivals import excesses
from bench.crashing_prompts import CONTACT_S, CRASHES_TO_LEARN, SENDS_AFTER
from bench.soak_faults import (
    CRASHING,
    FAULTS,
    FAULTY_TARGETS,
    MIN_DURATIONS_S,
    RUNNER_PREFIX,
    End,
    targets_of,
)
from filbertstream.epoch_number import NO_REVISION, EpochNumber
from filbertstream.request.prefix import text_blocks
from filbertstream.units import BLOCK_BYTES
from standins.fleet import Fleet, Options, running_fleet
from standins.platform_runner import response_tokens
from standins.processes import CrashBlock
from standins.restarts import Restarts

WORKSPACE: Final = "bethesda-tours"
CHAT: Final = "/v1/chat/completions"
BOOK: Final = "/v1/services/bookings/bookings"
ENTRIES: Final = 3
CALLERS: Final = 8
TOKENS: Final = 10
MAX_RETRY_WAIT_S: Final = 0.3
MAX_CONCURRENT_FAULTS: Final = 3
MIN_FAULT_S: Final = 0.3
MAX_FAULT_S: Final = 6.0
MIN_PAUSE_S: Final = 0.1
MAX_PAUSE_S: Final = 1.0
REPAIR_S: Final = 20.0
"""Several times the bound for removed keys, so all entries have confirmed their configuration."""

DENIALS: Final = (401, 403, 404)
APPLIED_S: Final = 2.0
"""The bound within which every entry applies a change."""

RECENT_BOOKINGS: Final = 40
REPEATED_SHARE: Final = 0.7

CRASHING_SHARE: Final = 0.1
CRASHING_TEXT: Final = "x" * BLOCK_BYTES
"""Prompts that begin with this text crash the runner that begins to respond to them."""

SERVICES: Final = ("bookings-1", "bookings-2", "bookings-3")


class Soak:
    """Callers, faults and the observed results."""

    def __init__(self, fleet: Fleet, seed: int, first: str = "") -> None:
        self.fleet = fleet
        self._first = first
        self.rng = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.violations: list[str] = []
        self.completed: Counter[str] = Counter()
        self.not_run: set[str] = set()
        self.revisions: dict[str, EpochNumber] = {}
        self.stop = threading.Event()
        self.lock = threading.Lock()

    def run(self, seconds: float) -> None:
        """Run callers and faults for a time, end all faults, and wait until all entries serve."""
        threads = [
            threading.Thread(target=self._caller, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]
        threads.append(threading.Thread(target=self._poll_revisions, daemon=True))
        for thread in threads:
            thread.start()
        try:
            self._inject_faults(time.monotonic() + seconds)
            self._check_recovery()
        finally:
            self.stop.set()
        for thread in threads:
            thread.join()

    def _inject_faults(self, end_s: float) -> None:
        """Inject faults at random times, several at once; end all of them at the end."""
        active: list[tuple[float, End]] = []
        while time.monotonic() < end_s or active:
            now_s = time.monotonic()
            for item in [item for item in active if item[0] <= now_s or now_s >= end_s]:
                active.remove(item)
                item[1]()
            if now_s < end_s and len(active) < MAX_CONCURRENT_FAULTS:
                name = self._first or self.rng.choice(sorted(FAULTS))
                self._first = ""
                self.counts[f"fault: {name}"] += 1
                end = FAULTS[name](self.fleet, self.rng)
                duration_s = self.rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
                active.append((now_s + max(duration_s, MIN_DURATIONS_S.get(name, 0.0)), end))
            time.sleep(self.rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    def _check_recovery(self) -> None:
        """Check that every entry is ready and serves within ``REPAIR_S`` after all faults."""
        for number in range(1, self.fleet.options.entries + 1):
            entry = f"entry-{number}"
            try:
                self.fleet.wait_ready(entry)
                self.fleet.wait(
                    functools.partial(self._serves, entry), REPAIR_S, "it serves a prompt"
                )
            except TimeoutError as exc:
                self.violations.append(f"{entry} after all faults: {exc}")
        try:
            self.fleet.wait(self._change_takes_effect, REPAIR_S, "a change takes effect")
        except TimeoutError as exc:
            self.violations.append(f"after all faults: {exc}")

    def _change_takes_effect(self) -> bool:
        """Whether a change is accepted and the first entry knows the changed document."""
        name = f"after-{self.rng.randint(0, 10**9)}"
        change = {"changes": [{"kind": "model", "name": name, "version": 1}], "base": None}
        result = self.fleet.operator("entry-1", "POST", "/v1/apply", change)
        if result.get("state") != "accepted":
            return False
        time.sleep(APPLIED_S)
        revisions = [
            self.fleet.operator(f"entry-{number}", "GET", "/v1/status")["revision"]
            for number in range(1, self.fleet.options.entries + 1)
        ]
        return revisions == [result["revision"]] * len(revisions)

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
                if CRASHING and rng.random() < CRASHING_SHARE:
                    self._prompt(entry, f"{CRASHING_TEXT} caller {number} turn {turn}")
                elif turn % 3:
                    self._prompt(entry, f"caller {number} turn {turn}")
                else:
                    self._booking(entry, f"booking-{number}-{turn}")
                    self._repeat_booking(entry, rng)
            except urllib3.exceptions.HTTPError:
                self._count("connection lost")

    def _wait_to_retry(self, resp: urllib3.BaseHTTPResponse) -> None:
        """Wait as ``Retry-After`` says, but not for long: the next call is a different one.

        No document is ever removed, so a denied call is a violation.
        """
        if resp.status in DENIALS:
            with self.lock:
                self.violations.append(f"a call that the documents allow got {resp.status}")
        self.stop.wait(min(MAX_RETRY_WAIT_S, float(resp.headers.get("Retry-After", "0"))))

    def _count(self, what: str) -> None:
        with self.lock:
            self.counts[what] += 1

    def _prompt(self, entry: str, text: str) -> None:
        message = {"role": "user", "content": text}
        body = {"model": "guide-7b", "messages": [message], "stream": True, "max_tokens": TOKENS}
        resp = self.fleet.call(entry, CHAT, body, WORKSPACE)
        if resp.status != 200:
            self._count(f"prompt refused: {_type_of(resp)}")
            self._wait_to_retry(resp)
        elif not resp.data.endswith(b"data: [DONE]\n\n"):
            self._count("prompt ended with an error")
        elif _response_text(resp.data) == "".join(response_tokens(f"user\x1f{text}\x1e", TOKENS)):
            self._count("prompt complete")
        else:
            self.violations.append(f"{text}: the response is not that of this prompt")

    def _booking(self, entry: str, reference: str) -> None:
        headers = {"Idempotency-Key": reference}
        resp = self.fleet.call(entry, BOOK, {"reference": reference}, WORKSPACE, headers)
        if resp.status == 200:
            self._count("booking completed")
            self.completed[reference] += 1
            return
        problem = msgspec.json.decode(resp.data)
        self._count(f"booking refused: {problem['type']} {problem['run']}")
        if problem["run"] == "not_run":
            self.not_run.add(reference)
        self._wait_to_retry(resp)

    def _repeat_booking(self, entry: str, rng: random.Random) -> None:
        """Send a recent booking again, maybe at another entry; it must not run a second time."""
        with self.lock:
            recent = list(self.completed)[-RECENT_BOOKINGS:]
        if recent and rng.random() < REPEATED_SHARE:
            reference = rng.choice(recent)
            headers = {"Idempotency-Key": reference}
            resp = self.fleet.call(entry, BOOK, {"reference": reference}, WORKSPACE, headers)
            self._count(f"booking repeated: {resp.status}")
            self._wait_to_retry(resp)

    def _poll_revisions(self) -> None:
        """Poll revisions; each process of an entry is compared only with itself."""
        while not self.stop.wait(0.5):
            for number in range(1, self.fleet.options.entries + 1):
                name = f"entry-{number}"
                pid = self.fleet.running[name].process.pid
                try:
                    status = self.fleet.operator(name, "GET", "/v1/status")
                except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
                    continue
                incarnation = f"{name} {pid}"
                revision = EpochNumber(status["epoch"], status["revision"])
                if revision < self.revisions.get(incarnation, NO_REVISION):
                    self.violations.append(f"{incarnation}: the revision decreased")
                self.revisions[incarnation] = revision

    def find_violations(self) -> list[str]:
        """Return all violations of the invariants."""
        runs: Counter[str] = Counter()
        for name in SERVICES:
            runs.update(self.fleet.counts(name)["references"])
        violations = list(self.violations)
        violations += [f"{key} ran {count} times" for key, count in runs.items() if count > 1]
        violations += [
            f"{key} got a response and never ran" for key in self.completed if not runs[key]
        ]
        violations += [
            f"{key} ran, but was refused as not run" for key in self.not_run if runs[key]
        ]
        self.counts["bookings run"] = sum(runs.values())
        for name in targets_of(self.fleet):
            arrivals = self.fleet.counts(name)["arrivals"]
            self.counts["requests to limited targets"] += sum(1 for _, per_s in arrivals if per_s)
            violations += [f"{name}: {excess}" for excess in excesses(arrivals)]
        return [*violations, *self._crash_violations()]

    def _crash_violations(self) -> list[str]:
        """Check that prompts which crash runners are kept from them soon after the fifth crash."""
        crashes = self.fleet.crash_times("crashed")
        self.counts["runners crashed by prompts"] = len(crashes)
        if len(crashes) < CRASHES_TO_LEARN:
            return []
        late_s = crashes[CRASHES_TO_LEARN - 1] + CONTACT_S
        late = sum(at_s > late_s for at_s in self.fleet.crash_times("arrived"))
        return [f"{late} prompts that crash runners sent late"] if late > SENDS_AFTER else []


def _type_of(resp: urllib3.BaseHTTPResponse) -> str:
    body: dict[str, Any] = msgspec.json.decode(resp.data)
    return str(body.get("type"))


def _response_text(body: bytes) -> str:
    payloads = [event.partition(b"data: ")[2] for event in body.split(b"\n\n")[:-2]]
    chunks = [msgspec.json.decode(data) for data in payloads]
    return "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks)


def play(seed: int, seconds: float, entries: int = ENTRIES, first: str = "") -> Soak:
    """Run a seed on a new fleet and check the invariants at the end.

    ``first`` is the first fault; the others are drawn.
    """
    FAULTY_TARGETS.clear()
    CRASHING.clear()
    block = text_blocks(f"user\x1f{CRASHING_TEXT}".encode())[0].block_id
    crash = CrashBlock(block, after_head=seed % 2 == 0)
    options = Options(entries=entries, gap_s=0.01, log_level="error", proxied=True, crash=crash)
    with running_fleet(options) as fleet:
        soak = Soak(fleet, seed, first)
        runners = [name for name in targets_of(fleet) if name.startswith(RUNNER_PREFIX)]
        restarts = Restarts(
            fleet, runners, lambda name: fleet.start_runner(int(name.rpartition("-")[2]))
        )
        restarts.start()
        try:
            soak.run(seconds)
        finally:
            restarts.close()
        soak.violations = soak.find_violations()
    return soak


def main() -> int:
    """Run the soak and print a summary of each seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of seeds, run one after another"
    )
    parser.add_argument(
        "--entries", type=int, default=ENTRIES, help="more than 12 make relays of some"
    )
    parser.add_argument("--first", default="", choices=["", *FAULTS], help="the first fault")
    options = parser.parse_args()
    # Exits normally on SIGTERM, so that all processes that were started here are ended.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        soak = play(seed, options.seconds, options.entries, options.first)
        failed += bool(soak.violations)
        print(f"seed={seed} seconds={options.seconds:.0f}")
        for what, count in sorted(soak.counts.items()):
            print(f"  {what}: {count}")
        for text in soak.violations:
            print(f"  VIOLATION: {text}")
    print(f"{options.seeds} seeds, {failed} with violations")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
