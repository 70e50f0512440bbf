"""The request rates to which targets limit their callers, as named in their responses."""

from filbertstream.actions import Log
from filbertstream.log_events import LogEvent
from filbertstream.process.counters import Counters
from filbertstream.request.call import RequestRate


class RequestRates:
    """The rates that responses to this entry have named, by target."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self.named: dict[str, float] = {}

    def on_response(self, target_id: str, rate: RequestRate) -> list[Log]:
        """Record the rate that a response names; log it if it differs from the last one."""
        if rate.malformed:
            self._counters.add("request_rates", "malformed")
            return [Log(LogEvent.RATE_MALFORMED, (("target", target_id),))]
        before = self.named.get(target_id)
        if rate.per_s == before:
            return []
        if rate.per_s is None:
            del self.named[target_id]
            self._counters.add("request_rates", "ended")
            return [Log(LogEvent.RATE_ENDED, (("target", target_id),))]
        self.named[target_id] = rate.per_s
        self._counters.add("request_rates", "named")
        fields = (("target", target_id), ("per_s", rate.per_s), ("before", before or -1.0))
        return [Log(LogEvent.RATE_NAMED, fields)]

    def limit(self, target_id: str) -> float:
        """Return the rate of a target for a log line, -1 if it has named none."""
        return self.named.get(target_id, -1.0)
