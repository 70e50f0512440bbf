"""What the engine stand-in answers: words made from the prompt, and streams that can be resumed."""

import hashlib
import threading
from collections.abc import Iterator
from typing import Any

import msgspec


def answer_words(prompt: str, count: int) -> list[str]:
    """Return the words that the engine answers a prompt with."""
    seed = hashlib.blake2b(prompt.encode(), digest_size=4).hexdigest()
    return [f"{seed}-{index} " for index in range(count)]


def prompt_of(body: dict[str, Any]) -> str:
    """Return a request's prompt as one text."""
    if "prompt" in body:
        return str(body["prompt"])
    return "".join(f"{item['role']}\x1f{item['content']}\x1e" for item in body["messages"])


class Stream:
    """The events of one attempt, kept so that a cut stream can be resumed."""

    def __init__(self) -> None:
        self.events: list[bytes] = []
        self.done = False
        self.cancelled = False
        self.changed = threading.Condition()

    def add(self, event: bytes, done: bool) -> None:
        """Add an event."""
        with self.changed:
            self.events.append(event)
            self.done = done
            self.changed.notify_all()

    def follow(self, first: int) -> Iterator[bytes]:
        """Yield events from ``first`` on, as they come."""
        index = first
        while True:
            with self.changed:
                while index >= len(self.events) and not self.done and not self.cancelled:
                    self.changed.wait()
                if index >= len(self.events):
                    return
                event = self.events[index]
            yield event
            index += 1


def chunk(attempt: str, model: str, chat: bool, word: str, usage: dict[str, int] | None) -> bytes:
    """Return the JSON of one event; the last carries the usage."""
    content: dict[str, Any] = {"delta": {"content": word}} if chat else {"text": word}
    choice = {"index": 0, **content, "finish_reason": "stop" if usage else None}
    body: dict[str, Any] = {"id": attempt, "model": model, "created": 0, "choices": [choice]}
    return msgspec.json.encode(body | ({"usage": usage} if usage else {}))


def whole(
    attempt: str, model: str, chat: bool, words: list[str], usage: dict[str, int]
) -> dict[str, Any]:
    """Return a whole answer."""
    text = "".join(words)
    content: dict[str, Any] = (
        {"message": {"role": "assistant", "content": text}} if chat else {"text": text}
    )
    choice = {"index": 0, **content, "finish_reason": "stop"}
    return {"id": attempt, "model": model, "created": 0, "choices": [choice], "usage": usage}
