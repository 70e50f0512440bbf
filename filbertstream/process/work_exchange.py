"""Distributes the work in progress of each entry to its peers, in a large fleet through relays.

Load pattern handled: hundreds of entries, each of which sends a runner a prompt once in many
seconds.  An entry's own work indicates little of the load of a runner, and a message to every peer
costs each entry as many messages as there are entries.  So in a large fleet each entry reports to
its relay (``process.relays``), the relays exchange the sums of their groups, and each follower gets
one message with the work of the fleet: as many messages per entry at ten entries as at a thousand.
The sums are hints for placement; nothing else depends on them.  In a small fleet each entry reports
to all peers.  The messages also carry the rates to which targets limit their callers, and facts
(``fleet.facts``).  They take a share of the VM's link at most (``process.link_share``).
"""

from collections import deque
from typing import Final, NamedTuple

import msgspec

from filbertstream.actions import SendPeer
from filbertstream.fleet.facts import FactExchange, Facts
from filbertstream.fleet.scope import Scope
from filbertstream.messages import (
    EntryWork,
    FleetWork,
    FleetWorkRow,
    GroupWork,
    PeerPayload,
    RateRow,
    WorkRow,
    encode,
)
from filbertstream.process.link_share import LinkShare
from filbertstream.process.peer_work import NO_WORK, PeerWork, WorkTotals
from filbertstream.process.relays import Relays
from filbertstream.process.request_rates import RequestRates

SEND_INTERVAL_S: Final = 0.08
"""Minimum interval between two messages of an entry of a small fleet."""

RELAYED_SEND_INTERVAL_S: Final = 0.2
"""Minimum interval in a large fleet, for entries and relays."""

REFRESH_INTERVAL_S: Final = 0.4
"""Interval at which an entry with work in progress sends it even if it has not changed."""

RATES_INTERVAL_S: Final = 1.0
"""Interval at which the limits of targets are sent again while they do not change."""

MAX_ROWS: Final = 512
"""Maximum number of targets in a message, those with the most work; about 9 KB compressed."""


LINK_FRACTION: Final = 0.2
"""Share of the VM's link that messages about work may take."""


class _Round(NamedTuple):
    """What a relay tells its followers in one round, and those that it has not told yet."""

    receivers: deque[str]
    totals: dict[str, WorkTotals]
    reports: dict[str, dict[str, WorkRow]]
    is_current: bool
    rates: tuple[RateRow, ...]
    facts: Facts


class WorkExchange:
    """Creates the messages about work in progress when they are due."""

    def __init__(
        self,
        peers: PeerWork,
        relays: Relays,
        rates: RequestRates,
        facts: FactExchange,
        link_mbps: float = 0.0,
    ) -> None:
        self._link = LinkShare(link_mbps, LINK_FRACTION)
        self._round: _Round | None = None
        self._peers = peers
        self._relays = relays
        self._rates = rates
        self._facts = facts
        self._rates_sent_at_s = float("-inf")
        self._last_rates: dict[str, float | None] = {}
        self._sent_at_s = float("-inf")
        self._last_sent = EntryWork(peers.local_name, ())
        self._group_sent_at_s = float("-inf")
        self._last_group: tuple[WorkRow, ...] = ()
        self._idle = True

    def due(
        self, rows: tuple[WorkRow, ...], is_current: bool, followers: list[str], now_s: float
    ) -> list[SendPeer]:
        """Return the messages that are due, given the local work and this entry's followers."""
        if not self._relays.small_fleet and (self._relays.is_relay or followers):
            return self._relay_messages(rows, is_current, followers, now_s)
        small = self._relays.small_fleet
        since_s = now_s - self._sent_at_s
        if since_s < (SEND_INTERVAL_S if small else RELAYED_SEND_INTERVAL_S):
            return []
        if not self._link.has_room(now_s):
            return []
        work = EntryWork(self._peers.local_name, _busiest(rows), is_current)
        rates = self._due_rates(Scope.LOCAL, now_s)
        facts = self._facts.due(Scope.LOCAL, now_s)
        news = rates or facts
        if work == self._last_sent and not news and (since_s < REFRESH_INTERVAL_S or not rows):
            return []
        self._last_sent, self._sent_at_s = work, now_s
        work = msgspec.structs.replace(work, rates=rates, facts=facts)
        if small:
            messages = [SendPeer(address, work) for address in self._peers.addresses()]
        else:
            messages = self._send(self._relays.relay(now_s) or "", work)
        self._note_sent(work, len(messages), now_s)
        return messages

    def _due_rates(self, scope: Scope, now_s: float) -> tuple[RateRow, ...]:
        """Return the limits of targets if one has changed, or again after a while."""
        rates = self._rates.report(scope, now_s)
        values = {row.target: row.per_s for row in rates}
        if values == self._last_rates and now_s - self._rates_sent_at_s < RATES_INTERVAL_S:
            return ()
        self._last_rates, self._rates_sent_at_s = values, now_s
        return rates

    def _note_sent(self, payload: PeerPayload, count: int, now_s: float) -> None:
        if self._link.limited:
            self._link.take(len(encode(payload)) * count, now_s)

    def _send(self, member: str, payload: PeerPayload) -> list[SendPeer]:
        record = self._peers.members.get(member)
        return [] if record is None else [SendPeer(record.peer_address, payload)]

    def _relay_messages(
        self, rows: tuple[WorkRow, ...], is_current: bool, followers: list[str], now_s: float
    ) -> list[SendPeer]:
        """Return a relay's messages: its group's work to the relays, all work to the followers.

        A round to the followers goes on in later ticks while the link has no room.
        """
        messages = self._round_messages(now_s)
        if self._round is not None or now_s - self._group_sent_at_s < RELAYED_SEND_INTERVAL_S:
            return messages
        reports = self._peers.member_reports(now_s)
        local = {row.target: row for row in rows}
        group = _busiest(_sum_rows([local, *reports.values()]))
        totals = _with_local(self._peers.totals(now_s), rows)
        rates = self._due_rates(Scope.FLEET, now_s)
        facts = self._facts.due(Scope.FLEET, now_s)
        unchanged = group == self._last_group and not rates and not facts
        if unchanged and now_s - self._group_sent_at_s < REFRESH_INTERVAL_S:
            return messages
        self._group_sent_at_s, self._last_group = now_s, group
        was_idle, self._idle = self._idle, not (totals or rates or facts)
        if was_idle and self._idle:
            return messages
        is_current = is_current or self._peers.any_peer_current(now_s)
        relays = {*self._relays.other_relays(), *self._peers.reporting_relays(now_s)}
        # If the relays are dead and this entry substitutes for one, the member that it polls may be
        # the only other entry in contact with it.
        relays.add(self._relays.relay(now_s) or "")
        group_rates = self._rates.report(Scope.GROUP, now_s) if rates else ()
        group_facts = self._facts.of_kinds(facts, Scope.GROUP, now_s)
        group_work = GroupWork(self._peers.local_name, group, is_current, group_rates, group_facts)
        told = [item for name in sorted(relays) for item in self._send(name, group_work)]
        self._note_sent(group_work, len(told), now_s)
        receivers = deque(name for name in followers if name not in relays)
        self._round = _Round(receivers, totals, reports, is_current, rates, facts)
        return [*messages, *told, *self._round_messages(now_s)]

    def _round_messages(self, now_s: float) -> list[SendPeer]:
        """Return the messages of the current round for which the link has room."""
        messages: list[SendPeer] = []
        current, size = self._round, 0
        if current is not None and now_s > self._group_sent_at_s:
            # Their ages count from the message.
            rates = self._rates.report(Scope.FLEET, now_s) if current.rates else ()
            facts = self._facts.of_kinds(current.facts, Scope.FLEET, now_s)
            current = self._round = current._replace(rates=rates, facts=facts)
        while current is not None and current.receivers and self._link.has_room(now_s):
            name = current.receivers.popleft()
            fleet = _fleet_rows(current.totals, current.reports.get(name, {}))
            local, is_current = self._peers.local_name, current.is_current
            work = FleetWork(local, fleet, is_current, current.rates, current.facts)
            messages += self._send(name, work)
            # The messages of a round differ in little but the receiver's own work.
            size = size or (len(encode(work)) if self._link.limited else 0)
            self._link.take(size, now_s)
        if current is not None and not current.receivers:
            self._round = None
        return messages


def _busiest(rows: tuple[WorkRow, ...]) -> tuple[WorkRow, ...]:
    if len(rows) <= MAX_ROWS:
        return rows
    return tuple(sorted(rows, key=lambda row: (-row.queued_tokens, -row.runs))[:MAX_ROWS])


def _sum_rows(reports: list[dict[str, WorkRow]]) -> tuple[WorkRow, ...]:
    sums: dict[str, WorkRow] = {}
    for report in reports:
        for name, row in report.items():
            before = sums.get(name)
            if before is not None:
                row = WorkRow(name, *(a + b for a, b in zip(before[1:], row[1:], strict=True)))
            sums[name] = row
    return tuple(sums.values())


def _with_local(totals: dict[str, WorkTotals], rows: tuple[WorkRow, ...]) -> dict[str, WorkTotals]:
    """Return the work of peers plus the local work, whose queued tokens count in full."""
    sums = dict(totals)
    for row in rows:
        before = sums.get(row.target, NO_WORK)
        sums[row.target] = WorkTotals(
            before.runs + row.runs,
            before.memory_tokens + row.memory_tokens,
            before.queued_tokens + row.queued_tokens,
            before.weighted_queued_tokens + row.queued_tokens,
        )
    return sums


def _fleet_rows(
    totals: dict[str, WorkTotals], reported: dict[str, WorkRow]
) -> tuple[FleetWorkRow, ...]:
    """Return all work except what the receiver reported itself."""
    rows = []
    for name, work in totals.items():
        row = reported.get(name)
        if row is not None:
            queued_tokens = max(0, work.queued_tokens - row.queued_tokens)
            work = WorkTotals(
                max(0, work.runs - row.runs),
                max(0, work.memory_tokens - row.memory_tokens),
                queued_tokens,
                min(queued_tokens, work.weighted_queued_tokens),
            )
        if any(work):
            rows.append(FleetWorkRow(name, *work))
    if len(rows) > MAX_ROWS:
        rows = sorted(rows, key=lambda row: (-row.queued_tokens, -row.runs))[:MAX_ROWS]
    return tuple(rows)
