"""Applies observed configurations, and confirms the one in force as the newest."""

from typing import TypeAlias

from filbertstream.actions import Log
from filbertstream.gateway_events import ConfigurationObserved, StopProcess
from filbertstream.log_events import LogEvent
from filbertstream.process.cache_stores import CacheStores
from filbertstream.process.roster import Roster
from filbertstream.process.store_recovery import OLDER_ACCEPTED_AFTER_S, StoreRecovery
from filbertstream.request.authorization import Authorizer
from filbertstream.version.config_freshness import ConfigFreshness
from filbertstream.version.routes import Configuration

Action: TypeAlias = Log | StopProcess


class ConfigObserver:
    """Follows the configuration for the entry ``name``.

    After a restore the object store may show an older configuration than that in force, until what
    operators wrote is there again.  The one in force stays then, but nothing confirms it.  If the
    older one is still there after ``OLDER_ACCEPTED_AFTER_S``, the operators have gone back to it.
    """

    def __init__(
        self,
        name: str,
        authorizer: Authorizer,
        freshness: ConfigFreshness,
        stores: CacheStores,
        roster: Roster,
        recovery: StoreRecovery,
    ) -> None:
        self._name = name
        self._authorizer = authorizer
        self._freshness = freshness
        self._stores = stores
        self._roster = roster
        self._recovery = recovery
        self._older: Configuration | None = None

    def on_configuration(self, event: ConfigurationObserved, now_s: float) -> list[Action]:
        """Apply an observed configuration, None if it has not changed."""
        restored_for_s = self._recovery.restored_for_s(now_s)
        logs: list[Action] = []
        if event.config is not None:
            logs += self._note_older(event.config, restored_for_s)
        config = event.config
        if self._older is not None:
            if restored_for_s < OLDER_ACCEPTED_AFTER_S:
                return logs
            config, self._older = self._older, None
            self._authorizer.replace(config)
        elif config is None or not self._authorizer.apply(config):
            return [*logs, *self._confirm(event.sent_at_s, now_s)]
        applied = self._apply(config, round(now_s - event.sent_at_s, 3))
        return [*logs, *self._confirm(event.sent_at_s, now_s), *applied]

    def _confirm(self, sent_at_s: float, now_s: float) -> list[Log]:
        """Confirm the configuration in force, and log the first confirmation after a restore."""
        config = self._authorizer.config
        if not self._freshness.confirm(sent_at_s) or config is None:
            return []
        after_s = round(self._recovery.restored_for_s(now_s), 3)
        fields = (
            ("version", config.version.number),
            ("after_s", after_s),
            ("age_s", round(now_s - sent_at_s, 3)),
        )
        return [Log(LogEvent.REVISION_CONFIRMED, fields)]

    def _note_older(self, config: Configuration, restored_for_s: float) -> list[Log]:
        """Log that the object store shows an older configuration than that in force."""
        in_force = self._authorizer.config
        if in_force is None or not self._authorizer.is_older(config):
            self._older = None
            return []
        if restored_for_s < OLDER_ACCEPTED_AFTER_S:
            self._older = config
        versions = (("version", config.version.number), ("in_force", in_force.version.number))
        return [Log(LogEvent.REVISION_OUTDATED, versions)]

    def _apply(self, config: Configuration, age_s: float) -> list[Action]:
        stores = [(item.name, item.store) for item in config.services.values() if item.store]
        self._stores.configure(stores)
        self._roster.drained = config.drained
        fields = (
            ("version", config.version.number),
            ("routes", len(config.routes)),
            ("workspaces", len(set(config.workspaces.values()))),
            ("age_s", age_s),
        )
        log = Log(LogEvent.REVISION_IN_FORCE, fields)
        return [log, StopProcess()] if self._name in config.drained else [log]
