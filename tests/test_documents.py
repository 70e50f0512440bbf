"""Checks of what operators write: documents, settings, and the pages made from code."""

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


def test_every_mistake_is_named_with_its_line() -> None:
    mistakes = parse_yaml(BAD_DOCUMENTS, "x.yaml").unwrap_err()
    found = {(mistake.line, mistake.key) for mistake in mistakes}
    assert found == {
        (4, "limits.rqs"),
        (5, "prioritty"),
        (6, "priority"),
        (9, "name"),
        (11, "keys.0"),
        (13, "kind"),
    }


@pytest.mark.parametrize("text", ["a: [", "kind: {", "\t"])
def test_malformed_yaml_is_a_mistake(text: str) -> None:
    assert isinstance(parse_yaml(text, "x"), Err)


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_committed_deployments_check(deployment: str) -> None:
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
def test_documents_that_contradict_each_other_are_refused(case: str, together: bool) -> None:
    view = DocumentSet()
    *before, last = CONTRADICTIONS[case]
    if not together:
        assert view.find_conflicts(before) == []
        for change in before:
            view.put(change)
    assert len(view.find_conflicts([last] if not together else [*before, last])) == 1


def test_a_name_or_a_key_that_was_given_up_may_be_taken() -> None:
    view = DocumentSet()
    for change in CONTRADICTIONS["a service named like a model"][:1]:
        view.put(change)
    taken = [Removal("removal", "x", "model"), Service("service", "x")]
    assert view.find_conflicts(taken) == []


def test_unknown_and_wrong_settings_are_all_named(tmp_path: Path) -> None:
    text = (ROOT / "configs/cwmdu/entry.yaml").read_text()
    text = text.replace("port: 8443", "port: 99999").replace("log_level: info", "loglevel: info")
    file = tmp_path / "entry.yaml"
    file.write_text(text.replace("data_center: cymru-south-1", "data_center: 7"))
    mistakes = read_settings(file, files=False).unwrap_err()
    assert {mistake.key.split(".")[-1] for mistake in mistakes} == {
        "port",
        "loglevel",
        "data_center",
    }
    assert all(mistake.line > 0 for mistake in mistakes)


def test_event_catalogue_is_complete_and_published() -> None:
    assert set(DESCRIPTIONS) == set(LogEvent)
    assert (ROOT / "docs/EVENTS.md").read_text() == catalogue_page()
    sources = [file.read_text() for file in (ROOT / "filbertstream").rglob("*.py")]
    for event in LogEvent:
        assert sum(f"LogEvent.{event.name}" in text for text in sources) >= 2, event
