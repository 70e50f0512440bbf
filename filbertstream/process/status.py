"""What an entry tells operators about itself: plain data, read from the core by a query."""

from typing import NamedTuple

from filbertstream.core import Core


class MemberRow(NamedTuple):
    """Another entry as this one sees it."""

    name: str
    data_center: str
    live: bool
    state: str
    revision: int


class TargetRow(NamedTuple):
    """A target as this entry sees it; ``state`` is usable, leaving, swapping or out."""

    name: str
    kind: str
    data_center: str
    state: str
    weight_version: str
    running: int
    queued_tokens: int
    report_age_s: float | None


class Status(NamedTuple):
    """One entry's state; ``blocked`` is why it takes no new work, or an empty text."""

    name: str
    vm: str
    data_center: str
    blocked: str
    revision: int
    confirmed_age_s: float
    platform_up: bool
    running: int
    weights_lease: str
    members: tuple[MemberRow, ...]
    targets: tuple[TargetRow, ...]


def read_status(core: Core, now_s: float) -> Status:
    """Return the state of the core's entry."""
    live = set(core.membership.live(now_s))
    members = tuple(
        MemberRow(
            name,
            peer.registration.data_center,
            name in live,
            peer.state,
            peer.revision,
        )
        for name, peer in sorted(core.membership.peers.items())
    )
    return Status(
        core.cfg.name,
        core.cfg.vm,
        core.cfg.data_center,
        core.blocked(now_s) or "",
        core.config.revision,
        round(core.governance.freshness.confirmed_age_s(now_s), 3),
        core.platform_up,
        len(core.serving.endings.runs),
        core.lease.holder,
        members,
        _target_rows(core, now_s),
    )


def _target_rows(core: Core, now_s: float) -> tuple[TargetRow, ...]:
    rows = []
    for name, target in sorted(core.directory.targets.items()):
        age_s = None if target.reported_at_s is None else round(now_s - target.reported_at_s, 3)
        rows.append(
            TargetRow(
                name,
                target.listed.kind,
                target.listed.data_center,
                _state_of(core, name, now_s),
                target.weight_version,
                target.running,
                target.queued_tokens,
                age_s,
            )
        )
    return tuple(rows)


def _state_of(core: Core, name: str, now_s: float) -> str:
    target = core.directory.targets[name]
    if target.leaving:
        return "leaving"
    if target.swapping:
        return "swapping"
    return "out" if core.directory.outliers.is_out(name, now_s) else "usable"
