"""The request rates to which targets limit their callers, as far as this entry knows them.

A target under load names a rate in its responses for as long as the limit holds; the rate is that
of all entries together.  An entry learns it from responses to its own requests, which are often
seconds apart, and from the reports of its peers (``process.work_exchange``).

Faults handled: responses that overtake each other, late reports, malformed values, targets that
restart.  A response shows what its target limited at some time between the request and the
response.  If two such periods overlap, either may be the newer one, and the lower rate counts until
a response to a later request shows otherwise.  A limit that nothing contradicts holds for any time.
"""

import heapq
from collections.abc import Container, Iterable
from typing import Final, NamedTuple

from filbertstream.actions import Log
from filbertstream.fleet.scope import Scope
from filbertstream.log_events import LogEvent
from filbertstream.messages import RateRow
from filbertstream.process.counters import Counters
from filbertstream.process.target_registration import TargetStart
from filbertstream.request.call import RequestRate

REPORT_DELAY_S: Final = 1.0
"""The delay up to which a peer's report can't end or raise a limit that has been named since."""

ENDED_KEPT_S: Final = 30.0
"""Time for which the end of a limit is reported: peers may be cut off for that long."""

UNREGISTERED_KEPT_S: Final = 60.0
"""Time for which the limit of a target without a registration is kept, since registrations expire
during outages of the object store."""

MAX_ROWS: Final = 48
"""Maximum number of targets in a report, those with the latest evidence; about 2 KB."""


class Evidence(NamedTuple):
    """The rate that a target named, None without a limit, at some time within a period."""

    per_s: float | None
    from_s: float
    until_s: float


def merge(known: Evidence, found: Evidence) -> Evidence:
    """Return the evidence that counts of two: the newer one, or the lower rate if they overlap.

    >>> named = Evidence(2.0, 1.0, 3.0)
    >>> merge(named, Evidence(None, 2.5, 3.5)).per_s
    2.0
    >>> merge(named, Evidence(None, 3.5, 4.0)).per_s is None
    True
    """
    if known.per_s is None and found.per_s is None:
        # The end of a limit is reported for a limited time, which later responses don't extend.
        return known
    if found.from_s > known.until_s or found.until_s < known.from_s:
        return max(known, found, key=lambda item: item.until_s)
    if known.per_s == found.per_s:
        newer = max(known.from_s, found.from_s), max(known.until_s, found.until_s)
        return Evidence(known.per_s, *newer)
    if known.per_s is None or found.per_s is None:
        return known if found.per_s is None else found
    return min(known, found, key=lambda item: item.per_s or 0.0)


class RequestRates:
    """The evidence on the rates of all targets, by scope."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._reported_s: dict[TargetStart, float] = {}
        self._evidence: dict[Scope, dict[TargetStart, Evidence]] = {scope: {} for scope in Scope}

    def limit(self, start: TargetStart) -> float | None:
        """Return the rate to which a target limits its callers now, None if it does not."""
        evidence = self._evidence[Scope.FLEET].get(start)
        return None if evidence is None else evidence.per_s

    @property
    def any_known(self) -> bool:
        """Whether any target has, or recently had, a limit."""
        return bool(self._evidence[Scope.FLEET])

    def limited(self) -> dict[TargetStart, float]:
        """Return all targets with a limit."""
        items = self._evidence[Scope.FLEET].items()
        return {start: item.per_s for start, item in items if item.per_s is not None}

    def unreported_s(self, start: TargetStart, now_s: float) -> float:
        """Return for how long no peer has had a response that names a target's limit.

        It counts from when the limit became known here, at the earliest, and is 0 if there are more
        limits than a report has rows.
        """
        if len(self._evidence[Scope.FLEET]) > MAX_ROWS:
            return 0.0
        return now_s - self._reported_s.get(start, now_s)

    def on_response(
        self, start: TargetStart, rate: RequestRate, sent_at_s: float, now_s: float
    ) -> list[Log]:
        """Record what a response to a request of this entry shows."""
        if rate.malformed:
            self._counters.add("request_rates", "malformed")
            return [Log(LogEvent.RATE_MALFORMED, (("target", start.target_id),))]
        return self._note(start, Evidence(rate.per_s, sent_at_s, now_s), Scope.LOCAL, "response")

    def on_report(self, rows: Iterable[RateRow], scope: Scope, now_s: float) -> list[Log]:
        """Record a peer's report, which was sent an unknown time ago."""
        logs: list[Log] = []
        for row in rows:
            at_s = now_s - row.age_s
            evidence = Evidence(row.per_s, at_s - REPORT_DELAY_S, at_s)
            start = TargetStart(row.target, row.started_ms)
            logs += self._note(start, evidence, scope, "peer")
            if start in self._reported_s:
                self._reported_s[start] = max(self._reported_s[start], at_s)
        return logs

    def _note(self, start: TargetStart, found: Evidence, scope: Scope, source: str) -> list[Log]:
        before = self.limit(start)
        # That a target names no limit matters only if it has named one.
        tracked = found.per_s is not None or start in self._evidence[Scope.FLEET]
        for wider in Scope if tracked else ():
            if wider >= scope:
                known = self._evidence[wider].get(start)
                self._evidence[wider][start] = found if known is None else merge(known, found)
        after = self.limit(start)
        if after == before:
            return []
        if before is None:
            self._reported_s[start] = found.until_s
        elif after is None:
            del self._reported_s[start]
        fields = (("target", start.target_id), ("source", source), ("before", before or 0.0))
        if after is None:
            self._counters.add("request_rates", "ended")
            return [Log(LogEvent.RATE_ENDED, fields)]
        self._counters.add("request_rates", "named")
        return [Log(LogEvent.RATE_NAMED, (*fields, ("per_s", after)))]

    def report(self, scope: Scope, now_s: float) -> tuple[RateRow, ...]:
        """Return the rows of a report to peers, by evidence of a scope.

        The age of a limit counts from the response, that of its end from the request: neither
        makes a limit look older, or its end more recent, than it can be.
        """
        items = self._evidence[scope].items()
        rows = [
            RateRow(
                start.target_id,
                start.started_ms,
                item.per_s,
                round(now_s - (item.from_s if item.per_s is None else item.until_s), 3),
            )
            for start, item in items
        ]
        return tuple(heapq.nsmallest(MAX_ROWS, rows, key=lambda row: (row.age_s, row.target)))

    def expire(self, registered: Container[TargetStart], now_s: float) -> None:
        """Drop limits that ended long ago, and those of targets that are gone."""
        for scope, known in self._evidence.items():
            self._evidence[scope] = {
                start: item
                for start, item in known.items()
                if now_s - item.until_s
                < (ENDED_KEPT_S if item.per_s is None else UNREGISTERED_KEPT_S)
                or (item.per_s is not None and start in registered)
            }
        for start in [item for item in self._reported_s if self.limit(item) is None]:
            del self._reported_s[start]
