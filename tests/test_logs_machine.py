"""State machines over the logs of conditional creates: claims, and the configuration.

Requests and answers get lost, arrive late (a create that was given up takes effect later), are
refused, and writers crash; the invariants are checked after every step.
"""

from collections import Counter
from typing import NamedTuple

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from bench.fakes import FakePlatform
from filbertstream.actions import Action, ApplyEnded, ListObjects, PutObject
from filbertstream.events import ApplyRequested, PutFinished, ReadFinished
from filbertstream.process.append_log import OpIds, decode_record
from filbertstream.request.claims import ClaimOp, Ledger, LedgerStep, OpKind
from filbertstream.version.config_log import ConfigLog, ConfigStep
from filbertstream.version.documents import Model, encode_changes

WRITERS = 3
KEYS = ("00000000a", "00000000b")
ANY = st.integers(min_value=0, max_value=1_000)


class Sent(NamedTuple):
    writer: int
    action: PutObject | ListObjects


class LossyPlatform(RuleBasedStateMachine):
    """Calls under way between writers and the platform, and all ways to lose them."""

    def __init__(self) -> None:
        super().__init__()
        self.platform = FakePlatform()
        self.sent: list[Sent] = []
        self.late: list[PutObject] = []

    def send(self, writer: int, actions: tuple[Action, ...] | list[Action]) -> None:
        for action in actions:
            if isinstance(action, PutObject | ListObjects):
                self.sent.append(Sent(writer, action))

    def take(self, number: int) -> Sent:
        return self.sent.pop(number % len(self.sent))

    def answer(self, writer: int, result: PutFinished | ReadFinished) -> None:
        raise NotImplementedError

    def has_sent(self) -> bool:
        return bool(self.sent)

    @precondition(has_sent)
    @rule(number=ANY)
    def arrive(self, number: int) -> None:
        writer, action = self.take(number)
        if isinstance(action, PutObject):
            self.answer(writer, self.platform.put(action))
        else:
            self.answer(writer, self.platform.list(action))

    @precondition(has_sent)
    @rule()
    def arrive_all(self) -> None:
        for _ in range(20):
            if self.sent:
                self.arrive(0)

    @precondition(has_sent)
    @rule(number=ANY)
    def lose_answer(self, number: int) -> None:
        writer, action = self.take(number)
        if isinstance(action, PutObject):
            self.platform.put(action)
            self.answer(writer, PutFinished(action.op_id, "unsure"))
        else:
            self.answer(writer, ReadFinished(action.op_id, False, ()))

    @precondition(has_sent)
    @rule(number=ANY)
    def lose_request(self, number: int) -> None:
        writer, action = self.take(number)
        if isinstance(action, PutObject):
            self.late.append(action)
            self.answer(writer, PutFinished(action.op_id, "unsure"))
        else:
            self.answer(writer, ReadFinished(action.op_id, False, ()))

    @precondition(has_sent)
    @rule(number=ANY)
    def refuse(self, number: int) -> None:
        writer, action = self.take(number)
        if isinstance(action, PutObject):
            self.answer(writer, PutFinished(action.op_id, "refused"))
        else:
            self.answer(writer, ReadFinished(action.op_id, False, ()))

    @precondition(lambda self: bool(self.late))
    @rule(number=ANY)
    def arrive_late(self, number: int) -> None:
        self.platform.put(self.late.pop(number % len(self.late)))

    def drop_all_of(self, writer: int) -> None:
        """A crashed writer's creates may still arrive; nobody waits for their answers."""
        lost = [item for item in self.sent if item.writer == writer]
        self.sent = [item for item in self.sent if item.writer != writer]
        self.late += [item.action for item in lost if isinstance(item.action, PutObject)]


class Granted(NamedTuple):
    writer: int
    op: ClaimOp


class ClaimsMachine(LossyPlatform):
    """At most once: a key runs once at most, whatever happens between claimants and platform."""

    @initialize()
    def begin(self) -> None:
        self.lives = Counter[int]()
        self.ledgers = [self.new_ledger(writer) for writer in range(WRITERS)]
        self.numbers = 0
        self.asked: dict[str, ClaimOp] = {}
        self.granted: list[Granted] = []
        self.refused: set[str] = set()
        self.runs = Counter[str]()
        self.ran_body: dict[str, str] = {}

    def new_ledger(self, writer: int) -> Ledger:
        self.lives[writer] += 1
        return Ledger(1, OpIds(), f"w{writer}#{self.lives[writer]}")

    def carry(self, writer: int, step: LedgerStep | None) -> None:
        assert step is not None
        self.send(writer, step.asks)
        for verdict in step.verdicts:
            op = self.asked.get(verdict.claim_id)
            if op is None or verdict.outcome == "recorded":
                continue
            if verdict.outcome == "granted":
                assert verdict.claim_id not in self.refused
                self.granted.append(Granted(writer, op))
            elif verdict.outcome == "conflict":
                self.refused.add(op.claim_id)
            elif verdict.outcome == "done":
                assert verdict.answer == self.ran_body[op.key].encode()
                self.refused.add(op.claim_id)
            else:
                self.refused.add(op.claim_id)

    def answer(self, writer: int, result: PutFinished | ReadFinished) -> None:
        ledger = self.ledgers[writer]
        if isinstance(result, PutFinished):
            self.carry(writer, ledger.on_put(result))
        else:
            self.carry(writer, ledger.on_read(result))

    @rule(writer=st.integers(0, WRITERS - 1), key=st.sampled_from(KEYS), body=st.sampled_from("xy"))
    def claim(self, writer: int, key: str, body: str) -> None:
        self.numbers += 1
        op = ClaimOp(OpKind.CLAIM, key, f"c{self.numbers}", body, f"w{writer}")
        self.asked[op.claim_id] = op
        self.carry(writer, self.ledgers[writer].submit(op))

    @precondition(lambda self: bool(self.granted))
    @rule(number=ANY)
    def run(self, number: int) -> None:
        writer, op = self.granted.pop(number % len(self.granted))
        self.runs[op.key] += 1
        self.ran_body[op.key] = op.body_digest
        done = ClaimOp(OpKind.DONE, op.key, op.claim_id, status=200, answer=op.body_digest.encode())
        self.carry(writer, self.ledgers[writer].submit(done))

    @precondition(lambda self: bool(self.granted))
    @rule(number=ANY)
    def give_back(self, number: int) -> None:
        writer, op = self.granted.pop(number % len(self.granted))
        self.carry(writer, self.ledgers[writer].submit(ClaimOp(OpKind.VOID, op.key, op.claim_id)))

    @rule(writer=st.integers(0, WRITERS - 1))
    def settle(self, writer: int) -> None:
        self.carry(writer, self.ledgers[writer].settle())

    @rule(writer=st.integers(0, WRITERS - 1))
    def crash(self, writer: int) -> None:
        self.drop_all_of(writer)
        self.granted = [item for item in self.granted if item.writer != writer]
        self.ledgers[writer] = self.new_ledger(writer)

    @invariant()
    def runs_at_most_once(self) -> None:
        assert all(count <= 1 for count in getattr(self, "runs", {}).values())


class ConfigMachine(LossyPlatform):
    """One order of revisions for all; none confirmed is lost, none denied is written."""

    @initialize()
    def begin(self) -> None:
        self.logs = [ConfigLog(OpIds(), f"w{writer}#1") for writer in range(WRITERS)]
        self.lives = 1
        self.numbers = 0
        self.changes: dict[str, str] = {}
        self.highest = [0] * WRITERS
        self.written: dict[str, int] = {}
        self.denied: set[str] = set()

    def carry(self, writer: int, step: ConfigStep) -> None:
        self.send(writer, step.actions)
        for request_id in step.written:
            assert request_id not in self.denied
            self.written[request_id] = self.logs[writer].revision
        for action in step.actions:
            if isinstance(action, ApplyEnded) and action.state in ("lost", "unavailable"):
                assert action.request_id not in self.written
                self.denied.add(action.request_id)

    def answer(self, writer: int, result: PutFinished | ReadFinished) -> None:
        log = self.logs[writer]
        assert log.log.owns(result.op_id)
        if isinstance(result, PutFinished):
            self.carry(writer, log.on_put(result))
        else:
            self.carry(writer, log.on_read(result))

    @rule(writer=st.integers(0, WRITERS - 1), based=st.booleans())
    def apply(self, writer: int, based: bool) -> None:
        self.numbers += 1
        name = f"m{self.numbers}"
        self.changes[name] = name
        base = self.logs[writer].revision if based else None
        changes = encode_changes([Model("model", name, "v1")])
        self.carry(writer, self.logs[writer].submit(ApplyRequested(name, changes, base)))

    @rule(writer=st.integers(0, WRITERS - 1))
    def poll(self, writer: int) -> None:
        self.send(writer, self.logs[writer].poll())

    @rule(to=st.integers(0, WRITERS - 1), source=st.integers(0, WRITERS - 1))
    def push(self, to: int, source: int) -> None:
        first, records = self.logs[source].records_after(self.logs[to].revision)
        self.logs[to].learn_encoded(first, records)

    @rule(writer=st.integers(0, WRITERS - 1))
    def restart(self, writer: int) -> None:
        self.drop_all_of(writer)
        self.lives += 1
        self.logs[writer] = ConfigLog(OpIds(), f"w{writer}#{self.lives}")
        self.highest[writer] = 0

    @invariant()
    def never_reverts(self) -> None:
        for writer, log in enumerate(getattr(self, "logs", [])):
            assert log.revision >= self.highest[writer]
            self.highest[writer] = log.revision

    @invariant()
    def agrees_with_the_platform(self) -> None:
        names = [self.names_of(row.value) for row in self.platform_records()]
        for log in getattr(self, "logs", []):
            expected = sorted(name for part in names[: log.revision] for name in part)
            assert sorted(doc_id.name for doc_id in log.view.documents) == expected
        everything = [name for part in names for name in part]
        assert len(everything) == len(set(everything))
        assert set(getattr(self, "written", {})) <= set(everything)
        assert not self.denied_ones() & set(everything)

    def denied_ones(self) -> set[str]:
        return getattr(self, "denied", set())

    def platform_records(self) -> list[PutObject]:
        objects = self.platform.objects.get("config", {})
        return [objects[name] for name in sorted(objects)]  # type: ignore[misc]

    def names_of(self, value: bytes | None) -> list[str]:
        payload = decode_record(value or b"").payload
        return [row["name"] for row in msgspec.json.decode(payload)] if payload else []


def test_a_claim_refused_in_an_outage_leaves_its_key_free() -> None:
    platform = FakePlatform()
    ledger = Ledger(1, OpIds(), "w#1")
    op = ClaimOp(OpKind.CLAIM, KEYS[0], "c1", "x", "w")
    (put,) = ledger.submit(op).asks
    assert isinstance(put, PutObject)
    platform.put(put)
    (read,) = _step(ledger.on_put(PutFinished(put.op_id, "unsure"))).asks
    assert isinstance(read, ListObjects)
    refused = _step(ledger.on_read(ReadFinished(read.op_id, False, ())))
    assert [verdict.outcome for verdict in refused.verdicts] == ["unavailable"]
    again = ClaimOp(OpKind.CLAIM, KEYS[0], "c2", "x", "w")
    outcomes = _settle(ledger, platform, ledger.submit(again))
    for _ in range(3):
        outcomes += _settle(
            ledger, platform, ledger.submit(ClaimOp(OpKind.CLAIM, KEYS[0], "c3", "x", "w"))
        )
    assert "granted" in outcomes


def test_a_change_given_up_does_not_come_into_force_later() -> None:
    platform = FakePlatform()
    log = ConfigLog(OpIds(), "w#1")
    changes = encode_changes([Model("model", "late", "v1")])
    (put,) = log.submit(ApplyRequested("a", changes, None)).actions
    assert isinstance(put, PutObject)
    (read,) = log.on_put(PutFinished(put.op_id, "unsure")).actions
    assert isinstance(read, ListObjects)
    (ended,) = log.on_read(ReadFinished(read.op_id, False, ())).actions
    assert isinstance(ended, ApplyEnded)
    assert ended.state == "unsettled"
    actions = log.poll()
    while actions:
        action = actions[0]
        if isinstance(action, PutObject):
            actions = log.on_put(platform.put(action)).actions
        elif isinstance(action, ListObjects):
            actions = log.on_read(platform.list(action)).actions
    assert platform.put(put).outcome == "conflict"
    assert not log.view.documents


def _step(step: LedgerStep | None) -> LedgerStep:
    assert step is not None
    return step


def _settle(ledger: Ledger, platform: FakePlatform, step: LedgerStep) -> list[str]:
    """Answer every call at once until none is left; return the outcomes in their order."""
    outcomes = [verdict.outcome for verdict in step.verdicts]
    for action in step.asks:
        following = None
        if isinstance(action, PutObject):
            following = ledger.on_put(platform.put(action))
        elif isinstance(action, ListObjects):
            following = ledger.on_read(platform.list(action))
        outcomes += _settle(ledger, platform, _step(following))
    return outcomes


TestClaims = ClaimsMachine.TestCase
TestConfig = ConfigMachine.TestCase
