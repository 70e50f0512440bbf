"""The messages that callers and operators read, gathered in one place.

``PROBLEMS`` gives each refusal its HTTP status and title (RFC 9457 problem documents).
"""

from typing import Final, NamedTuple


class Problem(NamedTuple):
    """HTTP status and title of a refusal."""

    status: int
    title: str


PROBLEMS: Final[dict[str, Problem]] = {
    "bad_request": Problem(400, "The request can't be read."),
    "unauthorized": Problem(401, "The bearer key is missing or unknown."),
    "not_permitted": Problem(403, "The workspace's template doesn't permit this."),
    "not_found": Problem(404, "There is no such path, model or service."),
    "key_required": Problem(400, "This call is not idempotent: send an Idempotency-Key."),
    "key_conflict": Problem(422, "The Idempotency-Key was used for another body."),
    "key_running": Problem(409, "A request with this Idempotency-Key has not ended yet."),
    "outcome_unknown": Problem(409, "A request with this key may have run; its answer is lost."),
    "answer_not_kept": Problem(409, "A request with this key has run; its answer was too large."),
    "too_large": Problem(413, "The body or prompt is larger than permitted."),
    "concurrency": Problem(429, "The workspace has its limit of requests running."),
    "rate": Problem(429, "The workspace is over its rate of requests."),
    "starting": Problem(503, "This entry is not ready yet."),
    "stale": Problem(503, "This entry can't confirm its configuration."),
    "draining": Problem(503, "This entry is stopping."),
    "no_target": Problem(503, "No target can take the request now."),
    "claims_unavailable": Problem(503, "The claim can't be made durable now."),
    "deadline": Problem(503, "The deadline can't be met."),
    "target_failed": Problem(502, "The target failed and the request can't be retried."),
    "target_timeout": Problem(504, "The target made no progress in time."),
}
