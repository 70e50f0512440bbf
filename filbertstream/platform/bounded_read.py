"""Reads a response of the platform or of a target, bounded in size and time."""

from typing import Final

from urllib3 import BaseHTTPResponse
from urllib3.exceptions import ResponseError

from filbertstream.process.clock import boot_time_s

CHUNK_BYTES: Final = 65_536


def read_bounded(resp: BaseHTTPResponse, limit_bytes: int, until_s: float) -> bytes:
    """Return the body of a response that was requested with ``preload_content=False``.

    Raises ``urllib3.exceptions.HTTPError`` and closes the connection if the body is truncated,
    exceeds ``limit_bytes``, or has not ended by ``until_s`` of the boot clock.
    """
    chunks: list[bytes] = []
    size = 0
    try:
        while data := resp.read1(CHUNK_BYTES, decode_content=False):
            chunks.append(data)
            size += len(data)
            if size > limit_bytes:
                raise ResponseError(f"response body exceeds {limit_bytes} bytes")
            if boot_time_s() > until_s:
                raise ResponseError("response body did not end in time")
    except BaseException:
        resp.close()
        raise
    resp.release_conn()
    return b"".join(chunks)
