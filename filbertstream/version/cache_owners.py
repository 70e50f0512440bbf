"""Owners of the namespaces of cached blocks, by the configuration in force.

A dedicated workspace owns a namespace of its own.  The other workspaces share one, whose owner is
derived from the names of all dedicated workspaces.  Nothing tells which workspace a block in the
shared namespace comes from, so a workspace that becomes dedicated leaves blocks there that nobody
else may use.  As the shared namespace changes with the set of dedicated workspaces, it never holds
a block of any of them, on any entry and after any restart.

The price is that the shared blocks are prefilled again after such a change.

An entry whose configuration may be outdated can't tell which workspaces are dedicated by now.
Until it is confirmed again, each workspace has its own namespace there, and anonymous calls have
another.
"""

from collections.abc import Callable
from typing import Final

from filbertstream.names import DIGEST_BYTES, digest_text
from filbertstream.version.routes import Configuration, Workspace

SHARED_BY_ALL: Final = ""
"""The owner of the shared namespace while no workspace is dedicated."""


ANONYMOUS: Final = digest_text("anonymous")
"""The owner of the namespace of anonymous calls under an outdated configuration."""


def own_owner(name: str) -> str:
    """Return the owner of the namespace of one workspace, which equals no other owner.

    It is the name, unless that could be read as the owner of a shared namespace.

    >>> own_owner("a")
    'a'
    >>> own_owner("") == SHARED_BY_ALL
    False
    """
    may_be_shared = name == SHARED_BY_ALL or len(name) == 2 * DIGEST_BYTES
    return digest_text("workspace", name) if may_be_shared else name


def shared_owner(dedicated: frozenset[str]) -> str:
    """Return the owner of the shared namespace, given the names of all dedicated workspaces.

    >>> shared_owner(frozenset())
    ''
    >>> shared_owner(frozenset({"a", "b"})) == shared_owner(frozenset({"a"}))
    False
    """
    return digest_text("shared", *sorted(dedicated)) if dedicated else SHARED_BY_ALL


class CacheOwners:
    """The owners under the configuration that ``config`` returns.

    ``is_recent`` tells whether it was confirmed within the bound for removed keys.
    """

    def __init__(
        self, config: Callable[[], Configuration | None], is_recent: Callable[[float], bool]
    ) -> None:
        self._config = config
        self._is_recent = is_recent
        self._dedicated: frozenset[str] = frozenset()
        self._shared = SHARED_BY_ALL

    @property
    def config_number(self) -> int:
        """The version of the configuration in force, -1 without one."""
        config = self._config()
        return -1 if config is None else config.version.number

    def owner_of(self, workspace: Workspace | None, now_s: float) -> str:
        """Return the owner of the namespace for a call of a workspace.

        A call may be sent again under a newer configuration than the one that admitted it.  It gets
        the workspace's own namespace if the workspace is dedicated in either.
        """
        self._refresh()
        recent = self._is_recent(now_s)
        if workspace is None:
            return self._shared if recent else ANONYMOUS
        shares = recent and not workspace.dedicated and workspace.name not in self._dedicated
        return self._shared if shares else own_owner(workspace.name)

    def all(self) -> set[str]:
        """Return the owners of all namespaces in use."""
        self._refresh()
        return {self._shared, *map(own_owner, self._dedicated)}

    def _refresh(self) -> None:
        config = self._config()
        dedicated = frozenset() if config is None else config.dedicated
        if dedicated is not self._dedicated and dedicated != self._dedicated:
            self._dedicated, self._shared = dedicated, shared_owner(dedicated)
