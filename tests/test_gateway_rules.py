"""Each rule of the gateway's soak, with records that break it and records that don't."""

from typing import Any

import pytest

from bench.gateway_crash_rules import LEAST_REQUESTS
from bench.gateway_departure_rules import LATE_SHARE
from bench.gateway_records import Dedication, Exit, Observed, Request, Route, Sample, Span
from bench.gateway_rules import RULES, broken
from standins.arrivals import Arrival

ROUTES = {
    "read": Route("app", True, 2),
    "book": Route("app", False, 1),
    "draft": Route("models", True, 2),
}


def request(number: int = 1, route: str = "read", **changes: Any) -> Request:
    """A request from a kept connection that was answered after 0.4 s."""
    found = Request(str(number), "e1", route, 20.0, 4.0, 1, 20.0, 200, True, True, True, 20.4)
    return found._replace(**changes)


def arrival(number: int = 1, target: str = "a1", **changes: Any) -> Arrival:
    """A request that ran for 0.3 s."""
    found = Arrival(str(number), target, 7, 20.1, deadline_ms=3900, ran_s=20.1, status=200)
    return found._replace(**{"ended_s": 20.4, **changes})


def seen(requests: list[Request], arrivals: list[Arrival], **changes: Any) -> Observed:
    found = Observed(ROUTES, {item.request_id: item for item in requests}, arrivals)
    return found._replace(**changes)


def seen_of(
    count: int, sent: dict[str, Any], arrived: list[dict[str, Any]], *spans: Span, **changes: Any
) -> Observed:
    """Several requests of one kind, each with the same arrivals."""
    numbers = range(1, count + 1)
    arrivals = [arrival(number, **fields) for number in numbers for fields in arrived]
    requests = [request(number, **sent) for number in numbers]
    return seen(requests, arrivals, spans=list(spans), **changes)


def beside_crashes(status: int, share: float = 1.0) -> Observed:
    """Sound prompts that begin before the crashes, and a share with a status after them."""
    sound = {"route": "draft", "blocks": ("a", "b")}
    refused = round(share * LEAST_REQUESTS)
    numbers = range(LEAST_REQUESTS)
    before = [request(number, **sound, begun_s=0.5) for number in numbers]
    after = [
        request(100 + number, **sound, begun_s=12.0, status=status if number < refused else 200)
        for number in numbers
    ]
    last = request(999, route="draft", blocks=("a", "x"), begun_s=13.0)
    return seen([*before, *after, last], [], crash_block="x", crashes_s=CRASHES_S)


CUT = {"status": None, "signed": False, "whole": False}
LEFT = {**CUT, "left": True, "route": "draft", "ended_s": 20.25}
PAUSE = [{"status": 503, "pause_s": 3.0, "ran_s": None, "ended_s": 20.1, "at_s": 20.1}]
IN_PAUSE = [*PAUSE, *({"at_s": 21.0 + n} for n in (0.0, 0.1, 0.2))]
LEAVES = [arrival(leaving=True), arrival(2, at_s=23.0)]
CRASHES: dict[str, Any] = {"blocks": "x:1", "ended_s": None}
CRASHES_S = [1.0, 2.0, 3.0, 4.0, 5.0]
LONG = [{"deadline_ms": 4600}]
AGAIN_LATE = [{}, {"at_s": 20.9, "deadline_ms": 3900, "target": "a2"}]
AGAIN = [{}, {"at_s": 20.9, "deadline_ms": 3100, "target": "a2"}]
USED = [{"tenant": "v", "used": (("b", "w"),)}]
NONE: frozenset[str] = frozenset()
SET: dict[str, Any] = {
    "dedications": [
        Dedication(0.0, 0.0, NONE),
        Dedication(9.0, 10.0, frozenset("w")),
    ]
}
TERM = Span("e1", "TERM", 20.2, 20.4)

CASES: list[tuple[str, Observed, Observed]] = [
    ("BUDGET arrivals", seen_of(63, {}, [{}, {}]), seen_of(62, {}, [{}, {}])),
    (
        "BUDGET attempts",
        seen_of(4, {}, [{}, {"target": "a2"}, {"target": "a3"}]),
        seen_of(4, {}, [{}, {"target": "a2"}, {"target": "a3"}], Span("a3", "KILL", 21.0, 22.0)),
    ),
    ("BUDGET time", seen_of(21, {}, [{"deadline_ms": None}]), seen_of(21, {}, [{}])),
    ("BUDGET time", seen_of(21, {}, LONG), seen_of(20, {}, LONG)),
    ("BUDGET time", seen_of(21, {}, AGAIN_LATE), seen_of(21, {}, AGAIN)),
    (
        "BUDGET pause",
        seen_of(1, {}, IN_PAUSE),
        seen_of(1, {}, IN_PAUSE, Span("e1", "STOP", 20.5, 21.0)),
    ),
    ("BUDGET pause", seen_of(1, {}, IN_PAUSE), seen_of(1, {}, IN_PAUSE[:3])),
    (
        "BUDGET crashes",
        seen_of(4, {}, [{"blocks": "a:1,x:2"}], crash_block="x", crashes_s=CRASHES_S),
        seen_of(4, {}, [{"blocks": "a:1,y:2"}], crash_block="x", crashes_s=CRASHES_S),
    ),
    ("LOST crashes", beside_crashes(503), beside_crashes(503, 0.5)),
    ("LOST crashes", beside_crashes(503), beside_crashes(200)),
    (
        "DRAIN",
        seen([request(), request(2, begun_s=22.5)], LEAVES),
        seen([request(), request(2, begun_s=22.3)], LEAVES),
    ),
    ("GONE arrivals", seen_of(4, LEFT, [{"at_s": 20.8}]), seen_of(4, LEFT, [{"at_s": 20.7}])),
    (
        "GONE arrivals",
        seen_of(4, LEFT, [{"at_s": 20.8}]),
        seen_of(4, LEFT, [{"at_s": 20.8}], Span("e1", "STOP", 20.1, 20.7)),
    ),
    (
        "GONE runs",
        seen_of(2, LEFT, [{"ended_s": 20.8}]),
        seen_of(2, LEFT, [{"ended_s": 20.7}]),
    ),
    (
        "GONE runs",
        seen_of(1, LEFT, [{"ended_s": 20.8}]),
        seen_of(1, LEFT, [{"ended_s": 20.8}, *[{"ended_s": 20.3}] * round(1 / LATE_SHARE - 1)]),
    ),
    (
        "LOST kept",
        seen_of(4, CUT, [{}]),
        seen_of(4, CUT, [{}], Span("a1", "fail", 20.0, 21.0)),
    ),
    ("LOST kept", seen_of(4, CUT, [{}]), seen_of(4, CUT | {"served": 0}, [{}])),
    ("LOST stop", seen_of(1, CUT, [{}], TERM), seen_of(1, CUT | {"left": True}, [{}], TERM)),
    (
        "LOST stop",
        seen_of(1, CUT, [], TERM),
        seen_of(1, CUT | {"ended_s": 20.15}, [], TERM._replace(from_s=20.1)),
    ),
    (
        "LOST stop",
        seen_of(1, CUT, [{}], Span("e1", "HUP", 19.0, 19.0)),
        seen_of(1, CUT, [{}], Span("e1", "HUP", 17.0, 17.0)),
    ),
    (
        "LOST configuration",
        seen_of(1, CUT, [{}], Span("config", "CONFIG", 20.0, 20.1)),
        seen_of(1, CUT, [{}], Span("config", "CONFIG", 10.0, 10.1)),
    ),
    (
        "LOST without a cause",
        seen_of(1, CUT, [{}], Span("store", "DOWN", 19.0, 21.0)),
        seen_of(1, CUT, [{}], Span("e1", "KILL", 20.3, 20.4)),
    ),
    (
        "LOST without a cause",
        seen([request(**CUT)], [arrival(), arrival(2, at_s=20.5, **CRASHES)], crash_block="x"),
        seen([request(**CUT)], [arrival(), arrival(2, at_s=20.41, **CRASHES)], crash_block="x"),
    ),
    (
        "TWICE",
        seen_of(1, {"route": "book"}, [{}, {"target": "a2"}]),
        seen_of(1, {"route": "book"}, [{"ran_s": None}, {"target": "a2"}]),
    ),
    (
        "REFUSED",
        seen_of(1, {"route": "book", "status": 503, "signed": False}, [{}]),
        seen_of(1, {"route": "book", "status": 502, "signed": False}, [{}]),
    ),
    ("MIXED", seen_of(1, {"matches": False}, [{}]), seen_of(1, {}, [{}])),
    ("MIXED", seen_of(1, {"signed": False}, [{}]), seen_of(1, {}, [{}])),
    ("MIXED", seen_of(1, {}, [{"status": 500}]), seen_of(1, {"status": 500}, [{"status": 500}])),
    (
        "WALL",
        seen_of(1, {"begun_s": 12.5}, USED, **SET),
        seen_of(1, {"begun_s": 12.4}, USED, **SET),
    ),
    (
        "WALL",
        seen_of(1, {}, USED, **SET),
        seen_of(1, {}, [{"tenant": "v", "used": (("b", None),)}], **SET),
    ),
    (
        "WALL",
        seen_of(1, {}, USED, **SET),
        seen_of(1, {}, USED, dedications=[*SET["dedications"], Dedication(20.05, 20.06, NONE)]),
    ),
    (
        "FAULT end",
        seen([], [], exits=[Exit("e1", 70, ())]),
        seen([], [], exits=[Exit("e1", -9, ("KILL",))]),
    ),
    (
        "FAULT end",
        seen([], [], exits=[Exit("e1", -15, ("TERM",))]),
        seen([], [], exits=[Exit("e1", 0, ("HUP", "TERM"))]),
    ),
    ("FAULT start", seen([], [], late_starts=["e1"]), seen([], [])),
    (
        "FAULT memory",
        seen([], [], samples=[Sample("e1", 7, 1.0, 151.0, 10, 10)]),
        seen([], [], samples=[Sample("e1", 7, 1.0, 149.0, 10, 10)]),
    ),
    (
        "FAULT descriptors",
        seen([], [], samples=[Sample("e1", 7, 1.0, 60.0, 1001, 10)]),
        seen([], [], samples=[Sample("e1", 7, 1.0, 60.0, 1000, 10)]),
    ),
    (
        "FAULT threads",
        seen([], [], samples=[Sample("e1", 7, at, 60.0, 9, int(9 * at)) for at in (1.0, 4.0, 9.0)]),
        seen([], [], samples=[Sample("e1", 7, at, 60.0, 9, 12) for at in (1.0, 4.0, 9.0)]),
    ),
]


@pytest.mark.parametrize(("name", "breaks", "keeps"), CASES)
def test_rule_is_broken_by_records_that_break_it(
    name: str, breaks: Observed, keeps: Observed
) -> None:
    """A check that finds nothing in what it is to find."""
    assert name in broken(breaks)
    assert name not in broken(keeps)


def test_each_rule_is_shown_to_fail() -> None:
    """A rule without records that break it."""
    assert {name for name, _, _ in CASES} == set(RULES)
