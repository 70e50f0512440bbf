"""Requests for the routing bench: conversations that return after long gaps, and short questions.

The shapes follow the brief: Cwmdu has many walk-in questions beside drafts that come back;
Alfombras Limpias has long dispute histories that come back, beside short reminders.  All
conversations have been seen before, and their cache is kept on the stores when a run begins.
"""

import random
from typing import Final, NamedTuple

from filbertstream.version.documents import Weights


class Deployment(NamedTuple):
    """Sizes and shapes of one deployment; token counts are ranges."""

    name: str
    runners: int
    services: int
    entries: int
    data_centers: int
    conversations: int
    returning_share: float
    history_tokens: tuple[int, int]
    added_tokens: tuple[int, int]
    short_tokens: tuple[int, int]
    service_share: float
    weights: Weights
    first_measure: str
    capacity_per_s: float
    """The highest rate at which the oracle's p95 time to first token stays under a second."""


CWMDU: Final = Deployment(
    "cwmdu", 6, 3, 8, 3, 300, 0.4, (3_000, 18_000), (50, 600), (60, 900), 0.1,
    Weights(1.0, 0.2, 0.1), "first_token", 400.0,
)  # fmt: skip

ALFOMBRAS: Final = Deployment(
    "alfombras-limpias", 5, 3, 8, 3, 250, 0.6, (8_000, 40_000), (100, 900), (60, 500), 0.1,
    Weights(0.4, 1.0, 0.1), "recomputed", 125.0,
)  # fmt: skip

DEPLOYMENTS: Final = {item.name: item for item in (CWMDU, ALFOMBRAS)}


class Arrival(NamedTuple):
    """One request of the workload; ``service`` ones have no prompt."""

    at_s: float
    service: bool
    workspace: int
    tokens: int
    pieces: tuple[bytes, ...]
    new_tokens: int
    out_tokens: int


class Conversation:
    """A prompt that grows by each return."""

    def __init__(self, number: int, tokens: int) -> None:
        self.number = number
        self.tokens = tokens

    def pieces(self, piece_tokens: int) -> tuple[bytes, ...]:
        """Return the chained digests of its full pieces."""
        count = self.tokens // piece_tokens
        return tuple((self.number * 100_000 + index).to_bytes(16, "big") for index in range(count))


def conversations(deployment: Deployment, rng: random.Random) -> list[Conversation]:
    """Return the conversations as they are before the first arrival."""
    return [
        Conversation(number, rng.randint(*deployment.history_tokens))
        for number in range(deployment.conversations)
    ]


def arrivals(
    deployment: Deployment, rng: random.Random, count: int, rate_per_s: float, piece_tokens: int
) -> list[Arrival]:
    """Return a fixed number of arrivals with exponential gaps; large workspaces ask more often."""
    talks = conversations(deployment, rng)
    found = []
    at_s = 0.0
    for _ in range(count):
        at_s += rng.expovariate(rate_per_s)
        workspace = min(9, int(rng.expovariate(0.5)))
        if rng.random() < deployment.service_share:
            found.append(Arrival(at_s, True, workspace, 0, (), 0, 0))
        elif rng.random() < deployment.returning_share:
            talk = rng.choice(talks)
            added = rng.randint(*deployment.added_tokens)
            talk.tokens += added
            out = rng.randint(20, 200)
            pieces = talk.pieces(piece_tokens)
            found.append(Arrival(at_s, False, talk.number % 10, talk.tokens, pieces, added, out))
        else:
            tokens = rng.randint(*deployment.short_tokens)
            out = rng.randint(10, 60)
            found.append(Arrival(at_s, False, workspace, tokens, (), tokens, out))
    return found
