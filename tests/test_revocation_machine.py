"""State machine over removed keys: a store or another entry that answers late or never, and
machines that are suspended.

The store's answer to a call shows the newest configuration as of some moment between the call's
send and the answer's arrival; here it is the worst one, that of the send.
"""

from typing import NamedTuple

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from filbertstream.actions import SendPeer
from filbertstream.gateway_events import ConfigurationObserved, EntryObserved, PeerMessage
from filbertstream.messages import KindUpdate, ObjectRow, ViewRequest, ViewResponse
from filbertstream.platform.documents import DOCUMENTS_KIND
from filbertstream.process.peer_work import EntryRecord
from filbertstream.process.relays import Relays
from filbertstream.process.store_view import KindObserved
from filbertstream.request.call_events import SendCall
from tests.gateway_world import BOUNDS, World, configuration, configuration_row

KEYS = ("k", "k2")
FLEET = tuple(f"f{number}" for number in range(20))
RELYING = next(name for name in FLEET if not Relays(name, lambda: FLEET).is_relay)


class Written(NamedTuple):
    """A configuration that the store has taken."""

    at_s: float
    version: int
    keys: tuple[str, ...]


def row_of(written: Written) -> ObjectRow:
    """Return a configuration as the store holds it; its version serves as the revision."""
    return configuration_row(written.version, written.keys, written.version)


class Asked(NamedTuple):
    """A call to the store that is under way; ``seen`` is what its answer will show."""

    sent_at_s: float
    seen: Written


class Told(NamedTuple):
    """Another entry's answer that is on its way."""

    answer: ViewResponse


class RevocationMachine(RuleBasedStateMachine):
    """An operator, a store, one entry, and another one that it may rely on."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(RELYING)
        for name in FLEET:
            self.world.tell(EntryObserved(name, EntryRecord(f"tcp://{name}", 1), 1))
        self.questions: list[ViewRequest] = []
        self.on_the_way: list[Told] = []
        self.watcher = Asked(self.world.now_s, Written(self.world.now_s, 1, ("k",)))
        self.written = [Written(self.world.now_s, 1, ("k",))]
        self.asked: list[Asked] = []

    @rule(keys=st.sets(st.sampled_from(KEYS)), step=st.integers(1, 9))
    def write(self, keys: set[str], step: int) -> None:
        version = self.written[-1].version + step
        self.written.append(Written(self.world.now_s, version, tuple(sorted(keys))))

    @rule()
    def ask(self) -> None:
        self.asked.append(Asked(self.world.now_s, self.written[-1]))

    @precondition(lambda self: self.asked)
    @rule(data=st.data(), lost=st.booleans())
    def answer(self, data: st.DataObject, lost: bool) -> None:
        asked = self.asked.pop(data.draw(st.integers(0, len(self.asked) - 1)))
        if not lost:
            rows = (row_of(asked.seen),)
            as_of = asked.seen.version
            shown = KindObserved(DOCUMENTS_KIND, True, 0, as_of, asked.sent_at_s, rows)
            self.world.tell(shown)

    @rule()
    def show_watcher(self) -> None:
        """The other entry is shown the newest configuration."""
        self.watcher = Asked(self.world.now_s, self.written[-1])

    @precondition(lambda self: self.questions)
    @rule(data=st.data())
    def watcher_answers(self, data: st.DataObject) -> None:
        question = data.draw(st.sampled_from(self.questions))
        age_s = self.world.now_s - self.watcher.sent_at_s
        seen, since = self.watcher.seen, question.as_of[DOCUMENTS_KIND]
        rows = (row_of(seen),) if seen.version > since else ()
        full = data.draw(st.booleans())
        rows = (row_of(seen),) if full else rows
        kind_update = KindUpdate(DOCUMENTS_KIND, full, since, seen.version, age_s, rows)
        self.on_the_way.append(Told(ViewResponse(question.number, (kind_update,))))

    @precondition(lambda self: len(self.written) > 1)
    @rule()
    def watcher_passes_a_change_on(self) -> None:
        """It tells a change unasked, which says nothing about its age."""
        seen, since = self.written[-1], self.written[-2].version
        kind_update = KindUpdate(DOCUMENTS_KIND, False, since, seen.version, 0.0, (row_of(seen),))
        self.on_the_way.append(Told(ViewResponse(0, (kind_update,))))

    @precondition(lambda self: self.on_the_way)
    @rule(data=st.data())
    def answer_arrives(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.on_the_way) - 1))
        self.world.tell(PeerMessage(self.on_the_way.pop(index).answer))

    @rule(seconds=st.sampled_from([0.1, 0.7, 1.5, 4.0]), suspended=st.booleans())
    def wait(self, seconds: float, suspended: bool) -> None:
        # A suspended machine wakes up to the time that has passed, and no tick in between.
        if suspended:
            self.world.now_s += seconds
        else:
            for action in self.world.run(seconds, confirm=False):
                if isinstance(action, SendPeer) and isinstance(action.payload, ViewRequest):
                    self.questions.append(action.payload)

    @rule(name=st.sampled_from(["read", "book", "draft"]))
    def call(self, name: str) -> None:
        for key in KEYS:
            self._call(name, key)

    def _call(self, name: str, key: str) -> None:
        admitted = any(isinstance(item, SendCall) for item in self.world.arrive(name, key))
        if not admitted:
            return
        now_s = self.world.now_s
        held_until_s = 0.0
        for item, after in zip(self.written, [*self.written[1:], None], strict=True):
            if key in item.keys:
                held_until_s = now_s if after is None else after.at_s
        assert now_s - held_until_s < BOUNDS.revoke_s, (key, self.written)

    @rule()
    def versions_never_fall(self) -> None:
        config = self.world.core.authorizer.config
        assert config is not None
        before = config.version
        self.world.tell(
            ConfigurationObserved(configuration(max(1, before - 1)), self.world.now_s - 9)
        )
        after = self.world.core.authorizer.config
        assert after is not None
        assert after.version == before


TestRevocation = RevocationMachine.TestCase
TestRevocation.settings = settings(max_examples=300)
