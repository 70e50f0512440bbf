"""Load in which some prompts crash their runner, and what sound prompts and runners saw of it.

For the tests of fleets in virtual time.  Prompts share a first block, which is popular, and a
second one; some have a third, deadly block, on any entry.  Callers that are not served call once
more, on another entry.
"""

import functools
import random
from typing import Final

from bench.world import World
from filbertstream.request.call import PromptBlock

FIRST_BLOCKS: Final = 3
SECOND_BLOCKS: Final = 12
CALLER_RETRY_S: Final = 0.3
MAX_RETRY_AFTER_S: Final = 2.0
POLL_S: Final = 0.1

CONTACT_S: Final = 3.0
"""A part that crashes runners is kept from them from this long after its fifth crash."""

CRASHES_TO_LEARN: Final = 5
SENDS_AFTER: Final = 3


class CrashingLoad:
    """Submits prompts to a fleet; ``deadly`` are the blocks that crash its runners."""

    out_tokens = 8
    """The length of the responses."""

    def __init__(self, world: World, deadly: tuple[str, ...] = ("deadly",), seed: int = 1) -> None:
        self.world = world
        self.deadly = deadly
        self.rng = random.Random(seed)
        self.sound: list[tuple[float, str]] = []
        self._number = 0
        for target in world.targets.values():
            if target.model:
                target.deadly = frozenset(deadly)

    def run(self, per_s: float, seconds: float, share: float, position: int = 2) -> None:
        """Submit prompts; a ``share`` of them has a deadly block at a position."""
        for _ in range(round(per_s * seconds)):
            self._submit(self._blocks(share, position), None)
            self.world.run(self.rng.expovariate(per_s))

    def _blocks(self, share: float, position: int) -> tuple[PromptBlock, ...]:
        self._number += 1
        blocks = [
            PromptBlock(f"first {self._number % FIRST_BLOCKS}", 800),
            PromptBlock(f"second {self._number % SECOND_BLOCKS}", 300),
        ]
        if self.rng.random() < share:
            blocks.insert(position, PromptBlock(self.rng.choice(self.deadly), 200))
        return (*blocks, PromptBlock(f"own {self._number}", 100))

    def ask(self, entry: str, *names: str) -> str:
        """Submit one prompt with the named blocks and one of its own; return its request id."""
        self._number += 1
        blocks = [PromptBlock(name, 300) for name in names]
        blocks.append(PromptBlock(f"own {self._number}", 100))
        tokens = sum(block.tokens for block in blocks)
        return self.world.request(
            entry, tokens=tokens, blocks=tuple(blocks), out_tokens=self.out_tokens
        )

    def _submit(self, blocks: tuple[PromptBlock, ...], before: str | None) -> None:
        world = self.world
        entry = self.rng.choice(sorted(world.cores))
        tokens = sum(block.tokens for block in blocks)
        request_id = world.request(entry, tokens=tokens, blocks=blocks, out_tokens=self.out_tokens)
        is_deadly = any(block.block_id in self.deadly for block in blocks)
        if before is None:
            if not is_deadly:
                self.sound.append((world.now_s, request_id))
            world.after(POLL_S, functools.partial(self._follow, blocks, request_id))

    def _follow(self, blocks: tuple[PromptBlock, ...], request_id: str) -> None:
        """Wait for the outcome of a call, and call once more if it was not served."""
        outcomes = self.world.outcomes[request_id]
        if not outcomes:
            self.world.after(POLL_S, functools.partial(self._follow, blocks, request_id))
            return
        outcome = outcomes[0]
        if outcome.kind == "answered":
            return
        wait_s = CALLER_RETRY_S if outcome.retry_after_s is None else outcome.retry_after_s
        if wait_s <= MAX_RETRY_AFTER_S:
            self.world.after(wait_s, functools.partial(self._submit, blocks, request_id))

    def crashes(self) -> list[float]:
        """Return the times of all crashes."""
        targets = self.world.targets.values()
        return sorted(at_s for target in targets for at_s in target.crashes)

    def sends_after_learning(self) -> int:
        """Return the sends of deadly prompts from ``CONTACT_S`` after the fifth crash."""
        crashes = self.crashes()
        if len(crashes) < CRASHES_TO_LEARN:
            return 0
        from_s = crashes[CRASHES_TO_LEARN - 1] + CONTACT_S
        targets = self.world.targets.values()
        return sum(at_s > from_s for target in targets for at_s in target.deadly_arrivals)

    def begun_share(self, from_s: float, until_s: float) -> float:
        """Return the share of sound prompts of a period whose first attempt was answered."""
        ids = [name for at_s, name in self.sound if from_s <= at_s < until_s]
        outcomes = [self.world.outcomes[name] for name in ids]
        return sum(bool(item) and item[0].kind == "answered" for item in outcomes) / len(ids)
