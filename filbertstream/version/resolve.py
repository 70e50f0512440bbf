"""What a workspace may do: its template merged with its parameters.

``DocumentSet`` holds the documents of one revision and checks that a change doesn't contradict them.
"""

from collections import ChainMap
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from filbertstream.version.documents import (
    Change,
    Document,
    Limits,
    Objectives,
    Parameters,
    Removal,
    Template,
    Workspace,
)

TARGET_KINDS: Final = ("model", "service", "store")
"""Kinds whose names are those of target groups, which targets register under."""


class DocumentId(NamedTuple):
    """Kind and name of a document."""

    kind: str
    name: str


class Grant(NamedTuple):
    """The resolved rights and objectives of a workspace."""

    workspace: str
    models: frozenset[str]
    services: frozenset[str]
    priority: int
    limits: Limits
    objectives: Objectives


class DocumentSet:
    """The documents of the revision in force and what follows from them."""

    def __init__(self) -> None:
        self.documents: dict[DocumentId, Document] = {}
        self.grants: dict[str, Grant] = {}
        self.keys: dict[str, str] = {}
        self._users: dict[str, set[str]] = {}

    def grant_for_key(self, digest: str) -> Grant | None:
        """Return the grant of the workspace that owns a key digest.

        The lookup is by digest: its time tells nothing of the key, which the digest hides.
        """
        workspace = self.keys.get(digest)
        return None if workspace is None else self.grants.get(workspace)

    def put(self, change: Change) -> None:
        """Bring one change into force."""
        if isinstance(change, Removal):
            self._remove(DocumentId(change.of, change.name))
            return
        doc_id = DocumentId(change.kind, change.name)
        if isinstance(change, Workspace):
            self._remove(doc_id)
            self._users.setdefault(change.template, set()).add(change.name)
        self.documents[doc_id] = change
        for workspace in self._touched(change):
            self._resolve(workspace)

    def _touched(self, change: Document) -> list[str]:
        if isinstance(change, Workspace):
            return [change.name]
        if isinstance(change, Template):
            return sorted(self._users.get(change.name, ()))
        return []

    def _remove(self, doc_id: DocumentId) -> None:
        document = self.documents.pop(doc_id, None)
        if isinstance(document, Workspace):
            self._users[document.template].discard(document.name)
            self.grants.pop(document.name, None)
            for digest in document.keys:
                self.keys.pop(digest, None)

    def _resolve(self, name: str) -> None:
        workspace = self.documents.get(DocumentId("workspace", name))
        if not isinstance(workspace, Workspace):
            return
        template = self.documents.get(DocumentId("template", workspace.template))
        if not isinstance(template, Template):
            self.grants.pop(name, None)
            return
        self.grants[name] = merge(template, workspace)
        self.keys.update(dict.fromkeys(workspace.keys, name))

    def find_conflicts(self, changes: list[Change]) -> list[str]:
        """Return what would contradict itself with the changes in force, a sentence each."""
        overlay: dict[DocumentId, Document] = {}
        gone: set[DocumentId] = set()
        for change in changes:
            if isinstance(change, Removal):
                gone.add(DocumentId(change.of, change.name))
            else:
                overlay[DocumentId(change.kind, change.name)] = change
        after = ChainMap(overlay, self.documents)
        faults = _shared_names(overlay, after, gone)
        owners: dict[str, str] = {}
        for name in self._concerned(changes):
            workspace = after.get(DocumentId("workspace", name))
            if isinstance(workspace, Workspace) and DocumentId("workspace", name) not in gone:
                faults += self._faults_of_workspace(workspace, after, gone, owners)
        return faults

    def _concerned(self, changes: list[Change]) -> list[str]:
        names: set[str] = set()
        for change in changes:
            kind = change.of if isinstance(change, Removal) else change.kind
            if kind == "workspace":
                names.add(change.name)
            if kind == "template":
                names |= self._users.get(change.name, set())
        return sorted(names)

    def _faults_of_workspace(
        self,
        workspace: Workspace,
        after: Mapping[DocumentId, Document],
        gone: set[DocumentId],
        owners: dict[str, str],
    ) -> list[str]:
        """Return a workspace's faults; ``owners`` are the keys of the same change's workspaces."""
        template_id = DocumentId("template", workspace.template)
        template = after.get(template_id)
        if not isinstance(template, Template) or template_id in gone:
            return [f"workspace {workspace.name}: no template {workspace.template}"]
        faults = _closed_fields(template, workspace)
        for digest in workspace.keys:
            owner = owners.setdefault(digest, self.keys.get(digest, workspace.name))
            if owner != workspace.name:
                faults.append(f"workspace {workspace.name}: a key that another workspace has")
        return faults


def _shared_names(
    overlay: Mapping[DocumentId, Document],
    after: Mapping[DocumentId, Document],
    gone: set[DocumentId],
) -> list[str]:
    """Return a fault for each name that two kinds of targets would have."""
    faults = []
    for kind, name in overlay:
        others = [] if kind not in TARGET_KINDS else [k for k in TARGET_KINDS if k != kind]
        for other in others:
            other_id = DocumentId(other, name)
            # Where both are new, the one of the later kind is at fault.
            is_first = other_id in overlay and TARGET_KINDS.index(kind) < TARGET_KINDS.index(other)
            if other_id in after and other_id not in gone and not is_first:
                faults.append(f"{kind} {name}: a {other} has this name")
    return faults


def merge(template: Template, workspace: Workspace) -> Grant:
    """Return a workspace's grant; parameters count only for fields that the template opens."""
    given: dict[str, Any] = {name: getattr(workspace.parameters, name) for name in template.open}
    chosen = {
        name: template_value if given.get(name) is None else given[name]
        for name, template_value in template._asdict().items()
    }
    return Grant(
        workspace=workspace.name,
        models=frozenset(chosen["models"]),
        services=frozenset(chosen["services"]),
        priority=chosen["priority"],
        limits=chosen["limits"],
        objectives=chosen["objectives"],
    )


def _closed_fields(template: Template, workspace: Workspace) -> list[str]:
    """Return a fault for each parameter that the template doesn't leave open."""
    parameters = workspace.parameters
    given = [name for name in Parameters._fields if getattr(parameters, name) is not None]
    closed = [name for name in given if name not in template.open]
    return [f"workspace {workspace.name}: {template.name} doesn't open {name}" for name in closed]
