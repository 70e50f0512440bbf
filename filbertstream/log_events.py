"""The numbered events of the log; docs/EVENTS.md is generated from here.

Numbers are never reused.  The core asks for an event with ``actions.Log``; the edges write theirs
through ``process.logs``.
"""

import enum
from typing import Final


class LogEvent(enum.IntEnum):
    """Event numbers, grouped by hundreds: process, configuration, request, target, peer, store."""

    ENTRY_STARTED = 100
    ENTRY_STALE = 102
    ENTRY_FRESH = 103
    DRAIN_BEGAN = 104
    ENTRY_CLOSED = 106
    CERTIFICATE_RELOADED = 107
    CERTIFICATE_REJECTED = 108
    SETTINGS_RELOADED = 109
    SETTINGS_REJECTED = 110
    REVISION_IN_FORCE = 200
    REQUEST_FINISHED = 300
    REQUEST_REFUSED = 301
    ATTEMPT_FAILED = 302
    CLAIM_SETTLED = 306
    ANSWER_KEPT = 307
    CALL_PLACED = 308
    SEND_REFUSED = 309
    TARGET_LEAVING = 400
    TARGET_EJECTED = 401
    SWAP_ORDERED = 404
    SWAP_VERIFIED = 405
    PIECES_LOST = 408
    WEIGHTS_NAMED = 409
    SWAP_ANSWERED = 410
    PARTS_FREED = 411
    TARGET_JOINED = 412
    MEMBER_JOINED = 500
    PLATFORM_LOST = 600
    PLATFORM_BACK = 601
    LEASE_TAKEN = 602
    LEASE_LOST = 603
    VIEW_RELAYED = 604
    VIEW_DIRECT = 605
    RELAY_CHANGED = 606


DESCRIPTIONS: Final[dict[LogEvent, str]] = {
    LogEvent.ENTRY_STARTED: "An entry process listens and begins to read its configuration.",
    LogEvent.ENTRY_STALE: "The configuration was not confirmed for long; work may be refused.",
    LogEvent.ENTRY_FRESH: "The configuration is confirmed again; work is taken.",
    LogEvent.DRAIN_BEGAN: "A planned stop began; no new work is taken.",
    LogEvent.ENTRY_CLOSED: "The entry closed its listeners and ends.",
    LogEvent.CERTIFICATE_RELOADED: "A changed certificate file is in use for new connections.",
    LogEvent.CERTIFICATE_REJECTED: "A changed certificate file can't be used; the old one stays.",
    LogEvent.SETTINGS_RELOADED: "Changed settings were read; their bounds are in force.",
    LogEvent.SETTINGS_REJECTED: "Changed settings can't be used; those before stay in force.",
    LogEvent.REVISION_IN_FORCE: "A revision of the configuration is in force on this entry.",
    LogEvent.REQUEST_FINISHED: "A request ended; its outcome says how.",
    LogEvent.REQUEST_REFUSED: "A caller got a final refusal or error.",
    LogEvent.ATTEMPT_FAILED: "An attempt at a target ended without a whole answer.",
    LogEvent.CLAIM_SETTLED: "The claim of an idempotency key was answered; ours: the call may run.",
    LogEvent.ANSWER_KEPT: "A repeat was answered from the kept outcome of the first run.",
    LogEvent.CALL_PLACED: "A call is sent to a target; what the choice was made on.",
    LogEvent.SEND_REFUSED: "A target says that it did not run a request; -1: weights not told.",
    LogEvent.TARGET_LEAVING: "A target is going away and gets no new work.",
    LogEvent.TARGET_EJECTED: "A target failed repeatedly and is out for a time.",
    LogEvent.SWAP_ORDERED: "A runner without work was ordered to load a weight version.",
    LogEvent.SWAP_VERIFIED: "A runner's own answer shows the ordered weight version.",
    LogEvent.PIECES_LOST: "A holder of pieces of cache is gone or lost them.",
    LogEvent.WEIGHTS_NAMED: "A newer weight version of a model is to be loaded by its runners.",
    LogEvent.SWAP_ANSWERED: "A runner answered an order; -1 stands for no answer.",
    LogEvent.PARTS_FREED: "A store is told to free parts that no current weights have made.",
    LogEvent.TARGET_JOINED: "A target has registered, or one that had lapsed is back.",
    LogEvent.MEMBER_JOINED: "Other entries have registered; the first of them by name.",
    LogEvent.PLATFORM_LOST: "A call to the platform's object API failed.",
    LogEvent.PLATFORM_BACK: "The platform's object API answers again.",
    LogEvent.LEASE_TAKEN: "This entry holds a duty's lease.",
    LogEvent.LEASE_LOST: "This entry no longer holds a duty's lease.",
    LogEvent.VIEW_RELAYED: "Another entry's word is recent enough; this one follows no objects.",
    LogEvent.VIEW_DIRECT: "No entry's word is recent enough; this one reads the object API itself.",
    LogEvent.RELAY_CHANGED: "Another entry is asked from now on; the one before was passed over.",
}


def catalogue_page() -> str:
    """Return docs/EVENTS.md."""
    rows = [f"| {item.value} | `{item.name.lower()}` | {DESCRIPTIONS[item]} |" for item in LogEvent]
    head = [
        "# Log events",
        "",
        "Generated from `filbertstream/log_events.py`; `scripts/test` fails when they differ.",
        "Each line of the log is JSON with `number`, `event`, `time`, `entry` and the event's own",
        "fields. No line carries prompts, answers or keys.",
        "",
        "| number | event | meaning |",
        "|---|---|---|",
    ]
    return "\n".join([*head, *rows, ""])
