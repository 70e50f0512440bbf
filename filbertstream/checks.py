"""Converts validation errors of pydantic into errors with file, line, key and expected value.

``process.settings`` and ``version.documents`` use this module to validate operators' files.
"""

from typing import TYPE_CHECKING, NamedTuple

import yaml

if TYPE_CHECKING:
    # Entries on the platform don't use pydantic, whose import takes longer than the rest.
    from pydantic import ValidationError


class Mistake(NamedTuple):
    """An error in a file: its location, the key, and the expected value (``right``)."""

    file: str
    line: int
    key: str
    right: str

    def with_location(self, file: str, node: yaml.Node) -> "Mistake":
        """Return this error with its file and the line of ``key`` below ``node``."""
        return self._replace(file=file, line=line_of(node, self.key))

    def __str__(self) -> str:
        """Return the line that the command line prints."""
        key = f" {self.key}:" if self.key else ""
        return f"{self.file}:{self.line}:{key} expected {self.right}"


def line_of(node: yaml.Node, key: str) -> int:
    """Return the 1-based line of the dotted ``key``, or of its nearest existing parent."""
    line = node.start_mark.line + 1
    for part in filter(None, key.split(".")):
        child = _child(node, part)
        if child is None:
            return line
        line, node = child
    return line


def _child(node: yaml.Node, part: str) -> tuple[int, yaml.Node] | None:
    """Return the line and value of a child node, or None if it doesn't exist."""
    if isinstance(node, yaml.MappingNode):
        for key_node, value_node in node.value:
            if key_node.value == part:
                return key_node.start_mark.line + 1, value_node
    if isinstance(node, yaml.SequenceNode) and part.isdigit() and int(part) < len(node.value):
        item = node.value[int(part)]
        return item.start_mark.line + 1, item
    return None


def collect_errors(exc: "ValidationError", file: str, node: yaml.Node | None) -> list[Mistake]:
    """Return every error of a failed validation, in the order of the fields."""
    errors = []
    for error in exc.errors():
        key = ".".join(str(part) for part in error["loc"])
        config_error = Mistake(file, 0, key, _expected_value(error["type"], error["msg"]))
        errors.append(config_error if node is None else config_error.with_location(file, node))
    return errors


def _expected_value(kind: str, message: str) -> str:
    """Return the expected value for an error type and message of pydantic."""
    if kind in ("unexpected_keyword_argument", "extra_forbidden"):
        return "no such key"
    if kind.startswith("missing"):
        return "this key, which is required"
    return message.removeprefix("Input should be ").removeprefix("Value error, ")
