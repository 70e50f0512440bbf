"""Cost as work grows: slopes of the core's parts, measured in one process.

    python -m bench.slopes [--write docs/slopes.json]

Each row gives the time and memory at several sizes.  Time is processor time of one machine; what
counts is how it grows.  ``bench.capacity`` works docs/CAPACITY.md out from the written file.
"""

import argparse
import json
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Final, NamedTuple

import msgspec

from filbertstream.events import ListedTarget, ObjectRecord, PutFinished, ReadFinished
from filbertstream.messages import (
    CatalogueAsk,
    CatalogueNote,
    Heartbeat,
    TargetLoad,
    decode,
    encode,
)
from filbertstream.names import digest_text
from filbertstream.process.append_log import LogEntry, OpIds, Record
from filbertstream.process.directory import Directory
from filbertstream.process.membership import Membership, Registration
from filbertstream.request.claims import ClaimOp, Ledger, OpKind
from filbertstream.request.routing import POLICIES, Ask
from filbertstream.version.catalogue import Catalogue
from filbertstream.version.config_log import ConfigLog
from filbertstream.version.documents import (
    Change,
    Template,
    Weights,
    Workspace,
    encode_changes,
)

MEMBERS: Final = (8, 80, 400, 1_300)
RUNNERS: Final = (8, 80, 800, 7_400)
WORKSPACES: Final = (10, 1_000, 35_000)
PIECES: Final = (1_000, 20_000, 100_000)
BATCHES: Final = (1, 10, 100)
MICROSECONDS: Final = 1e6


class Slope(NamedTuple):
    """One figure at several sizes; ``unit`` tells what a value is."""

    name: str
    by: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]


def time_us(call: Callable[[], object], count: int) -> float:
    """Return the processor time of a call, in microseconds, the best of three rounds."""
    best = float("inf")
    for _ in range(3):
        began_s = time.process_time()
        for _ in range(count):
            call()
        best = min(best, (time.process_time() - began_s) / count)
    return best * MICROSECONDS


def bytes_of(build: Callable[[], object]) -> tuple[float, object]:
    """Return the memory that building something takes, and the thing."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(after - before), built


def directory_of(runners: int) -> Directory:
    """Return a directory with that many runners that have reported."""
    directory = Directory()
    rows = tuple(
        ListedTarget(f"r{n:05d}", f"v{n}", "runner", f"http://r{n}", f"dc{n % 10}", "live", "m", "")
        for n in range(runners)
    )
    directory.on_list(rows, 1.0)
    for row in rows:
        directory.targets[row.name].take_report(TargetLoad(row.name, 1, 0, 100, "v1", 0.5), 2.0)
    directory.on_list(rows, 2.0)
    return directory


def decision_us(runners: int) -> float:
    """Return the time of a routing decision."""
    directory = directory_of(runners)
    names = tuple(f"{n:032x}" for n in range(8))
    weights = Weights()
    ask = Ask("m", "v1", 17_000, names, (), weights, "dc1", frozenset())
    rng = random.Random(1)
    return time_us(lambda: POLICIES["cost"](ask, directory, 2.5, rng), 300)


def directory_bytes(runners: int) -> float:
    """Return the memory of the directory."""
    return bytes_of(lambda: directory_of(runners))[0]


def membership_of(members: int) -> Membership:
    """Return a membership that has heard all others."""
    own = Registration("m00000", "vm", 1, "dc0", "tcp://m0", 1)
    membership = Membership(own, (), OpIds())
    for number in range(1, members):
        membership.on_heartbeat(heartbeat_of(number), 10.0)
    return membership


def heartbeat_of(number: int) -> Heartbeat:
    """Return a heartbeat as it is sent under load."""
    loads = tuple(TargetLoad(f"runner-{n}", 3, 1, 4_000, "v1", 0.7) for n in range(2))
    return Heartbeat(
        f"m{number:05d}", 1, f"dc{number % 10}", f"tcp://10.0.0.1:{number}", "live",
        10.0, 9.5, 123_456, 0.4, loads, (), (),
    )  # fmt: skip


def owner_us(members: int) -> float:
    """Return the time of finding the owner of a chain."""
    membership = membership_of(members)
    membership.live(10.0)
    subjects = [f"{n:032x}" for n in range(200)]
    return time_us(lambda: [membership.owners(name, 10.0) for name in subjects], 5) / len(subjects)


def heartbeat_us(members: int) -> float:
    """Return the time of decoding a heartbeat and taking it in."""
    membership = membership_of(members)
    data = encode(heartbeat_of(members - 1))
    return time_us(lambda: membership.on_heartbeat(decode(data), 10.0), 1_000)  # type: ignore[arg-type]


def beat_us(members: int) -> float:
    """Return the time of encoding heartbeats to all that get one."""
    membership = membership_of(members)
    return time_us(lambda: [encode(heartbeat_of(1)) for _ in membership.fan_out(10.0)], 100)


def beats(members: int) -> float:
    """Return how many heartbeats a member sends a second."""
    return float(len(membership_of(members).fan_out(10.0)))


def live_us(members: int) -> float:
    """Return the time of working out the live members and the ring again."""
    membership = membership_of(members)
    moments = iter(range(20, 1_000_000))

    def again() -> None:
        at_s = 10.0 + next(moments) * 1e-9
        membership._live_until_s = 0.0
        membership.live(at_s)

    return time_us(again, 20)


def membership_bytes(members: int) -> float:
    """Return the memory of the membership with its ring."""

    def build() -> Membership:
        membership = membership_of(members)
        membership.live(10.0)
        membership.owner("x", 10.0)
        return membership

    return bytes_of(build)[0]


def config_of(workspaces: int) -> ConfigLog:
    """Return a configuration with that many workspaces."""
    log = ConfigLog(OpIds(), "m#1")
    log.view.put(Template("template", "t", ("m",), {}, ("s",)))
    for number in range(workspaces):
        log.view.put(workspace_of(number))
    return log


def workspace_of(number: int) -> Workspace:
    """Return a workspace with one key."""
    return Workspace("workspace", f"w{number:05d}", "t", keys=(digest_text(str(number)),))


def change_us(workspaces: int) -> float:
    """Return the time of learning a revision that changes one workspace."""
    log = config_of(workspaces)
    changes: list[Change] = [workspace_of(3)]
    payload = encode_changes(changes)
    positions = iter(range(1, 1_000_000))

    def learn() -> None:
        entry = LogEntry(next(positions), Record("n", payload))
        log._apply(log.log.learn((entry,)))

    return time_us(learn, 50)


def config_bytes(workspaces: int) -> float:
    """Return the memory of the configuration."""
    return bytes_of(lambda: config_of(workspaces))[0]


def catalogue_of(pieces: int) -> Catalogue:
    """Return a catalogue with that many pieces, eight a chain, two holders each."""
    catalogue = Catalogue(pieces)
    for first in range(0, pieces, 8):
        names = [f"{n:032x}" for n in range(first, first + 8)]
        catalogue.note("runner-1", names)
        catalogue.note("store-1", names)
    return catalogue


def find_us(pieces: int) -> float:
    """Return the time of a lookup of a chain of eight pieces."""
    catalogue = catalogue_of(pieces)
    names = tuple(f"{n:032x}" for n in range(8))
    return time_us(lambda: catalogue.find(names), 500)


def catalogue_bytes(pieces: int) -> float:
    """Return the memory of the catalogue."""
    return bytes_of(lambda: catalogue_of(pieces))[0]


def lookup_message_us(pieces: int) -> float:
    """Return the time of coding an ask and a note for a chain of that many pieces."""
    names = tuple(f"{n:032x}" for n in range(pieces))
    ask = CatalogueAsk("request", "tcp://10.0.0.1:1", names)
    note = CatalogueNote("runner-1", names[0], names)
    return time_us(lambda: (decode(encode(ask)), decode(encode(note))), 300)


def claim_us(batch: int) -> float:
    """Return the time of a claim and its outcome, written in batches of a size."""
    numbers = iter(range(100_000_000))

    def one_batch() -> None:
        ledger = Ledger(1, OpIds(), "m#1")
        shard = ledger.shard_of("00000000")
        first = ledger.submit(_op(next(numbers)))
        for _ in range(batch - 1):
            ledger.submit(_op(next(numbers)))
        put = first.asks[0]
        step = ledger.on_put(PutFinished(put.op_id, "ok", 1))  # type: ignore[union-attr]
        while step is not None and step.asks:
            step = ledger.on_put(PutFinished(step.asks[0].op_id, "ok", 1))  # type: ignore[union-attr]
        assert len(shard.index) == batch

    return time_us(one_batch, max(3, 100 // batch)) / batch


def _op(number: int) -> ClaimOp:
    key = f"00000000{number:056x}"
    return ClaimOp(OpKind.CLAIM, key, f"entry-1#1-{number:x}", "0" * 64, "entry-1#1")


def claim_bytes(claims: int) -> float:
    """Return the memory of the index of a shard with that many claims."""

    def build() -> Ledger:
        ledger = Ledger(1, OpIds(), "m#1")
        shard = ledger.shard_of("00000000")
        ops = [_op(number) for number in range(claims)]
        record = Record("n", msgspec.msgpack.encode(ops))
        (read,) = shard.poll().asks
        row = ObjectRecord("000000000001", 1, msgspec.msgpack.encode(record))
        ledger.on_read(ReadFinished(read.op_id, True, (row,)))  # type: ignore[union-attr]
        return ledger

    return bytes_of(build)[0]


def claim_record_bytes(claims: int) -> float:
    """Return the size of a record with that many claims and their outcomes."""
    ops = [_op(number) for number in range(claims)]
    done = [ClaimOp(OpKind.DONE, op.key, op.claim_id, status=200, answer=b"x" * 200) for op in ops]
    return float(len(msgspec.msgpack.encode(ops)) + len(msgspec.msgpack.encode(done)))


class Measure(NamedTuple):
    """How to measure one slope."""

    name: str
    by: str
    unit: str
    sizes: tuple[int, ...]
    measure: Callable[[int], float]


MEASURES: Final = (
    Measure("decision", "runners", "us", RUNNERS, decision_us),
    Measure("directory", "runners", "bytes", RUNNERS, directory_bytes),
    Measure("owner", "members", "us", MEMBERS, owner_us),
    Measure("heartbeat_in", "members", "us", MEMBERS, heartbeat_us),
    Measure("heartbeats_out", "members", "us", MEMBERS, beat_us),
    Measure("heartbeats", "members", "messages", MEMBERS, beats),
    Measure("live_set", "members", "us", MEMBERS, live_us),
    Measure("membership", "members", "bytes", MEMBERS, membership_bytes),
    Measure("change", "workspaces", "us", WORKSPACES, change_us),
    Measure("configuration", "workspaces", "bytes", WORKSPACES, config_bytes),
    Measure("lookup", "pieces", "us", PIECES, find_us),
    Measure("catalogue", "pieces", "bytes", PIECES, catalogue_bytes),
    Measure("lookup_message", "pieces of a chain", "us", (2, 8, 20), lookup_message_us),
    Measure("claim", "claims a batch", "us", BATCHES, claim_us),
    Measure("claim_index", "claims", "bytes", (100, 1_000, 10_000), claim_bytes),
    Measure("claim_record", "claims", "bytes", BATCHES, claim_record_bytes),
    Measure(
        "heartbeat_size", "messages", "bytes", (1,), lambda n: float(len(encode(heartbeat_of(1))))
    ),
)


def main() -> int:
    """Measure all slopes, print them, and write them where asked."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", type=Path)
    options = parser.parse_args()
    slopes = []
    for item in MEASURES:
        values = tuple(round(item.measure(size), 2) for size in item.sizes)
        slopes.append(Slope(item.name, item.by, item.unit, item.sizes, values))
        pairs = "  ".join(f"{s}: {v:g}" for s, v in zip(item.sizes, values, strict=True))
        print(f"{item.name:16} {item.unit:9} by {item.by:18} {pairs}", flush=True)
    if options.write is not None:
        rows = {slope.name: slope._asdict() for slope in slopes}
        options.write.write_text(json.dumps(rows, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
