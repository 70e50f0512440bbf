"""State machines over whole cores: acceptance under partitions, leases, streams, names."""

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from bench.fakes import FakePlatform
from bench.world import World
from filbertstream.actions import ListObjects, PutObject
from filbertstream.connection.sse import DONE, EventCutter, StreamFault
from filbertstream.process.append_log import OpIds
from filbertstream.process.leases import LEASE_S, Holder, Lease
from filbertstream.request.prefix import piece_names, text_pieces
from filbertstream.units import PIECE_BYTES
from filbertstream.version.documents import Model
from tests.helpers import ready_world

ENTRIES = ("e1", "e2", "e3", "e4", "e5")
ENTRY = st.sampled_from(ENTRIES)


class AcceptanceMachine(RuleBasedStateMachine):
    """Once a change is accepted, no member takes work under an older revision."""

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed: int) -> None:
        self.world = ready_world(len(ENTRIES), seed)
        self.numbers = 0
        self.highest: dict[str, int] = {}

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 2.0, 4.0, 7.0]))
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(one=ENTRY, two=ENTRY)
    def cut(self, one: str, two: str) -> None:
        if one != two:
            self.world.cut.add(frozenset((one, two)))

    @rule(group=st.sets(ENTRY, min_size=1, max_size=2), platform=st.booleans())
    def isolate(self, group: set[str], platform: bool) -> None:
        for one in group:
            self.world.cut |= {frozenset((one, other)) for other in set(ENTRIES) - group}
        if platform:
            self.world.platform_cut |= group

    @rule()
    def heal(self) -> None:
        self.world.cut.clear()
        self.world.platform_cut.clear()
        self.world.platform.down = False

    @rule(down=st.booleans())
    def platform(self, down: bool) -> None:
        self.world.platform.down = down

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count: int) -> None:
        self.world.platform.lose_answers = count

    @rule(name=ENTRY)
    def pause(self, name: str) -> None:
        self.world.paused.add(name)

    @rule(name=ENTRY)
    def resume(self, name: str) -> None:
        self.world.resume(name)

    @rule(name=ENTRY)
    def restart(self, name: str) -> None:
        if name in self.world.cores:
            self.world.kill(name)
        self.world.paused.discard(name)
        self.world.add_entry(name)
        self.highest.pop(name, None)

    @rule(name=ENTRY)
    def apply(self, name: str) -> None:
        self.numbers += 1
        self.world.apply(name, [Model("model", f"m{self.numbers}", "v1")])

    @rule(name=ENTRY)
    def request(self, name: str) -> None:
        self.world.request(name)

    @invariant()
    def accepted_is_in_force_where_work_is_taken(self) -> None:
        if not hasattr(self, "world"):
            return
        ended = [item for items in self.world.applied.values() for item in items]
        accepted = max(item.revision for item in ended if item.state == "accepted")
        now_s = self.world.now_s
        for name, core in self.world.cores.items():
            takes_work = core.blocked(now_s) is None
            assert not takes_work or core.config.revision >= accepted, (name, accepted)
            assert core.config.revision >= self.highest.get(name, 0)
            self.highest[name] = core.config.revision


class LeaseMachine(RuleBasedStateMachine):
    """At most one member holds a lease at any time, whatever is paused or lost."""

    @initialize()
    def begin(self) -> None:
        self.now_s = 100.0
        self.platform = FakePlatform()
        ops = OpIds()
        self.leases = [Lease("duty", Holder(f"m{n}", 1), ops) for n in range(3)]
        self.sent: list[tuple[int, PutObject | ListObjects]] = []

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, LEASE_S, 2 * LEASE_S]))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds

    @rule(number=st.integers(0, 2), wanted=st.booleans())
    def tick(self, number: int, wanted: bool) -> None:
        for action in self.leases[number].tick(self.now_s, wanted):
            assert isinstance(action, PutObject | ListObjects)
            self.sent.append((number, action))

    @precondition(lambda self: bool(self.sent))
    @rule(which=st.integers(0, 100), lost=st.booleans())
    def arrive(self, which: int, lost: bool) -> None:
        number, action = self.sent.pop(which % len(self.sent))
        lease = self.leases[number]
        if isinstance(action, PutObject):
            result = self.platform.put(action)
            assert lease.on_put(result._replace(outcome="unsure") if lost else result)
        else:
            rows = self.platform.list(action)
            answer = rows._replace(ok=False, records=()) if lost else rows
            assert lease.on_read(answer, self.now_s)

    @invariant()
    def one_holder(self) -> None:
        held = [lease.duty for lease in getattr(self, "leases", []) if lease.held(self.now_s)]
        assert len(held) <= 1


def event(number: int, count: int) -> bytes:
    reason = '"stop"' if number == count - 1 else "null"
    return f'id: a-1:{number}\ndata: {{"choices":[{{"finish_reason":{reason}}}]}}\n\n'.encode()


@given(data=st.data())
def test_a_stream_is_passed_on_whole_or_not_ended(data: st.DataObject) -> None:
    """Over cut, repeated, crossed and gapping connections, what goes on is a prefix, once."""
    count = data.draw(st.integers(1, 12))
    events = [event(number, count) for number in range(count)]
    cutter = EventCutter("a-1")
    passed: list[bytes] = []
    done = False
    for _ in range(data.draw(st.integers(1, 5))):
        first = max(0, len(passed) - data.draw(st.integers(0, 2)))
        wire = [*events[first:], DONE]
        fault = data.draw(st.sampled_from(["none", "cut", "crossed", "gap"]))
        place = data.draw(st.integers(0, len(wire)))
        if fault == "cut":
            wire = wire[:place]
        elif fault == "crossed":
            wire.insert(place, b"id: b-7:0\ndata: other\n\n")
        elif fault == "gap" and place < len(wire) - 1:
            del wire[place]
        stream = b"".join(wire)
        size = data.draw(st.integers(1, 400))
        chunks = [stream[at : at + size] for at in range(0, len(stream), size)]
        try:
            for part in cutter.parts(chunks):
                passed += [item + b"\n\n" for item in part.data.split(b"\n\n")[:-1]]
                done = done or part.done
        except StreamFault:
            continue
        break
    body = passed[:-1] if done else passed
    assert body == events[: len(body)]
    assert not done or (passed[-1] == DONE and len(body) == count)


@given(
    blocks=st.lists(st.sampled_from([b"a", b"b"]), min_size=1, max_size=4),
    scopes=st.lists(
        st.tuples(st.sampled_from("wx"), st.sampled_from("mn"), st.sampled_from(["v1", "v2"])),
        min_size=2,
        max_size=2,
        unique=True,
    ),
)
def test_names_of_pieces_never_cross_workspace_model_or_version(
    blocks: list[bytes], scopes: list[tuple[str, str, str]]
) -> None:
    pieces = text_pieces(b"".join(block * PIECE_BYTES for block in blocks))
    one, two = (set(piece_names(pieces, b"secret", *scope)) for scope in scopes)
    assert len(one) == len(pieces) == len(blocks)
    assert not one & two


TestAcceptance = AcceptanceMachine.TestCase
TestLease = LeaseMachine.TestCase
World.__test__ = False  # type: ignore[attr-defined]
