"""State machine over operators' changes.

Failures guarded against: an accepted change that is lost, and a rejected one that takes effect.
They come about when several operators write at once, and when writes to the object store are late,
rejected or without a response.
"""

from typing import Any

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from result import Err

from bench.fakes import FakeObjects
from filbertstream.connection.document_store import DocumentStore
from filbertstream.platform.documents import DOCUMENTS_KIND, DOCUMENTS_NAME
from filbertstream.platform.objects import ObjectStoreFailure
from filbertstream.version.documents import Model, encode_changes


class UnreliableObjects(FakeObjects):
    """An object store with correct reads, whose writes fail as the state machine requires."""

    def __init__(self) -> None:
        self.late: list[Any] = []
        super().__init__(lambda delay_s, do: self.late.append(do))
        self.read_fails = False

    def read(self, kind: str, name: str) -> Any:
        if self.read_fails:
            return Err(ObjectStoreFailure.OUTCOME_UNKNOWN)
        return super().read(kind, name)


class DocumentsMachine(RuleBasedStateMachine):
    """Each change sets one model's version to a number that no other change uses."""

    def __init__(self) -> None:
        super().__init__()
        self.objects = UnreliableObjects()
        self.last_number = 0
        self.states: dict[int, str] = {}
        self.accepted: dict[str, int] = {}
        self.revision = 0

    def _present(self) -> dict[str, int]:
        documents = self.objects.objects.get(DOCUMENTS_KIND, {}).get(DOCUMENTS_NAME)
        if documents is None:
            return {}
        store: Any = self.objects
        view = DocumentStore(store).read().unwrap().view
        return {item.name: item.version for item in view.documents.values()}

    @rule(
        name=st.sampled_from(["a", "b"]),
        outcome=st.sampled_from(["done", "done", "refused", "lost", "late"]),
        no_read_back=st.booleans(),
        stale=st.booleans(),
    )
    def change(self, name: str, outcome: str, no_read_back: bool, stale: bool) -> None:
        self.last_number += 1
        self.objects.down = outcome == "refused"
        self.objects.lose_responses = outcome == "lost"
        self.objects.late_writes = outcome == "late"
        store: Any = self.objects
        before = self._read_revision()
        base = max(0, before - 1) if stale else None
        documents = DocumentStore(store)
        if no_read_back:
            documents = _StoreWithoutReadBack(store)
        ended = documents.apply(encode_changes([Model("model", name, self.last_number)]), base)
        self.objects.read_fails = False
        self.objects.down = False
        self.objects.lose_responses = self.objects.late_writes = 0
        self.states[self.last_number] = ended.state
        if ended.state == "accepted":
            self.accepted[name] = self.last_number

    def _read_revision(self) -> int:
        stored = self.objects.objects.get(DOCUMENTS_KIND, {}).get(DOCUMENTS_NAME)
        return 0 if stored is None else stored.revision.number

    @precondition(lambda self: self.objects.late)
    @rule(data=st.data())
    def carry_out_late(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.objects.late) - 1))
        self.objects.late.pop(index)()

    @invariant()
    def accepted_changes_stay_in_force(self) -> None:
        present = self._present()
        for name, number in self.accepted.items():
            assert present.get(name, 0) >= number, (name, number, present)

    @invariant()
    def rejected_changes_never_take_effect(self) -> None:
        for number in self._present().values():
            assert self.states.get(number) not in ("lost", "invalid", "unavailable")


class _StoreWithoutReadBack(DocumentStore):
    """Can't read back a write that got no response."""

    def _write(self, content: Any, revision: int) -> Any:
        result = super()._write(content, revision)
        objects: Any = self._object_store
        objects.read_fails = True
        return result


TestDocuments = DocumentsMachine.TestCase


def test_change_written_between_read_and_write_is_not_overwritten() -> None:
    """Another operator writes between the read and the conditional write of a change."""
    objects: Any = UnreliableObjects()
    first = DocumentStore(objects)
    assert first.apply(encode_changes([Model("model", "a", 1)]), None).state == "accepted"

    class OvertakenStore(DocumentStore):
        def _write(self, content: Any, revision: int) -> Any:
            first.apply(encode_changes([Model("model", "b", 2)]), None)
            return super()._write(content, revision)

    ended = OvertakenStore(objects).apply(encode_changes([Model("model", "c", 3)]), None)
    assert ended.state == "lost"
    names = {item.name for item in first.read().unwrap().view.documents.values()}
    assert names == {"a", "b"}
