"""What the core of an entry on the platform is told besides calls, and what it asks for: data.

Events about calls are in ``request.call_events``; those of a part are in the part's own module.
"""

from typing import NamedTuple, TypeAlias

from filbertstream.actions import Log, SendPeer
from filbertstream.messages import PeerPayload
from filbertstream.process.cache_stores import FreeBlocks, ListCacheBlocks, PollCacheEvents
from filbertstream.process.deployment import Bounds
from filbertstream.process.peer_work import EntryRecord
from filbertstream.process.rollout_lease import LeaseRecord, WriteLease
from filbertstream.process.store_view import KindDelta
from filbertstream.process.target_registration import TargetRegistration
from filbertstream.request.call_events import CallAction
from filbertstream.request.idempotency_keys import ClaimKey, SettleKey
from filbertstream.version.rollout import OrderWeights, PollReport
from filbertstream.version.routes import Configuration


class ConfigurationObserved(NamedTuple):
    """The store showed a configuration, or None for no change, by a call sent at that moment."""

    config: Configuration | None
    sent_at_s: float


class TargetsListed(NamedTuple):
    """All registrations that can be read."""

    entries: tuple[TargetRegistration, ...]


class TargetObserved(NamedTuple):
    """A registration was written; ``entry`` is None where it can't be read or was removed."""

    target_id: str
    entry: TargetRegistration | None
    removed: bool


class WeightsNamed(NamedTuple):
    """A weight version is named for a model; ``listed``: it may have been named long ago."""

    model: str
    version: int
    listed: bool = False


class LeaseObserved(NamedTuple):
    """The duty's record as the store holds it."""

    record: LeaseRecord | None
    revision: int


class LeaseConfirmed(NamedTuple):
    """The record at hand was the newest when a call of that moment was sent."""

    sent_at_s: float


class LeaseWritten(NamedTuple):
    """A write of the record was refused; one that took effect is seen as ``LeaseObserved``."""

    refused: bool


class EntriesListed(NamedTuple):
    """The names of all entries that have registered."""

    names: frozenset[str]


class EntryObserved(NamedTuple):
    """An entry has registered, or (``record`` None) has left."""

    name: str
    record: EntryRecord | None
    revision: int


class WriteEntry(NamedTuple):
    """Write the own registration: create it for revision 0, else replace that revision."""

    name: str
    record: EntryRecord
    revision: int


class RemoveEntry(NamedTuple):
    """Remove the own registration: the entry is about to end."""

    name: str


class ObjectStoreResult(NamedTuple):
    """The store answered a call, or did not."""

    kind: str
    ok: bool
    reason: str


class PublishKind(NamedTuple):
    """Decode what is new of a kind of objects and tell it."""

    taken: KindDelta


class BoundsChanged(NamedTuple):
    """The operators' bounds are others from now on."""

    bounds: Bounds


class StopRequested(NamedTuple):
    """The process was asked to stop."""


class StopProcess(NamedTuple):
    """Make a planned stop of this process: the operators have drained this entry."""


class PeerMessage(NamedTuple):
    """Another entry's message arrived."""

    message: PeerPayload


class Tick(NamedTuple):
    """Time passes."""


GatewayAction: TypeAlias = (
    CallAction
    | Log
    | WriteLease
    | PollReport
    | OrderWeights
    | PollCacheEvents
    | ListCacheBlocks
    | FreeBlocks
    | WriteEntry
    | RemoveEntry
    | ClaimKey
    | SettleKey
    | StopProcess
    | SendPeer
    | PublishKind
)
