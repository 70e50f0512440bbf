"""Events that the core consumes, and actions that it returns, as plain data.

Events about calls are in ``request.call_events``; events that concern one module are defined there.
"""

from typing import NamedTuple, TypeAlias

from filbertstream.actions import Log, SendPeer
from filbertstream.epoch_number import NO_REVISION, EpochNumber
from filbertstream.fleet.crash_detector import ProbeTarget
from filbertstream.fleet.quarantine import RemoveQuarantine, WriteQuarantine
from filbertstream.messages import PeerPayload
from filbertstream.process.cache_stores import FreeBlocks, ListCacheBlocks, PollCacheEvents
from filbertstream.process.deployment import Bounds
from filbertstream.process.document_recovery import RewriteDocuments
from filbertstream.process.peer_work import EntryRecord
from filbertstream.process.rollout_lease import LeaseRecord, WriteLease
from filbertstream.process.store_view import KindDelta
from filbertstream.process.target_registration import TargetRegistration
from filbertstream.request.call_events import CallAction
from filbertstream.request.idempotency_keys import ClaimKey, SettleKey
from filbertstream.request.key_journal import RewriteKey
from filbertstream.version.rollout import OrderWeights, PollReport
from filbertstream.version.routes import Configuration


class ConfigurationObserved(NamedTuple):
    """A request sent at ``sent_at_s`` returned a configuration, or None if it was unchanged."""

    config: Configuration | None
    sent_at_s: float


class TargetsListed(NamedTuple):
    """A full listing of the registrations that could be decoded."""

    registrations: tuple[TargetRegistration, ...]


class TargetObserved(NamedTuple):
    """A target's registration changed; ``registration`` is None if removed or malformed."""

    target_id: str
    registration: TargetRegistration | None
    removed: bool


class WeightsNamed(NamedTuple):
    """A weight version was named as the one that a model's runners are to load.

    It may have been named long ago if it was ``listed``.
    """

    model: str
    version: int
    listed: bool = False


class LeaseObserved(NamedTuple):
    """The lease record as it is in the object store."""

    record: LeaseRecord | None
    revision: EpochNumber


class LeaseConfirmed(NamedTuple):
    """The known lease record was the newest when a request was sent at ``sent_at_s``."""

    sent_at_s: float


class LeaseWritten(NamedTuple):
    """A write of the record was refused; a successful one is reported as ``LeaseObserved``."""

    refused: bool


class EntriesListed(NamedTuple):
    """A full listing of the names of the registered entries."""

    names: frozenset[str]


class EntriesConfirmed(NamedTuple):
    """The known registrations of entries were the newest when a request was sent."""

    sent_at_s: float


class EntryObserved(NamedTuple):
    """An entry registered, or left if ``record`` is None."""

    name: str
    record: EntryRecord | None
    revision: EpochNumber


class WriteEntry(NamedTuple):
    """Write this entry's registration: create it for ``NO_REVISION``, else replace that one."""

    name: str
    record: EntryRecord
    revision: EpochNumber


class RemoveEntry(NamedTuple):
    """Remove the registration of an entry that stops or has left, maybe only at a revision."""

    name: str
    revision: EpochNumber = NO_REVISION


class ObjectStoreResult(NamedTuple):
    """The outcome of a call to the object store for a kind of objects."""

    kind: str
    ok: bool
    reason: str


class WatchExpired(NamedTuple):
    """The object store no longer has the history that a watch of a kind asked for."""

    kind: str
    since: EpochNumber


class StoreEpochObserved(NamedTuple):
    """A response of the object store named the epoch of its history; 0 if it names none."""

    epoch: int


class PublishKind(NamedTuple):
    """Decode new objects of a kind and publish them as events to the core."""

    taken: KindDelta


class BoundsChanged(NamedTuple):
    """The operators changed the bounds."""

    bounds: Bounds


class StopRequested(NamedTuple):
    """A stop of the process was requested."""


class StopProcess(NamedTuple):
    """Stop this process gracefully, since the operators have drained this entry."""


class PeerMessage(NamedTuple):
    """A message from a peer arrived."""

    message: PeerPayload


class Tick(NamedTuple):
    """Triggers the work that is due at the current time."""


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
    | ProbeTarget
    | WriteQuarantine
    | RemoveQuarantine
    | RewriteKey
    | RewriteDocuments
)
