"""The kinds of object store objects that entries watch, and the core events made from them.

Objects are decoded into the project's own types.  An event carries the time at which the call to
the object store was sent, since its response is known to hold as of that time.
``connection.kind_watcher`` makes the calls.
"""

import math
from collections.abc import Callable
from typing import Any, Final, NamedTuple, Protocol

import msgspec
from result import Err, Ok

from filbertstream.connection.evacuations_watch import (
    MAX_AGE_FRACTION,
    RELAY_WAIT_FRACTION,
    WAIT_FRACTION,
    change_evacuation,
    list_evacuations,
    unchanged_evacuations,
)
from filbertstream.connection.quarantine_watch import change_quarantine, list_quarantine
from filbertstream.epoch_number import NO_REVISION
from filbertstream.gateway_events import (
    ConfigurationObserved,
    EntriesConfirmed,
    EntriesListed,
    EntryObserved,
    LeaseConfirmed,
    LeaseObserved,
    ObjectStoreResult,
    TargetObserved,
    TargetsListed,
    WeightsNamed,
)
from filbertstream.platform.documents import (
    CONFIG_KIND,
    CONFIG_NAME,
    DOCUMENTS_KIND,
    ENTRIES_KIND,
    EVACUATIONS_KIND,
    LEASES_KIND,
    QUARANTINE_KIND,
    TARGETS_KIND,
    WEIGHTS_KIND,
    decode_configuration,
    decode_internal,
    decode_named_weights,
    decode_target,
)
from filbertstream.platform.objects import (
    Change,
    Listing,
    StoredObject,
)
from filbertstream.process.deployment import Bounds
from filbertstream.process.peer_work import EntryRecord
from filbertstream.process.rollout_lease import LeaseRecord
from filbertstream.process.store_view import FollowedKind
from filbertstream.version.config_freshness import watch_wait_s

ROLLOUT_LEASE_NAME: Final = "weights"

EmitEvent = Callable[[Any], None]


class RelayWatch(NamedTuple):
    """How a relay watches a kind: the wait of its long poll, and the pause after it.

    A long poll confirms nothing until it returns, so the view gets up to twice as old as the wait.
    Without a wait it gets as old as the pause: fewer calls are needed, but changes are observed
    later.  Other entries use a relay's view up to an age of ``max_age_s``.  A small object may be
    ``pushed`` to followers when it changes.  A configuration is sent to each follower on request,
    since sending it to all at once would saturate the relay's network link.
    """

    wait_s: float
    pause_s: float
    max_age_s: float
    pushed: bool = False


class WatchedKind(NamedTuple):
    """How a kind is watched.

    ``wait_s`` is the longest wait of a long poll, and so the longest time for which a stalled
    connection goes undetected.  ``pause_s`` batches the changes of a kind that changes all the
    time.  ``relay_watch`` applies while this entry is a relay, see ``process.relayed_view``, and
    ``since_first_build`` tells whether relays of every build follow the kind.
    """

    kind: str
    wait_s: float
    pause_s: float
    on_listing: Callable[[Listing, EmitEvent], None]
    on_change: Callable[[Change, float, EmitEvent], None]
    on_unchanged: Callable[[float, EmitEvent], None]
    relay_watch: RelayWatch
    since_first_build: bool = True

    @property
    def followed(self) -> FollowedKind:
        """The part of the settings that the core uses."""
        watch = self.relay_watch
        return FollowedKind(self.kind, watch.max_age_s, watch.pushed, self.since_first_build)


def _ignore_unchanged(sent_at_s: float, emit: EmitEvent) -> None:
    """Emit nothing: for most kinds a watch without changes needs no event."""


def _list_configuration(listing: Listing, emit: EmitEvent) -> None:
    for stored in listing.objects:
        _emit_configuration(stored, listing.sent_at_s, emit)


def _emit_configuration(stored: StoredObject, sent_at_s: float, emit: EmitEvent) -> None:
    if stored.name != CONFIG_NAME:
        return
    match decode_configuration(stored.content):
        case Ok(config):
            emit(ConfigurationObserved(config, sent_at_s))
        case Err(reason):
            emit(ObjectStoreResult(CONFIG_KIND, False, f"unreadable: {reason}"))


def _change_configuration(change: Change, sent_at_s: float, emit: EmitEvent) -> None:
    if not change.removed:
        _emit_configuration(change.stored, sent_at_s, emit)


def _unchanged_configuration(sent_at_s: float, emit: EmitEvent) -> None:
    emit(ConfigurationObserved(None, sent_at_s))


def _list_targets(listing: Listing, emit: EmitEvent) -> None:
    decoded = [decode_target(item.name, item.content) for item in listing.objects]
    emit(TargetsListed(tuple(item.ok_value for item in decoded if isinstance(item, Ok))))


def _change_target(change: Change, sent_at_s: float, emit: EmitEvent) -> None:
    name = change.stored.name
    if change.removed:
        emit(TargetObserved(name, None, True))
        return
    decoded = decode_target(name, change.stored.content)
    emit(TargetObserved(name, decoded.ok_value if isinstance(decoded, Ok) else None, False))


def _list_weights(listing: Listing, emit: EmitEvent) -> None:
    for stored in listing.objects:
        match decode_named_weights(stored.content):
            case Ok((model, version)):
                emit(WeightsNamed(model, version, True))
            case Err(reason):
                emit(ObjectStoreResult(WEIGHTS_KIND, False, f"unreadable: {reason}"))


def _change_weights(change: Change, sent_at_s: float, emit: EmitEvent) -> None:
    match decode_named_weights(change.stored.content):
        case Ok((model, version)) if not change.removed:
            emit(WeightsNamed(model, version))


def _list_leases(listing: Listing, emit: EmitEvent) -> None:
    emit(LeaseConfirmed(listing.sent_at_s))
    if not any(stored.name == ROLLOUT_LEASE_NAME for stored in listing.objects):
        emit(LeaseObserved(None, listing.as_of))
    for stored in listing.objects:
        emit_lease_record(stored, emit)


def _change_lease(change: Change, sent_at_s: float, emit: EmitEvent) -> None:
    if not change.removed:
        emit_lease_record(change.stored, emit)


def emit_lease_record(stored: StoredObject, emit: EmitEvent) -> None:
    """Emit the record of the roll-out lease."""
    if stored.name != ROLLOUT_LEASE_NAME:
        return
    try:
        record = decode_internal(stored.content, LeaseRecord)
    except msgspec.DecodeError as exc:
        emit(ObjectStoreResult(LEASES_KIND, False, f"unreadable: {exc}"))
        return
    emit(LeaseObserved(record, stored.revision))


def _unchanged_leases(sent_at_s: float, emit: EmitEvent) -> None:
    emit(LeaseConfirmed(sent_at_s))


def _list_entries(listing: Listing, emit: EmitEvent) -> None:
    emit(EntriesListed(frozenset(stored.name for stored in listing.objects)))
    for stored in listing.objects:
        _change_entry(Change(stored, False), listing.sent_at_s, emit)
    emit(EntriesConfirmed(listing.sent_at_s))


def _change_entry(change: Change, sent_at_s: float, emit: EmitEvent) -> None:
    name = change.stored.name
    if change.removed:
        emit(EntryObserved(name, None, NO_REVISION))
        return
    try:
        record = decode_internal(change.stored.content, EntryRecord)
    except msgspec.DecodeError as exc:
        emit(ObjectStoreResult(ENTRIES_KIND, False, f"unreadable: {exc}"))
        return
    emit(EntryObserved(name, record, change.stored.revision))


def _unchanged_entries(sent_at_s: float, emit: EmitEvent) -> None:
    emit(EntriesConfirmed(sent_at_s))


TARGETS_PAUSE_FRACTION: Final = 0.25
"""Registrations change all the time; changes are batched for this fraction of the bound for
drains."""

TARGETS_WAIT_S: Final = 2.0
WEIGHTS_WAIT_S: Final = 3.0
LEASES_WAIT_S: Final = 1.4
"""The view of the roll-out lease must be younger than twice this, see ``version.weights_view``."""

RELAY_REVOKE_FRACTION: Final = 0.25
RELAY_APPLY_FRACTION: Final = 0.3
"""A relay polls the configuration at the shorter of these fractions of the bounds for removed keys
and for configurations."""

CONFIG_MAX_AGE_FRACTION: Final = 0.45
"""Maximum age of a relayed configuration, as a fraction of the bound for removed keys: more than a
relay's poll interval plus a follower's, and less than the age at which an entry becomes unready."""

RELAY_TARGETS_FRACTION: Final = 0.3
"""A relay polls registrations at this fraction of the bound for drains."""

TARGETS_MAX_AGE_FRACTION: Final = 0.75
"""Maximum age of relayed registrations, as a fraction of the bound for drains.  The rest covers
calls in flight when an entry starts to read the object store itself."""

RELAY_WEIGHTS_FRACTION: Final = 0.25
"""The wait of a relay's watch of named weights as a fraction of the bound for old weights."""

WEIGHTS_MAX_AGE_FRACTION: Final = 0.8
"""Maximum age of relayed weight names, as a fraction of the bound for old weights."""

LEASES_RELAY_WATCH: Final = RelayWatch(0.9, 0.0, 2.8, True)
"""The maximum age is less than ``version.weights_view.MAX_FETCH_VIEW_AGE_S``; changes are pushed
at once."""

ENTRIES_RELAY_WATCH: Final = RelayWatch(1.5, 0.5, math.inf)
"""Any age is acceptable, since decisions that depend on it check the age, see
``process.rate_shares.VIEW_MAX_AGE_S``."""


def _relay_config_watch(bounds: Bounds) -> RelayWatch:
    pause_s = min(
        RELAY_REVOKE_FRACTION * bounds.revoke_s, RELAY_APPLY_FRACTION * bounds.config_apply_s
    )
    return RelayWatch(0.0, pause_s, CONFIG_MAX_AGE_FRACTION * bounds.revoke_s)


def _relay_weights_watch(bounds: Bounds) -> RelayWatch:
    wait_s = RELAY_WEIGHTS_FRACTION * bounds.version_s
    return RelayWatch(wait_s, 0.0, WEIGHTS_MAX_AGE_FRACTION * bounds.version_s, True)


def _relay_targets_watch(bounds: Bounds) -> RelayWatch:
    pause_s = RELAY_TARGETS_FRACTION * bounds.drain_s
    return RelayWatch(0.0, pause_s, TARGETS_MAX_AGE_FRACTION * bounds.drain_s)


QUARANTINE_WAIT_S: Final = 5.0
QUARANTINE_RELAY_WATCH: Final = RelayWatch(4.0, 0.0, 12.0, True)
"""Peers tell one another of new records at once, so the object store's may be older."""

ENTRIES_WAIT_S: Final = 2.0
ENTRIES_PAUSE_S: Final = 0.5


class ConfigurationWatch(Protocol):
    """Emits a configuration that is stored in another form than the platform's own document."""

    def on_listing(self, listing: Listing, emit: EmitEvent) -> None:
        """Emit what a full listing contains."""

    def on_change(self, change: Change, sent_at_s: float, emit: EmitEvent) -> None:
        """Emit a change."""

    def on_unchanged(self, sent_at_s: float, emit: EmitEvent) -> None:
        """Emit that nothing changed up to a watch sent at ``sent_at_s``."""


def product_kinds(bounds: Bounds, documents: ConfigurationWatch) -> tuple[WatchedKind, ...]:
    """Return how each kind is watched where the operators' documents are the configuration."""
    watched = WatchedKind(
        DOCUMENTS_KIND,
        watch_wait_s(bounds.config_apply_s, bounds.revoke_s),
        0.0,
        documents.on_listing,
        documents.on_change,
        documents.on_unchanged,
        _relay_config_watch(bounds),
    )
    return (watched, *_common_kinds(bounds))


def watched_kinds(bounds: Bounds) -> tuple[WatchedKind, ...]:
    """Return how each kind is watched where the configuration is the platform's own document."""
    return (
        WatchedKind(
            CONFIG_KIND,
            watch_wait_s(bounds.config_apply_s, bounds.revoke_s),
            0.0,
            _list_configuration,
            _change_configuration,
            _unchanged_configuration,
            _relay_config_watch(bounds),
        ),
        WatchedKind(
            WEIGHTS_KIND,
            WEIGHTS_WAIT_S,
            0.0,
            _list_weights,
            _change_weights,
            _ignore_unchanged,
            _relay_weights_watch(bounds),
        ),
        *_common_kinds(bounds),
    )


def _common_kinds(bounds: Bounds) -> tuple[WatchedKind, ...]:
    targets_pause_s = TARGETS_PAUSE_FRACTION * bounds.drain_s
    return (
        WatchedKind(
            TARGETS_KIND,
            TARGETS_WAIT_S,
            targets_pause_s,
            _list_targets,
            _change_target,
            _ignore_unchanged,
            _relay_targets_watch(bounds),
        ),
        WatchedKind(
            LEASES_KIND,
            LEASES_WAIT_S,
            0.0,
            _list_leases,
            _change_lease,
            _unchanged_leases,
            LEASES_RELAY_WATCH,
        ),
        WatchedKind(
            ENTRIES_KIND,
            ENTRIES_WAIT_S,
            ENTRIES_PAUSE_S,
            _list_entries,
            _change_entry,
            _unchanged_entries,
            ENTRIES_RELAY_WATCH,
        ),
        WatchedKind(
            QUARANTINE_KIND,
            QUARANTINE_WAIT_S,
            0.0,
            list_quarantine,
            change_quarantine,
            _ignore_unchanged,
            QUARANTINE_RELAY_WATCH,
        ),
        *([] if bounds.evac_s is None else [_evacuations(bounds.evac_s)]),
    )


def _evacuations(bound_s: float) -> WatchedKind:
    wait_s, max_age_s = RELAY_WAIT_FRACTION * bound_s, MAX_AGE_FRACTION * bound_s
    return WatchedKind(
        EVACUATIONS_KIND,
        WAIT_FRACTION * bound_s,
        0.0,
        list_evacuations,
        change_evacuation,
        unchanged_evacuations,
        RelayWatch(wait_s, 0.0, max_age_s, True),
        since_first_build=False,
    )
