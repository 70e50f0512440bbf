"""Smaller parts of an entry: retry budget, cache stores, retirement of blocks, file formats."""

import random
import subprocess
import sys
import time
from io import StringIO
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from filbertstream.connection.event_relay import EventRelay
from filbertstream.fleet.facts import FactExchange
from filbertstream.messages import EntryWork, WorkRow
from filbertstream.platform.documents import decode_configuration, decode_target
from filbertstream.platform.headers import decode_call, encode_target_head
from filbertstream.platform.settings_file import read_settings_file
from filbertstream.process.cache_index import CacheIndex
from filbertstream.process.cache_stores import (
    SAVE_HOLDOFF_S,
    SAVE_PENDING_S,
    SETTLING_S,
    BlocksFreed,
    CacheBlocksListed,
    CacheChange,
    CacheEventsReceived,
    CacheStores,
    FreeBlocks,
    ListCacheBlocks,
)
from filbertstream.process.counters import Counters
from filbertstream.process.logs import QUEUED_LINES, BoundedStream
from filbertstream.process.peer_work import HALF_WEIGHT_AGE_S, EntryRecord, PeerWork
from filbertstream.process.relays import Relays
from filbertstream.process.request_rates import RequestRates
from filbertstream.process.target_registration import TargetRegistration
from filbertstream.process.work_exchange import WorkExchange
from filbertstream.request.call import CacheDirectives
from filbertstream.request.retry_budget import SharedRetryBudget
from filbertstream.version.retirement import FREE_AFTER_S, Retirement
from filbertstream.version.routes import CacheStore
from filbertstream.version.weights_view import MAX_FETCH_VIEW_AGE_S
from tests.gateway_world import STORE


@given(
    st.lists(
        st.tuples(st.floats(0.0, 0.5), st.integers(0, 3), st.booleans()), min_size=1, max_size=300
    )
)
def test_retries_of_all_entries_stay_within_the_budget_without_coordination(
    steps: list[tuple[float, int, bool]],
) -> None:
    """Four entries retry calls to one service, and none has information on the others' retries."""
    ratio, window_s, floor = 0.2, 10.0, 1
    budgets = [SharedRetryBudget(ratio, window_s, floor) for _ in range(4)]
    now_s = 0.0
    calls: list[float] = []
    retries: list[float] = []
    for gap_s, number, is_retry in steps:
        now_s += gap_s
        if is_retry:
            if budgets[number].take("s", now_s):
                retries.append(now_s)
        else:
            budgets[number].note_call("s", now_s)
            calls.append(now_s)
        recent = sum(1 for at_s in retries if at_s > now_s - window_s)
        before = sum(1 for at_s in calls if at_s > now_s - 2 * window_s)
        assert recent <= ratio * before + floor * len(budgets)


def events(holder: str, now_s: float, boot: int, *changes: CacheChange) -> CacheEventsReceived:
    return CacheEventsReceived(holder, now_s, now_s, boot, 0, 1_000, changes)


def test_nothing_is_saved_to_a_full_store() -> None:
    """A cache store is almost full, and a block is larger than what is free."""
    stores = CacheStores(CacheIndex(), random.Random(1))
    stores.configure([("keep", STORE)])
    stores.on_events(events("keep", 100.0, 1))
    now_s = 105.0
    stores.on_listed(CacheBlocksListed("keep", now_s, 1, 0, (), 0), now_s)
    stores.on_events(events("keep", now_s, 1, CacheChange(True, ("n", "big"), 96_000)))
    assert stores.save_to(("n", "a"), 2_000, now_s) is None
    assert stores.save_to(("n", "b"), 900, now_s) == "keep"


def test_block_whose_event_was_lost_is_found_by_listing_the_store() -> None:
    """Events of a save and of a removal are lost. A listing from after a restart is ignored."""
    stores = CacheStores(CacheIndex(), random.Random(1))
    stores.configure([("keep", STORE)])
    stores.on_events(events("keep", 100.0, 1, CacheChange(True, ("n", "gone"), 100)))
    due = [item for item in stores.tick(109.0) if isinstance(item, ListCacheBlocks)]
    assert [item.holder for item in due] == ["keep"]
    stores.on_events(events("keep", 109.0, 1))
    stores.on_listed(CacheBlocksListed("keep", 109.0, 1, 9, ((("n", "a"), 700),), 50), 109.0)
    later_s = 109.0 + SETTLING_S
    stores.on_events(events("keep", later_s, 1)._replace(next_event=9))
    assert stores.source(("n", "a"), 700, "dc1", later_s) == "keep"
    assert stores.source(("n", "gone"), 100, "dc1", later_s) is None
    assert (stores.states["keep"].used_tokens, stores.states["keep"].since) == (700, 9)
    stores.on_listed(CacheBlocksListed("keep", 109.0, 2, 1, (), 0), 109.0)
    assert stores.states["keep"].used_tokens == 700


def test_all_entries_choose_the_same_store_for_a_block() -> None:
    """Otherwise a block would be saved once for each entry."""
    chosen = set()
    for _ in range(3):
        stores = CacheStores(CacheIndex(), random.Random(1))
        named = [(f"s{n}", CacheStore(f"10.0.0.{n}:1", "dc", 10_000, 1, True)) for n in range(5)]
        stores.configure(named)
        for name, _ in named:
            stores.on_events(events(name, 100.0, 1))
            stores.on_events(events(name, 105.0, 1))
            stores.on_listed(CacheBlocksListed(name, 105.0, 1, 0, (), 0), 105.0)
        chosen.add(tuple(stores.save_to(("n", f"p{n}"), 100, 105.0) for n in range(20)))
    (places,) = chosen
    assert len(set(places)) > 2


def test_block_held_only_by_an_unresponsive_store_is_saved_to_another() -> None:
    """A cache store stops responding, so that its blocks can't be fetched."""
    stores = CacheStores(CacheIndex(), random.Random(1))
    stores.configure([("first", STORE), ("second", STORE)])
    key = ("space", "part")
    stores.on_events(events("first", 0.0, 1, CacheChange(True, key, 800)))
    stores.on_events(events("second", 0.0, 1))
    now_s = SAVE_HOLDOFF_S + 1.0
    stores.on_events(events("second", now_s, 1))
    for name, held in (("first", ((key, 800),)), ("second", ())):
        stores.on_listed(CacheBlocksListed(name, now_s, 1, 0, held, 0), now_s)
    assert stores.save_to(key, 800, now_s) == "second"
    later_s = now_s + 2 * SAVE_PENDING_S
    for name in ("first", "second"):
        stores.on_events(events(name, later_s, 1))
    assert stores.save_to(key, 800, later_s) is None


def test_only_blocks_of_replaced_weights_are_freed_and_each_once() -> None:
    """A cache store holds blocks of replaced, current and unknown namespaces."""
    index = CacheIndex()
    stores = CacheStores(index, random.Random(1))
    stores.configure([("keep", STORE)])
    keys = [CacheChange(True, ("old", f"p{n}"), 10) for n in range(20)]
    kept = [CacheChange(True, ("new", "p"), 10), CacheChange(True, ("unknown", "p"), 10)]
    stores.on_events(events("keep", 100.0, 7, *keys, *kept))
    retirement = Retirement(stores, index.held_by)
    assert not retirement.has_work(frozenset())
    assert retirement.has_work(frozenset({"old"}))
    (call,) = retirement.step(frozenset({"old"}), 100.1)
    assert isinstance(call, FreeBlocks)
    assert (call.start_id, {key[0] for key in call.keys}, len(call.keys)) == (7, {"old"}, 20)
    assert call.until_ms > 1_100
    stores.on_freed(BlocksFreed("keep", call.keys))
    assert not retirement.has_work(frozenset({"old"}))
    assert stores.states["keep"].used_tokens == 20


def test_blocks_are_freed_only_after_fetches_on_an_older_view_have_ended() -> None:
    """An entry with an older view of the weights may still start a fetch until its view expires."""
    from filbertstream.process.cache_stores import FETCH_TIMEOUT_S

    assert FREE_AFTER_S > MAX_FETCH_VIEW_AGE_S + FETCH_TIMEOUT_S


def test_work_reported_by_a_peer_counts_until_its_reports_stop() -> None:
    """A peer reports its runs at a runner and then stops sending."""
    first, second = PeerWork("e1"), PeerWork("e2")
    for work in (first, second):
        work.join("e1", EntryRecord("tcp://a", 1))
        work.join("e2", EntryRecord("tcp://b", 1))
    row = WorkRow("r1", 3, 900, 500)
    exchange = WorkExchange(
        first, Relays("e1", first.names), RequestRates(Counters()), FactExchange({}, Counters())
    )
    (report,) = exchange.due((row,), True, [], 10.0)
    assert exchange.due((row,), True, [], 10.05) == []
    assert report.address == "tcp://b"
    assert isinstance(report.payload, EntryWork)
    second.on_work(report.payload, 10.0)
    assert second.peer_work_at("r1", 10.0) == (3, 900, 500, 500)
    half = second.peer_work_at("r1", 10.0 + HALF_WEIGHT_AGE_S).weighted_queued_tokens
    assert half == pytest.approx(250, abs=1)
    assert second.peer_work_at("r1", 10.5)[:3] == (3, 900, 500)
    assert second.peer_work_at("r1", 11.1) == (0, 0, 0, 0)
    assert first.peer_work_at("r1", 10.0) == (0, 0, 0, 0)


STREAM = [f"id: {number}\ndata: x{number}\n\n".encode() for number in range(1, 30)]


@given(st.lists(st.integers(0, 28), max_size=6), st.integers(1, 40))
def test_resumed_stream_has_no_gap_and_no_duplicate_event(cuts: list[int], size: int) -> None:
    """A stream is cut anywhere, and its next target sends the last event again."""
    relay = EventRelay(None)
    passed = b""
    for cut in [*cuts, 10_000]:
        last = int(relay.last_id or 0)
        data = b"".join(STREAM[max(0, last - 1) :])  # A target may send the last event again.
        data = data[: cut * 9 + 4] if cut < 10_000 else data
        for start in range(0, len(data), size):
            passed += relay.feed(data[start : start + size])
        if cut < 10_000:
            relay = relay.resumed()
    assert passed == b"".join(STREAM)
    assert relay.complete


def test_stream_that_ends_inside_an_event_is_incomplete() -> None:
    """A connection ends cleanly, but in the middle of an event."""
    relay = EventRelay(None)
    relay.feed(STREAM[0] + STREAM[1][:7])
    assert not relay.complete


HEAD = [(b"host", b"h"), (b"request-id", b"q"), (b"x-api-key", b"secret")]


@pytest.mark.parametrize("name", [b"request-id", b"x-api-key", b"host", b"content-length"])
def test_duplicate_of_a_header_that_affects_routing_or_framing_is_rejected(name: bytes) -> None:
    """Request smuggling: an entry and a target could each use another one of the two values."""
    headers = [*HEAD, (b"content-length", b"1"), (name, b"other")]
    assert isinstance(decode_call("GET", "/a/", headers, 0), Err)


@pytest.mark.parametrize(
    ("path", "headers"),
    [
        ("http://h/a/", HEAD),
        ("/a/", HEAD[:1]),
        ("/a/", [*HEAD, (b"deadline-ms", b"soon")]),
        ("/a/", [*HEAD, (b"model", b"m"), (b"token-count", b"x,1")]),
        ("/a/", [*HEAD, (b"model", b"m"), (b"token-count", b"1,1"), (b"prefix-hash", b"a:b")]),
    ],
)
def test_malformed_request_head_is_rejected(path: str, headers: list[tuple[bytes, bytes]]) -> None:
    """A caller sends an unusable path, deadline or token count, or omits a required header."""
    assert isinstance(decode_call("GET", path, headers, 0), Err)


def test_request_to_a_target_contains_no_api_key_and_no_forged_system_header() -> None:
    """A caller sends headers that only the system may set, and hop-by-hop headers."""
    forged = [
        (name, b"forged")
        for name in (b"tenant", b"cache-salt", b"hold", b"pin-ms", b"kv-from", b"kv-backup")
    ]
    connection = [(b"connection", b"x-hop, request-id"), (b"x-hop", b"1"), (b"te", b"trailers")]
    headers = [*HEAD, *forged, *connection, (b"model", b"m")]
    orders = CacheDirectives("space", 2, ("10.0.0.1:1/5", ""), ("", "10.0.0.2:1"), 77)
    data = encode_target_head("POST", "/a/", headers, orders, "i-1", "w", 1.5, 3, "9", 4)
    text = data.decode()
    assert "forged" not in text
    assert "secret" not in text
    assert "X-Hop" not in text
    for line in (
        "Request-Id: q",
        "Model: m",
        "Tenant: w",
        "Expect-Instance: i-1",
        "Expect-Version: 2",
        "Cache-Salt: space",
        "Kv-Fetch: 10.0.0.1:1/5,-",
        "Kv-Save: -,10.0.0.2:1",
        "Kv-Until: 77",
        "Deadline-Ms: 1500",
        "Last-Event-Id: 9",
        "Content-Length: 4",
    ):
        assert f"\r\n{line}\r\n" in text


REST = b'"version":"v1","slots":4,"cold_left_ms":0,"seq":1}'


@pytest.mark.parametrize(
    "spec",
    [
        b"[]",
        b'"text"',
        b"{}",
        b'{"service":"s","address":"nowhere","zone":"z","state":"ready",' + REST,
        b'{"service":"s","address":"10.0.0.1:80","zone":"z","state":"asleep",' + REST,
        b'{"service":7,"address":"10.0.0.1:80","zone":"z","state":"ready",' + REST,
    ],
)
def test_undecodable_registration_yields_no_target(spec: bytes) -> None:
    """A registration lacks fields, or has values of a wrong type."""
    assert isinstance(decode_target("i-1", msgspec.Raw(spec)), Err)


def test_unknown_fields_of_a_registration_are_ignored() -> None:
    """A newer version of the platform adds fields."""
    spec = (
        b'{"service":"s","address":"10.0.0.1:80","zone":"z","state":"draining",'
        b'"version":"v1","slots":4,"cold_left_ms":0,"seq":4,'
        b'"models":[{"name":"m","version":3,"adapters":[]}],"born":12,"later":[1]}'
    )
    decoded = decode_target("i-1", msgspec.Raw(spec))
    assert isinstance(decoded, Ok)
    decoded_target: TargetRegistration = decoded.ok_value
    assert (decoded_target.draining, decoded_target.weights, decoded_target.started_ms) == (
        True,
        {"m": 3},
        12,
    )


def test_undecodable_configuration_is_an_error() -> None:
    """A configuration lacks required fields."""
    assert isinstance(decode_configuration(msgspec.Raw(b'{"version":1}')), Err)


BOOT = """
node_name: "n1"
ip: "127.0.0.1"
zone: "dc1"
listen: {front: "127.0.0.1:8005", ready: "127.0.0.1:8002"}
port_range: [7700, 7715]
limits: {memory_mb: 300, max_fds: 4100}
bounds: {drain_ms: 2000, reuse_after_s: 2, grace_s: 8, budget_ratio: 0.2, budget_window_s: 10,
  retry_slack: 52}
platform: {address: "10.0.0.1:8007", form: "objects"}
a_field_of_tomorrow: {x: 1}
"""


def test_unknown_fields_of_the_settings_are_ignored(tmp_path: Path) -> None:
    """A settings file of a newer version has additional fields."""
    file = tmp_path / "boot.yaml"
    file.write_text(BOOT)
    read = read_settings_file(file)
    assert isinstance(read, Ok)
    assert (read.ok_value.bounds.drain_s, read.ok_value.callers.port) == (2.0, 8005)


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('zone: "dc1"\n', "", "zone"),
        ("drain_ms: 2000", 'drain_ms: "soon"', "bounds.drain_ms"),
        ('front: "127.0.0.1:8005"', 'front: "somewhere"', "listen.front"),
    ],
)
def test_error_in_the_settings_names_its_key(tmp_path: Path, old: str, new: str, key: str) -> None:
    """A settings file lacks a key, or has an invalid value."""
    file = tmp_path / "boot.yaml"
    file.write_text(BOOT.replace(old, new))
    read = read_settings_file(file)
    assert isinstance(read, Err)
    assert [mistake.key for mistake in read.err_value] == [key]


def test_log_without_a_reader_never_blocks_and_counts_dropped_lines() -> None:
    """The reader of the log stops, and the queue of lines fills up."""
    sink = StringIO()
    stream = BoundedStream(sink)
    began_s = time.monotonic()
    for number in range(QUEUED_LINES + 25):
        stream.write(f"{number}\n")
    assert time.monotonic() - began_s < 5.0
    assert stream.dropped == 25
    stream.start()
    stream.close()
    assert sink.getvalue().count("\n") == QUEUED_LINES


def test_entry_on_the_platform_imports_no_package_that_only_the_product_needs() -> None:
    """Load pattern: all entries were killed, and callers wait until they have started."""
    code = "import sys, filbertstream.cli; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, text=True
    )
    packages = {name.partition(".")[0] for name in loaded.stdout.split()}
    assert "filbertstream" in packages
    assert not packages & {"pydantic", "cheroot", "matplotlib"}
