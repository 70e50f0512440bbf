"""Names for the pieces of a prompt's cache, chained so that equal prefixes share names.

A piece covers ``units.PIECE_TOKENS`` tokens of text.  Its name is a keyed digest chained over all
text before it, the workspace, the model and the weight version, so a name can't be reached from
another workspace or version.  The digest of the text alone is worked out once at the edge
(``text_pieces``); the core adds workspace, model and version (``piece_names``).
"""

import hashlib
from typing import Final

from filbertstream.units import BYTES_PER_TOKEN, PIECE_BYTES

NAME_BYTES: Final = 16


def text_pieces(text: bytes) -> tuple[bytes, ...]:
    """Return a chained digest for each full piece of a prompt's text.

    >>> a, b = text_pieces(b"x" * 16_000), text_pieces(b"x" * 16_000 + b"y" * 8_000)
    >>> a == b[:2]
    True
    """
    digests = []
    chain = b""
    for start in range(0, len(text) - PIECE_BYTES + 1, PIECE_BYTES):
        state = hashlib.blake2b(chain, digest_size=NAME_BYTES)
        state.update(text[start : start + PIECE_BYTES])
        chain = state.digest()
        digests.append(chain)
    return tuple(digests)


def piece_names(
    pieces: tuple[bytes, ...], secret: bytes, workspace: str, model: str, version: str
) -> tuple[str, ...]:
    """Return the names under which the pieces of one workspace and version are kept."""
    scope = "\x1f".join((workspace, model, version)).encode()
    key = hashlib.blake2b(scope, key=secret[:64], digest_size=32).digest()
    return tuple(
        hashlib.blake2b(piece, key=key, digest_size=NAME_BYTES).hexdigest() for piece in pieces
    )


def token_count(text: bytes) -> int:
    """Return the tokens that a text is counted as."""
    return (len(text) + BYTES_PER_TOKEN - 1) // BYTES_PER_TOKEN
