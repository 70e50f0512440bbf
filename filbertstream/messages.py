"""The messages between entries, as msgspec structs with a MessagePack codec.

They travel over ``connection.peer_link`` and may be lost: each holds the sender's state as it is,
so the next makes a lost one good.  Every field that grows with the fleet is bounded by its sender;
docs/CAPACITY.md gives the sizes.
"""

import zlib
from typing import Final, NamedTuple, TypeAlias

import msgspec


class WorkRow(NamedTuple):
    """The sender's work at one target: runs, their memory, prompt tokens without an answer."""

    target: str
    runs: int
    memory_tokens: int
    queued_tokens: int


class EntryWork(msgspec.Struct, frozen=True, tag="placed", array_like=True):
    """What the sender has under way at each target.

    ``is_current`` tells whether its configuration is recent enough for new calls.
    """

    member: str
    rows: tuple[WorkRow, ...]
    is_current: bool = True


class GroupWork(msgspec.Struct, frozen=True, tag="group", array_like=True):
    """What a relay and the entries that tell it have under way at each target, summed up."""

    relay: str
    rows: tuple[WorkRow, ...]
    is_current: bool


class FleetWorkRow(NamedTuple):
    """The work of all entries but the receiver at one target.

    ``weighted_queued_tokens`` are the unread ones, each entry's weighted by the age of its word.
    """

    target: str
    runs: int
    memory_tokens: int
    queued_tokens: int
    weighted_queued_tokens: int


class FleetWork(msgspec.Struct, frozen=True, tag="fleet", array_like=True):
    """What a relay knows of the whole fleet's work, for an entry that tells it its own."""

    relay: str
    rows: tuple[FleetWorkRow, ...]
    is_current: bool


class CacheUpdateRow(NamedTuple):
    """A part was stored, or (``added`` False) dropped."""

    added: bool
    namespace: str
    block_id: str
    tokens: int


class CacheUpdate(msgspec.Struct, frozen=True, tag="cache", array_like=True):
    """What a store told the sender ``age_s`` ago; ``start_id`` changes when the store restarts."""

    store: str
    start_id: int
    next_event: int
    age_s: float
    clock_ms: int | None
    rows: tuple[CacheUpdateRow, ...]


class CacheUpdateBatch(msgspec.Struct, frozen=True, tag="caches", array_like=True):
    """What a relay knows of several stores, in the order in which it learned it."""

    items: tuple[CacheUpdate, ...]


class ObjectRow(NamedTuple):
    """An object of the platform's store, undecoded; ``content`` is None for a removed one."""

    name: str
    revision: int
    content: bytes | None


class KindUpdate(NamedTuple):
    """What the sender knows of a kind of object: all of it, or what changed after ``since``.

    It is complete up to the revision ``as_of`` and was shown to be the newest ``age_s`` ago.
    ``rows`` is None for more than a message should hold: the store is to be asked.
    """

    kind: str
    full: bool
    since: int
    as_of: int
    age_s: float
    rows: tuple[ObjectRow, ...] | None


class ViewRequest(msgspec.Struct, frozen=True, tag="asked", array_like=True):
    """The sender asks what is new; ``as_of`` tells for each kind how far its own view goes.

    ``number`` tells its questions apart.
    """

    member: str
    number: int
    as_of: dict[str, int]


class ViewResponse(msgspec.Struct, frozen=True, tag="told", array_like=True):
    """The answer to a question, or with ``number`` 0 a change that is passed on unasked.

    ``removals_held_s`` tells for how long registrations that the store has removed may yet come back.
    """

    number: int
    kinds: tuple[KindUpdate, ...]
    removals_held_s: float = 0.0


PeerPayload: TypeAlias = (
    EntryWork | GroupWork | FleetWork | CacheUpdate | CacheUpdateBatch | ViewRequest | ViewResponse
)

MESSAGE_LIMIT_BYTES: Final = 4_000_000
"""A message may hold all kinds of objects, each up to ``process.store_view.KIND_UPDATE_LIMIT_BYTES``."""

COMPRESSION_THRESHOLD_BYTES: Final = 4_096
"""Messages from this size on are compressed: configurations and news of many parts, to a fifth."""

COMPRESSED: Final = b"x"
"""First byte of a zlib stream; that of a plain message is one of a MessagePack array."""

FASTEST: Final = 1

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[PeerPayload] = msgspec.msgpack.Decoder(PeerPayload)


def encode(payload: PeerPayload) -> bytes:
    """Return the wire form of a message; a long one is compressed."""
    data = _ENCODER.encode(payload)
    return data if len(data) < COMPRESSION_THRESHOLD_BYTES else zlib.compress(data, FASTEST)


def decode(data: bytes) -> PeerPayload:
    """Return the message in ``data``; raises ``msgspec.DecodeError`` for anything else."""
    if data.startswith(COMPRESSED):
        inflating = zlib.decompressobj()
        try:
            data = inflating.decompress(data, MESSAGE_LIMIT_BYTES)
        except zlib.error as exc:
            raise msgspec.DecodeError(str(exc)) from exc
        if not inflating.eof:
            raise msgspec.DecodeError("a message that is cut, or larger than any")
    return _DECODER.decode(data)
