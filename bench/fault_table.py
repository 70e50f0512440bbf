"""The steps and the faults of the matrix: what shows a step, what a fault does and what ends it.

``bench.faults`` runs them against each other.
"""

from collections.abc import Callable
from typing import Final

from bench.world import World
from filbertstream.actions import (
    Action,
    ApplyEnded,
    ExportPieces,
    Log,
    OrderTarget,
    PutObject,
    SendAttempt,
    SendPeer,
)
from filbertstream.log_events import LogEvent
from filbertstream.messages import RevisionPush
from filbertstream.version.documents import Model

ENTRIES: Final = ("e1", "e2", "e3", "e4", "e5")
JOINER: Final = "e6"

Seen = Callable[[Action], bool]
Fault = Callable[[World, str, Action], Callable[[], None]]

STEPS: dict[str, Seen] = {}
FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault; it returns what ends it."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


def _puts(action: Action, kind: str) -> bool:
    return isinstance(action, PutObject) and action.kind.startswith(kind)


def _logs(action: Action, event: LogEvent) -> bool:
    return isinstance(action, Log) and action.number == event


STEPS.update(
    {
        "claim": lambda action: _puts(action, "claims-"),
        "send": lambda action: isinstance(action, SendAttempt) and action.kind == "service",
        "stream": lambda action: isinstance(action, SendAttempt) and action.kind == "runner",
        "import": lambda action: isinstance(action, SendAttempt) and bool(action.imports),
        "finish": lambda action: _logs(action, LogEvent.REQUEST_FINISHED),
        "export": lambda action: isinstance(action, ExportPieces),
        "publish": lambda action: _logs(action, LogEvent.PIECES_KEPT),
        "stage": lambda action: _puts(action, "config"),
        "spread": lambda action: (
            isinstance(action, SendPeer) and isinstance(action.payload, RevisionPush)
        ),
        "accept": lambda action: isinstance(action, ApplyEnded),
        "take lease": lambda action: _puts(action, "leases"),
        "order": lambda action: isinstance(action, OrderTarget),
        "swap": lambda action: _logs(action, LogEvent.SWAP_BEGAN),
        "join": lambda action: _puts(action, "members"),
        "drain": lambda action: _logs(action, LogEvent.DRAIN_BEGAN),
    }
)


@fault("kill")
def _kill(world: World, member: str, action: Action) -> Callable[[], None]:
    if member in world.cores:
        world.kill(member)

    def again() -> None:
        if member not in world.cores:
            world.add_entry(member)

    return again


@fault("freeze and thaw")
def _freeze(world: World, member: str, action: Action) -> Callable[[], None]:
    world.paused.add(member)
    return lambda: world.resume(member)


@fault("links cut")
def _cut(world: World, member: str, action: Action) -> Callable[[], None]:
    links = {frozenset((member, other)) for other in (*ENTRIES, JOINER) if other != member}
    world.cut |= links
    return lambda: world.cut.difference_update(links)


@fault("cut off from all")
def _isolate(world: World, member: str, action: Action) -> Callable[[], None]:
    mend = _cut(world, member, action)
    world.platform_cut.add(member)

    def end() -> None:
        mend()
        world.platform_cut.discard(member)

    return end


@fault("platform down")
def _down(world: World, member: str, action: Action) -> Callable[[], None]:
    world.platform.down = True
    return lambda: setattr(world.platform, "down", False)


@fault("platform slow")
def _slow(world: World, member: str, action: Action) -> Callable[[], None]:
    before_s, world.platform_s = world.platform_s, 1.2
    return lambda: setattr(world, "platform_s", before_s)


@fault("answers lost after the write")
def _lost(world: World, member: str, action: Action) -> Callable[[], None]:
    world.platform.lose_answers = 3
    return lambda: setattr(world.platform, "lose_answers", 0)


@fault("target dead")
def _dead(world: World, member: str, action: Action) -> Callable[[], None]:
    runner, service = world.runners["r1"], world.services["s1"]
    runner.dead = service.dead = True

    def end() -> None:
        runner.dead = service.dead = False

    return end


@fault("connections silent")
def _silent(world: World, member: str, action: Action) -> Callable[[], None]:
    world.silent |= {"r1", "s1"}
    return world.silent.clear


@fault("answer cut after the run")
def _cut_after_run(world: World, member: str, action: Action) -> Callable[[], None]:
    def cut(count: int) -> None:
        for service in world.services.values():
            service.cut_after_run = count

    cut(3)
    return lambda: cut(0)


@fault("target leaving")
def _leaving(world: World, member: str, action: Action) -> Callable[[], None]:
    runner = world.runners["r1"]
    runner.listed = runner.listed._replace(state="leaving")
    return lambda: None


@fault("store dead")
def _store_dead(world: World, member: str, action: Action) -> Callable[[], None]:
    store = world.stores["st1"]
    store.dead = True
    store.pieces.clear()
    return lambda: setattr(store, "dead", False)


@fault("store full")
def _store_full(world: World, member: str, action: Action) -> Callable[[], None]:
    store = world.stores["st1"]
    store.full = True
    return lambda: setattr(store, "full", False)


@fault("link slow")
def _link_slow(world: World, member: str, action: Action) -> Callable[[], None]:
    store = world.stores["st1"]
    store.link_bytes_per_s /= 50
    return lambda: setattr(store, "link_bytes_per_s", 50 * store.link_bytes_per_s)


@fault("runner swapped unseen")
def _swapped(world: World, member: str, action: Action) -> Callable[[], None]:
    runner = world.runners["r2"]
    before, runner.weight_version = runner.weight_version, "v0"
    runner.cache.clear()

    def end() -> None:
        if runner.weight_version == "v0":
            runner.weight_version = before

    return end


@fault("operators race")
def _race(world: World, member: str, action: Action) -> Callable[[], None]:
    for number, name in enumerate(sorted(world.cores)):
        if name not in world.paused:
            world.apply(name, [Model("model", f"raced-{number}", "v1")], 1)
    return lambda: None


PAIRS: Final = (
    ("kill", "platform down"),
    ("freeze and thaw", "answers lost after the write"),
    ("cut off from all", "operators race"),
    ("platform down", "target dead"),
    ("links cut", "platform slow"),
    ("connections silent", "store dead"),
)
