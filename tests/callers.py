"""Requests, expected responses and run counts that the tests over real processes share."""

from typing import Any

import msgspec
import urllib3

from standins.fleet import Fleet
from standins.platform_runner import response_tokens

WORKSPACE = "bethesda-tours"
OTHER_WORKSPACE = "gwydir-cellars"
CHAT = "/v1/chat/completions"
BOOK = "/v1/services/bookings/bookings"
SERVICES = ("bookings-1", "bookings-2", "bookings-3")


def chat(text: str, stream: bool = True, tokens: int = 12) -> dict[str, Any]:
    message = {"role": "user", "content": text}
    return {"model": "guide-7b", "messages": [message], "stream": stream, "max_tokens": tokens}


def words_of(body: bytes) -> str:
    """Return the text of a complete stream; return an empty text for anything else."""
    events = [event.partition(b"data: ")[2] for event in body.split(b"\n\n") if event]
    if not events or events[-1] != b"[DONE]":
        return ""
    chunks = [msgspec.json.decode(event) for event in events[:-1]]
    return "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks)


def expected(text: str, tokens: int = 12) -> str:
    return "".join(response_tokens(f"user\x1f{text}\x1e", tokens))


def runs(fleet: Fleet, reference: str) -> int:
    return sum(fleet.counts(name)["references"].get(reference, 0) for name in SERVICES)


def book(fleet: Fleet, entry: str, key: str, reference: str) -> urllib3.BaseHTTPResponse:
    return fleet.call(entry, BOOK, {"reference": reference}, WORKSPACE, {"Idempotency-Key": key})
