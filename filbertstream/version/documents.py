"""The documents of the configuration as operators write them, and their validation.

A change is a list of documents, each with a ``kind`` and a ``name``.  ``parse_yaml`` turns operator
files into validated documents and reports every error with its file, line, key and the expected
value.  ``connection.document_store`` stores the documents, ``version.resolve`` merges a workspace's
parameters into its template, and ``version.compiled`` compiles all documents into a configuration.
Pydantic validates them as plain ``NamedTuple`` types.
"""

from typing import Annotated, Any, Final, Literal, NamedTuple, TypeAlias

import msgspec
import yaml
from pydantic import Field, StringConstraints, TypeAdapter, ValidationError
from result import Err, Ok, Result

from filbertstream.checks import Mistake, collect_errors

Name: TypeAlias = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Digest: TypeAlias = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
PositiveInt: TypeAlias = Annotated[int, Field(gt=0, strict=True)]
PositiveFloat: TypeAlias = Annotated[float, Field(gt=0)]
Fraction: TypeAlias = Annotated[float, Field(ge=0, le=1)]
HostPort: TypeAlias = Annotated[str, StringConstraints(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


class Limits(NamedTuple):
    """Limits of a workspace, which apply to the sum over all entries."""

    concurrent: PositiveInt = 64
    requests_per_s: PositiveFloat = 100.0
    prompt_tokens: PositiveInt = 200_000


class Objectives(NamedTuple):
    """Objectives of a workspace; a fraction ``within`` of requests must meet ``first_token_s``."""

    first_token_s: PositiveFloat = 0.36
    token_gap_s: PositiveFloat = 0.027
    deadline_s: PositiveFloat = 60.0
    within: Fraction = 0.95


class Template(NamedTuple):
    """A template for workspaces; ``open`` lists the fields that their parameters may override."""

    kind: Literal["template"]
    name: Name
    models: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()
    priority: Annotated[int, Field(ge=0, le=9, strict=True)] = 5
    limits: Limits = Limits()
    objectives: Objectives = Objectives()
    open: tuple[Literal["models", "services", "priority", "limits", "objectives"], ...] = ()


class Parameters(NamedTuple):
    """A workspace's values for the fields that its template leaves open."""

    models: tuple[Name, ...] | None = None
    services: tuple[Name, ...] | None = None
    priority: Annotated[int, Field(ge=0, le=9, strict=True)] | None = None
    limits: Limits | None = None
    objectives: Objectives | None = None


class Workspace(NamedTuple):
    """A tenant: a template, parameters, and the digests of its keys (BLAKE2b, 32 bytes, hex)."""

    kind: Literal["workspace"]
    name: Name
    template: Name
    parameters: Parameters = Parameters()
    keys: tuple[Digest, ...] = ()


class Model(NamedTuple):
    """A model, the weight version that new requests use, and the properties of its runners.

    ``cache_tokens`` is the memory of one runner, shared by running requests and cached blocks, and
    ``token_bytes`` the memory that one token takes.  ``event_readers`` bounds the entries that read
    the cache events of one runner.
    """

    kind: Literal["model"]
    name: Name
    version: PositiveInt
    slots: PositiveInt = 8
    cache_tokens: PositiveInt = 100_000
    token_bytes: PositiveInt = 163_840
    event_readers: PositiveInt = 4


class Store(NamedTuple):
    """A cache store; a ``managed`` one evicts nothing by itself."""

    kind: Literal["store"]
    name: Name
    address: HostPort
    data_center: Name
    capacity_tokens: PositiveInt
    event_readers: PositiveInt = 4
    managed: bool = True


class Drain(NamedTuple):
    """Drains the entry or target of this name; removing it returns a target to service."""

    kind: Literal["drain"]
    name: Name


class Service(NamedTuple):
    """A plain service; calls with a method in ``not_repeatable`` run at most once."""

    kind: Literal["service"]
    name: Name
    not_repeatable: tuple[Literal["POST", "PUT", "PATCH", "DELETE"], ...] = ("POST",)


class Removal(NamedTuple):
    """Removes a document."""

    kind: Literal["removal"]
    name: Name
    of: Literal["template", "workspace", "model", "service", "store", "drain"]


Document: TypeAlias = Template | Workspace | Model | Service | Store | Drain
Change: TypeAlias = Document | Removal

_KINDS: Final[dict[str, TypeAdapter[Any]]] = {
    "template": TypeAdapter(Template),
    "workspace": TypeAdapter(Workspace),
    "model": TypeAdapter(Model),
    "service": TypeAdapter(Service),
    "store": TypeAdapter(Store),
    "drain": TypeAdapter(Drain),
    "removal": TypeAdapter(Removal),
}


def check_change(raw: object) -> Result[Change, list[Mistake]]:
    """Return the typed document for plain JSON or YAML data, or every error in it."""
    if not isinstance(raw, dict) or raw.get("kind") not in _KINDS:
        return Err([Mistake("", 0, "kind", "one of " + ", ".join(sorted(_KINDS)))])
    adapter = _KINDS[str(raw["kind"])]
    try:
        change: Change = adapter.validate_python(raw)
    except ValidationError as exc:
        return Err(collect_errors(exc, "", None))
    return Ok(change)


def parse_yaml(text: str, file: str) -> Result[list[Change], list[Mistake]]:
    """Return the validated documents of a YAML stream, or every error in it."""
    try:
        nodes = list(yaml.compose_all(text, Loader=yaml.SafeLoader))
        raws = list(yaml.safe_load_all(text))
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        return Err([Mistake(file, line, "", f"well-formed YAML ({getattr(exc, 'problem', exc)})")])
    changes: list[Change] = []
    errors: list[Mistake] = []
    for node, raw in zip(nodes, raws, strict=True):
        match check_change(raw):
            case Ok(change):
                changes.append(change)
            case Err(found):
                errors += [item.with_location(file, node) for item in found]
    return Err(errors) if errors else Ok(changes)


def to_plain(change: Change) -> dict[str, Any]:
    """Return a document as plain data, in the format that operators write."""
    plain: dict[str, Any] = _plain(change)
    return plain


def _plain(value: Any) -> Any:
    """Convert named tuples to dicts, recursively, and omit fields that are None."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        fields = value._asdict().items()
        return {name: _plain(item) for name, item in fields if item is not None}
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    if isinstance(value, dict):
        return {key: _plain(item) for key, item in value.items()}
    return value


def encode_changes(changes: list[Change]) -> bytes:
    """Return changes as JSON, the format in which they are sent and stored."""
    return msgspec.json.encode([to_plain(change) for change in changes])


def decode_changes(data: bytes) -> Result[list[Change], list[Mistake]]:
    """Return the validated documents of JSON from ``encode_changes``, or every error in it."""
    try:
        raws = msgspec.json.decode(data)
    except msgspec.DecodeError as exc:
        return Err([Mistake("", 0, "", f"well-formed JSON ({exc})")])
    if not isinstance(raws, list):
        return Err([Mistake("", 0, "", "a list of documents")])
    changes: list[Change] = []
    errors: list[Mistake] = []
    for raw in raws:
        match check_change(raw):
            case Ok(change):
                changes.append(change)
            case Err(found):
                errors += found
    return Err(errors) if errors else Ok(changes)
