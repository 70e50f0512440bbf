"""Puts a streamed model answer together into a whole one, and reads token counts from answers."""

from typing import Any, Final

import msgspec

DATA: Final = b"data: "
END_OF_EVENT: Final = b"\n\n"


class Usage(msgspec.Struct):
    """Token counts at the end of a runner's answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
    imported_tokens: int = 0


class _UsageBody(msgspec.Struct):
    usage: Usage | None = None


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    id: str
    model: str
    created: int
    choices: list[_Choice]
    usage: Usage | None = None


def usage_of(body: bytes) -> Usage:
    """Return the token counts of a whole answer; zeros where it has none."""
    try:
        return msgspec.json.decode(body, type=_UsageBody).usage or Usage()
    except msgspec.DecodeError:
        return Usage()


def usage_of_event(event: bytes) -> Usage:
    """Return the token counts of a stream's last event."""
    return usage_of(event.partition(DATA)[2])


def collect(stream: bytes) -> bytes:
    """Return the JSON of the whole answer that a complete stream of events amounts to.

    Raises ``msgspec.DecodeError`` for events that are no model answer.
    """
    datas = [event.partition(DATA)[2] for event in stream.split(END_OF_EVENT) if event]
    chunks = [msgspec.json.decode(data, type=_Chunk) for data in datas if data != b"[DONE]"]
    choices = [choice for chunk in chunks for choice in chunk.choices]
    chat = any(choice.delta is not None for choice in choices)
    texts = [choice.delta.content if choice.delta else choice.text for choice in choices]
    text = "".join(item for item in texts if item)
    reasons = [choice.finish_reason for choice in choices if choice.finish_reason]
    first, last = chunks[0], chunks[-1]
    content: dict[str, Any] = (
        {"message": {"role": "assistant", "content": text}} if chat else {"text": text}
    )
    whole = {
        "id": first.id,
        "object": "chat.completion" if chat else "text_completion",
        "created": first.created,
        "model": first.model,
        "choices": [{"index": 0, **content, "finish_reason": reasons[-1] if reasons else None}],
        "usage": last.usage,
    }
    return msgspec.json.encode(whole)
