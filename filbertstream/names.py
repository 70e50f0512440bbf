"""Digests, rendezvous ranks and the ring of owners, all by BLAKE2b of the standard library.

``request.claims`` names claimed keys, ``request.routing`` ranks runners and ``process.membership``
finds owners with what is here; ``request.prefix`` names pieces of cache.
"""

import bisect
import hashlib
from collections.abc import Iterable
from typing import Final

DIGEST_BYTES: Final = 32
RANK_BYTES: Final = 8
SEPARATOR: Final = b"\x1f"
RING_POINTS: Final = 32
"""How many points a member has on the ring; more make the shares more even."""


def digest_text(*parts: str) -> str:
    """Return a hexadecimal digest of parts; no two different sequences of parts collide."""
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode()
        state.update(len(data).to_bytes(RANK_BYTES, "big"))
        state.update(data)
    return state.hexdigest()


def digest_bytes(data: bytes) -> str:
    """Return the hexadecimal digest of a body."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def digest_key(bearer: str) -> str:
    """Return the digest under which the configuration lists a bearer key."""
    return digest_text("bearer-key", bearer)


def rank(member: str, subject: str) -> int:
    """Return the rendezvous rank of a member for a subject; the highest rank owns it."""
    data = member.encode() + SEPARATOR + subject.encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=RANK_BYTES).digest(), "big")


class Ring:
    """Owners by consistent hash: a lookup takes the logarithm of the number of members.

    Rendezvous ranks would hash every member for each lookup, which a large fleet can't afford on
    the path of a request.

    >>> Ring(("a", "b", "c")).owner("x") == Ring(("c", "a", "b")).owner("x")
    True
    """

    def __init__(self, members: Iterable[str]) -> None:
        points = [(rank(name, str(n)), name) for name in members for n in range(RING_POINTS)]
        points.sort()
        self._places = [place for place, _ in points]
        self._names = [name for _, name in points]

    def owner(self, subject: str) -> str:
        """Return the member whose point follows the subject's on the ring."""
        return self.owners(subject, 1)[0]

    def owners(self, subject: str, count: int) -> tuple[str, ...]:
        """Return the first ``count`` different members that follow the subject on the ring."""
        found: list[str] = []
        index = bisect.bisect(self._places, rank("", subject))
        for step in range(len(self._names)):
            name = self._names[(index + step) % len(self._names)]
            if name not in found:
                found.append(name)
            if len(found) == count:
                break
        return tuple(found)
