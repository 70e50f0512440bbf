"""Takes targets that keep failing out of use, and lets them back in slowly.

A target is out after ``FAILURES_TO_EJECT`` failures in a row, for a time that doubles with each
ejection up to a bound.  Once the time is over a single request at a time tries it; a success lets
it back.  At most ``MAX_OUT_SHARE`` of the known targets are out at once: when most fail, the cause
is likely not in them, and refusing all would be worse.
"""

from typing import Final, NamedTuple

FAILURES_TO_EJECT: Final = 3
EJECT_S: Final = 2.0
EJECT_MAX_S: Final = 60.0
MAX_OUT_SHARE: Final = 0.5


class _Record(NamedTuple):
    failures: int = 0
    ejections: int = 0
    out_until_s: float = float("-inf")
    probing: bool = False


class Outliers:
    """Failures of targets in a row and who is out because of them."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def is_ejected(self, name: str, now_s: float) -> bool:
        """Whether a target gets no new work now."""
        record = self._records.get(name)
        if record is None or record.ejections == 0:
            return False
        return now_s < record.out_until_s or record.probing

    def sent(self, name: str, now_s: float) -> None:
        """Note that work goes to a target; after an ejection it is the one trial."""
        record = self._records.get(name)
        if record is not None and record.ejections and now_s >= record.out_until_s:
            self._records[name] = record._replace(probing=True)

    def succeeded(self, name: str) -> None:
        """Note a whole answer: the target is back."""
        self._records.pop(name, None)

    def probe_inconclusive(self, name: str) -> None:
        """Note that a trial ended without telling anything of the target."""
        record = self._records.get(name)
        if record is not None:
            self._records[name] = record._replace(probing=False)

    def failed(self, name: str, known: int, now_s: float) -> bool:
        """Note a failure; ``known`` targets are in use.  Return whether it is out from now on."""
        record = self._records.get(name, _Record())
        failures = record.failures + 1
        trial_failed = record.probing
        if failures < FAILURES_TO_EJECT and not trial_failed:
            self._records[name] = record._replace(failures=failures, probing=False)
            return False
        if not self._may_eject(known, now_s):
            self._records[name] = record._replace(failures=failures, probing=False)
            return False
        out_s = min(EJECT_MAX_S, EJECT_S * 2.0**record.ejections)
        self._records[name] = _Record(0, record.ejections + 1, now_s + out_s)
        return True

    def ejected(self, now_s: float) -> tuple[str, ...]:
        """Return the names of the targets that are out."""
        return tuple(sorted(name for name in self._records if self.is_ejected(name, now_s)))

    def _may_eject(self, known: int, now_s: float) -> bool:
        return len(self.ejected(now_s)) + 1 <= MAX_OUT_SHARE * known
