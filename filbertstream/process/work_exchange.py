"""What an entry tells others of its work, and what a relay sums up for them.

Load pattern: hundreds of entries, each of which sends a runner a prompt once in many seconds.  What
an entry knows by itself is next to nothing, and telling everyone costs each entry as many messages
as there are entries.  So in a large fleet each tells its relay (``process.relays``), the relays
tell each other what they have summed up, and each follower gets one message with the work of the
whole fleet: as many messages for an entry at ten entries as at a thousand.  The sums are hints for
placing; nothing else rests on them.  While entries are few, each tells all others.
"""

from typing import Final

from filbertstream.actions import SendPeer
from filbertstream.messages import (
    EntryWork,
    FleetWork,
    FleetWorkRow,
    GroupWork,
    PeerPayload,
    WorkRow,
)
from filbertstream.process.peer_work import NO_WORK, PeerWork, WorkTotals
from filbertstream.process.relays import Relays

SHARE_S: Final = 0.08
"""Least time between two messages of an entry of a small fleet."""

RELAYED_SEND_INTERVAL_S: Final = 0.2
"""The same in a large fleet, for entries and relays."""

REPEAT_S: Final = 0.4
"""An entry with work under way repeats itself at least this often."""

MAX_ROWS: Final = 512
"""Targets in one message, those with the most work; about 9 KB, compressed on its way."""


class WorkExchange:
    """Messages about work under way that are due."""

    def __init__(self, peers: PeerWork, relays: Relays) -> None:
        self._peers = peers
        self._relays = relays
        self._told_at_s = float("-inf")
        self._told = EntryWork(peers.own, ())
        self._summed_at_s = float("-inf")
        self._summed: tuple[WorkRow, ...] = ()
        self._idle = True

    def due(
        self, rows: tuple[WorkRow, ...], is_current: bool, followers: list[str], now_s: float
    ) -> list[SendPeer]:
        """Return the messages that are due, given the own work and who asks this entry."""
        if not self._relays.small_fleet and (self._relays.is_relay or followers):
            return self._sum_up(rows, is_current, followers, now_s)
        small = self._relays.small_fleet
        since_s = now_s - self._told_at_s
        work = EntryWork(self._peers.own, _busiest(rows), is_current)
        if since_s < (SHARE_S if small else RELAYED_SEND_INTERVAL_S):
            return []
        if work == self._told and (since_s < REPEAT_S or not rows):
            return []
        self._told, self._told_at_s = work, now_s
        if small:
            return [SendPeer(address, work) for address in self._peers.addresses()]
        return self._send(self._relays.relay(now_s) or "", work)

    def _send(self, member: str, payload: PeerPayload) -> list[SendPeer]:
        record = self._peers.members.get(member)
        return [] if record is None else [SendPeer(record.peer_address, payload)]

    def _sum_up(
        self, rows: tuple[WorkRow, ...], is_current: bool, followers: list[str], now_s: float
    ) -> list[SendPeer]:
        """Return a relay's messages: its group's work to other relays, all work to followers."""
        if now_s - self._summed_at_s < RELAYED_SEND_INTERVAL_S:
            return []
        heard = self._peers.members_heard(now_s)
        own = {row.target: row for row in rows}
        group = _busiest(_sum([own, *heard.values()]))
        totals = _with_own(self._peers.totals(now_s), rows)
        if group == self._summed and now_s - self._summed_at_s < REPEAT_S:
            return []
        self._summed_at_s, self._summed = now_s, group
        was_idle, self._idle = self._idle, not totals
        if was_idle and self._idle:
            return []
        is_current = is_current or self._peers.any_peer_current(now_s)
        relays = {*self._relays.others(), *self._peers.relays_heard(now_s)}
        # In the place of relays that are dead, it may be the only one that knows this one.
        relays.add(self._relays.relay(now_s) or "")
        told = GroupWork(self._peers.own, group, is_current)
        messages = [item for name in sorted(relays) for item in self._send(name, told)]
        for name in followers:
            if name not in relays:
                left = _fleet_rows(totals, heard.get(name, {}))
                messages += self._send(name, FleetWork(self._peers.own, left, is_current))
        return messages


def _busiest(rows: tuple[WorkRow, ...]) -> tuple[WorkRow, ...]:
    if len(rows) <= MAX_ROWS:
        return rows
    return tuple(sorted(rows, key=lambda row: (-row.queued_tokens, -row.runs))[:MAX_ROWS])


def _sum(parts: list[dict[str, WorkRow]]) -> tuple[WorkRow, ...]:
    found: dict[str, WorkRow] = {}
    for part in parts:
        for name, row in part.items():
            before = found.get(name)
            if before is not None:
                row = WorkRow(name, *(a + b for a, b in zip(before[1:], row[1:], strict=True)))
            found[name] = row
    return tuple(found.values())


def _with_own(totals: dict[str, WorkTotals], rows: tuple[WorkRow, ...]) -> dict[str, WorkTotals]:
    """Return the work of others with the own; what is the own's was never told, so it is recent."""
    found = dict(totals)
    for row in rows:
        before = found.get(row.target, NO_WORK)
        found[row.target] = WorkTotals(
            before.runs + row.runs,
            before.memory_tokens + row.memory_tokens,
            before.queued_tokens + row.queued_tokens,
            before.weighted_queued_tokens + row.queued_tokens,
        )
    return found


def _fleet_rows(
    totals: dict[str, WorkTotals], told: dict[str, WorkRow]
) -> tuple[FleetWorkRow, ...]:
    """Return all work but what the receiver has told itself."""
    rows = []
    for name, work in totals.items():
        own = told.get(name)
        if own is not None:
            queued_tokens = max(0, work.queued_tokens - own.queued_tokens)
            work = WorkTotals(
                max(0, work.runs - own.runs),
                max(0, work.memory_tokens - own.memory_tokens),
                queued_tokens,
                min(queued_tokens, work.weighted_queued_tokens),
            )
        if any(work):
            rows.append(FleetWorkRow(name, *work))
    if len(rows) > MAX_ROWS:
        rows = sorted(rows, key=lambda row: (-row.queued_tokens, -row.runs))[:MAX_ROWS]
    return tuple(rows)
