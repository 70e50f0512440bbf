"""Finds out which of the blocks of a contested quarantine record crashes runners.

A verdict on blocks that always came together can't tell which of them was the cause.  Prompts with
all of them are refused; a sound prompt has the cause in none of its blocks, so it has all of them
only if the verdict is wrong.  Prompts with some of them are tried one at a time.  A response that
begins clears the blocks of its prompt; crashes with one block and without another rule out the
other.  The record of the blocks that remain replaces the contested one.

Faults handled: entries that have lost the evidence in a restart.  They know the record from the
object store, and clear blocks by the responses that begin at them since.
"""

from filbertstream.actions import Log
from filbertstream.fleet.crash_evidence import CrashEvidence
from filbertstream.fleet.crash_verdicts import Verdict, excludes
from filbertstream.fleet.quarantine import Contested, Quarantine, QuarantineRecord


class ContestedBlocks:
    """Revises the contested records of a quarantine as evidence arrives."""

    def __init__(self, evidence: CrashEvidence, quarantine: Quarantine) -> None:
        self._evidence = evidence
        self._quarantine = quarantine

    def revise(self, now_s: float) -> list[Log]:
        """Replace the records of which fewer blocks remain as the possible cause."""
        logs: list[Log] = []
        for contested in self._quarantine.contested:
            record = contested.record
            remaining = self._remaining(contested)
            if remaining != record.blocks:
                logs += self._replace(record, remaining, now_s)
        return logs

    def _remaining(self, contested: Contested) -> tuple[str, ...]:
        """Return the blocks of a record that may still be the cause, in the record's order."""
        record = contested.record
        model = record.model
        certain = [block for block in record.rivals if self._quarantine.is_certain(model, block)]
        if certain:
            return tuple(certain)
        crashes = {block: self._evidence.crashes_with(model, block) for block in record.blocks}
        suspected = {
            block: [item for item in found if not self._evidence.is_acquitted(item, block)]
            for block, found in crashes.items()
        }
        uncleared = [
            block
            for block in record.blocks
            if suspected[block] or (not crashes[block] and block not in contested.begun)
        ]
        return tuple(
            block
            for block in uncleared
            if not any(excludes(suspected[other], suspected[block]) for other in uncleared)
        )

    def _replace(
        self, record: QuarantineRecord, remaining: tuple[str, ...], now_s: float
    ) -> list[Log]:
        logs: list[Log] = []
        if remaining:
            first, *rivals = remaining
            known = self._quarantine.rivals_of(record.model, first)
            if known is None or set(rivals) < set(known):
                verdict = Verdict(record.model, first, record.crashes, tuple(rivals))
                logs += self._quarantine.add(verdict, now_s)
        if record.block_id not in remaining:
            logs += self._quarantine.clear(record, now_s)
        return logs
