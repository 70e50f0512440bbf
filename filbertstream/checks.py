"""Turns pydantic's errors over YAML data into mistakes that name file, line, key and the remedy.

Both ``process.settings`` and ``version.documents`` check what operators write through this module.
"""

from typing import TYPE_CHECKING, NamedTuple

import yaml

if TYPE_CHECKING:
    # The platform's settings are checked without pydantic, whose import takes longer than the rest.
    from pydantic import ValidationError


class Mistake(NamedTuple):
    """One mistake in a file: the place, the key, and what would be right there."""

    file: str
    line: int
    key: str
    right: str

    def with_location(self, file: str, node: yaml.Node) -> "Mistake":
        """Return the same mistake with its file and the line that ``key`` has under ``node``."""
        return self._replace(file=file, line=line_of(node, self.key))

    def __str__(self) -> str:
        """Return the one-line form that the command line prints."""
        key = f" {self.key}:" if self.key else ""
        return f"{self.file}:{self.line}:{key} expected {self.right}"


def line_of(node: yaml.Node, key: str) -> int:
    """Return the line, counted from 1, of the dotted ``key`` or of its nearest parent."""
    line = node.start_mark.line + 1
    for part in filter(None, key.split(".")):
        child = _child(node, part)
        if child is None:
            return line
        line, node = child
    return line


def _child(node: yaml.Node, part: str) -> tuple[int, yaml.Node] | None:
    """Return line and value of one step down, or None where the step doesn't exist."""
    if isinstance(node, yaml.MappingNode):
        for key_node, value_node in node.value:
            if key_node.value == part:
                return key_node.start_mark.line + 1, value_node
    if isinstance(node, yaml.SequenceNode) and part.isdigit() and int(part) < len(node.value):
        item = node.value[int(part)]
        return item.start_mark.line + 1, item
    return None


def collect_errors(exc: "ValidationError", file: str, node: yaml.Node | None) -> list[Mistake]:
    """Return every mistake of a failed check, in the order of the fields."""
    mistakes = []
    for error in exc.errors():
        key = ".".join(str(part) for part in error["loc"])
        mistake = Mistake(file, 0, key, _remedy(error["type"], error["msg"]))
        mistakes.append(mistake if node is None else mistake.with_location(file, node))
    return mistakes


def _remedy(kind: str, message: str) -> str:
    """Return what would be right, for an error kind and message of pydantic."""
    if kind in ("unexpected_keyword_argument", "extra_forbidden"):
        return "no such key"
    if kind.startswith("missing"):
        return "this key, which is required"
    return message.removeprefix("Input should be ").removeprefix("Value error, ")
