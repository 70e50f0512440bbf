"""A ready simulated fleet for tests.

It has entries, two runners, two service targets, a cache store and two workspaces.
"""

import functools

from bench.world import BOUNDS, World
from bench.world_documents import world_documents
from filbertstream.epoch_number import EpochNumber
from filbertstream.process.cache_stores import SAVE_HOLDOFF_S
from filbertstream.process.counters import Counters
from filbertstream.process.deployment import Bounds
from filbertstream.process.rate_shares import RateShares
from filbertstream.process.request_rates import RequestRates
from filbertstream.request.rate_admission import RateAdmission
from filbertstream.version.documents import (
    Objectives,
)

rev = functools.partial(EpochNumber, 0)
"""A revision of an object store with a single history."""

DOCUMENTS = world_documents({"w": "k", "x": "other"}, Objectives(deadline_s=12.0))


def ready_world(entries: int = 3, seed: int = 1, bounds: Bounds = BOUNDS) -> World:
    """Return a simulated fleet whose entries accept requests."""
    world = World(seed, bounds)
    for number in range(1, entries + 1):
        world.add_entry(f"e{number}", f"dc{1 + (number - 1) % 3}")
    world.add_runner("r1")
    world.add_runner("r2", "dc2")
    world.add_service("s1")
    world.add_service("s2", "dc2")
    world.add_store("st1")
    ended = world.apply([*DOCUMENTS, world.store_document("st1")])
    assert ended.state == "accepted", ended
    assert world.run_until(lambda: all_ready(world, ended.revision), 8.0)
    # An entry saves blocks to a cache store only some time after its first response.
    world.run(SAVE_HOLDOFF_S + 1.0)
    return world


def all_ready(world: World, revision: EpochNumber) -> bool:
    """Return whether every entry accepts requests under a revision and has found its peers."""
    for core in world.cores.values():
        config = core.authorizer.config
        if config is None or config.version < revision or not core.ready(world.now_s):
            return False
        if len(core.peers.members) < len(world.cores):
            return False
    return True


def runs(world: World, key: str) -> int:
    """Return how often the call of an idempotency key ran."""
    return sum(target.runs[key] for target in world.targets.values())


def kinds(world: World, request_id: str) -> list[str]:
    """Return the kinds of a request's outcomes."""
    return [outcome.kind for outcome in world.outcomes[request_id]]


def codes(world: World, request_id: str) -> list[str]:
    """Return the error codes of a request's outcomes."""
    return [outcome.code for outcome in world.outcomes[request_id]]


def unlimited() -> RateAdmission:
    """Return the admission of an entry to which no target has named a request rate."""
    return RateAdmission(RequestRates(Counters()), RateShares("e1"))
