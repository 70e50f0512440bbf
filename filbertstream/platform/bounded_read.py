"""Reads an answer of the platform or of a target up to a bound in bytes and time."""

from typing import Final

from urllib3 import BaseHTTPResponse
from urllib3.exceptions import ResponseError

from filbertstream.process.clock import boot_time_s

PIECE_BYTES: Final = 65_536


def read_bounded(resp: BaseHTTPResponse, limit_bytes: int, until_s: float) -> bytes:
    """Return the body of an answer that was asked for with ``preload_content=False``.

    Raises ``urllib3.exceptions.HTTPError`` where it breaks off, holds more than ``limit_bytes`` or
    has not ended by ``until_s`` of the boot clock; its connection is closed then.
    """
    pieces: list[bytes] = []
    size = 0
    try:
        while data := resp.read1(PIECE_BYTES, decode_content=False):
            pieces.append(data)
            size += len(data)
            if size > limit_bytes:
                raise ResponseError(f"an answer of more than {limit_bytes} bytes")
            if boot_time_s() > until_s:
                raise ResponseError("an answer that does not end in time")
    except BaseException:
        resp.close()
        raise
    resp.release_conn()
    return b"".join(pieces)
