"""The messages that callers and operators read, gathered in one place.

``TITLES`` gives each code of a refusal its title (RFC 9457 problem documents).
"""

from typing import Final

TITLES: Final[dict[str, str]] = {
    "bad_request": "The request can't be read.",
    "malformed_answer": "The target's answer can't be read.",
    "unauthorized": "The bearer key is missing or unknown.",
    "unknown_key": "The bearer key is missing or unknown.",
    "not_permitted": "The workspace's template doesn't permit this.",
    "not_found": "There is no such path, model or service.",
    "no_route": "There is no such path, model or service.",
    "key_required": "This call is not idempotent: send an Idempotency-Key.",
    "key_conflict": "The Idempotency-Key was used for another body.",
    "key_running": "A request with this Idempotency-Key has not ended yet.",
    "outcome_unknown": "A request with this key may have run; its answer is lost.",
    "answer_not_kept": "A request with this key has run; its answer was too large.",
    "too_large": "The body or prompt is larger than permitted.",
    "concurrency": "The workspace has its limit of requests running.",
    "rate": "The workspace is over its rate of requests.",
    "starting": "This entry is not ready yet.",
    "stale": "This entry can't confirm its configuration.",
    "stopping": "This entry is stopping.",
    "no_service": "The service has no targets yet.",
    "no_target": "No target can take the request now.",
    "targets_full": "The targets are full.",
    "overloaded": "The runners have more work than they can do in time.",
    "claims_unavailable": "The claim can't be made durable now.",
    "deadline": "The request was not answered within its deadline.",
    "target_failed": "The target failed and the request can't be repeated.",
    "unavailable": "The platform can't be reached now.",
}

DEFAULT_TITLE_CODE: Final = "target_failed"
"""Causes of broken sends have no title of their own: to a caller they are all alike."""
