"""The measurements of ``bench.slopes`` for facts: crashes, quarantined blocks, recent keys."""

import random

from filbertstream.fleet.block_responses import RunnerKind
from filbertstream.fleet.crash_evidence import CrashEvidence, SuspectPrompt
from filbertstream.fleet.crash_facts import BegunFacts, CrashFacts
from filbertstream.fleet.crash_trials import CrashTrials
from filbertstream.fleet.crash_verdicts import CrashVerdicts, Verdict
from filbertstream.fleet.facts import encode_rows
from filbertstream.fleet.quarantine import Quarantine
from filbertstream.fleet.scope import Scope
from filbertstream.process.counters import Counters
from filbertstream.process.peer_work import EntryRecord, PeerWork
from filbertstream.process.store_recovery import StoreRecovery
from filbertstream.process.target_registration import TargetStart
from filbertstream.request.call import Prompt, PromptBlock
from filbertstream.request.idempotency_keys import KeyRecord, KeyState
from filbertstream.request.key_journal import KeyJournal

KIND = RunnerKind("models", "guide-7b", 3)
NOW_S = 100.0
WAITING_PROMPTS = 2
BEGUN_PROMPTS = 2
"""Suspect prompts at a crashed runner, beside one that has its head: those that wait for it, and
those whose response has begun."""

SHARED_BLOCKS = 3


def _blocks(number: int) -> tuple[str, ...]:
    return tuple(f"{number:08x}{index:04x}" for index in range(SHARED_BLOCKS))


def _evidence(crashes: int) -> CrashEvidence:
    evidence = CrashEvidence(lambda model, block: False)
    for number in range(crashes):
        prompts = [
            SuspectPrompt(index == 0, _blocks(100 * number + index), index > WAITING_PROMPTS)
            for index in range(1 + WAITING_PROMPTS + BEGUN_PROMPTS)
        ]
        start = TargetStart(f"i-{number:010x}", 1_790_000_000_000 + number)
        evidence.add(start, KIND, prompts, NOW_S - 1.0 - number, NOW_S)
    return evidence


def crashes_bytes(crashes: int) -> float:
    """Measure the crashes in a message, of both kinds of suspect prompts."""
    evidence = _evidence(crashes)
    holders = [CrashFacts(evidence, begun) for begun in (False, True)]
    return float(sum(len(encode_rows(item.rows(Scope.LOCAL, NOW_S))) for item in holders))


def begun_bytes(blocks: int) -> float:
    """Measure as many blocks acquitted by begun responses as by established ones in a message."""
    evidence = _evidence(blocks // SHARED_BLOCKS + 1)
    for number in range(blocks // SHARED_BLOCKS + 1):
        evidence.note_begun(KIND, _blocks(100 * number), NOW_S, NOW_S)
        begun = _blocks(100 * number + WAITING_PROMPTS + 1)
        evidence.note_established(KIND, begun, NOW_S, NOW_S)
    holders = [BegunFacts(evidence, established) for established in (False, True)]
    return float(sum(len(encode_rows(item.rows(Scope.LOCAL, NOW_S)[:blocks])) for item in holders))


def _quarantine(records: int) -> Quarantine:
    quarantine = Quarantine("front-a-1", False, Counters(), random.Random(1))
    for number in range(records):
        crashes = tuple(f"i-{number + index:010x}" for index in range(3))
        quarantine.add(Verdict(KIND.model, f"{number:012x}", crashes), NOW_S)
    return quarantine


def quarantine_bytes(records: int) -> float:
    """Measure the quarantined blocks in a message."""
    return float(len(encode_rows(_quarantine(records).rows(Scope.LOCAL, NOW_S))))


def keys_bytes(records: int) -> float:
    """Measure the recent records of idempotency keys in a message, with responses of 800 bytes."""
    recovery = StoreRecovery("front-a-1", dict)
    journal = KeyJournal("front-a-1", recovery, lambda: 1)
    for number in range(records):
        record = KeyRecord(
            KeyState.STORED,
            f"{number:016x}",
            "f" * 64,
            "front-a-1",
            1,
            200,
            "text/plain",
            b"x" * 800,
        )
        journal.note(f"{number:064x}", record, NOW_S)
    return float(len(encode_rows(journal.rows(Scope.LOCAL, NOW_S))))


def recovery_us(members: int) -> float:
    """Measure the tick of a recovery that waits for its peers."""
    from bench.slopes import time_per_call_us

    records = {f"e{number}": EntryRecord("tcp://x", 1, epoch=1) for number in range(members)}
    recovery = StoreRecovery("e0", lambda: records)
    recovery.on_epoch(1, False, NOW_S)
    recovery.on_epoch(2, False, NOW_S)
    return time_per_call_us(lambda number: recovery.tick(NOW_S), 100)


def verdict_us(crashes: int) -> float:
    """Measure one search for a verdict."""
    from bench.slopes import time_per_call_us

    evidence = _evidence(crashes)
    verdicts = CrashVerdicts(evidence, lambda model, block: False)
    return time_per_call_us(lambda number: verdicts.verdict(NOW_S), 100)


def screen_us(records: int) -> float:
    """Measure the screening of one prompt, with as many quarantined blocks as crashes."""
    from bench.slopes import time_per_call_us

    quarantine, evidence = _quarantine(records), _evidence(records)
    trials = CrashTrials(PeerWork("front-a-1"), evidence, quarantine)
    blocks = tuple(f"sound {index}" for index in range(SHARED_BLOCKS))
    prompt = Prompt(KIND.model, 900, 50, tuple(PromptBlock(item, 300) for item in blocks))

    def screen(number: int) -> None:
        quarantine.refuses(prompt, NOW_S)
        trials.admits(number, KIND.model, blocks, NOW_S)
        evidence.note_begun(KIND, blocks, NOW_S, NOW_S)
        evidence.note_established(KIND, blocks, NOW_S, NOW_S)

    return time_per_call_us(screen, 1_000)
