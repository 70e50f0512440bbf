"""A model engine: a limited prefix cache, streams that can be resumed and cancelled, orders.

    POST   /v1/chat/completions, /v1/completions   streamed or whole
    GET    /v1/streams/ID?from=N                   the rest of a stream, from event N
    DELETE /v1/streams/ID                          cancel
    GET    /v1/load                                the report of LAG seconds ago, and evictions
    POST   /v1/kv/export                           {"piece", "to", "weight_version"}
    POST   /v1/weights                             {"weight_version"}, X-Fencing

The answer's text depends on the prompt alone, so a test can tell whose answer it is.  Faults
besides those of ``standins.base``: ``cut_after`` cuts streams after this many events (once for
each stream), ``go_silent_after`` stops sending after this many events, ``crossed`` answers with a
stranger's id, ``drop_events`` loses cache events, ``ignore_fencing`` obeys old orders.
"""

import hashlib
import itertools
import threading
import time
from collections import OrderedDict, deque
from collections.abc import Iterable, Iterator
from typing import Any, Final

import urllib3

from standins.base import (
    SILENCE_S,
    Cut,
    Environ,
    Faults,
    Start,
    parser,
    query,
    read_json,
    reply,
    serve,
)
from standins.engine_answers import Stream, answer_words, chunk, prompt_of, whole
from standins.engine_cache import PrefixCache

PREFILL_TOKENS_PER_S: Final = 20_000.0
PIECE_TOKENS: Final = 2_000
BYTES_PER_TOKEN: Final = 4
KV_BYTES_PER_TOKEN: Final = 40
CACHE_PIECES: Final = 40
FINISHED_STREAMS: Final = 512
DEFAULT_TOKENS: Final = 16


class Engine:
    """One engine with its cache, queue and weights."""

    def __init__(
        self, model: str, version: str, lag_s: float, gap_s: float, faults: Faults
    ) -> None:
        self._model = model
        self.version = version
        self._lag_s = lag_s
        self._gap_s = gap_s
        self._faults = faults
        self._lock = threading.Lock()
        self._prefill = threading.Lock()
        self._streams: OrderedDict[str, Stream] = OrderedDict()
        self._running = 0
        self._queued = 0
        self._queued_tokens = 0
        self._fencing = 0
        self.weights_url = ""
        self._cuts: set[str] = set()
        self._reports: deque[tuple[float, dict[str, Any]]] = deque()
        self._pool = urllib3.PoolManager(retries=False, timeout=10.0)
        self.cache = PrefixCache(CACHE_PIECES, faults, self._pool)
        self._staging = itertools.count(1)
        self.counts = {"requests": 0, "cancelled": 0, "prefilled": 0, "stale": 0}

    def __call__(self, environ: Environ, start: Start) -> Iterable[bytes]:
        """Serve one call."""
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if path == "/v1/load":
            return reply(start, 200, self._report())
        if path == "/v1/kv/export":
            return self._export(read_json(environ), start)
        if path == "/v1/weights":
            return self._load_weights(environ, start)
        if path.startswith("/v1/streams/"):
            stream_id = path.removeprefix("/v1/streams/")
            if method == "DELETE":
                return self._cancel(stream_id, start)
            return self._resume(stream_id, int(query(environ).get("from", "0")), start)
        return self._complete(environ, start)

    def _complete(self, environ: Environ, start: Start) -> Iterable[bytes]:
        body = read_json(environ)
        attempt = environ.get("HTTP_X_REQUEST_ID", "direct")
        version = self.version
        wanted = environ.get("HTTP_X_WEIGHT_VERSION", version)
        headers = self._headers(attempt, version)
        if wanted != version:
            return reply(start, 409, {"error": "another weight version"}, headers)
        prompt = prompt_of(body)
        usage = self._prepare(body, prompt, version)
        stream = Stream()
        with self._lock:
            self.counts["requests"] += 1
            self._streams[attempt] = stream
            while len(self._streams) > FINISHED_STREAMS:
                self._streams.popitem(last=False)
        words = answer_words(prompt, int(body.get("max_tokens", DEFAULT_TOKENS)))
        chat = "messages" in body
        if not body.get("stream"):
            time.sleep(self._gap_s * len(words))
            return reply(start, 200, whole(attempt, self._model, chat, words, usage), headers)
        threading.Thread(
            target=self._generate, args=(stream, attempt, chat, words, usage), daemon=True
        ).start()
        start("200 OK", [("Content-Type", "text/event-stream"), *headers.items()])
        return self._send(stream, attempt, 0)

    def _headers(self, attempt: str, version: str) -> dict[str, str]:
        shown = "another" if self._faults.take("crossed") else attempt
        return {"X-Request-Id": shown, "X-Weight-Version": version}

    def _prepare(self, body: dict[str, Any], prompt: str, version: str) -> dict[str, int]:
        """Import and compute the prompt's cache; return the token counts."""
        tokens = (len(prompt.encode()) + BYTES_PER_TOKEN - 1) // BYTES_PER_TOKEN
        names = list(body.get("kv_pieces", []))
        with self._lock:
            self._queued += 1
            self._queued_tokens += tokens
        cached = self.cache.leading(names, version)
        imported = self.cache.import_missing(names, cached, body.get("kv_imports", []), version)
        with self._prefill:
            computed = tokens - (cached + imported) * PIECE_TOKENS
            time.sleep(max(0, computed) / PREFILL_TOKENS_PER_S)
            self.cache.keep(names, version)
            with self._lock:
                self._queued -= 1
                self._queued_tokens -= tokens
                self.counts["prefilled"] += computed
        return {
            "prompt_tokens": tokens,
            "completion_tokens": int(body.get("max_tokens", DEFAULT_TOKENS)),
            "cached_tokens": cached * PIECE_TOKENS,
            "imported_tokens": imported * PIECE_TOKENS,
        }

    def _generate(
        self, stream: Stream, attempt: str, chat: bool, words: list[str], usage: dict[str, int]
    ) -> None:
        with self._lock:
            self._running += 1
        for index, word in enumerate(words):
            if stream.cancelled:
                break
            last = index == len(words) - 1
            data = chunk(attempt, self._model, chat, word, usage if last else None)
            stream.add(f"id: {attempt}:{index}\ndata: ".encode() + data + b"\n\n", last)
            time.sleep(self._gap_s)
        with self._lock:
            self._running -= 1

    def _send(self, stream: Stream, attempt: str, first: int) -> Iterator[bytes]:
        cut_after = int(self._faults.get("cut_after"))
        silent_after = int(self._faults.get("go_silent_after"))
        for number, event in enumerate(stream.follow(first)):
            if cut_after and number >= cut_after and attempt not in self._cuts:
                self._cuts.add(attempt)
                raise Cut
            if silent_after and number >= silent_after and attempt not in self._cuts:
                self._cuts.add(attempt)
                time.sleep(SILENCE_S)
                raise Cut
            yield event
        if stream.cancelled:
            raise Cut
        yield b"data: [DONE]\n\n"

    def _resume(self, stream_id: str, first: int, start: Start) -> Iterable[bytes]:
        stream = self._streams.get(stream_id)
        if stream is None:
            return reply(start, 404, {"error": "no such stream"}, {"X-Request-Id": stream_id})
        headers = [("Content-Type", "text/event-stream"), ("X-Request-Id", stream_id)]
        start("200 OK", headers)
        return self._send(stream, stream_id, first)

    def _cancel(self, stream_id: str, start: Start) -> list[bytes]:
        stream = self._streams.get(stream_id)
        if stream is not None and not stream.done:
            with stream.changed:
                stream.cancelled = True
                stream.changed.notify_all()
            self.counts["cancelled"] += 1
        return reply(start, 200, {})

    def _report(self) -> dict[str, Any]:
        """Return the newest report that is at least the lag old, or the first."""
        now_s = time.monotonic()
        with self._lock:
            fresh = {
                "running": self._running,
                "queued": self._queued,
                "queued_tokens": self._queued_tokens,
                "model": self._model,
                "weight_version": self.version,
                "evicted": self.cache.take_evicted(),
            }
            self._reports.append((now_s, fresh))
            lag_s = self._lag_s + self._faults.get("load_lag_s")
            while len(self._reports) > 1 and self._reports[1][0] <= now_s - lag_s:
                self._reports.popleft()
            taken_s, report = self._reports[0]
        return report | {"age_s": now_s - taken_s}

    def _export(self, asked: dict[str, Any], start: Start) -> list[bytes]:
        name = asked["piece"]
        if not self.cache.holds(name, asked["weight_version"]):
            return reply(start, 404, {"error": "not in the cache"})
        length = PIECE_TOKENS * KV_BYTES_PER_TOKEN
        data = hashlib.shake_128(name.encode()).digest(length)
        staging = f"{name}-{id(self):x}-{next(self._staging)}"
        try:
            resp = self._pool.request("PUT", f"{asked['to']}/v1/staging/{staging}", body=data)
        except urllib3.exceptions.HTTPError:
            return reply(start, 502, {"error": "the store can't be reached"})
        if resp.status != 200:
            return reply(start, 502, {"error": "the store refused"})
        digest = hashlib.blake2b(data, digest_size=16).hexdigest()
        return reply(start, 200, {"staging": staging, "digest": digest, "length": length})

    def _load_weights(self, environ: Environ, start: Start) -> list[bytes]:
        version = str(read_json(environ)["weight_version"])
        fencing = int(environ.get("HTTP_X_FENCING", "0"))
        with self._lock:
            if fencing < self._fencing and not self._faults.get("ignore_fencing"):
                self.counts["stale"] += 1
                return reply(start, 409, {"weight_version": self.version})
            self._fencing = max(self._fencing, fencing)
        if self.weights_url:
            self._pool.request("GET", f"{self.weights_url}/v1/weights/{self._model}/{version}")
        with self._lock:
            self.version = version
        return reply(start, 200, {"weight_version": version})


def main() -> None:
    """Run the stand-in."""
    found = parser("stand-in for a model engine")
    found.add_argument("--model", required=True)
    found.add_argument("--version", default="v1")
    found.add_argument("--lag-s", type=float, default=0.5)
    found.add_argument("--gap-s", type=float, default=0.027)
    found.add_argument("--cache-pieces", type=int, default=CACHE_PIECES)
    found.add_argument("--weights", default="")
    options = found.parse_args()
    faults = Faults()
    engine = Engine(options.model, options.version, options.lag_s, options.gap_s, faults)
    engine.cache.capacity = options.cache_pieces
    engine.weights_url = options.weights
    serve(options.listen, options.control, engine, faults, lambda: engine.counts)


if __name__ == "__main__":
    main()
