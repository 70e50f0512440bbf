"""The status of an entry for operators: plain data, read from the core by a query."""

from typing import NamedTuple

from filbertstream.gateway import Gateway
from filbertstream.process.roster import RosterTarget


class MemberRow(NamedTuple):
    """A registered entry."""

    name: str
    address: str
    incarnation: int


class TargetRow(NamedTuple):
    """A target as observed by this entry.

    ``state`` is ``usable``, ``leaving``, ``swapping`` or ``out`` (ejected).
    """

    name: str
    service: str
    data_center: str
    state: str
    weights: dict[str, int]
    running: float
    unread_tokens: int
    load_age_s: float | None


class Status(NamedTuple):
    """The state of one entry.

    ``config_age_s`` counts from the last time the configuration was confirmed, -1 without one.
    """

    name: str
    data_center: str
    ready: bool
    revision: int
    epoch: int
    config_age_s: float
    store_lost: tuple[str, ...]
    running: int
    unsettled_keys: int
    holds_duty: bool
    members: tuple[MemberRow, ...]
    targets: tuple[TargetRow, ...]


def read_status(core: Gateway, now_s: float) -> Status:
    """Return the status of the core's entry."""
    config = core.authorizer.config
    age_s = core.config_freshness.age_s(now_s)
    members = tuple(
        MemberRow(name, record.peer_address, record.incarnation)
        for name, record in sorted(core.peers.members.items())
    )
    targets = tuple(
        _target_row(core, target, now_s) for _, target in sorted(core.roster.targets.items())
    )
    return Status(
        core.cfg.name,
        core.cfg.data_center,
        core.ready(now_s),
        0 if config is None else config.version.number,
        0 if config is None else config.version.epoch,
        round(age_s, 3) if age_s < float("inf") else -1.0,
        core.store_health.failed_kinds,
        len(core.forwarding.calls),
        core.idempotency_keys.unsettled,
        core.rollout_lease.may_order(now_s),
        members,
        targets,
    )


def _target_row(core: Gateway, target: RosterTarget, now_s: float) -> TargetRow:
    load_age_s = None if target.load is None else round(now_s - target.load_at_s, 3)
    return TargetRow(
        target.target_id,
        target.registration.service,
        target.registration.data_center,
        _state_of(core, target, now_s),
        dict(target.weights),
        target.running(now_s),
        target.queued_tokens(now_s),
        load_age_s,
    )


def _state_of(core: Gateway, target: RosterTarget, now_s: float) -> str:
    if core.roster.is_leaving(target):
        return "leaving"
    if core.weights.is_swapping(target):
        return "swapping"
    return "out" if core.roster.outliers.is_ejected(target.target_id, now_s) else "usable"
