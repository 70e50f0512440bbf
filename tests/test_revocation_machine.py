"""State machine over the removal of API keys.

Failure guarded against: an entry admits a key longer than the bound after its removal.  This comes
about when the object store or a peer responds late or never, when VMs are suspended, and, in a
machine of its own, when the store comes back from a copy that lacks the newest configurations until
operators write them again.

The object store's response to a request shows the newest configuration as of some moment between
the request's send and the response's arrival.  Here it is the worst one, that of the send.
"""

from typing import NamedTuple

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from filbertstream.actions import SendPeer
from filbertstream.epoch_number import EpochNumber
from filbertstream.gateway_events import ConfigurationObserved, EntryObserved, PeerMessage
from filbertstream.messages import KindUpdate, ObjectRow, ViewRequest, ViewResponse
from filbertstream.platform.documents import DOCUMENTS_KIND
from filbertstream.process.peer_work import EntryRecord
from filbertstream.process.relays import Relays
from filbertstream.process.store_view import KindObserved
from filbertstream.request.call_events import SendCall
from tests.gateway_world import BOUNDS, World, configuration, configuration_row
from tests.helpers import rev

KEYS = ("k", "k2")
FLEET = tuple(f"f{number}" for number in range(20))
FOLLOWER = next(name for name in FLEET if not Relays(name, lambda: FLEET).is_relay)


class Written(NamedTuple):
    """A configuration that the object store has accepted."""

    at_s: float
    version: int
    keys: tuple[str, ...]


def row_of(written: Written) -> ObjectRow:
    """Return a configuration as a row of the object store; its version serves as the revision."""
    return configuration_row(written.version, written.keys, written.version)


WRITTEN_AGAIN_S = 2.2
"""Time after a restore within which operators write again; below the ``SETTLE_S`` of entries."""


class PendingRead(NamedTuple):
    """A request to the object store in progress; ``observed`` is what its response will show."""

    sent_at_s: float
    observed: Written
    epoch: int


class InTransit(NamedTuple):
    """A peer's response that is in transit."""

    response: ViewResponse


class RevocationMachine(RuleBasedStateMachine):
    """An operator, an object store, one entry, and a peer that it may use as a relay."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(FOLLOWER)
        for name in FLEET:
            self.world.step(EntryObserved(name, EntryRecord(f"tcp://{name}", 1), rev(1)))
        self.view_requests: list[ViewRequest] = []
        self.in_transit: list[InTransit] = []
        self.written = [Written(self.world.now_s, 1, ("k",))]
        self.epoch = 0
        self.copy: Written | None = None
        self.written_again_s = 0.0
        self.relay_read = self.read()
        self.pending_reads: list[PendingRead] = []

    def read(self) -> PendingRead:
        """Return a read that is sent now, with what the object store has now."""
        if self.world.now_s >= self.written_again_s:
            self.copy = None
        return PendingRead(self.world.now_s, self.copy or self.written[-1], self.epoch)

    @rule(keys=st.sets(st.sampled_from(KEYS)), step=st.integers(1, 9))
    def write(self, keys: set[str], step: int) -> None:
        version = self.written[-1].version + step
        self.written.append(Written(self.world.now_s, version, tuple(sorted(keys))))
        self.copy = None

    @rule()
    def send_read(self) -> None:
        self.pending_reads.append(self.read())

    @precondition(lambda self: self.pending_reads)
    @rule(data=st.data(), lost=st.booleans())
    def respond(self, data: st.DataObject, lost: bool) -> None:
        pending = self.pending_reads.pop(data.draw(st.integers(0, len(self.pending_reads) - 1)))
        if not lost:
            self.take(pending)

    def take(self, read: PendingRead) -> None:
        """Let the response of a read arrive."""
        as_of = EpochNumber(read.epoch, read.observed.version)
        rows = (row_of(read.observed),)
        self.world.step(KindObserved(DOCUMENTS_KIND, True, rev(0), as_of, read.sent_at_s, rows))

    @rule()
    def relay_reads(self) -> None:
        """The relay reads the newest configuration."""
        self.relay_read = self.read()

    @precondition(lambda self: self.view_requests)
    @rule(data=st.data())
    def relay_responds(self, data: st.DataObject) -> None:
        view_request = data.draw(st.sampled_from(self.view_requests))
        age_s = self.world.now_s - self.relay_read.sent_at_s
        observed, since = self.relay_read.observed, view_request.as_of[DOCUMENTS_KIND]
        rows = (row_of(observed),) if observed.version > since else ()
        epoch = self.relay_read.epoch
        full = data.draw(st.booleans()) or view_request.epochs.get(DOCUMENTS_KIND, 0) != epoch
        rows = (row_of(observed),) if full else rows
        update = KindUpdate(DOCUMENTS_KIND, full, since, observed.version, age_s, rows)
        epochs = {DOCUMENTS_KIND: epoch}
        response = ViewResponse(view_request.number, (update,), epochs=epochs)
        self.in_transit.append(InTransit(response))

    @precondition(lambda self: len(self.written) > 1 and self.read().observed == self.written[-1])
    @rule()
    def relay_sends_a_change_unrequested(self) -> None:
        """The relay sends a change without a request, which shows nothing about its age."""
        observed, since = self.written[-1], self.written[-2].version
        update = KindUpdate(
            DOCUMENTS_KIND, False, since, observed.version, 0.0, (row_of(observed),)
        )
        epochs = {DOCUMENTS_KIND: self.epoch}
        self.in_transit.append(InTransit(ViewResponse(0, (update,), epochs=epochs)))

    @precondition(lambda self: self.in_transit)
    @rule(data=st.data())
    def deliver_response(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.in_transit) - 1))
        self.world.step(PeerMessage(self.in_transit.pop(index).response))

    @rule(seconds=st.sampled_from([0.1, 0.7, 1.5, 4.0]), suspended=st.booleans())
    def wait(self, seconds: float, suspended: bool) -> None:
        # A suspended VM resumes at the current time, without any tick in between.
        if suspended:
            self.world.now_s += seconds
        else:
            for action in self.world.run(seconds, confirm=False):
                if isinstance(action, SendPeer) and isinstance(action.payload, ViewRequest):
                    self.view_requests.append(action.payload)

    @rule(name=st.sampled_from(["read", "book", "draft"]))
    def call(self, name: str) -> None:
        for key in KEYS:
            self._call(name, key)

    def _call(self, name: str, key: str) -> None:
        admitted = any(isinstance(item, SendCall) for item in self.world.arrive(name, key))
        if not admitted:
            return
        now_s = self.world.now_s
        valid_until_s = 0.0
        for item, after in zip(self.written, [*self.written[1:], None], strict=True):
            if key in item.keys:
                valid_until_s = now_s if after is None else after.at_s
        assert now_s - valid_until_s < BOUNDS.revoke_s, (key, self.written)

    @rule()
    def older_version_is_ignored(self) -> None:
        config = self.world.core.authorizer.config
        assert config is not None
        before = config.version
        self.world.step(
            ConfigurationObserved(configuration(max(1, before.number - 1)), self.world.now_s - 9)
        )
        after = self.world.core.authorizer.config
        assert after is not None
        assert after.version == before


class RestoreMachine(RevocationMachine):
    """The same with an object store that is restored; the entry has read it before."""

    def __init__(self) -> None:
        super().__init__()
        self.epoch = 1
        self.relay_read = self.read()
        self.take(self.read())

    @rule(lost=st.integers(0, 2))
    def restore(self, lost: int) -> None:
        """The object store comes back without the newest configurations."""
        self.epoch += 1
        self.copy = self.written[max(0, len(self.written) - 1 - lost)]
        self.written_again_s = self.world.now_s + WRITTEN_AGAIN_S

    @rule()
    def read_at_once(self) -> None:
        self.take(self.read())

    @rule(keys=st.sets(st.sampled_from(KEYS)), pause_s=st.sampled_from([0.1, 1.2, 2.0, 2.5]))
    def lose_contact_after_restore(self, keys: set[str], pause_s: float) -> None:
        """A configuration is lost that no entry has read; the entry reads the copy twice."""
        self.write(keys, 1)
        self.restore(1)
        self.read_at_once()
        self.wait(pause_s, False)
        self.read_at_once()
        for _ in range(5):
            self.wait(1.5, False)
            self.call("book")


TestRevocation = RevocationMachine.TestCase
TestRevocation.settings = settings(max_examples=600)

TestRestore = RestoreMachine.TestCase
TestRestore.settings = settings(max_examples=300)
