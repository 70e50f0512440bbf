"""Outlier detection: ejects targets that keep failing, and returns them to service gradually.

A target is ejected after ``FAILURES_TO_EJECT`` consecutive failures, for a time that doubles with
each ejection up to ``EJECT_MAX_S``.  After that time it is probed with one request at a time, and a
success returns it to service.  At most ``MAX_EJECTED_FRACTION`` of the known targets are ejected at
once: if most targets fail, the cause is likely elsewhere, and rejecting all would be worse.
"""

from typing import Final, NamedTuple

FAILURES_TO_EJECT: Final = 3
EJECT_S: Final = 2.0
EJECT_MAX_S: Final = 60.0
MAX_EJECTED_FRACTION: Final = 0.5


class _Record(NamedTuple):
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")
    probing: bool = False


class OutlierDetector:
    """Consecutive failures and ejections by target."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def is_ejected(self, name: str, now_s: float) -> bool:
        """Whether a target gets no new work now: it is ejected, or being probed."""
        record = self._records.get(name)
        if record is None or record.ejections == 0:
            return False
        return now_s < record.ejected_until_s or record.probing

    def sent(self, name: str, now_s: float) -> None:
        """Record a send to a target; the first one after an ejection is the probe."""
        record = self._records.get(name)
        if record is not None and record.ejections and now_s >= record.ejected_until_s:
            self._records[name] = record._replace(probing=True)

    def succeeded(self, name: str) -> None:
        """Record a complete response, which returns the target to service."""
        self._records.pop(name, None)

    def probe_inconclusive(self, name: str) -> None:
        """Record that a probe ended without evidence for or against the target."""
        record = self._records.get(name)
        if record is not None:
            self._records[name] = record._replace(probing=False)

    def failed(self, name: str, known: int, now_s: float) -> bool:
        """Record a failure; return whether it ejects the target.

        ``known`` is the number of known targets.
        """
        record = self._records.get(name, _Record())
        failures = record.failures + 1
        probe_failed = record.probing
        if failures < FAILURES_TO_EJECT and not probe_failed:
            self._records[name] = record._replace(failures=failures, probing=False)
            return False
        if not self._may_eject(known, now_s):
            self._records[name] = record._replace(failures=failures, probing=False)
            return False
        ejection_s = min(EJECT_MAX_S, EJECT_S * 2.0**record.ejections)
        self._records[name] = _Record(0, record.ejections + 1, now_s + ejection_s)
        return True

    def ejected(self, now_s: float) -> tuple[str, ...]:
        """Return the names of the targets that are ejected or being probed."""
        return tuple(sorted(name for name in self._records if self.is_ejected(name, now_s)))

    def _may_eject(self, known: int, now_s: float) -> bool:
        return len(self.ejected(now_s)) + 1 <= MAX_EJECTED_FRACTION * known
