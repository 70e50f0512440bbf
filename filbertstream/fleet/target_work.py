"""The outstanding work of a target in seconds: what it has been sent and has not done yet.

There is one estimate for each target, made of three sources that don't overlap:

- This entry's own requests, each with its expected work less what has been done of it since.
- The requests of all other entries.  Two sources estimate the same number, so they are averaged and
  never added: the target's own report, less what this entry had there at that time, and the sum of
  the peers' reports.  The target's report counts in full when it is new, and half at the age at
  which half of the reported requests have ended.
- The target's speed: observed times of prefill, tokens and calls (slow but reliable), and the
  slowness that it reports (``process.reported_slowness``).

Load patterns handled: large and small requests at once (a count of requests hides their size);
peers that say nothing or have died (their reports expire, own work remains); a report that was lost
(the one before loses its weight); a target that restarts (it gets a new state); estimates that are
wrong by a factor of 4 (a request that outlasts its estimate keeps a part of it as remaining work,
and other requests count with the typical size).
"""

from typing import Final, NamedTuple

from filbertstream.process.peer_work import WorkTotals
from filbertstream.request.call import TargetLoad
from filbertstream.request.work_estimate import WorkEstimate

INITIAL_TOKEN_S: Final = 0.025
INITIAL_OUTPUT_TOKENS: Final = 64.0
INITIAL_SERVICE_S: Final = 0.05
"""Values that are assumed before any observation."""

OBSERVED_WEIGHT: Final = 0.1
"""Weight of a new observation in a moving average, as for the prefill rate."""

MAX_FACTOR: Final = 8.0
"""Largest factor between an observed duration and the expected one; the tail of a route's durations
says nothing about the target."""

REMAINING_FRACTION: Final = 0.25
"""The fraction of a request's expected work that always remains until it has ended."""

HALF_DONE_FRACTION: Final = 0.5
"""The fraction of its work that a request of unknown age has left on average."""

MIN_HALF_AGE_S: Final = 0.05
"""Smallest age at which a target's report counts half: about the time in which peers' reports of
the same requests arrive."""


class TypicalWork:
    """The average work of this entry's requests to a service, which stands for other entries'."""

    def __init__(self) -> None:
        self.output_tokens = INITIAL_OUTPUT_TOKENS
        self.service_s = INITIAL_SERVICE_S
        self.token_s = INITIAL_TOKEN_S

    def note(self, estimate: WorkEstimate) -> None:
        """Record a request that is sent."""
        if estimate.output_tokens:
            self.output_tokens += OBSERVED_WEIGHT * (estimate.output_tokens - self.output_tokens)
        else:
            self.service_s += OBSERVED_WEIGHT * (estimate.service_s - self.service_s)


class OutstandingWork(NamedTuple):
    """The outstanding work of a target at one time.

    ``prefill_s`` is the time until all queued prompts are prefilled, and ``slot_s`` the time for
    which the requests that run there still occupy each slot, on average over the slots.  ``runs``
    is the number of requests, ``age_s`` the age of the target's report, None without one.
    ``full_s`` is what ``slot_s`` would be with a typical request in each slot at usual speed.
    """

    prefill_s: float
    slot_s: float
    runs: float
    slots: int
    age_s: float | None
    full_s: float

    @property
    def slot_wait_s(self) -> float:
        """The time until a slot is free for a further request."""
        excess = self.runs - self.slots + 1.0
        return self.slot_s * excess / self.runs if excess > 0.0 and self.runs > 0.0 else 0.0


class _SentWork:
    __slots__ = ("began_at_s", "estimate", "sent_at_s")

    def __init__(self, estimate: WorkEstimate, sent_at_s: float) -> None:
        self.estimate = estimate
        self.sent_at_s = sent_at_s
        self.began_at_s: float | None = None


class TargetWork:
    """This entry's requests at one start of a target, and the target's observed speed."""

    def __init__(self, typical: TypicalWork) -> None:
        self.typical = typical
        self.duration_factor = 1.0
        self._token_s: float | None = None
        self._sent: dict[int, _SentWork] = {}
        self._others_at_load = 0.0

    @property
    def token_s(self) -> float:
        """The time between output tokens at the usual speed of the target."""
        return self.typical.token_s if self._token_s is None else self._token_s

    def sent(self, call_id: int, estimate: WorkEstimate, now_s: float) -> None:
        """Add a request of this entry."""
        self._sent[call_id] = _SentWork(estimate, now_s)
        self.typical.note(estimate)

    def began(self, call_id: int, now_s: float) -> None:
        """Record that the response to a prompt has begun."""
        sent = self._sent.get(call_id)
        if sent is not None and sent.began_at_s is None:
            sent.began_at_s = now_s

    def begun_at_s(self, call_id: int) -> float | None:
        """Return when the response to a prompt began, None if it hasn't."""
        sent = self._sent.get(call_id)
        return None if sent is None else sent.began_at_s

    def ended(self, call_id: int) -> None:
        """Remove a request, whatever its outcome."""
        self._sent.pop(call_id, None)

    def note_load(self, load: TargetLoad, outstanding: int) -> None:
        """Record how many requests other entries have, given how many this entry has there."""
        self._others_at_load = float(max(0, load.running + load.waiting - outstanding))

    def note_token_time(self, seconds: float, slowness: float) -> None:
        """Record the observed time between output tokens."""
        usual_s = seconds / slowness
        self._token_s = self.token_s + OBSERVED_WEIGHT * (usual_s - self.token_s)
        self.typical.token_s += OBSERVED_WEIGHT * (usual_s - self.typical.token_s)

    def note_duration(self, seconds: float, expected_s: float, slowness: float) -> None:
        """Record how long a call took that was expected to take a time at a usual target."""
        factor = min(MAX_FACTOR, max(1.0 / MAX_FACTOR, seconds / slowness / expected_s))
        self.duration_factor += OBSERVED_WEIGHT * (factor - self.duration_factor)

    def _others(self, peers: WorkTotals, load_age_s: float | None, typical_s: float) -> float:
        """Return the number of requests that other entries have at the target."""
        if load_age_s is None:
            return float(peers.runs)
        half_age_s = max(MIN_HALF_AGE_S, HALF_DONE_FRACTION * typical_s)
        weight = half_age_s / (half_age_s + max(0.0, load_age_s))
        return weight * self._others_at_load + (1.0 - weight) * peers.runs

    def _remaining_s(self, now_s: float, slowness: float) -> float:
        """Return the seconds for which this entry's requests still occupy slots."""
        total_s = 0.0
        for sent in self._sent.values():
            estimate = sent.estimate
            if estimate.output_tokens:
                expected_s = estimate.output_tokens * self.token_s * slowness
                since_s = now_s if sent.began_at_s is None else sent.began_at_s
            else:
                expected_s = estimate.service_s * self.duration_factor * slowness
                since_s = sent.sent_at_s
            total_s += max(expected_s - (now_s - since_s), REMAINING_FRACTION * expected_s)
        return total_s

    def outstanding(
        self,
        is_runner: bool,
        queued_s: float,
        own_runs: int,
        peers: WorkTotals,
        slots: int,
        load_age_s: float | None,
        slowness: float,
        now_s: float,
    ) -> OutstandingWork:
        """Return the outstanding work; ``queued_s`` is the time to prefill all queued prompts.

        ``own_runs`` counts this entry's requests; those without an estimate count as typical ones.
        """
        typical = self.typical
        if is_runner:
            typical_s = typical.output_tokens * self.token_s * slowness
        else:
            typical_s = typical.service_s * self.duration_factor * slowness
        others = self._others(peers, load_age_s, typical_s) + max(0, own_runs - len(self._sent))
        busy_s = self._remaining_s(now_s, slowness) + others * HALF_DONE_FRACTION * typical_s
        slots = max(1, slots)
        return OutstandingWork(
            queued_s,
            busy_s / slots,
            len(self._sent) + others,
            slots,
            load_age_s,
            HALF_DONE_FRACTION * typical_s / slowness,
        )
