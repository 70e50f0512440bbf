"""A target on the users' platform: a model runner (``--model``) or an application service.

It registers itself in the object store, signs its responses, streams numbered events, caches
blocks of prompts by namespace, accepts orders for weights, and cancels the work of a connection
that closes.  ``/counts`` on the control port returns what ran: request ids, cancelled streams,
orders, weights.

The response to a prompt of the product's own interface is derived from the prompt, so that a
mix-up of responses is detected; ``/counts`` also returns how often each ``reference`` of a JSON
body ran.

Faults beside the common ones: ``drain`` reports that the target is leaving, ``refuse`` (counted)
responds with 503 and not run, ``error`` (counted) responds with 500, ``lose`` (counted) runs a
request and closes the connection, ``cut_stream`` (counted) closes the connection in the middle of
an event, ``stall`` (counted) stops sending there, ``endless`` (counted) sends bytes without end
there, ``crossed`` (counted) responds with another request's id, ``run_s`` makes a plain call take
longer, ``event_s`` is the time between events, ``limit_per_s`` names that request rate in all
responses.  ``pause_s`` names that pause with each refusal, ``unmarked`` leaves ``Not-Executed`` out
of refusals, ``leaving`` adds ``Server-Leaving`` to all responses.  ``Work-S`` of a request is the
time of its run in seconds.  ``--record`` is a file that gets all arrivals (``standins.arrivals``).

A prompt with the block ``--crash-block`` ends the process when its response begins, with
``--crash-after-head`` after the head.  ``--crash-record`` is a file that survives this: it gets a
line with the time of each arrival of such a prompt and of each crash.

``arrivals`` of ``/counts`` lists the time of each request in seconds and the rate named then, or 0.
"""

import hashlib
import os
import threading
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

import msgspec
import urllib3

from standins.arrivals import ArrivalRecord, mark_run
from standins.base import (
    DropConnection,
    Environ,
    Faults,
    Start,
    parser,
    query,
    read,
    read_json,
    reply,
    serve,
)
from standins.runner_cache import RunnerCache

HEARTBEAT_S: Final = 0.3
CACHE_TOKENS: Final = 100_000
DEFAULT_EVENTS: Final = 8
EVENT_S: Final = 0.02
SWAP_S: Final = 0.2
STALL_S: Final = 30.0
ENDLESS: Final = b"x" * 65_536
CRASHED: Final = 70
HEAD_TO_CRASH_S: Final = 0.05
CRASH_COMMENT: Final = b": ok\n\n"
"""Sent before a crash, so that the head of the response is sent too."""


def _reference(body: bytes) -> str:
    """Return the ``reference`` of a JSON body, or an empty string."""
    try:
        fields = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ""
    return str(fields.get("reference", "")) if isinstance(fields, dict) else ""


def response_tokens(prompt: str, count: int) -> list[str]:
    """Return the tokens with which a runner responds to a prompt of the product's interface."""
    seed = hashlib.blake2b(prompt.encode(), digest_size=4).hexdigest()
    return [f"{seed}-{index} " for index in range(count)]


def _event_data(environ: Environ, body: bytes) -> list[str]:
    """Return the data of the events that make up the response to a call."""
    try:
        fields = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        fields = None
    if not isinstance(fields, dict):
        return [f"token {number}" for number in range(1, DEFAULT_EVENTS + 1)]
    count = int(environ.get("HTTP_TOKEN_COUNT", f"0,{DEFAULT_EVENTS}").partition(",")[2])
    if "prompt" in fields:
        return response_tokens(str(fields["prompt"]), count)
    messages = [f"{item['role']}\x1f{item['content']}\x1e" for item in fields["messages"]]
    return response_tokens("".join(messages), count)


class Target:
    """One target."""

    def __init__(self, options: Any, faults: Faults) -> None:
        self._options = options
        self._faults = faults
        self._lock = threading.Lock()
        self._weights = 1
        self._orders = 0
        self._loading_until_s = 0.0
        self._heartbeat = 0
        self._cache = RunnerCache(options.cache_tokens)
        self.ran: list[str] = []
        self.references: Counter[str] = Counter()
        self.refused: list[str] = []
        self.cancelled: list[str] = []
        self.orders: list[Any] = []
        self.keys_seen = 0
        self.arrivals: list[tuple[float, float]] = []

    def counts(self) -> object:
        """Return what ran here."""
        return {
            "ran": self.ran,
            "references": dict(self.references),
            "refused": self.refused,
            "cancelled": self.cancelled,
            "tokens": self._cache.counts,
            "orders": self.orders,
            "weights": self._weights,
            "keys_seen": self.keys_seen,
            "arrivals": self.arrivals,
        }

    def __call__(self, environ: Environ, start: Start) -> Iterable[bytes]:
        """Serve one call; its response names the request rate, if there is a limit."""
        limit_per_s = self._faults.get("limit_per_s")
        self.arrivals.append((time.monotonic(), limit_per_s))
        notices = [("Server-Limit", f"{limit_per_s}")] if limit_per_s else []
        notices += [("Server-Leaving", "1")] if self._faults.get("leaving") else []

        def start_noticing(status: str, headers: list[tuple[str, str]]) -> Any:
            return start(status, [*headers, *notices])

        return self._respond(environ, start_noticing)

    def _respond(self, environ: Environ, start: Start) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/report":
            busy = time.monotonic() < self._loading_until_s
            models = [{"name": self._options.model, "version": self._weights, "adapters": []}]
            return reply(start, 200, {"seq": self._orders, "busy": busy, "models": models})
        if path == "/part":
            asked = query(environ)
            made_by = self._cache.maker((asked["salt"], asked["id"]))
            return reply(start, 200 if made_by else 404, made_by)
        if path == "/order":
            return self._order(read_json(environ), start)
        if path == "/kv-events":
            time.sleep(int(environ.get("HTTP_WAIT_MS", "0")) / 1000)
            return reply(start, 200, {"boot_epoch": 1, "next": 0, "lost": False, "events": []})
        return self._serve(environ, start)

    def _order(self, order: Any, start: Start) -> list[bytes]:
        with self._lock:
            if order["precondition"] != self._orders:
                return reply(start, 409, None)
            self._orders += 1
            self._cache.clear()
            self._loading_until_s = time.monotonic() + SWAP_S
            self.orders.append({**order, "at_s": time.monotonic()})
            threading.Timer(SWAP_S, self._loaded, (order["version"],)).start()
        return reply(start, 202, None)

    def _loaded(self, version: int) -> None:
        self._weights = version

    def _refusal(self, environ: Environ) -> int | None:
        if environ.get("HTTP_EXPECT_INSTANCE", self._options.id) != self._options.id:
            return 421
        if environ.get("HTTP_EXPECT_VERSION", str(self._weights)) != str(self._weights):
            return 421
        if time.monotonic() < self._loading_until_s or self._faults.take("refuse"):
            return 503
        return None

    def _serve(self, environ: Environ, start: Start) -> Iterable[bytes]:
        request_id = environ.get("HTTP_REQUEST_ID", "")
        self.keys_seen += "HTTP_X_API_KEY" in environ
        body = read(environ)
        refusal = self._refusal(environ)
        if refusal is not None:
            self.refused.append(request_id)
            fields = {"Instance-Id": self._options.id}
            if refusal != 503 or not self._faults.get("unmarked"):
                fields["Not-Executed"] = "1"
            if refusal == 503 and self._faults.get("pause_s"):
                fields["Retry-After"] = f"{self._faults.get('pause_s')}"
            return reply(start, refusal, None, {"Request-Id": request_id, **fields})
        reference = _reference(body)
        mark_run(environ)
        run_s = float(environ.get("HTTP_WORK_S", "0")) + self._faults.get("run_s")
        time.sleep(0.0 if self._options.model else run_s)
        with self._lock:
            self.ran.append(request_id)
            self.references[reference] += 1
        if self._faults.take("lose"):
            raise DropConnection
        if self._faults.take("crossed"):
            request_id = "another"
        headers = {
            "Request-Id": request_id,
            "Response-Signature": f"signed.{request_id}",
            "Server-Load": f"1,0,{self._options.slots}",
        }
        if self._faults.take("error"):
            return reply(start, 500, {"error": "failed"}, headers)
        if self._options.model:
            return self._stream(environ, start, request_id, headers, body)
        if reference:
            return reply(start, 200, {"reference": reference, "ran_as": request_id}, headers)
        echo = {"id": request_id, "bytes": len(body), "tenant": environ.get("HTTP_TENANT")}
        return reply(start, 200, echo, headers)

    def _stream(
        self,
        environ: Environ,
        start: Start,
        request_id: str,
        headers: dict[str, str],
        body: bytes,
    ) -> Iterable[bytes]:
        self._cache.read_prompt(environ)
        if self._is_deadly(environ):
            self._record("arrived")
        fields = {**headers, "Content-Type": "text/event-stream"}
        fields["Weight-Versions"] = str(self._weights)
        start("200 OK", list(fields.items()))
        first = int(environ.get("HTTP_LAST_EVENT_ID", "0") or 0) + 1
        if self._is_deadly(environ):
            return self._crash()
        tokens = _event_data(environ, body)
        event_s = self._faults.get("event_s") or self._options.event_s
        event_s = max(event_s, float(environ.get("HTTP_WORK_S", "0")) / max(1, len(tokens)))
        return self._events(request_id, first, tokens, event_s)

    def _is_deadly(self, environ: Environ) -> bool:
        ids = [item.partition(":")[0] for item in environ.get("HTTP_PREFIX_HASH", "").split(",")]
        return bool(self._options.crash_block) and self._options.crash_block in ids

    def _record(self, what: str) -> None:
        with Path(self._options.crash_record).open("a") as record:
            record.write(f"{what} {time.monotonic()}\n")

    def _crash(self) -> Iterator[bytes]:
        """End the process, possibly after a comment that makes the server send the head."""
        if self._options.crash_after_head:
            yield CRASH_COMMENT
            time.sleep(HEAD_TO_CRASH_S)
        self._record("crashed")
        os._exit(CRASHED)

    def _events(
        self, request_id: str, first: int, tokens: list[str], event_s: float
    ) -> Iterator[bytes]:
        cut, stall = self._faults.take("cut_stream"), self._faults.take("stall")
        endless = self._faults.take("endless")
        try:
            for number in range(first, len(tokens) + 1):
                time.sleep(event_s)
                event = f"id: {number}\ndata: {tokens[number - 1]}\n\n".encode()
                if cut and number == first + 2:
                    yield event[:9]
                    raise DropConnection
                while endless and number == first + 2:
                    yield ENDLESS
                if stall and number == first + 2:
                    yield event[:9]
                    time.sleep(STALL_S)
                    raise DropConnection
                yield event
        except GeneratorExit:
            self.cancelled.append(request_id)
            raise

    def register(self) -> None:
        """Renew the registration with each heartbeat until the process is ended."""
        pool = urllib3.PoolManager(retries=False, timeout=1.0)
        url = f"http://{self._options.store}/objects/servers"
        while True:
            self._heartbeat += 1
            spec = {
                "service": self._options.service,
                "address": self._options.address or self._options.listen,
                "zone": self._options.data_center,
                "version": "v1",
                "slots": self._options.slots,
                "state": "draining" if self._faults.get("drain") else "ready",
                "cold_left_ms": 0,
                "seq": self._heartbeat,
                "models": (
                    [{"name": self._options.model, "version": self._weights, "adapters": []}]
                    if self._options.model
                    else []
                ),
                "born": self._options.born,
            }
            body = msgspec.json.encode({"metadata": {"name": self._options.id}, "spec": spec})
            try:
                put = pool.request("PUT", f"{url}/{self._options.id}", body=body)
                if put.status == 404:
                    pool.request("POST", url, body=body)
            except urllib3.exceptions.HTTPError:
                pool.clear()
            time.sleep(HEARTBEAT_S)


def main() -> None:
    """Run the stand-in."""
    found = parser("stand-in for a target on the users' platform")
    found.add_argument("--id", required=True)
    found.add_argument("--service", required=True)
    found.add_argument("--store", required=True, help="address of the object store")
    found.add_argument(
        "--address", default="", help="address to register, if not the listen address"
    )
    found.add_argument("--model", default="")
    found.add_argument("--slots", type=int, default=8)
    found.add_argument("--data-center", default="dc1")
    found.add_argument("--event-s", type=float, default=EVENT_S)
    found.add_argument("--cache-tokens", type=int, default=CACHE_TOKENS)
    found.add_argument("--born", type=int, default=1)
    found.add_argument("--crash-block", default="")
    found.add_argument("--crash-after-head", action="store_true")
    found.add_argument("--crash-record", default=os.devnull)
    found.add_argument("--record", type=Path, default=Path(os.devnull))
    options = found.parse_args()
    faults = Faults()
    target = Target(options, faults)
    threading.Thread(target=target.register, daemon=True).start()
    record = ArrivalRecord(options.record, options.id)
    serve(options.listen, options.control, target, faults, target.counts, record.around)


if __name__ == "__main__":
    main()
