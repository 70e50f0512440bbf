"""Measures how the cost of one entry grows with its load: slopes for docs/CAPACITY.md.

    python -m bench.slopes [--write docs/slopes.json]

Each measure is a function of one size.  Processor times depend on the machine, so CI has no bounds
for them.
"""

import argparse
import json
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec

from bench.crash_slopes import (
    begun_bytes,
    crashes_bytes,
    keys_bytes,
    quarantine_bytes,
    recovery_us,
    screen_us,
    verdict_us,
)
from bench.world import BOUNDS
from filbertstream.epoch_number import EpochNumber
from filbertstream.gateway import Gateway, GatewayConfig
from filbertstream.gateway_events import ConfigurationObserved, TargetObserved, TargetsListed
from filbertstream.messages import (
    EntryWork,
    FleetWork,
    FleetWorkRow,
    RateRow,
    WorkRow,
    decode,
    encode,
)
from filbertstream.names import digest_key
from filbertstream.process.deployment import Address
from filbertstream.process.request_rates import MAX_ROWS as MAX_RATE_ROWS
from filbertstream.process.target_registration import TargetRegistration
from filbertstream.process.work_exchange import MAX_ROWS
from filbertstream.request.call import CallHead, IdempotencyKey, Prompt, PromptBlock
from filbertstream.request.call_events import CallArrived, CallerDisconnected
from filbertstream.request.idempotency_keys import KeyRecord, KeyState
from filbertstream.version.compiled import compile_documents, document_set, model_host, service_host
from filbertstream.version.documents import Document, Limits, Model, Service, Template, Workspace
from filbertstream.version.routes import CallerLimits

REVISION: Final = EpochNumber(0, 1)
RUNNERS: Final = (10, 100, 740, 2_000)
WORKSPACES: Final = (100, 1_000, 35_000)
ROWS: Final = (1, 10, 100, 740)
FLEET_ROWS: Final = (1, 10, 100, MAX_ROWS)
RATE_ROWS: Final = (1, 10, MAX_RATE_ROWS)
CALLS_PER_ROUND: Final = 200
US_PER_S: Final = 1e6
NOW_S: Final = 100.0


class Slope(NamedTuple):
    """A quantity measured at several sizes."""

    name: str
    by: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]


def time_per_call_us(
    operation: Callable[[int], object], calls_per_round: int = CALLS_PER_ROUND
) -> float:
    """Return the processor time of one call in microseconds, the minimum of three rounds."""
    rounds = []
    for _ in range(3):
        began_s = time.process_time()
        for number in range(calls_per_round):
            operation(number)
        rounds.append((time.process_time() - began_s) / calls_per_round * US_PER_S)
    return min(rounds)


def memory_bytes(build: Callable[[], Any]) -> float:
    """Return the memory that the result of ``build`` takes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del built
    return float(size)


def documents(workspaces: int) -> list[Document]:
    """Return a deployment's documents."""
    docs: list[Document] = [
        Model("model", "m", 1),
        Service("service", "s"),
        Template("template", "t", ("m",), ("s",), limits=Limits(10**6, 1e9)),
    ]
    docs += [
        Workspace("workspace", f"w{number}", "t", keys=(digest_key(f"key-{number}"),))
        for number in range(workspaces)
    ]
    return docs


def registration_of(number: int) -> TargetRegistration:
    """Return a runner's registration."""
    address = Address(f"10.1.{number // 250}.{number % 250}", 80)
    return TargetRegistration(f"r{number}", "m", address, "dc1", 8, False, 0.0, {"m": 1}, 1)


def core_with(runners: int) -> Gateway:
    """Return a core with a number of runners in its roster."""
    core = Gateway(GatewayConfig("e", 1, "dc1", BOUNDS, "tcp://e", 1))
    config = compile_documents(document_set(documents(1)), REVISION, CallerLimits())
    core.step(NOW_S, ConfigurationObserved(config, NOW_S))
    core.step(NOW_S, TargetsListed(tuple(registration_of(number) for number in range(runners))))
    return core


def prompt_call(number: int) -> CallArrived:
    """Return a call with a prompt of nine cache blocks, as a returning prompt has."""
    blocks = tuple(PromptBlock(f"talk-{number % 50}-{index}", 2_000) for index in range(9))
    prompt = Prompt("m", 18_000, 100, blocks)
    head = CallHead(f"q{number}", "POST", model_host("m"), "/", "key-0", None, 9, prompt, None)
    return CallArrived(number + 1, head)


def decision_us(runners: int) -> float:
    """Measure a call from its arrival to its send, and its cancellation."""
    core = core_with(runners)

    def serve(number: int) -> None:
        core.step(NOW_S, prompt_call(number))
        core.step(NOW_S, CallerDisconnected(number + 1))

    return time_per_call_us(serve, max(5, 20_000 // max(100, runners)))


def roster_bytes(runners: int) -> float:
    """Measure the memory that an entry uses for runners."""
    return memory_bytes(lambda: core_with(runners)) - memory_bytes(lambda: core_with(1))


def refresh_us(runners: int) -> float:
    """Measure the handling of one renewed registration."""
    core = core_with(runners)
    return time_per_call_us(
        lambda number: core.step(NOW_S, TargetObserved("r0", registration_of(0), False))
    )


def work_of(rows: int) -> EntryWork:
    """Return a message with the work at a number of targets."""
    return EntryWork("e2", tuple(WorkRow(f"r{n}", 3, 40_000, 900) for n in range(rows)))


def work_bytes(rows: int) -> float:
    """Measure the size of a message."""
    return float(len(encode(work_of(rows))))


def work_us(rows: int) -> float:
    """Measure the handling of a message."""
    core = core_with(1)
    data = encode(work_of(rows))

    def handle(number: int) -> None:
        message = decode(data)
        if isinstance(message, EntryWork):
            core.peers.on_work(message, NOW_S)

    return time_per_call_us(handle)


def fleet_of(rows: int) -> FleetWork:
    """Return a relay's message with the fleet's work at a number of targets."""
    work = tuple(FleetWorkRow(f"r{n}", 30, 400_000, 9_000, 900) for n in range(rows))
    return FleetWork("e2", work, True)


def fleet_bytes(rows: int) -> float:
    """Measure the size of a relay's message."""
    return float(len(encode(fleet_of(rows))))


def rates_bytes(rows: int) -> float:
    """Measure what the limits of a number of targets add to a message."""
    rates = tuple(RateRow(f"i-{n:010x}", 1_790_000_000_000 + n, 2.1, 0.123) for n in range(rows))
    empty = EntryWork("e2", ())
    return float(len(encode(EntryWork("e2", (), True, rates))) - len(encode(empty)))


def fleet_us(rows: int) -> float:
    """Measure the handling of a relay's message, and one sum over it for a decision."""
    core = core_with(1)
    data = encode(fleet_of(rows))

    def handle(number: int) -> None:
        message = decode(data)
        if isinstance(message, FleetWork):
            core.peers.on_fleet(message, NOW_S)
            core.peers.totals(NOW_S)

    return time_per_call_us(handle)


def change_us(workspaces: int) -> float:
    """Measure the application of a change, which recompiles all documents."""
    docs = documents(workspaces)

    def compile_all(number: int) -> None:
        compile_documents(document_set(docs), EpochNumber(0, number), CallerLimits())

    return time_per_call_us(compile_all, max(1, 2_000 // workspaces))


def config_bytes(workspaces: int) -> float:
    """Measure the memory that an entry uses for a configuration."""
    docs = documents(workspaces)
    return memory_bytes(lambda: compile_documents(document_set(docs), REVISION, CallerLimits()))


def documents_bytes(workspaces: int) -> float:
    """Measure the object that holds all documents."""
    rows = [msgspec.to_builtins(item) for item in documents(min(workspaces, 1_000))]
    size = len(msgspec.json.encode(rows))
    return size * workspaces / min(workspaces, 1_000)


def claim_us(calls: int) -> float:
    """Measure the core's processor time for a call with an idempotency key."""
    core = core_with(1)

    def serve(number: int) -> None:
        idempotency_key = IdempotencyKey(f"key-{number}", "body")
        host = service_host("s", "POST")
        head = CallHead(
            f"q{number}", "POST", host, "/", "key-0", None, 9, None, None, idempotency_key
        )
        core.step(NOW_S, CallArrived(number + 1, head))
        core.step(NOW_S, CallerDisconnected(number + 1))

    return time_per_call_us(serve, calls)


def key_bytes(body: int) -> float:
    """Measure the object of a key whose response has a body of a given size."""
    record = KeyRecord(
        KeyState.STORED, "entry-1-0-0", "f" * 64, "entry-1", 1, 200, "application/json", b"x" * body
    )
    return float(len(msgspec.json.encode(record)))


class Measure(NamedTuple):
    """How to measure one slope."""

    name: str
    by: str
    unit: str
    sizes: tuple[int, ...]
    measure: Callable[[int], float]


MEASURES: Final = (
    Measure("decision", "runners", "us", RUNNERS, decision_us),
    Measure("roster", "runners", "bytes", RUNNERS, roster_bytes),
    Measure("refresh", "runners", "us", RUNNERS, refresh_us),
    Measure("work_size", "targets with work", "bytes", ROWS, work_bytes),
    Measure("work_in", "targets with work", "us", ROWS, work_us),
    Measure("fleet_size", "targets with work", "bytes", FLEET_ROWS, fleet_bytes),
    Measure("fleet_in", "targets with work", "us", FLEET_ROWS, fleet_us),
    Measure("rates_size", "targets that limit their rate", "bytes", RATE_ROWS, rates_bytes),
    Measure("crashes_size", "crashes not explained yet", "bytes", (1, 4, 12), crashes_bytes),
    Measure("begun_size", "acquitted blocks", "bytes", (1, 16, 64), begun_bytes),
    Measure("keys_size", "recent keys", "bytes", (1, 8, 32), keys_bytes),
    Measure("recovery", "entries", "us", (8, 195, 1_300), recovery_us),
    Measure("quarantine_size", "quarantined blocks", "bytes", (1, 8, 64), quarantine_bytes),
    Measure("verdict", "crashes not explained yet", "us", (1, 12, 64), verdict_us),
    Measure("screen", "quarantined blocks and crashes", "us", (0, 8, 64), screen_us),
    Measure("change", "workspaces", "us", WORKSPACES, change_us),
    Measure("configuration", "workspaces", "bytes", WORKSPACES, config_bytes),
    Measure("documents", "workspaces", "bytes", WORKSPACES, documents_bytes),
    Measure("claim", "calls in a row", "us", (200,), claim_us),
    Measure("key", "bytes of an answer", "bytes", (0, 200, 64_000), key_bytes),
)


def main() -> int:
    """Measure all slopes, print them, and write them to a file if requested."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", type=Path)
    parser.add_argument(
        "--only", nargs="+", default=[], help="measure these and keep the file's other slopes"
    )
    options = parser.parse_args()
    slopes = []
    for item in [item for item in MEASURES if not options.only or item.name in options.only]:
        values = tuple(round(item.measure(size), 2) for size in item.sizes)
        slopes.append(Slope(item.name, item.by, item.unit, item.sizes, values))
        pairs = "  ".join(f"{s}: {v:g}" for s, v in zip(item.sizes, values, strict=True))
        print(f"{item.name:16} {item.unit:9} by {item.by:18} {pairs}", flush=True)
    if options.write is not None:
        known = json.loads(options.write.read_text()) if options.only else {}
        measured = {slope.name: slope._asdict() for slope in slopes}
        rows = {item.name: {**known, **measured}[item.name] for item in MEASURES}
        options.write.write_text(json.dumps(rows, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
