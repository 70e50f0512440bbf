"""Resolves the rights of each workspace by merging its parameters into its template.

``DocumentSet`` holds the documents of one revision and detects changes that conflict with them.
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
"""Kinds that define a group of targets; targets register under the name of the document."""


class DocumentId(NamedTuple):
    """Kind and name of a document."""

    kind: str
    name: str


class Grant(NamedTuple):
    """The resolved rights, limits and objectives of a workspace."""

    workspace: str
    models: frozenset[str]
    services: frozenset[str]
    priority: int
    limits: Limits
    objectives: Objectives


class DocumentSet:
    """The documents of one revision and the grants that they resolve to."""

    def __init__(self) -> None:
        self.documents: dict[DocumentId, Document] = {}
        self.grants: dict[str, Grant] = {}
        self.keys: dict[str, str] = {}
        self._workspaces_by_template: dict[str, set[str]] = {}

    def grant_for_key(self, digest: str) -> Grant | None:
        """Return the grant of the workspace that owns a key digest.

        The lookup time depends on the digest only, so it leaks nothing about the key.
        """
        workspace = self.keys.get(digest)
        return None if workspace is None else self.grants.get(workspace)

    def put(self, change: Change) -> None:
        """Apply one change."""
        if isinstance(change, Removal):
            self._remove(DocumentId(change.of, change.name))
            return
        doc_id = DocumentId(change.kind, change.name)
        if isinstance(change, Workspace):
            self._remove(doc_id)
            self._workspaces_by_template.setdefault(change.template, set()).add(change.name)
        self.documents[doc_id] = change
        for workspace in self._affected_workspaces(change):
            self._resolve(workspace)

    def _affected_workspaces(self, change: Document) -> list[str]:
        if isinstance(change, Workspace):
            return [change.name]
        if isinstance(change, Template):
            return sorted(self._workspaces_by_template.get(change.name, ()))
        return []

    def _remove(self, doc_id: DocumentId) -> None:
        document = self.documents.pop(doc_id, None)
        if isinstance(document, Workspace):
            self._workspaces_by_template[document.template].discard(document.name)
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
        """Return one sentence for each conflict that applying the changes would cause."""
        overlay: dict[DocumentId, Document] = {}
        removed: set[DocumentId] = set()
        for change in changes:
            if isinstance(change, Removal):
                removed.add(DocumentId(change.of, change.name))
            else:
                overlay[DocumentId(change.kind, change.name)] = change
        after = ChainMap(overlay, self.documents)
        conflicts = _name_conflicts(overlay, after, removed)
        owners: dict[str, str] = {}
        for name in self._workspaces_to_check(changes):
            workspace = after.get(DocumentId("workspace", name))
            if isinstance(workspace, Workspace) and DocumentId("workspace", name) not in removed:
                conflicts += self._workspace_conflicts(workspace, after, removed, owners)
        return conflicts

    def _workspaces_to_check(self, changes: list[Change]) -> list[str]:
        names: set[str] = set()
        for change in changes:
            kind = change.of if isinstance(change, Removal) else change.kind
            if kind == "workspace":
                names.add(change.name)
            if kind == "template":
                names |= self._workspaces_by_template.get(change.name, set())
        return sorted(names)

    def _workspace_conflicts(
        self,
        workspace: Workspace,
        after: Mapping[DocumentId, Document],
        removed: set[DocumentId],
        owners: dict[str, str],
    ) -> list[str]:
        """Return a workspace's conflicts; ``owners`` maps the keys in this change to workspaces."""
        template_id = DocumentId("template", workspace.template)
        template = after.get(template_id)
        if not isinstance(template, Template) or template_id in removed:
            return [f"workspace {workspace.name}: no template {workspace.template}"]
        conflicts = _closed_fields(template, workspace)
        for digest in workspace.keys:
            owner = owners.setdefault(digest, self.keys.get(digest, workspace.name))
            if owner != workspace.name:
                conflicts.append(f"workspace {workspace.name}: a key belongs to another workspace")
        return conflicts


def _name_conflicts(
    overlay: Mapping[DocumentId, Document],
    after: Mapping[DocumentId, Document],
    removed: set[DocumentId],
) -> list[str]:
    """Return a conflict for each name that documents of two target kinds would share."""
    conflicts = []
    for kind, name in overlay:
        other_kinds = [] if kind not in TARGET_KINDS else [k for k in TARGET_KINDS if k != kind]
        for other in other_kinds:
            other_id = DocumentId(other, name)
            # If both are new, only the one whose kind comes later is reported.
            is_first = other_id in overlay and TARGET_KINDS.index(kind) < TARGET_KINDS.index(other)
            if other_id in after and other_id not in removed and not is_first:
                conflicts.append(f"{kind} {name}: a {other} already has this name")
    return conflicts


def merge(template: Template, workspace: Workspace) -> Grant:
    """Return a workspace's grant; only fields that the template opens take parameters."""
    overrides: dict[str, Any] = {
        name: getattr(workspace.parameters, name) for name in template.open
    }
    merged = {
        name: template_value if overrides.get(name) is None else overrides[name]
        for name, template_value in template._asdict().items()
    }
    return Grant(
        workspace=workspace.name,
        models=frozenset(merged["models"]),
        services=frozenset(merged["services"]),
        priority=merged["priority"],
        limits=merged["limits"],
        objectives=merged["objectives"],
    )


def _closed_fields(template: Template, workspace: Workspace) -> list[str]:
    """Return a conflict for each parameter whose field the template doesn't leave open."""
    parameters = workspace.parameters
    overrides = [name for name in Parameters._fields if getattr(parameters, name) is not None]
    closed = [name for name in overrides if name not in template.open]
    return [f"workspace {workspace.name}: {template.name} doesn't open {name}" for name in closed]
