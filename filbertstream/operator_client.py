"""The client of the operators' API, used by the command line."""

from typing import Any, Final, NamedTuple

import msgspec
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from filbertstream.statuses import BAD_GATEWAY

CONNECT_TIMEOUT_S: Final = 2.0
READ_TIMEOUT_S: Final = 90.0


class OperatorResponse(NamedTuple):
    """The status and decoded body of a response."""

    status: int
    body: Any


class OperatorClient:
    """Calls the operators' API of entries with an operator's key."""

    def __init__(self, entries: tuple[str, ...], key: str, ca_file: str | None) -> None:
        self._entries = entries
        self._headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
            ca_certs=ca_file,
        )

    def first(self, method: str, path: str, value: object = None) -> Result[OperatorResponse, str]:
        """Call the first reachable entry; a call that may have arrived is not retried."""
        reason = "no entry given"
        for entry in self._entries:
            match self._call(entry, method, path, value):
                case Ok(response):
                    return Ok(response)
                case Err(failure):
                    reason = failure.text
                    if failure.sent and method != "GET":
                        return Err(reason)
        return Err(reason)

    def each(
        self, method: str, path: str, value: object = None
    ) -> list[tuple[str, Result[OperatorResponse, str]]]:
        """Call every entry."""
        responses: list[tuple[str, Result[OperatorResponse, str]]] = []
        for entry in self._entries:
            match self._call(entry, method, path, value):
                case Ok(response):
                    responses.append((entry, Ok(response)))
                case Err(failure):
                    responses.append((entry, Err(failure.text)))
        return responses

    def _call(
        self, entry: str, method: str, path: str, value: object
    ) -> "Result[OperatorResponse, _CallFailure]":
        body = None if value is None else msgspec.json.encode(value)
        url = f"{entry.rstrip('/')}{path}"
        try:
            resp = self._pool.request(method, url, body=body, headers=self._headers)
        except HTTPError as exc:
            sent = not isinstance(exc, urllib3.exceptions.NewConnectionError)
            return Err(_CallFailure(f"{entry}: {exc}", sent))
        try:
            return Ok(OperatorResponse(resp.status, msgspec.json.decode(resp.data)))
        except msgspec.DecodeError:
            return Ok(OperatorResponse(BAD_GATEWAY, {"title": "response is not JSON"}))


class _CallFailure(NamedTuple):
    text: str
    sent: bool
