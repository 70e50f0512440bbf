"""The messages between entries, as msgspec structs with a MessagePack codec.

They are sent over ``connection.peer_link`` and may be lost.  Each holds the sender's current state,
so the next message makes up for a lost one.  The sender bounds every field that grows with the
fleet; docs/CAPACITY.md gives the sizes.
"""

import zlib
from typing import Final, NamedTuple, TypeAlias

import msgspec

from filbertstream.epoch_number import EpochNumber


class WorkRow(NamedTuple):
    """The sender's work at one target: runs, their memory, and queued prompt tokens.

    Queued tokens are those that were sent and not prefilled yet.
    """

    target: str
    runs: int
    memory_tokens: int
    queued_tokens: int


class RateRow(NamedTuple):
    """The requests per second to which a target limits all entries, as observed ``age_s`` ago.

    ``per_s`` is None if the target had a limit and has none any more.
    """

    target: str
    started_ms: int
    per_s: float | None
    age_s: float


class EntryWork(msgspec.Struct, frozen=True, tag="placed", array_like=True):
    """The sender's work in progress at each target.

    ``is_current`` states whether the sender is ready: it has a configuration that was confirmed
    recently, and it is not stopping.  ``rates`` are the limits that responses to the sender named,
    ``facts`` the facts that it knows itself, by kind (``fleet.facts``).
    """

    member: str
    rows: tuple[WorkRow, ...]
    is_current: bool = True
    rates: tuple[RateRow, ...] = ()
    facts: dict[str, msgspec.Raw] = {}


class GroupWork(msgspec.Struct, frozen=True, tag="group", array_like=True):
    """The sum of the work in progress of a relay and its followers at each target.

    ``rates`` are the limits that responses to any of them named, ``facts`` what any of them knows.
    """

    relay: str
    rows: tuple[WorkRow, ...]
    is_current: bool
    rates: tuple[RateRow, ...] = ()
    facts: dict[str, msgspec.Raw] = {}


class FleetWorkRow(NamedTuple):
    """The work of all entries except the receiver at one target.

    In ``weighted_queued_tokens`` each entry's queued tokens are weighted by the age of its report.
    """

    target: str
    runs: int
    memory_tokens: int
    queued_tokens: int
    weighted_queued_tokens: int


class FleetWork(msgspec.Struct, frozen=True, tag="fleet", array_like=True):
    """The whole fleet's work as known to a relay, for one of its followers."""

    relay: str
    rows: tuple[FleetWorkRow, ...]
    is_current: bool
    rates: tuple[RateRow, ...] = ()
    facts: dict[str, msgspec.Raw] = {}


class CacheUpdateRow(NamedTuple):
    """A block was stored, or (``added`` False) dropped."""

    added: bool
    namespace: str
    block_id: str
    tokens: int


class CacheUpdate(msgspec.Struct, frozen=True, tag="cache", array_like=True):
    """Events of a cache store that the sender read ``age_s`` ago.

    ``start_id`` changes when the cache store restarts.
    """

    store: str
    start_id: int
    next_event: int
    age_s: float
    clock_ms: int | None
    rows: tuple[CacheUpdateRow, ...]


class CacheUpdateBatch(msgspec.Struct, frozen=True, tag="caches", array_like=True):
    """A relay's updates of several cache stores, in the order in which it received them."""

    items: tuple[CacheUpdate, ...]


class ObjectRow(NamedTuple):
    """An object of the object store, undecoded; ``content`` is None for a removed one."""

    name: str
    revision: int
    content: bytes | None


class KindUpdate(NamedTuple):
    """The objects of a kind as observed by the sender: all, or those changed after ``since``.

    The update is complete up to the revision ``as_of``, which was observed to be the newest
    ``age_s`` ago.  ``rows`` is None if the rows exceed the size limit of a message; the receiver
    then reads the object store.
    """

    kind: str
    full: bool
    since: int
    as_of: int
    age_s: float
    rows: tuple[ObjectRow, ...] | None


class ViewRequest(msgspec.Struct, frozen=True, tag="asked", array_like=True):
    """A poll for updates; ``as_of`` is by kind the revision up to which the sender's view goes.

    ``number`` distinguishes the sender's requests.  ``epochs`` are the epochs of the revisions, for
    kinds of another epoch than 0.
    """

    member: str
    number: int
    as_of: dict[str, int]
    epochs: dict[str, int] = {}

    def since(self, kind: str) -> EpochNumber:
        """Return the revision up to which the sender's view of a kind goes."""
        return EpochNumber(self.epochs.get(kind, 0), self.as_of[kind])


class ViewResponse(msgspec.Struct, frozen=True, tag="told", array_like=True):
    """The response to a request, or with ``number`` 0 a change that is pushed without a request.

    ``removals_held_s`` is the time for which removals of registrations are still held back.
    ``epochs`` are the epochs of the revisions, for kinds of another epoch than 0.
    """

    number: int
    kinds: tuple[KindUpdate, ...]
    removals_held_s: float = 0.0
    epochs: dict[str, int] = {}


PeerPayload: TypeAlias = (
    EntryWork | GroupWork | FleetWork | CacheUpdate | CacheUpdateBatch | ViewRequest | ViewResponse
)

MESSAGE_LIMIT_BYTES: Final = 4_000_000
"""A message may hold all kinds of objects, each up to the limit in ``process.store_view``."""

COMPRESSION_THRESHOLD_BYTES: Final = 4_096
"""Messages of at least this size are compressed; configurations and updates of many cache blocks
shrink to a fifth."""

COMPRESSED: Final = b"x"
"""First byte of a zlib stream; a plain message begins with that of a MessagePack array."""

FASTEST_LEVEL: Final = 1

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[PeerPayload] = msgspec.msgpack.Decoder(PeerPayload)


def encode(payload: PeerPayload) -> bytes:
    """Return the wire form of a message, compressed if it is large."""
    data = _ENCODER.encode(payload)
    return data if len(data) < COMPRESSION_THRESHOLD_BYTES else zlib.compress(data, FASTEST_LEVEL)


def decode(data: bytes) -> PeerPayload:
    """Return the message in ``data``; raises ``msgspec.DecodeError`` for anything else."""
    if data.startswith(COMPRESSED):
        decompressor = zlib.decompressobj()
        try:
            data = decompressor.decompress(data, MESSAGE_LIMIT_BYTES)
        except zlib.error as exc:
            raise msgspec.DecodeError(str(exc)) from exc
        if not decompressor.eof:
            raise msgspec.DecodeError(
                f"compressed message is truncated or exceeds {MESSAGE_LIMIT_BYTES} bytes"
            )
    return _DECODER.decode(data)
