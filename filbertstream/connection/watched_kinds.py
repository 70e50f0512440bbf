"""The kinds of objects in the platform's store that entries follow, and what they tell the core.

What is told is in the project's types; the moment at which a call was sent goes with it, since that
is when its answer was surely true.  ``connection.kind_watcher`` makes the calls.
"""

import math
from collections.abc import Callable
from typing import Any, Final, NamedTuple, Protocol

import msgspec
from result import Err, Ok

from filbertstream.gateway_events import (
    ConfigurationObserved,
    EntriesListed,
    EntryObserved,
    LeaseConfirmed,
    LeaseObserved,
    ObjectStoreResult,
    TargetObserved,
    TargetsListed,
    WeightsNamed,
)
from filbertstream.messages import ObjectRow
from filbertstream.platform.documents import (
    CONFIG_KIND,
    CONFIG_NAME,
    DOCUMENTS_KIND,
    ENTRIES_KIND,
    LEASES_KIND,
    TARGETS_KIND,
    WEIGHTS_KIND,
    decode_configuration,
    decode_internal,
    decode_named_weights,
    decode_target,
)
from filbertstream.platform.objects import (
    Change,
    Changes,
    Listing,
    StoredObject,
)
from filbertstream.process.deployment import Bounds
from filbertstream.process.peer_work import EntryRecord
from filbertstream.process.rollout_lease import LeaseRecord
from filbertstream.process.store_view import FollowedKind, KindDelta, KindObserved

ROLLOUT_LEASE_NAME: Final = "weights"

EmitEvent = Callable[[Any], None]


class RelayWatch(NamedTuple):
    """How a relay follows a kind: the wait of its watch, and the pause after it.

    A watch that waits shows nothing until it answers: what is known grows twice as old as the wait.
    Without a wait it grows as old as the pause, so that fewer calls are needed, while changes are
    seen later.  Other entries take a relay's word up to an age of ``max_age_s``.  A small object
    may be ``pushed`` when it changes; a configuration is told to each follower as it asks, since
    sent to all at once it would fill the relay's link.
    """

    wait_s: float
    pause_s: float
    max_age_s: float
    pushed: bool = False


class WatchedKind(NamedTuple):
    """How a kind is followed.

    ``wait_s`` is the longest a watch waits, so the longest a silent connection goes unnoticed.
    ``pause_s`` gathers changes of a kind that changes all the time.  ``relay_watch`` is how the kind is
    followed where other entries rely on this one, see ``process.relayed_view``.
    """

    kind: str
    wait_s: float
    pause_s: float
    on_listing: Callable[[Listing, EmitEvent], None]
    on_change: Callable[[Change, float, EmitEvent], None]
    on_unchanged: Callable[[float, EmitEvent], None]
    relay_watch: RelayWatch

    @property
    def followed(self) -> FollowedKind:
        """What the core is told of the kind."""
        return FollowedKind(self.kind, self.relay_watch.max_age_s, self.relay_watch.pushed)


def _ignore_quiet(sent_at_s: float, emit: EmitEvent) -> None:
    """A watch that saw nothing tells nothing of most kinds."""


def _list_configuration(listing: Listing, emit: EmitEvent) -> None:
    for stored in listing.objects:
        _tell_configuration(stored, listing.sent_at_s, emit)


def _tell_configuration(stored: StoredObject, sent_at_s: float, emit: EmitEvent) -> None:
    if stored.name != CONFIG_NAME:
        return
    match decode_configuration(stored.content):
        case Ok(config):
            emit(ConfigurationObserved(config, sent_at_s))
        case Err(reason):
            emit(ObjectStoreResult(CONFIG_KIND, False, f"unreadable: {reason}"))


def _change_configuration(change: Change, sent_at_s: float, emit: EmitEvent) -> None:
    if not change.removed:
        _tell_configuration(change.stored, sent_at_s, emit)


def _quiet_configuration(sent_at_s: float, emit: EmitEvent) -> None:
    emit(ConfigurationObserved(None, sent_at_s))


def _list_targets(listing: Listing, emit: EmitEvent) -> None:
    entries = [decode_target(item.name, item.content) for item in listing.objects]
    emit(TargetsListed(tuple(item.ok_value for item in entries if isinstance(item, Ok))))


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


def _list_duties(listing: Listing, emit: EmitEvent) -> None:
    emit(LeaseConfirmed(listing.sent_at_s))
    if not any(stored.name == ROLLOUT_LEASE_NAME for stored in listing.objects):
        emit(LeaseObserved(None, 0))
    for stored in listing.objects:
        emit_lease_record(stored, emit)


def _change_duty(change: Change, sent_at_s: float, emit: EmitEvent) -> None:
    if not change.removed:
        emit_lease_record(change.stored, emit)


def emit_lease_record(stored: StoredObject, emit: EmitEvent) -> None:
    """Tell the core of the duty's record."""
    if stored.name != ROLLOUT_LEASE_NAME:
        return
    try:
        record = decode_internal(stored.content, LeaseRecord)
    except msgspec.DecodeError as exc:
        emit(ObjectStoreResult(LEASES_KIND, False, f"unreadable: {exc}"))
        return
    emit(LeaseObserved(record, stored.revision))


def _quiet_duties(sent_at_s: float, emit: EmitEvent) -> None:
    emit(LeaseConfirmed(sent_at_s))


def _list_entries(listing: Listing, emit: EmitEvent) -> None:
    emit(EntriesListed(frozenset(stored.name for stored in listing.objects)))
    for stored in listing.objects:
        _change_entry(Change(stored, False), listing.sent_at_s, emit)


def _change_entry(change: Change, sent_at_s: float, emit: EmitEvent) -> None:
    name = change.stored.name
    if change.removed:
        emit(EntryObserved(name, None, 0))
        return
    try:
        record = decode_internal(change.stored.content, EntryRecord)
    except msgspec.DecodeError as exc:
        emit(ObjectStoreResult(ENTRIES_KIND, False, f"unreadable: {exc}"))
        return
    emit(EntryObserved(name, record, change.stored.revision))


CONFIG_WAIT_SHARE: Final = 0.4
"""The wait of a watch as a share of the bound for configurations: the age of a confirmation reaches
twice the wait."""

TARGETS_PAUSE_SHARE: Final = 0.25
"""Registrations change all the time; they are gathered for this share of the bound for drains."""

TARGETS_WAIT_S: Final = 2.0
WEIGHTS_WAIT_S: Final = 3.0
DUTIES_WAIT_S: Final = 1.4
"""The view of the duty is needed with an age under twice this, see ``version.weights_view``."""

RELAY_REVOKE_FRACTION: Final = 0.25
RELAY_APPLY_SHARE: Final = 0.3
"""A relay asks for the configuration after these shares of the bounds for removed keys and for
configurations, the shorter of both."""

CONFIG_MAX_AGE_FRACTION: Final = 0.45
"""The share of the bound for removed keys up to which another entry's word counts: more than the
above and the interval of questions, and less than makes an entry unready."""

RELAY_TARGETS_FRACTION: Final = 0.3
"""A relay asks for registrations after this share of the bound for drains."""

RELAYED_TARGETS_SHARE: Final = 0.75
"""The share of that bound up to which another entry's word counts; the rest is for what is under
way when an entry turns to the store instead."""

RELAY_WEIGHTS_FRACTION: Final = 0.25
"""The wait of a relay's watch of named weights as a share of the bound for old ones."""

RELAYED_WEIGHTS_SHARE: Final = 0.8
"""The share of that bound up to which another entry's word counts."""

LEASES_RELAY_WATCH: Final = RelayWatch(0.9, 0.0, 2.8, True)
"""The age is less than ``version.weights_view.MAX_FETCH_VIEW_AGE_S``; changes are passed on at once."""

ENTRIES_RELAY_WATCH: Final = RelayWatch(10.0, 0.5, math.inf)
"""A registration of an entry is a hint only: any age does."""


def _relayed_config(bounds: Bounds) -> RelayWatch:
    pause_s = min(
        RELAY_REVOKE_FRACTION * bounds.revoke_s, RELAY_APPLY_SHARE * bounds.config_apply_s
    )
    return RelayWatch(0.0, pause_s, CONFIG_MAX_AGE_FRACTION * bounds.revoke_s)


def _relayed_weights(bounds: Bounds) -> RelayWatch:
    wait_s = RELAY_WEIGHTS_FRACTION * bounds.version_s
    return RelayWatch(wait_s, 0.0, RELAYED_WEIGHTS_SHARE * bounds.version_s, True)


def _relayed_targets(bounds: Bounds) -> RelayWatch:
    pause_s = RELAY_TARGETS_FRACTION * bounds.drain_s
    return RelayWatch(0.0, pause_s, RELAYED_TARGETS_SHARE * bounds.drain_s)


ENTRIES_WAIT_S: Final = 10.0
ENTRIES_PAUSE_S: Final = 0.5


class ConfigurationWatch(Protocol):
    """Tells the core of a configuration that is not the users' own document."""

    def on_listing(self, listing: Listing, emit: EmitEvent) -> None:
        """Tell what is there."""

    def on_change(self, change: Change, sent_at_s: float, emit: EmitEvent) -> None:
        """Tell what was written."""

    def on_unchanged(self, sent_at_s: float, emit: EmitEvent) -> None:
        """Tell that nothing was written."""


def product_kinds(bounds: Bounds, documents: ConfigurationWatch) -> tuple[WatchedKind, ...]:
    """Return how each kind is followed where the operators' documents are the configuration."""
    watched = WatchedKind(
        DOCUMENTS_KIND,
        CONFIG_WAIT_SHARE * bounds.config_apply_s,
        0.0,
        documents.on_listing,
        documents.on_change,
        documents.on_unchanged,
        _relayed_config(bounds),
    )
    return (watched, *_common_kinds(bounds))


def watched_kinds(bounds: Bounds) -> tuple[WatchedKind, ...]:
    """Return how each kind is followed on the users' platform."""
    return (
        WatchedKind(
            CONFIG_KIND,
            CONFIG_WAIT_SHARE * bounds.config_apply_s,
            0.0,
            _list_configuration,
            _change_configuration,
            _quiet_configuration,
            _relayed_config(bounds),
        ),
        WatchedKind(
            WEIGHTS_KIND,
            WEIGHTS_WAIT_S,
            0.0,
            _list_weights,
            _change_weights,
            _ignore_quiet,
            _relayed_weights(bounds),
        ),
        *_common_kinds(bounds),
    )


def _common_kinds(bounds: Bounds) -> tuple[WatchedKind, ...]:
    targets_pause_s = TARGETS_PAUSE_SHARE * bounds.drain_s
    return (
        WatchedKind(
            TARGETS_KIND,
            TARGETS_WAIT_S,
            targets_pause_s,
            _list_targets,
            _change_target,
            _ignore_quiet,
            _relayed_targets(bounds),
        ),
        WatchedKind(
            LEASES_KIND,
            DUTIES_WAIT_S,
            0.0,
            _list_duties,
            _change_duty,
            _quiet_duties,
            LEASES_RELAY_WATCH,
        ),
        WatchedKind(
            ENTRIES_KIND,
            ENTRIES_WAIT_S,
            ENTRIES_PAUSE_S,
            _list_entries,
            _change_entry,
            _ignore_quiet,
            ENTRIES_RELAY_WATCH,
        ),
    )


def publish_kind(watched: WatchedKind, taken: KindDelta, emit: EmitEvent) -> None:
    """Decode what is new of a kind and tell it."""
    if taken.full:
        objects = tuple(_stored(row) for row in taken.rows if row.content is not None)
        watched.on_listing(Listing(taken.observed_at_s, 0, objects), emit)
        return
    for row in taken.rows:
        watched.on_change(Change(_stored(row), row.content is None), taken.observed_at_s, emit)
    watched.on_unchanged(taken.observed_at_s, emit)


def _stored(row: ObjectRow) -> StoredObject:
    return StoredObject(row.name, row.revision, msgspec.Raw(row.content or b"null"))


def kind_observed(kind: str, since: int | None, found: Listing | Changes) -> KindObserved:
    """Return what an answer of the store shows of a kind: a listing, or a watch after ``since``."""
    if isinstance(found, Listing):
        rows = tuple(_row(stored) for stored in found.objects)
    else:
        rows = tuple(_row(*change) for change in found.changes)
    return KindObserved(kind, since is None, since or 0, found.as_of, found.sent_at_s, rows)


def _row(stored: StoredObject, removed: bool = False) -> ObjectRow:
    return ObjectRow(stored.name, stored.revision, None if removed else bytes(stored.content))
