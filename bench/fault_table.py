"""The steps and faults of the matrix: which action marks a step, how a fault begins and ends.

``bench.faults`` runs every combination.
"""

import functools
from collections.abc import Callable
from typing import Any, Final

from bench.fakes import FakeCacheStore, FakeTarget
from bench.platform_side import LATENCY_S
from bench.world import World
from filbertstream.actions import Log
from filbertstream.gateway_events import RemoveEntry, WriteEntry
from filbertstream.log_events import LogEvent
from filbertstream.process.cache_stores import FreeBlocks
from filbertstream.process.rollout_lease import WriteLease
from filbertstream.request.call_events import SendCall
from filbertstream.request.idempotency_keys import ClaimKey, KeyState, SettleKey
from filbertstream.version.documents import Model
from filbertstream.version.rollout import OrderWeights

ENTRIES: Final = ("e1", "e2", "e3", "e4", "e5")
JOINER: Final = "e6"

SLOW_S: Final = 0.6
"""The latency of a slow object store."""

IsStep = Callable[[Any], bool]
Fault = Callable[[World, str], Callable[[], None]]

FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault; its function returns a callable that ends it."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


def _logs(action: Any, event: LogEvent) -> bool:
    return isinstance(action, Log) and action.number == event


def _sends(action: Any, what: str) -> bool:
    if not isinstance(action, SendCall):
        return False
    if what == "plain":
        return action.cache is None
    directives = action.cache
    return directives is not None and (what == "prompt" or any(getattr(directives, what)))


STEPS: Final[dict[str, IsStep]] = {
    "claim": lambda action: isinstance(action, ClaimKey),
    "send": lambda action: _sends(action, "plain"),
    "settle": lambda action: (
        isinstance(action, SettleKey) and action.record.state is KeyState.STORED
    ),
    "stream": lambda action: _sends(action, "prompt"),
    "save": lambda action: _sends(action, "save"),
    "fetch": lambda action: _sends(action, "fetch"),
    "finish": lambda action: _logs(action, LogEvent.REQUEST_FINISHED),
    "in force": lambda action: _logs(action, LogEvent.REVISION_IN_FORCE),
    "weights named": lambda action: _logs(action, LogEvent.WEIGHTS_NAMED),
    "take duty": lambda action: isinstance(action, WriteLease),
    "order": lambda action: isinstance(action, OrderWeights),
    "order answered": lambda action: _logs(action, LogEvent.SWAP_ANSWERED),
    "free": lambda action: isinstance(action, FreeBlocks),
    "join": lambda action: isinstance(action, WriteEntry),
    "drain": lambda action: isinstance(action, RemoveEntry),
}


@fault("kill")
def _kill(world: World, member: str) -> Callable[[], None]:
    if member in world.cores:
        world.kill(member)

    def restart() -> None:
        if member not in world.cores:
            world.add_entry(member)

    return restart


@fault("all killed")
def _kill_all(world: World, member: str) -> Callable[[], None]:
    names = sorted(world.cores)
    for name in names:
        world.kill(name)
    for name in names:
        world.after(0.5, functools.partial(world.add_entry, name))
    return lambda: None


@fault("freeze and thaw")
def _freeze(world: World, member: str) -> Callable[[], None]:
    world.paused.add(member)
    return lambda: world.resume(member)


@fault("links cut")
def _cut(world: World, member: str) -> Callable[[], None]:
    peers = {*world.cores, *world.killed, JOINER} - {member}
    links = {frozenset((member, peer)) for peer in peers}
    world.cut |= links
    return lambda: world.cut.difference_update(links)


@fault("cut off from all")
def _isolate(world: World, member: str) -> Callable[[], None]:
    restore = _cut(world, member)
    world.store_cut.add(member)

    def end() -> None:
        restore()
        world.store_cut.discard(member)

    return end


@fault("platform down")
def _down(world: World, member: str) -> Callable[[], None]:
    world.objects.down = True
    return lambda: setattr(world.objects, "down", False)


@fault("platform slow")
def _slow(world: World, member: str) -> Callable[[], None]:
    world.platform.latency_s = SLOW_S
    return lambda: setattr(world.platform, "latency_s", LATENCY_S)


@fault("answers lost after the write")
def _lost(world: World, member: str) -> Callable[[], None]:
    world.objects.lose_responses = 3
    return lambda: setattr(world.objects, "lose_responses", 0)


@fault("writes carried out late")
def _late(world: World, member: str) -> Callable[[], None]:
    world.objects.late_writes = 3
    return lambda: setattr(world.objects, "late_writes", 0)


def _first_of_each(world: World) -> list[FakeTarget]:
    """Return the first runner and the first target of a plain service."""
    runners = [target for target in world.targets.values() if target.model]
    services = [target for target in world.targets.values() if not target.model]
    return [runners[0], services[0]]


def _first_store(world: World) -> FakeCacheStore:
    return next(iter(world.stores.values()))


@fault("target dead")
def _dead(world: World, member: str) -> Callable[[], None]:
    affected = _first_of_each(world)
    for target in affected:
        target.dead = True

    def end() -> None:
        for target in affected:
            target.dead = False

    return end


@fault("connections silent")
def _silent(world: World, member: str) -> Callable[[], None]:
    world.stalled |= {target.name for target in _first_of_each(world)}
    return world.stalled.clear


@fault("answer cut after the run")
def _cut_after_run(world: World, member: str) -> Callable[[], None]:
    def cut(count: int) -> None:
        for target in world.targets.values():
            target.lose_responses = count

    cut(3)
    return lambda: cut(0)


@fault("target leaving")
def _leaving(world: World, member: str) -> Callable[[], None]:
    _first_of_each(world)[0].draining = True
    return lambda: None


@fault("store dead")
def _store_dead(world: World, member: str) -> Callable[[], None]:
    store = _first_store(world)
    store.dead = True
    store.blocks.clear()
    store.events.clear()
    store.start_id += 1
    return lambda: setattr(store, "dead", False)


@fault("store full")
def _store_full(world: World, member: str) -> Callable[[], None]:
    store = _first_store(world)
    store.full = True
    return lambda: setattr(store, "full", False)


@fault("link slow")
def _link_slow(world: World, member: str) -> Callable[[], None]:
    store = _first_store(world)
    store.tokens_per_s /= 50
    return lambda: setattr(store, "tokens_per_s", 50 * store.tokens_per_s)


@fault("runner swapped unseen")
def _swapped(world: World, member: str) -> Callable[[], None]:
    runner = [target for target in world.targets.values() if target.model][1]
    before, runner.weights = runner.weights, 9
    runner.cache.clear()

    def end() -> None:
        if runner.weights == 9:
            runner.weights = before

    return end


@fault("operators race")
def _race(world: World, member: str) -> Callable[[], None]:
    revision = max(result.revision for _, result in world.applied).number
    for number in range(3):
        world.apply([Model("model", f"raced-{number}", 1)], revision)
    return lambda: None


PAIRS: Final = (
    ("kill", "platform down"),
    ("freeze and thaw", "answers lost after the write"),
    ("freeze and thaw", "writes carried out late"),
    ("cut off from all", "operators race"),
    ("platform down", "target dead"),
    ("links cut", "platform slow"),
    ("connections silent", "store dead"),
)
