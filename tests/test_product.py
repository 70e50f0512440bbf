"""The product over real processes: invalid requests, isolation of workspaces, TLS, command line.

Failures guarded against: requests that are not rejected clearly, data of one workspace shown to
another or in logs, connections without valid keys or certificates, and work for drained targets.
"""

import asyncio
import contextlib
import os
import socket
import ssl
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trustme
import urllib3
import yaml
import zmq
from typer.testing import CliRunner

from filbertstream.cli import app
from filbertstream.connection.listener import Listener
from filbertstream.connection.target_call import call_target
from filbertstream.connection.target_pool import TargetConnectionPool
from filbertstream.connection.tls import ReloadingAdapter, ReloadingAuthority
from filbertstream.messages import EntryWork, WorkRow, encode
from filbertstream.names import digest_key
from filbertstream.process.clock import boot_time_s
from filbertstream.process.deployment import Address
from filbertstream.process.settings import Tls
from standins.fleet import OPERATOR_KEY, Fleet
from standins.processes import Processes, free_port
from tests.callers import (
    BOOK,
    CHAT,
    OTHER_WORKSPACE,
    WORKSPACE,
    book,
    chat,
    expected,
    runs,
    words_of,
)

OTHER_MODEL = {
    "kind": "model",
    "name": "other-3b",
    "version": 1,
    "slots": 8,
    "cache_tokens": 100_000,
    "token_bytes": 163_840,
    "event_readers": 4,
}


@pytest.mark.parametrize(
    ("body", "key", "status"),
    [
        (b"{", WORKSPACE, 400),
        (b'{"model": 7, "messages": []}', WORKSPACE, 400),
        (b'{"model": "guide-7b", "messages": []}', WORKSPACE, 400),
        (b"\xff\xfe", WORKSPACE, 400),
        (msgspec.json.encode(chat("x") | {"model": "other"}), WORKSPACE, 404),
        (msgspec.json.encode(chat("x" * 300_000)), WORKSPACE, 413),
        (msgspec.json.encode(chat("x" * 5_000_000)), WORKSPACE, 413),
        (msgspec.json.encode(chat("x")), "nobody", 401),
    ],
)
def test_invalid_request_gets_a_problem_that_says_not_run(
    fleet: Fleet, body: bytes, key: str, status: int
) -> None:
    """Malformed, oversized and unauthorized requests."""
    url = fleet.running["entry-1"].url + CHAT
    headers = {"Authorization": f"Bearer key-{key}"}
    try:
        resp = fleet.http.request("POST", url, body=body, headers=headers)
    except urllib3.exceptions.ProtocolError:
        # The server closed the connection while an oversized body was still being sent.
        assert status == 413
        return
    assert resp.status == status
    assert len(body) > 4_000_000 or msgspec.json.decode(resp.data)["run"] == "not_run"


def test_non_idempotent_call_without_an_idempotency_key_is_rejected(fleet: Fleet) -> None:
    """Without a key, a caller's retry could run the call twice."""
    resp = fleet.call("entry-1", BOOK, {"reference": "no key"}, WORKSPACE)
    assert (resp.status, msgspec.json.decode(resp.data)["type"]) == (400, "key_required")
    assert runs(fleet, "no key") == 0


def test_stored_response_is_not_returned_to_another_workspace(fleet: Fleet) -> None:
    """Two workspaces use the same idempotency key."""
    own_response = book(fleet, "entry-1", "shared key", "mine")
    headers = {"Idempotency-Key": "shared key"}
    other_response = fleet.call("entry-2", BOOK, {"reference": "theirs"}, OTHER_WORKSPACE, headers)
    assert b"mine" in own_response.data
    assert b"mine" not in other_response.data
    assert "Idempotency-Replayed" not in other_response.headers


def test_caller_cannot_reach_the_operators_api(fleet: Fleet) -> None:
    """A caller sends its API key to the operators' port."""
    url = fleet.operators_url("entry-1") + "/v1/status"
    headers = {"Authorization": f"Bearer key-{WORKSPACE}"}
    assert fleet.http.request("GET", url, headers=headers).status == 401


def test_metrics_and_logs_reveal_no_workspace_prompt_or_api_key(fleet: Fleet) -> None:
    """A prompt and an API key pass through an entry. Logs and metrics are read by others."""
    fleet.call("entry-1", CHAT, chat("very private words"), WORKSPACE)
    page = fleet.http.request("GET", fleet.running["entry-1"].url + "/metrics").data.decode()
    log = (fleet.folder / "entry-1.log").read_text()
    assert "filbertstream_config_version" in page
    for secret in ("very private words", f"key-{WORKSPACE}"):
        assert secret not in log
        assert secret not in page
    assert WORKSPACE not in page


def test_request_with_two_lengths_is_rejected(fleet: Fleet) -> None:
    """Request smuggling: a request has both a Content-Length and a chunked encoding."""
    host, _, port = fleet.running["entry-1"].url.removeprefix("http://").rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.sendall(
            f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-{WORKSPACE}\r\n"
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".encode()
        )
        assert b" 400 " in sock.recv(4_096).split(b"\r\n")[0]


def test_peer_messages_without_the_fleet_key_are_dropped(fleet: Fleet) -> None:
    """A program without the fleet key reports forged work. It would divert calls from a runner."""
    forged = encode(EntryWork("entry-2", (WorkRow("runner-1", 1_000, 0, 0),)))
    running = []
    sent = 0
    with zmq.Context() as context, context.socket(zmq.PUSH) as outsider:
        outsider.linger = 0
        outsider.connect(fleet.peer_address(1))
        for _ in range(20):
            # Once the handshake has failed, no connection is left to send on.
            with contextlib.suppress(zmq.Again):
                outsider.send(forged, zmq.NOBLOCK)
                sent += 1
            time.sleep(0.05)
            rows = fleet.operator("entry-1", "GET", "/v1/status")["targets"]
            running += [row["running"] for row in rows if row["name"] == "runner-1"]
    assert sent >= 1
    assert len(running) == 20
    assert max(running) < 1_000


def test_renewed_certificate_is_loaded_and_an_invalid_one_is_not(tmp_path: Path) -> None:
    """A certificate's files are replaced while the process runs, once by an invalid key."""
    authority = trustme.CA()
    files = Tls(tmp_path / "tls.crt", tmp_path / "tls.key")

    def write() -> None:
        pair = authority.issue_cert("127.0.0.1")
        pair.cert_chain_pems[0].write_to_path(files.certificate_file)
        pair.private_key_pem.write_to_path(files.key_file)

    write()
    adapter = ReloadingAdapter(files)
    assert adapter.reload() is None
    time.sleep(0.01)
    files.key_file.write_text("not a key")
    assert adapter.reload() is False
    time.sleep(0.01)
    write()
    assert adapter.reload() is True
    assert adapter.adapter.context.minimum_version >= ssl.TLSVersion.TLSv1_2


def write_certificate(folder: Path, authority: trustme.CA) -> Tls:
    pair = authority.issue_cert("127.0.0.1")
    files = Tls(folder / "tls.crt", folder / "tls.key")
    pair.cert_chain_pems[0].write_to_path(files.certificate_file)
    pair.private_key_pem.write_to_path(files.key_file)
    authority.cert_pem.write_to_path(folder / "ca.crt")
    return files


def test_entry_listens_with_tls_for_callers_and_operators(tmp_path: Path) -> None:
    """Clients without the authority's certificate must not accept the connection."""
    files = write_certificate(tmp_path, trustme.CA())
    tls = {"certificate_file": str(files.certificate_file), "key_file": str(files.key_file)}
    processes = Processes(tmp_path)
    ports = [processes.port(name) for name in ("callers", "operators", "peers")]
    settings = {
        "name": "entry-1",
        "data_center": "dc",
        "callers": {"host": "127.0.0.1", "port": ports[0], "tls": tls},
        "operators": {
            "host": "127.0.0.1",
            "port": ports[1],
            "keys": [digest_key(OPERATOR_KEY)],
            "tls": tls,
        },
        "peers": {"address": f"tcp://127.0.0.1:{ports[2]}"},
        "platform": {"objects": "http://127.0.0.1:9"},
    }
    file = tmp_path / "entry.yaml"
    file.write_text(yaml.safe_dump(settings))
    words = ["filbertstream", "entry", "--config", str(file)]
    urls = [f"https://127.0.0.1:{ports[0]}/healthz", f"https://127.0.0.1:{ports[1]}/v1/status"]
    pool = urllib3.PoolManager(ca_certs=str(tmp_path / "ca.crt"), retries=False)
    untrusting_pool = urllib3.PoolManager(retries=False)
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    try:
        processes.spawn("entry-1", words, f"127.0.0.1:{ports[0]}", f"127.0.0.1:{ports[1]}")
        for url in urls:
            processes.wait(lambda url=url: pool.request("GET", url, headers=headers).status == 200)
            with pytest.raises(urllib3.exceptions.SSLError):
                untrusting_pool.request("GET", url)
    finally:
        processes.close()


def test_slow_senders_do_not_block_other_callers(fleet: Fleet) -> None:
    """Twenty connections send an unfinished head and nothing more."""
    host, _, port = fleet.running["entry-1"].url.removeprefix("http://").rpartition(":")
    slow_senders = [socket.create_connection((host, int(port))) for _ in range(20)]
    for sock in slow_senders:
        sock.sendall(f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nContent-".encode())
    resp = fleet.call("entry-1", CHAT, chat("beside slow senders"), WORKSPACE)
    for sock in slow_senders:
        sock.close()
    assert words_of(resp.data) == expected("beside slow senders")


def run_cli(fleet: Fleet, *arguments: str) -> tuple[int, str]:
    options: list[str] = []
    for number in (1, 2, 3):
        options += ["--entry", fleet.operators_url(f"entry-{number}")]
    result = CliRunner().invoke(app, [*arguments, *options, "--key", OPERATOR_KEY])
    return result.exit_code, result.output


def test_command_line_applies_shows_and_explains(fleet: Fleet, tmp_path: Path) -> None:
    """An operator applies a change, then one with an outdated base, and explains a request."""
    file = tmp_path / "change.yaml"
    file.write_text("kind: model\nname: other-3b\nversion: 1\n")
    code, output = run_cli(fleet, "apply", "-f", str(file), "--output", "json")
    assert code == 0, output
    assert "accepted" in output
    assert run_cli(fleet, "apply", "-f", str(file), "--output", "json")[0] == 0
    code, output = run_cli(fleet, "get", "model", "other-3b", "--output", "json")
    assert msgspec.json.decode(output) == OTHER_MODEL
    file.write_text("kind: model\nname: other-3b\nversion: 2\n")
    code, output = run_cli(fleet, "apply", "-f", str(file), "--base", "1", "--output", "json")
    assert code == 5
    assert "lost" in output
    code, output = run_cli(fleet, "get", "model", "nothing")
    assert code == 1
    assert run_cli(fleet, "list", "--output", "json")[0] == 0
    states = msgspec.json.decode(run_cli(fleet, "status", "--output", "json")[1])
    assert {state["ready"] for state in states.values()} == {True}
    resp = fleet.call("entry-2", CHAT, chat("explained"), WORKSPACE)
    code, output = run_cli(fleet, "explain", resp.headers["X-Request-Id"], "--output", "json")
    explained = msgspec.json.decode(output)
    assert [line["event"] for line in explained["lines"]] == ["call_placed", "request_finished"]
    assert explained["lines"][1]["outcome"] == "complete"
    assert "explained" not in str(explained)
    assert run_cli(fleet, "explain", "unknown")[0] == 1


def test_burn_report_merges_all_entries_and_draws_a_picture(fleet: Fleet, tmp_path: Path) -> None:
    """Each entry has handled only some of a workspace's requests."""
    for number in (1, 2, 3):
        fleet.call(f"entry-{number}", CHAT, chat("burn"), OTHER_WORKSPACE)
    picture = tmp_path / "burn.png"
    code, output = run_cli(fleet, "report", "burn", "--output", "json", "--picture", str(picture))
    rows = {row["workspace"]: row for row in msgspec.json.decode(output)}
    assert code == 0
    assert rows[OTHER_WORKSPACE]["requests"] >= 3
    assert picture.read_bytes().startswith(b"\x89PNG")


def test_unreachable_entry_has_its_own_exit_code() -> None:
    """A script must be able to distinguish an unreachable entry from a rejected command."""
    arguments = ["list", "--entry", f"http://127.0.0.1:{free_port()}", "--key", "x"]
    assert CliRunner().invoke(app, arguments).exit_code == 3


def test_drained_target_gets_no_new_work_until_its_drain_is_ended(fleet: Fleet) -> None:
    """An operator drains a runner and later ends the drain."""
    code, output = run_cli(fleet, "drain", "runner-1", "--output", "json")
    assert code == 0, output
    fleet.wait(
        lambda: all_leaving(fleet, "runner-1"), what="all entries show the runner as leaving"
    )
    before = len(fleet.counts("runner-1")["ran"])
    for number in range(9):
        fleet.call(f"entry-{1 + number % 3}", CHAT, chat(f"drained {number}"), WORKSPACE)
    assert len(fleet.counts("runner-1")["ran"]) == before
    assert run_cli(fleet, "drain", "runner-1", "--end", "--output", "json")[0] == 0
    fleet.wait(lambda: not all_leaving(fleet, "runner-1"), what="the drain has ended")


def all_leaving(fleet: Fleet, name: str) -> bool:
    for number in (1, 2, 3):
        rows = fleet.operator(f"entry-{number}", "GET", "/v1/status")["targets"]
        if [row["state"] for row in rows if row["name"] == name] != ["leaving"]:
            return False
    return True


def test_target_is_reached_over_tls_only_with_its_own_authority(tmp_path: Path) -> None:
    """The authority is replaced by one that did not issue the target's certificate."""
    files = write_certificate(tmp_path, trustme.CA())

    def respond(environ: dict[str, Any], start: Any) -> list[bytes]:
        start("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    port = free_port()
    listener = Listener("127.0.0.1", port, respond, 2, 1_000, files)
    listener.start()
    address = Address("127.0.0.1", port)
    authority = ReloadingAuthority(tmp_path / "ca.crt")

    async def send_request() -> tuple[int, bytes] | None:
        links = TargetConnectionPool(authority.context)
        data = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
        try:
            return await call_target(links, address, data, 3.0, boot_time_s())
        finally:
            links.close()

    try:
        assert asyncio.run(send_request()) == (200, b"ok")
        trustme.CA().cert_pem.write_to_path(tmp_path / "ca.crt")
        os.utime(tmp_path / "ca.crt", ns=(1, 1))
        assert authority.reload() is True
        assert asyncio.run(send_request()) is None
    finally:
        listener.close()


def test_model_that_the_template_does_not_permit_is_refused(fleet: Fleet, tmp_path: Path) -> None:
    """A model exists, but the workspace's template does not list it."""
    file = tmp_path / "model.yaml"
    file.write_text("kind: model\nname: secret-70b\nversion: 1\n")
    assert fleet.apply_documents(file)["state"] == "accepted"
    revision = fleet.operator("entry-1", "GET", "/v1/documents")["revision"]
    fleet.wait(
        lambda: fleet.operator("entry-2", "GET", "/v1/status")["revision"] >= revision,
        what="the change is in force",
    )
    resp = fleet.call("entry-2", CHAT, chat("x") | {"model": "secret-70b"}, WORKSPACE)
    assert (resp.status, msgspec.json.decode(resp.data)["type"]) == (403, "not_permitted")
