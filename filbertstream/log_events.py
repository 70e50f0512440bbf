"""The numbered events of the log; docs/EVENTS.md is generated from here.

Numbers are never reused.  The core logs an event by returning ``actions.Log``; the I/O layer writes
to ``process.logs`` directly.
"""

import enum
from typing import Final


class LogEvent(enum.IntEnum):
    """Event numbers by hundreds: process, configuration, request, target, peer, object store."""

    ENTRY_STARTED = 100
    ENTRY_STALE = 102
    ENTRY_FRESH = 103
    DRAIN_BEGAN = 104
    ENTRY_CLOSED = 106
    CERTIFICATE_RELOADED = 107
    CERTIFICATE_REJECTED = 108
    SETTINGS_RELOADED = 109
    SETTINGS_REJECTED = 110
    TASK_FAILED = 111
    ADDRESS_IN_USE = 112
    CALLERS_CLOSED = 113
    LOOP_LATE = 114
    REVISION_IN_FORCE = 200
    REVISION_OUTDATED = 201
    REVISION_CONFIRMED = 202
    REQUEST_FINISHED = 300
    REQUEST_REFUSED = 301
    ATTEMPT_FAILED = 302
    CLAIM_SETTLED = 306
    ANSWER_KEPT = 307
    CALL_PLACED = 308
    SEND_REFUSED = 309
    SEND_UNSENT = 310
    SEND_CANCELLED = 311
    SEND_SET_ASIDE = 312
    SEND_RESUMED = 313
    SEND_REPLACED = 314
    TARGET_LEAVING = 400
    TARGET_EJECTED = 401
    SWAP_ORDERED = 404
    SWAP_VERIFIED = 405
    PIECES_LOST = 408
    WEIGHTS_NAMED = 409
    SWAP_ANSWERED = 410
    PARTS_FREED = 411
    TARGET_JOINED = 412
    RATE_NAMED = 413
    RATE_ENDED = 414
    RATE_MALFORMED = 415
    TARGET_CRASHED = 416
    BLOCK_QUARANTINED = 417
    BLOCK_RELEASED = 418
    TARGET_PAUSED = 419
    TARGET_COLD = 420
    TARGET_WARM = 421
    CRASH_VERDICT = 422
    QUARANTINE_NARROWED = 423
    EVACUATION_BEGAN = 430
    EVACUATION_ENDED = 431
    MEMBER_JOINED = 500
    PEER_TRAFFIC_HIGH = 501
    PLATFORM_LOST = 600
    PLATFORM_BACK = 601
    LEASE_TAKEN = 602
    LEASE_LOST = 603
    VIEW_RELAYED = 604
    VIEW_DIRECT = 605
    RELAY_CHANGED = 606
    WATCH_EXPIRED = 607
    OBSERVATION_OUTDATED = 608
    STORE_EPOCH = 609
    STORE_RESTORED = 610
    RECOVERY_COMPLETE = 611
    RECORD_REWRITTEN = 612


DESCRIPTIONS: Final[dict[LogEvent, str]] = {
    LogEvent.ENTRY_STARTED: "The entry listens and starts to read its configuration.",
    LogEvent.ENTRY_STALE: "The configuration was not confirmed recently; calls may be refused.",
    LogEvent.ENTRY_FRESH: "The configuration is confirmed again; the entry is ready.",
    LogEvent.DRAIN_BEGAN: "The entry started to drain and will stop admitting calls.",
    LogEvent.ENTRY_CLOSED: "The entry closed its listeners and exits.",
    LogEvent.CERTIFICATE_RELOADED: "A changed certificate file is used for new connections.",
    LogEvent.CERTIFICATE_REJECTED: "A changed certificate file is invalid; the old one stays.",
    LogEvent.SETTINGS_RELOADED: "Changed settings were loaded; their bounds now apply.",
    LogEvent.SETTINGS_REJECTED: "Changed settings are invalid; the previous ones still apply.",
    LogEvent.TASK_FAILED: "An unexpected exception failed one call, probe or poll.",
    LogEvent.ADDRESS_IN_USE: "The start waits up to a limit for an address that is in use.",
    LogEvent.CALLERS_CLOSED: "Requests were refused, or connections closed, to make room; why.",
    LogEvent.LOOP_LATE: "The event loop ran a timer late; all that was due waited as long.",
    LogEvent.REVISION_IN_FORCE: "A new revision of the configuration now applies on this entry.",
    LogEvent.REVISION_OUTDATED: "The store shows an older configuration than that in force.",
    LogEvent.REVISION_CONFIRMED: "After a restore, a read counts as proof of the newest revision.",
    LogEvent.REQUEST_FINISHED: "A request ended with the outcome in the line.",
    LogEvent.REQUEST_REFUSED: "A caller received a final refusal or error.",
    LogEvent.ATTEMPT_FAILED: "A send ended early: how far its response was, its prompt's blocks.",
    LogEvent.CLAIM_SETTLED: "An idempotency key's claim was resolved; ours: the call may run.",
    LogEvent.ANSWER_KEPT: "A retry with an idempotency key got the stored response.",
    LogEvent.CALL_PLACED: "A call is sent to a target; the line has the inputs of that choice.",
    LogEvent.SEND_REFUSED: "A target did not run a request; -1: it did not report its weights.",
    LogEvent.SEND_UNSENT: "No byte of a send was written, so the call is sent again.",
    LogEvent.SEND_CANCELLED: "A send was cancelled since its caller left; what was still unsent.",
    LogEvent.SEND_SET_ASIDE: "A send is silent; another one is tried while it goes on.",
    LogEvent.SEND_RESUMED: "A silent send is waited for again; why the other one ended.",
    LogEvent.SEND_REPLACED: "A silent send has ended: another one took over, or it failed.",
    LogEvent.TARGET_LEAVING: "A target is leaving, for the given state, and gets no new calls.",
    LogEvent.TARGET_EJECTED: "A target failed repeatedly and is ejected for a time.",
    LogEvent.SWAP_ORDERED: "A runner was ordered to load a weight version.",
    LogEvent.SWAP_VERIFIED: "A runner's report shows a newer weight version.",
    LogEvent.PIECES_LOST: "A holder of cache blocks restarted and lost them.",
    LogEvent.WEIGHTS_NAMED: "A newer weight version of a model was named for its runners.",
    LogEvent.SWAP_ANSWERED: "A runner responded to an order; -1: no response.",
    LogEvent.PARTS_FREED: "A cache store is requested to free blocks of replaced weights.",
    LogEvent.TARGET_JOINED: "A target registered, possibly again after its registration expired.",
    LogEvent.RATE_NAMED: "A target limits the requests per second from all entries together.",
    LogEvent.RATE_ENDED: "A target does not limit its request rate any more.",
    LogEvent.RATE_MALFORMED: "A target named a request rate that is no number; it is ignored.",
    LogEvent.TARGET_CRASHED: "A runner crashed; the blocks of prompts that may have caused it.",
    LogEvent.BLOCK_QUARANTINED: "Prompts with a block crash runners and are refused from now on.",
    LogEvent.BLOCK_RELEASED: "Prompts with a quarantined block are accepted again.",
    LogEvent.TARGET_PAUSED: "A target wants no calls for the time that it named; it gets none.",
    LogEvent.TARGET_COLD: "A target counts as cold, for the given reason; its calls are limited.",
    LogEvent.TARGET_WARM: "A target no longer counts as cold: its time ended, or it was refuted.",
    LogEvent.CRASH_VERDICT: "The blocks that may have caused crashes, and what is known of each.",
    LogEvent.QUARANTINE_NARROWED: "Fewer blocks than before may be the cause of a quarantine.",
    LogEvent.EVACUATION_BEGAN: "A data center is evacuated; its targets get no requests.",
    LogEvent.EVACUATION_ENDED: "The evacuation of a data center ended; its targets get requests.",
    LogEvent.MEMBER_JOINED: "Peers registered; the line lists the first ones by name.",
    LogEvent.PEER_TRAFFIC_HIGH: "Messages to peers took over half of the VM's link; by type.",
    LogEvent.PLATFORM_LOST: "A call to the platform's object store failed.",
    LogEvent.PLATFORM_BACK: "The platform's object store responds again.",
    LogEvent.LEASE_TAKEN: "This entry took the roll-out lease.",
    LogEvent.LEASE_LOST: "This entry no longer holds the roll-out lease.",
    LogEvent.VIEW_RELAYED: "Updates of relays are recent; watches of the object store stop.",
    LogEvent.VIEW_DIRECT: "Updates of relays are too old; this entry reads the object store.",
    LogEvent.RELAY_CHANGED: "Another relay is polled from now on; the previous one was skipped.",
    LogEvent.WATCH_EXPIRED: "The store does not have the history of a watch; the kind is listed.",
    LogEvent.OBSERVATION_OUTDATED: "A response was older than what is known, and was dropped.",
    LogEvent.STORE_EPOCH: "The object store names an epoch of its history that is new here.",
    LogEvent.STORE_RESTORED: "The store is back from an older copy; what is lost is written again.",
    LogEvent.RECOVERY_COMPLETE: "Keys are claimed and changes accepted again; who did not confirm.",
    LogEvent.RECORD_REWRITTEN: "A record that the restored store lacked was written again.",
}


def catalogue_page() -> str:
    """Return docs/EVENTS.md."""
    rows = [f"| {item.value} | `{item.name.lower()}` | {DESCRIPTIONS[item]} |" for item in LogEvent]
    head = [
        "# Log events",
        "",
        "Generated from `filbertstream/log_events.py`; `scripts/test` fails when they differ.",
        "Each line of the log is JSON with `number`, `event`, `time`, `entry` and the event's own",
        "fields. No line carries prompts, responses or keys.",
        "",
        "| number | event | meaning |",
        "|---|---|---|",
    ]
    return "\n".join([*head, *rows, ""])
