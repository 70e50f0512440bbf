"""What operators write: documents and settings; and the pages that are generated from code.

Failures guarded against: errors in a file that are not reported with their line, and documents
that contradict each other.
"""

from pathlib import Path

import pytest
from result import Err, Ok

from filbertstream.log_events import DESCRIPTIONS, LogEvent, catalogue_page
from filbertstream.process.settings import read_settings
from filbertstream.version.documents import (
    Model,
    Removal,
    Service,
    Template,
    Workspace,
    decode_changes,
    encode_changes,
    parse_yaml,
)
from filbertstream.version.resolve import DocumentSet

ROOT = Path(__file__).parent.parent
DEPLOYMENTS = ("cwmdu", "alfombras-limpias")

BAD_DOCUMENTS = """\
kind: template
name: walk-in
models: [guide]
limits: {concurrent: 64, rqs: 4}
prioritty: 5
priority: 12
---
kind: workspace
name: Not A Name
template: walk-in
keys: [short]
---
kind: what
"""


def test_every_error_in_documents_is_reported_with_its_line() -> None:
    """A file with several documents has misspelt keys, invalid values and an unknown kind."""
    errors = parse_yaml(BAD_DOCUMENTS, "x.yaml").unwrap_err()
    reported = {(error.line, error.key) for error in errors}
    assert reported == {
        (4, "limits.rqs"),
        (5, "prioritty"),
        (6, "priority"),
        (9, "name"),
        (11, "keys.0"),
        (13, "kind"),
    }


@pytest.mark.parametrize("text", ["a: [", "kind: {", "\t"])
def test_malformed_yaml_is_an_error(text: str) -> None:
    """A file is not valid YAML."""
    assert isinstance(parse_yaml(text, "x"), Err)


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_committed_deployments_are_valid(deployment: str) -> None:
    """A field is renamed or removed, and the example deployments still use it."""
    folder = ROOT / "configs" / deployment
    assert isinstance(read_settings(folder / "entry.yaml", files=False), Ok)
    changes = parse_yaml((folder / "documents.yaml").read_text(), "documents").unwrap()
    assert decode_changes(encode_changes(changes)) == Ok(changes)


SHARED_KEY = "ab" * 32
TEMPLATE = Template("template", "t", ("m",), ("s",))
CONTRADICTIONS = {
    "a service named like a model": [Model("model", "x", 1), Service("service", "x")],
    "a key of two workspaces": [
        TEMPLATE,
        Workspace("workspace", "one", "t", keys=(SHARED_KEY,)),
        Workspace("workspace", "two", "t", keys=(SHARED_KEY,)),
    ],
}


@pytest.mark.parametrize("together", [True, False], ids=["one change", "one after the other"])
@pytest.mark.parametrize("case", CONTRADICTIONS)
def test_contradicting_documents_are_rejected(case: str, together: bool) -> None:
    """A name or an API key is used twice, in one change or in two."""
    view = DocumentSet()
    *before, last = CONTRADICTIONS[case]
    if not together:
        assert view.find_conflicts(before) == []
        for change in before:
            view.put(change)
    assert len(view.find_conflicts([last] if not together else [*before, last])) == 1


def test_name_that_is_removed_in_the_same_change_may_be_reused() -> None:
    """A change removes a model and creates a service with its name."""
    view = DocumentSet()
    for change in CONTRADICTIONS["a service named like a model"][:1]:
        view.put(change)
    taken = [Removal("removal", "x", "model"), Service("service", "x")]
    assert view.find_conflicts(taken) == []


def test_all_unknown_and_invalid_settings_are_reported(tmp_path: Path) -> None:
    """A settings file has a misspelt key and values of a wrong type or range."""
    text = (ROOT / "configs/cwmdu/entry.yaml").read_text()
    text = text.replace("port: 8443", "port: 99999").replace("log_level: info", "loglevel: info")
    file = tmp_path / "entry.yaml"
    file.write_text(text.replace("data_center: cymru-south-1", "data_center: 7"))
    errors = read_settings(file, files=False).unwrap_err()
    assert {error.key.split(".")[-1] for error in errors} == {
        "port",
        "loglevel",
        "data_center",
    }
    assert all(error.line > 0 for error in errors)


def test_event_catalogue_is_complete_and_published() -> None:
    """A log event is added without a description, a use or a new docs/EVENTS.md."""
    assert set(DESCRIPTIONS) == set(LogEvent)
    assert (ROOT / "docs/EVENTS.md").read_text() == catalogue_page()
    sources = [file.read_text() for file in (ROOT / "filbertstream").rglob("*.py")]
    for event in LogEvent:
        assert sum(f"LogEvent.{event.name}" in text for text in sources) >= 2, event
