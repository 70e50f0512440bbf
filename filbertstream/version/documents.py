"""The documents of the configuration, as operators write them, and their checks.

A change is a list of documents; each names its ``kind`` and ``name``.  ``parse_yaml`` turns
operator files into checked documents and reports every mistake with file, line, key and what would
be right.  ``connection.document_store`` keeps the documents; ``version.resolve`` merges a template
with a workspace's parameters and ``version.compiled`` makes a configuration of them all.  The
checks are pydantic's, over plain ``NamedTuple`` types.
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
Share: TypeAlias = Annotated[float, Field(ge=0, le=1)]
HostPort: TypeAlias = Annotated[str, StringConstraints(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


class Limits(NamedTuple):
    """What a workspace may use at once over all entries."""

    concurrent: PositiveInt = 64
    requests_per_s: PositiveFloat = 100.0
    prompt_tokens: PositiveInt = 200_000


class Objectives(NamedTuple):
    """What a workspace expects: a share ``within`` of its requests meets ``first_token_s``."""

    first_token_s: PositiveFloat = 0.36
    token_gap_s: PositiveFloat = 0.027
    deadline_s: PositiveFloat = 60.0
    within: Share = 0.95


class Template(NamedTuple):
    """The shape of a workspace; ``open`` names the fields that its parameters may replace."""

    kind: Literal["template"]
    name: Name
    models: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()
    priority: Annotated[int, Field(ge=0, le=9, strict=True)] = 5
    limits: Limits = Limits()
    objectives: Objectives = Objectives()
    open: tuple[Literal["models", "services", "priority", "limits", "objectives"], ...] = ()


class Parameters(NamedTuple):
    """The values of a workspace for the fields that its template leaves open."""

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
    """A model, the weight version that new requests use, and what its runners have in common.

    ``cache_tokens`` is a runner's memory, shared by running requests and cached parts, and
    ``token_bytes`` what a token takes of it.  ``event_readers`` bounds the entries that follow one
    runner's cache.
    """

    kind: Literal["model"]
    name: Name
    version: PositiveInt
    slots: PositiveInt = 8
    cache_tokens: PositiveInt = 100_000
    token_bytes: PositiveInt = 163_840
    event_readers: PositiveInt = 4


class Store(NamedTuple):
    """A store of kept cache, which drops nothing on its own where it is ``managed``."""

    kind: Literal["store"]
    name: Name
    address: HostPort
    data_center: Name
    capacity_tokens: PositiveInt
    event_readers: PositiveInt = 4
    managed: bool = True


class Drain(NamedTuple):
    """A planned stop of the entry or target of this name; removing it ends a target's stop."""

    kind: Literal["drain"]
    name: Name


class Service(NamedTuple):
    """A plain service; ``not_repeatable`` lists the methods that must run at most once."""

    kind: Literal["service"]
    name: Name
    not_repeatable: tuple[Literal["POST", "PUT", "PATCH", "DELETE"], ...] = ("POST",)


class Removal(NamedTuple):
    """Takes a document away."""

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
    """Return the typed document that ``raw``, plain JSON or YAML data, describes."""
    if not isinstance(raw, dict) or raw.get("kind") not in _KINDS:
        return Err([Mistake("", 0, "kind", "one of " + ", ".join(sorted(_KINDS)))])
    adapter = _KINDS[str(raw["kind"])]
    try:
        change: Change = adapter.validate_python(raw)
    except ValidationError as exc:
        return Err(collect_errors(exc, "", None))
    return Ok(change)


def parse_yaml(text: str, file: str) -> Result[list[Change], list[Mistake]]:
    """Return the checked documents of a YAML stream, or every mistake in it."""
    try:
        nodes = list(yaml.compose_all(text, Loader=yaml.SafeLoader))
        raws = list(yaml.safe_load_all(text))
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        return Err([Mistake(file, line, "", f"well-formed YAML ({getattr(exc, 'problem', exc)})")])
    changes: list[Change] = []
    mistakes: list[Mistake] = []
    for node, raw in zip(nodes, raws, strict=True):
        match check_change(raw):
            case Ok(change):
                changes.append(change)
            case Err(found):
                mistakes += [item.with_location(file, node) for item in found]
    return Err(mistakes) if mistakes else Ok(changes)


def to_plain(change: Change) -> dict[str, Any]:
    """Return a document as plain data, in the shape that operators write."""
    plain: dict[str, Any] = _plain(change)
    return plain


def _plain(value: Any) -> Any:
    """Return plain data in which every NamedTuple is a mapping; unset fields are left out."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        fields = value._asdict().items()
        return {name: _plain(item) for name, item in fields if item is not None}
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    if isinstance(value, dict):
        return {key: _plain(item) for key, item in value.items()}
    return value


def encode_changes(changes: list[Change]) -> bytes:
    """Return the JSON form in which changes travel and are kept."""
    return msgspec.json.encode([to_plain(change) for change in changes])


def decode_changes(data: bytes) -> Result[list[Change], list[Mistake]]:
    """Return the checked documents of ``encode_changes``, or every mistake."""
    try:
        raws = msgspec.json.decode(data)
    except msgspec.DecodeError as exc:
        return Err([Mistake("", 0, "", f"well-formed JSON ({exc})")])
    if not isinstance(raws, list):
        return Err([Mistake("", 0, "", "a list of documents")])
    changes: list[Change] = []
    mistakes: list[Mistake] = []
    for raw in raws:
        match check_change(raw):
            case Ok(change):
                changes.append(change)
            case Err(found):
                mistakes += found
    return Err(mistakes) if mistakes else Ok(changes)
