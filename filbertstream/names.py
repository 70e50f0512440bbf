"""Digests and rendezvous-hashing ranks, all based on BLAKE2b of the standard library."""

import hashlib
from typing import Final

DIGEST_BYTES: Final = 32
LENGTH_BYTES: Final = 8
RANK_BYTES: Final = 8
SEPARATOR: Final = b"\x1f"


def digest_text(*parts: str) -> str:
    """Return the hexadecimal digest of a sequence of strings.

    Lengths are included, so different sequences don't collide by concatenating to equal text.
    """
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode()
        state.update(len(data).to_bytes(LENGTH_BYTES, "big"))
        state.update(data)
    return state.hexdigest()


def digest_bytes(data: bytes) -> str:
    """Return the hexadecimal digest of a body."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def digest_key(bearer: str) -> str:
    """Return the digest by which the configuration identifies a bearer key."""
    return digest_text("bearer-key", bearer)


def rank(member: str, subject: str) -> int:
    """Return the rendezvous-hashing rank of a member; the highest rank owns the subject."""
    data = member.encode() + SEPARATOR + subject.encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=RANK_BYTES).digest(), "big")
