"""Entries on the platform as real processes, between stand-ins for object store and targets.

Failures guarded against are those that show only on sockets: truncated or mixed-up responses,
request smuggling, runs that outlive their callers, and connections cut by a planned stop.
"""

import asyncio
import itertools
import signal
import socket
import time
import uuid
from collections.abc import Iterator
from http.client import HTTPConnection, HTTPException, HTTPResponse
from pathlib import Path
from typing import NamedTuple, cast

import pytest

from filbertstream.actions import SendPeer
from filbertstream.connection.peer_link import PeerLink
from filbertstream.gateway_process import GatewayProcess
from filbertstream.platform.settings_file import read_settings_file
from filbertstream.process.watched_file import WatchedFile
from standins.platform_fleet import CONFIG, KEY, ROUTES, PlatformFleet
from standins.processes import free_port

LEASE_S = 3.0
"""The gap between two leaders that the settings of the stand-in deployment require."""

COMPLETE_STREAM = b"".join(f"id: {n}\ndata: token {n}\n\n".encode() for n in range(1, 9))


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformFleet]:
    running = PlatformFleet(tmp_path_factory.mktemp("platform"))
    try:
        running.start()
        yield running
    finally:
        running.close()


class Response(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes
    request_id: str


def head(name: str, key: str | None, request_id: str) -> dict[str, str]:
    fields = {"Host": "h.example", "Request-Id": request_id, "Deadline-Ms": "4000"}
    if key is not None:
        fields["X-Api-Key"] = key
    if name in ("draft", "walk"):
        fields |= {"Model": "m", "Token-Count": "100,20", "Prefix-Hash": "ab:80,cd:20"}
    return fields


def open_call(
    fleet: PlatformFleet, name: str, entry: str = "e1", key: str | None = KEY, body: bytes = b"x"
) -> tuple[HTTPConnection, HTTPResponse, str]:
    host, _, port = fleet.running[entry].address.rpartition(":")
    conn = HTTPConnection(host, int(port), timeout=8.0)
    request_id = uuid.uuid4().hex[:16]
    conn.request("POST", f"/{name}/x", body=body, headers=head(name, key, request_id))
    return conn, conn.getresponse(), request_id


def call(
    fleet: PlatformFleet, name: str, entry: str = "e1", key: str | None = KEY, body: bytes = b"x"
) -> Response:
    conn, resp, request_id = open_call(fleet, name, entry, key, body)
    try:
        data = resp.read()
    finally:
        conn.close()
    return Response(resp.status, dict(resp.headers), data, request_id)


def runs(fleet: PlatformFleet, request_id: str) -> int:
    names = [name for name in fleet.running if name[0] in "ar"]
    return sum(fleet.counts(name)["ran"].count(request_id) for name in names)


def send_raw(fleet: PlatformFleet, data: bytes, within_s: float = 4.0) -> bytes:
    host, _, port = fleet.running["e1"].address.rpartition(":")
    received = b""
    with socket.create_connection((host, int(port)), timeout=within_s) as sock:
        sock.sendall(data)
        while chunk := sock.recv(65536):
            received += chunk
    return received


def test_request_behind_one_without_an_id_gets_its_response(fleet: PlatformFleet) -> None:
    """A request that lacks a header and a booking arrive together, as from a proxy."""
    fields = f"Host: h.example\r\nX-Api-Key: {KEY}\r\nContent-Length: 2"
    lacking = f"POST /book/x HTTP/1.1\r\n{fields}\r\n\r\n{{}}"
    booking = f"POST /book/x HTTP/1.1\r\nConnection: close\r\nRequest-Id: behind\r\n{fields}"
    received = send_raw(fleet, f"{lacking}{booking}\r\n\r\n{{}}".encode())
    assert [part[:3] for part in received.split(b"HTTP/1.1 ")] == [b"", b"400", b"200"]


def test_response_is_complete_and_signed_and_targets_get_no_api_key(fleet: PlatformFleet) -> None:
    """A body of several packets goes to a target and its response comes back."""
    response = call(fleet, "read", body=b"y" * 5000)
    assert (response.status, response.headers["Response-Signature"]) == (
        200,
        f"signed.{response.request_id}",
    )
    assert b'"bytes":5000' in response.body
    assert b'"tenant":"w"' in response.body
    assert sum(fleet.counts(name)["keys_seen"] for name in ("a1", "a2", "r1", "r2")) == 0


def test_stream_arrives_complete(fleet: PlatformFleet) -> None:
    """A stream of several events passes through the entry."""
    assert call(fleet, "walk").body == COMPLETE_STREAM


def test_calls_are_admitted_by_route_and_key(fleet: PlatformFleet) -> None:
    """Calls with no key, a wrong key, and an unknown route."""
    assert call(fleet, "open", key=None).status == 200
    assert call(fleet, "read", key=None).status == 401
    assert call(fleet, "read", key="wrong").status == 401
    assert call(fleet, "nowhere").status == 404


def test_stream_cut_inside_an_event_resumes_without_gap_or_duplicate(fleet: PlatformFleet) -> None:
    """One runner cuts its streams in the middle of an event."""
    for _ in range(12):
        assert call(fleet, "draft").status == 200
    fleet.fault("r1", cut_stream=1)
    responses = [call(fleet, "draft") for _ in range(4)]
    fleet.fault("r1", cut_stream=0)
    assert [response.body for response in responses] == [COMPLETE_STREAM] * 4


def test_cut_stream_that_is_not_resumable_does_not_end_like_a_complete_one(
    fleet: PlatformFleet,
) -> None:
    """All runners cut their streams, and the route does not allow a resume."""
    for name in ("r1", "r2"):
        fleet.fault(name, cut_stream=1)
    try:
        with pytest.raises((OSError, HTTPException)):
            call(fleet, "walk")
    finally:
        for name in ("r1", "r2"):
            fleet.fault(name, cut_stream=0)


def test_non_idempotent_call_whose_response_is_lost_runs_once_and_fails_with_502(
    fleet: PlatformFleet,
) -> None:
    """Targets run a call and close the connection without a response."""
    for name in ("a1", "a2"):
        fleet.fault(name, lose=1)
    response = call(fleet, "book")
    for name in ("a1", "a2"):
        fleet.fault(name, lose=0)
    assert response.status == 502
    assert "Retry-After" not in response.headers
    assert runs(fleet, response.request_id) == 1


def test_idempotent_call_whose_response_is_lost_is_retried(fleet: PlatformFleet) -> None:
    """One target runs calls and closes the connection without a response."""
    for _ in range(12):
        call(fleet, "read")
    fleet.fault("a1", lose=1)
    responses = [call(fleet, "read") for _ in range(4)]
    fleet.fault("a1", lose=0)
    assert [response.status for response in responses] == [200] * 4


def test_run_of_a_disconnected_caller_is_cancelled(fleet: PlatformFleet) -> None:
    """A caller closes its connection in the middle of a stream."""
    for name in ("r1", "r2"):
        fleet.fault(name, event_s=0.3)
    conn, resp, request_id = open_call(fleet, "walk")
    assert resp.read(6)
    conn.close()

    def cancelled() -> bool:
        return any(request_id in fleet.counts(name)["cancelled"] for name in ("r1", "r2"))

    try:
        fleet.wait(cancelled, 3.0)
    finally:
        for name in ("r1", "r2"):
            fleet.fault(name, event_s=0.0)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /read/x HTTP/1.1\r\nHost: h\r\nbroken\r\n\r\n", 400),
        (
            b"POST /read/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked",
            400,
        ),
        (b"POST /read/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4", 400),
        (b"POST /read/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q\r\nContent-Length: 99999", 413),
        (b"GET /read/ HTTP/1.1\r\nHost: h\r\nX-Long: " + b"x" * 5000, 431),
        (b"GET /read/ HTTP/1.1\r\nHost: h.exa", 408),
    ],
)
def test_unparsable_or_oversized_request_is_rejected_and_its_connection_closed(
    fleet: PlatformFleet, data: bytes, status: int
) -> None:
    """Malformed, ambiguous, oversized and unfinished request heads."""
    times_out = status == 408
    received = send_raw(
        fleet, data if times_out or data.endswith(b"\r\n\r\n") else data + b"\r\n\r\n0\r\n\r\n"
    )
    assert received.startswith(f"HTTP/1.1 {status} ".encode())
    assert received.count(b"HTTP/1.1") == 1


def test_pipelined_requests_get_their_responses_in_order(fleet: PlatformFleet) -> None:
    """A caller sends five requests without waiting for responses."""
    one = "POST /read/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: {}\r\nRequest-Id: {}\r\n"
    data = (
        "".join(one.format(KEY, f"ahead{n}") + "Content-Length: 1\r\n\r\nx" for n in range(4))
        + one.format(KEY, "last")
        + "Connection: close\r\n\r\n"
    )
    received = send_raw(fleet, data.encode())
    lines_found = [line for line in received.split(b"\r\n") if line.startswith(b"Request-Id")]
    assert lines_found == [
        f"Request-Id: {name}".encode() for name in ("ahead0", "ahead1", "ahead2", "ahead3", "last")
    ]


def test_new_weights_reach_every_runner_by_orders_with_rising_fences(fleet: PlatformFleet) -> None:
    """Weights are named twice while several entries may lead the roll-out."""
    fleet.put("versions", "m", {"model": "m", "version": 2})
    fleet.wait(lambda: all(fleet.counts(name)["weights"] == 2 for name in ("r1", "r2")), 10.0)
    fleet.put("versions", "m", {"model": "m", "version": 3})
    fleet.wait(lambda: all(fleet.counts(name)["weights"] == 3 for name in ("r1", "r2")), 10.0)
    orders = [order for name in ("r1", "r2") for order in fleet.counts(name)["orders"]]
    orders.sort(key=lambda order: order["at_s"])
    assert len(orders) == 4
    for before, after in itertools.pairwise(orders):
        assert after["fence"] >= before["fence"]
        if after["holder"] != before["holder"]:
            assert after["fence"] > before["fence"]
            assert after["at_s"] - before["at_s"] >= LEASE_S
    assert call(fleet, "draft").body == COMPLETE_STREAM


def test_removed_key_is_refused_and_an_unresponsive_object_store_ends_admission(
    fleet: PlatformFleet,
) -> None:
    """A key is removed; later the object store accepts connections and sends no responses."""
    tenants = [{"name": "w", "api_keys": [KEY, "second"]}]
    fleet.put_config(CONFIG | {"routes": ROUTES, "version": 5, "tenants": tenants})
    fleet.wait(lambda: call(fleet, "read", key="second").status == 200, 3.0)
    fleet.put_config(CONFIG | {"routes": ROUTES, "version": 9})
    fleet.wait(lambda: call(fleet, "read", key="second").status == 401, 3.0)
    fleet.fault("store", silent=1)
    try:
        fleet.wait(lambda: call(fleet, "read").status == 503, 8.0)
        assert not fleet.ready("e1")
        assert call(fleet, "open", key=None).status == 200
    finally:
        fleet.fault("store", silent=0)
    fleet.wait(lambda: call(fleet, "read").status == 200, 8.0)


def test_planned_stop_completes_running_streams(fleet: PlatformFleet) -> None:
    """An entry gets SIGTERM in the middle of a stream."""
    # The preceding test stops the object store's responses and waits for the other entry only.
    fleet.wait(lambda: fleet.ready("e2"))
    for name in ("r1", "r2"):
        fleet.fault(name, event_s=0.3)
    conn, resp, _ = open_call(fleet, "walk", entry="e2")
    fleet.signal("e2", signal.SIGTERM)
    time.sleep(0.3)
    assert not fleet.ready("e2")
    assert resp.read() == COMPLETE_STREAM
    conn.close()
    for name in ("r1", "r2"):
        fleet.fault(name, event_s=0.0)
    assert fleet.running["e2"].process.wait(10.0) == 0
    fleet.start_entry("e2")
    fleet.wait(lambda: fleet.ready("e2"))


def test_log_links_a_request_to_its_target_and_contains_no_api_key(fleet: PlatformFleet) -> None:
    """An operator looks up a request id in the log."""
    response = call(fleet, "read")

    def lines() -> list[str]:
        lines_found = [
            line for line in fleet.log_of("e1") if line.get("request_id") == response.request_id
        ]
        return [line["event"] for line in lines_found]

    fleet.wait(lambda: lines() == ["call_placed", "request_finished"], 3.0)
    text = fleet.running["e1"].log.read_text()
    assert KEY not in text


class SlowLink:
    """Blocks as it closes until it has looked whether the caller's connection has ended."""

    def __init__(self, caller: socket.socket) -> None:
        self.caller = caller
        self.ended_before = False

    def start(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        try:
            self.ended_before = self.caller.recv(1) == b""
        except BlockingIOError:
            self.ended_before = False
        except ConnectionResetError:
            self.ended_before = True


def test_connections_of_callers_end_before_a_cleanup_that_blocks(
    fleet: PlatformFleet, tmp_path: Path
) -> None:
    """A request is arriving when an entry exits, and the close of another component takes long."""
    text = (fleet.folder / "e1.yaml").read_text()
    for name in ("e1", "e1 ready"):
        text = text.replace(f":{fleet.port(name)}", f":{free_port()}")
    file = tmp_path / "entry.yaml"
    file.write_text(text)
    deployment = read_settings_file(file).unwrap()._replace(peers=None, metrics=None)
    process = GatewayProcess(deployment, WatchedFile(file))
    with socket.socket() as caller:
        link = SlowLink(caller)
        process._peers = cast(PeerLink, link)
        process.gateway_io.handlers[SendPeer] = lambda action: None

        async def play() -> None:
            running = asyncio.create_task(process._run())
            while not process._servers:
                await asyncio.sleep(0.01)
            caller.connect((deployment.callers.host, deployment.callers.port))
            caller.sendall(b"GET /read/x HTTP/1.1\r\n")
            caller.setblocking(False)
            while not process.gateway_io.connections:
                await asyncio.sleep(0.01)
            process._set_broken("test")
            await running

        asyncio.run(play())
    assert link.ended_before
