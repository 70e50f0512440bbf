"""The product over real processes: bad requests, isolation, TLS, the command line."""

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
import zmq
from typer.testing import CliRunner

from filbertstream.actions import SendAttempt
from filbertstream.cli import app
from filbertstream.connection.listener import Listener
from filbertstream.connection.target_client import TargetClient
from filbertstream.connection.tls import ReloadingAdapter
from filbertstream.core import Core, CoreConfig
from filbertstream.messages import Heartbeat, encode
from filbertstream.process.host import Host
from filbertstream.process.settings import Tls
from standins.fleet import OPERATOR_KEY, Fleet, free_port
from tests.callers import (
    BOOK,
    CHAT,
    OTHER,
    WORKSPACE,
    book,
    chat,
    expected,
    runs,
    words_of,
)


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
def test_bad_requests_get_a_clear_problem(fleet: Fleet, body: bytes, key: str, status: int) -> None:
    url = fleet.parts["entry-1"].url + CHAT
    headers = {"Authorization": f"Bearer key-{key}"}
    try:
        resp = fleet.http.request("POST", url, body=body, headers=headers)
    except urllib3.exceptions.ProtocolError:
        # The server closed the connection while an oversized body was still being sent.
        assert status == 413
        return
    assert resp.status == status
    assert len(body) > 4_000_000 or msgspec.json.decode(resp.data)["run"] == "not_run"


def test_a_call_that_is_not_idempotent_needs_a_key(fleet: Fleet) -> None:
    resp = fleet.call("entry-1", BOOK, {"reference": "no key"}, WORKSPACE)
    assert (resp.status, msgspec.json.decode(resp.data)["type"]) == (400, "key_required")
    assert runs(fleet, "no key") == 0


def test_a_kept_answer_is_not_seen_by_another_workspace(fleet: Fleet) -> None:
    mine = book(fleet, "entry-1", "shared key", "mine")
    headers = {"Idempotency-Key": "shared key"}
    theirs = fleet.call("entry-2", BOOK, {"reference": "theirs"}, OTHER, headers)
    assert b"mine" in mine.data
    assert b"mine" not in theirs.data
    assert "Idempotency-Replayed" not in theirs.headers


def test_callers_cannot_reach_the_operators_api(fleet: Fleet) -> None:
    url = fleet.parts["entry-1"].control + "/v1/status"
    headers = {"Authorization": f"Bearer key-{WORKSPACE}"}
    assert fleet.http.request("GET", url, headers=headers).status == 401


def test_metrics_and_logs_name_no_workspace_prompt_or_key(fleet: Fleet) -> None:
    fleet.call("entry-1", CHAT, chat("very private words"), WORKSPACE)
    page = fleet.http.request("GET", fleet.parts["entry-1"].url + "/metrics").data.decode()
    log = (fleet.folder / "entry-1.log").read_text()
    assert "filbertstream_revision" in page
    for secret in ("very private words", f"key-{WORKSPACE}"):
        assert secret not in log
        assert secret not in page
    assert WORKSPACE not in page


def test_a_message_with_two_lengths_is_refused(fleet: Fleet) -> None:
    host, _, port = fleet.parts["entry-1"].url.removeprefix("http://").rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.sendall(
            f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-{WORKSPACE}\r\n"
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".encode()
        )
        assert b" 400 " in sock.recv(4_096).split(b"\r\n")[0]


def test_a_stranger_without_the_fleet_key_is_not_heard(fleet: Fleet) -> None:
    address = fleet.operator("entry-1", "GET", "/v1/status")
    assert address["members"]
    context = zmq.Context()
    stranger = context.socket(zmq.PUSH)
    stranger.linger = 0
    stranger.connect(fleet.peer_address(1))
    forged = Heartbeat("mallory", 1, "dc", "tcp://127.0.0.1:9", "live", 1.0, 0.0, 0, 0.0)
    for _ in range(20):
        stranger.send(encode(forged), zmq.NOBLOCK)
        time.sleep(0.05)
    stranger.close()
    context.term()
    members = fleet.operator("entry-1", "GET", "/v1/status")["members"]
    assert "mallory" not in [row["name"] for row in members]


def test_a_changed_certificate_is_used_and_a_bad_one_is_not(tmp_path: Path) -> None:
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


def test_an_entry_listens_with_tls(tmp_path: Path) -> None:
    authority = trustme.CA()
    pair = authority.issue_cert("127.0.0.1")
    files = Tls(tmp_path / "tls.crt", tmp_path / "tls.key")
    pair.cert_chain_pems[0].write_to_path(files.certificate_file)
    pair.private_key_pem.write_to_path(files.key_file)
    authority.cert_pem.write_to_path(tmp_path / "ca.crt")

    def answer(environ: dict[str, Any], start: Any) -> list[bytes]:
        start("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    port = free_port()
    listener = Listener("127.0.0.1", port, answer, 2, 1_000, files)
    listener.start()
    try:
        pool = urllib3.PoolManager(ca_certs=str(tmp_path / "ca.crt"), retries=False)
        assert pool.request("GET", f"https://127.0.0.1:{port}/").data == b"ok"
        strangers = urllib3.PoolManager(retries=False)
        with pytest.raises(urllib3.exceptions.SSLError):
            strangers.request("GET", f"https://127.0.0.1:{port}/")
    finally:
        listener.close()


def test_slow_senders_do_not_keep_others_out(fleet: Fleet) -> None:
    host, _, port = fleet.parts["entry-1"].url.removeprefix("http://").rpartition(":")
    slow = [socket.create_connection((host, int(port))) for _ in range(20)]
    for sock in slow:
        sock.sendall(f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nContent-".encode())
    resp = fleet.call("entry-1", CHAT, chat("beside slow senders"), WORKSPACE)
    for sock in slow:
        sock.close()
    assert words_of(resp.data) == expected("beside slow senders")


def run_cli(fleet: Fleet, *arguments: str) -> tuple[int, str]:
    options: list[str] = []
    for number in (1, 2, 3):
        options += ["--entry", fleet.parts[f"entry-{number}"].control]
    result = CliRunner().invoke(app, [*arguments, *options, "--key", OPERATOR_KEY])
    return result.exit_code, result.output


def test_the_command_line_applies_shows_and_explains(fleet: Fleet, tmp_path: Path) -> None:
    file = tmp_path / "change.yaml"
    file.write_text("kind: model\nname: other-3b\nversion: v1\n")
    code, output = run_cli(fleet, "apply", "-f", str(file), "--output", "json")
    assert code == 0, output
    assert "accepted" in output
    assert run_cli(fleet, "apply", "-f", str(file), "--output", "json")[0] == 0
    code, output = run_cli(fleet, "get", "model", "other-3b", "--output", "json")
    assert msgspec.json.decode(output) == {"kind": "model", "name": "other-3b", "version": "v1"}
    file.write_text("kind: model\nname: other-3b\nversion: v2\n")
    code, output = run_cli(fleet, "apply", "-f", str(file), "--base", "1", "--output", "json")
    assert code == 5
    assert "lost" in output
    code, output = run_cli(fleet, "get", "model", "nothing")
    assert code == 1
    assert run_cli(fleet, "list", "--output", "json")[0] == 0
    states = msgspec.json.decode(run_cli(fleet, "status", "--output", "json")[1])
    assert {state["blocked"] for state in states.values()} == {""}
    resp = fleet.call("entry-2", CHAT, chat("explained"), WORKSPACE)
    code, output = run_cli(fleet, "explain", resp.headers["X-Request-Id"], "--output", "json")
    explained = msgspec.json.decode(output)
    assert explained["outcome"] == "200"
    assert explained["attempts"][0]["outcome"] == "whole"
    assert "explained" not in str(explained)
    assert run_cli(fleet, "explain", "unknown")[0] == 1


def test_the_burn_report_merges_entries_and_draws(fleet: Fleet, tmp_path: Path) -> None:
    for number in (1, 2, 3):
        fleet.call(f"entry-{number}", CHAT, chat("burn"), OTHER)
    picture = tmp_path / "burn.png"
    code, output = run_cli(fleet, "report", "burn", "--output", "json", "--picture", str(picture))
    rows = {row["workspace"]: row for row in msgspec.json.decode(output)}
    assert code == 0
    assert rows[OTHER]["requests"] >= 3
    assert picture.read_bytes().startswith(b"\x89PNG")


def test_an_unreachable_entry_has_its_own_exit_code() -> None:
    arguments = ["list", "--entry", f"http://127.0.0.1:{free_port()}", "--key", "x"]
    assert CliRunner().invoke(app, arguments).exit_code == 3


def test_a_drained_target_gets_no_new_work_though_the_list_lags(fleet: Fleet) -> None:
    code, output = run_cli(fleet, "drain", "vm-runner-1", "--output", "json")
    assert code in (0, 4), output
    fleet.wait(lambda: all_leaving(fleet, "runner-1"), "all entries know")
    before = fleet.counts("runner-1")["requests"]
    for number in range(9):
        fleet.call(f"entry-{1 + number % 3}", CHAT, chat(f"drained {number}"), WORKSPACE)
    assert fleet.counts("runner-1")["requests"] == before


def all_leaving(fleet: Fleet, name: str) -> bool:
    for number in (1, 2, 3):
        rows = fleet.operator(f"entry-{number}", "GET", "/v1/status")["targets"]
        if [row["state"] for row in rows if row["name"] == name] != ["leaving"]:
            return False
    return True


def test_targets_are_reached_over_tls_with_their_own_authority(tmp_path: Path) -> None:
    authority, stranger = trustme.CA(), trustme.CA()
    pair = authority.issue_cert("127.0.0.1")
    files = Tls(tmp_path / "tls.crt", tmp_path / "tls.key")
    pair.cert_chain_pems[0].write_to_path(files.certificate_file)
    pair.private_key_pem.write_to_path(files.key_file)
    ca_file = tmp_path / "ca.crt"
    authority.cert_pem.write_to_path(ca_file)

    def answer(environ: dict[str, Any], start: Any) -> list[bytes]:
        echo = ("X-Request-Id", environ["HTTP_X_REQUEST_ID"])
        start("200 OK", [("Content-Length", "2"), echo])
        return [b"ok"]

    port = free_port()
    listener = Listener("127.0.0.1", port, answer, 2, 1_000, files)
    listener.start()
    core = Core(CoreConfig("e", "vm", "dc", 1, "tcp://127.0.0.1:1", (), b"secret"))
    client = TargetClient(str(ca_file), Host(core))
    send = SendAttempt(
        "r", "a", "t", f"https://127.0.0.1:{port}", "service", "", 5, (), (), True, 5.0, 5.0, 5.0
    )
    try:
        assert client.send(send, "GET", "/", b"", {}).unwrap().whole().unwrap() == b"ok"
        stranger.cert_pem.write_to_path(ca_file)
        os.utime(ca_file, ns=(1, 1))
        assert client.reload() is True
        assert client.send(send, "GET", "/", b"", {}).is_err()
    finally:
        client.close()
        listener.close()


def test_a_model_that_the_template_does_not_permit_is_refused(fleet: Fleet, tmp_path: Path) -> None:
    file = tmp_path / "model.yaml"
    file.write_text("kind: model\nname: secret-70b\nversion: v1\n")
    assert fleet.apply_documents(file)["state"] == "accepted"
    resp = fleet.call("entry-2", CHAT, chat("x") | {"model": "secret-70b"}, WORKSPACE)
    assert (resp.status, msgspec.json.decode(resp.data)["type"]) == (403, "not_permitted")
