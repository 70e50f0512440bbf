"""The messages that callers and operators read.

``TITLES`` maps the code of a refusal to the title of its problem document (RFC 9457).
"""

from typing import Final

TITLES: Final[dict[str, str]] = {
    "bad_request": "The request is malformed.",
    "malformed_answer": "The target's response is malformed.",
    "unauthorized": "The bearer key is missing or unknown.",
    "unknown_key": "The bearer key is missing or unknown.",
    "not_permitted": "The workspace's template doesn't permit this.",
    "not_found": "There is no such path, model or service.",
    "no_route": "There is no such path, model or service.",
    "key_required": "This call is not idempotent: send an Idempotency-Key.",
    "key_conflict": "The Idempotency-Key was used with a different body.",
    "key_running": "A request with this Idempotency-Key has not ended yet.",
    "outcome_unknown": "A request with this key may have run; its response is lost.",
    "answer_not_kept": "A request with this key has run; its response was too large to store.",
    "too_large": "The body or prompt is larger than permitted.",
    "concurrency": "The workspace has reached its limit of concurrent requests.",
    "rate": "The workspace has exceeded its request rate.",
    "starting": "This entry is not ready yet.",
    "stale": "This entry can't confirm that its configuration is current.",
    "stopping": "This entry is stopping.",
    "no_service": "The service has no targets yet.",
    "no_target": "No target can take the request now.",
    "targets_paused": "All targets want no requests for a time.",
    "evacuated": "The data centers of all targets are evacuated.",
    "region_not_allowed": "No target is in a region that is allowed for the request.",
    "targets_full": "The targets have no capacity left.",
    "overloaded": "The runners can't serve the request in time; load is being shed.",
    "rate_limited": "The targets limit their request rate, and no request is left for this call.",
    "targets_cold": "Targets have just started, and no request is left for this call.",
    "claims_unavailable": "The Idempotency-Key can't be claimed durably now.",
    "quarantined": "A part of the prompt crashes runners; it is not sent to them any more.",
    "suspected": "A part of the prompt may crash runners, which is being found out.",
    "target_crashed": "The target crashed, and the request may have caused it.",
    "deadline": "The request exceeded its deadline.",
    "target_failed": "The target failed and the request can't be retried.",
    "unavailable": "The platform can't be reached now.",
}

DEFAULT_TITLE_CODE: Final = "target_failed"
"""The code whose title is used for codes without one, such as causes of failed sends.

To a caller, these causes are all alike.
"""
