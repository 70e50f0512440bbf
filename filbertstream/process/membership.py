"""Which entries there are, which of them live, and which of them owns what.

Members register in the platform's object API, so that a newcomer finds them and a majority can be
counted; liveness is by heartbeats between entries and never touches the platform.  A member sends
heartbeats to all peers while they are few and to logarithmically many ring successors once they
are not, so the cost for a member hardly grows with the fleet.  Owners of claim shards and
catalogue chains are found on a ring of the live members; ownership is a hint only.
"""

import bisect
from typing import Final, NamedTuple

import msgspec

from filbertstream.actions import MUST_NOT_EXIST, Action, ListObjects, PutObject, SendPeer
from filbertstream.events import ObjectRecord, PutFinished, ReadFinished
from filbertstream.messages import Heartbeat, PeerPayload
from filbertstream.names import Ring, rank
from filbertstream.process.append_log import OpIds
from filbertstream.units import DEAD_AFTER_S, HEARTBEAT_S

MEMBERS_KIND: Final = "members"
ALL_PEERS_LIMIT: Final = 15
"""Up to this many peers everybody sends heartbeats to everybody."""

RENEW_S: Final = 10.0
RENEW_S_PER_MEMBER: Final = 0.05
"""A registration is renewed every ``RENEW_S``, more slowly in a large fleet."""

LIST_S: Final = 5.0
LIST_S_PER_MEMBER: Final = 0.25
"""Registrations are listed every ``LIST_S``, more slowly in a large fleet."""

KEEPERS: Final = 2
"""How many members keep the catalogue rows of a chain."""

HEARD_LATELY_S: Final = 2.2
"""Two heartbeats may be missing before a peer is passed over."""

WATCHERS: Final = 2
"""How many members of each data center read the platform every second."""

LIVE_CACHE_S: Final = 0.25
"""How long the set of live members is used before it is worked out again."""

EXPIRE_RENEWALS: Final = 3
"""A registration whose version stands still for this many renewals is taken away."""


class Registration(msgspec.Struct, frozen=True):
    """What a member registers; ``beat`` changes with each renewal."""

    name: str
    vm: str
    incarnation: int
    data_center: str
    address: str
    beat: int


class Peer(NamedTuple):
    """What is known of another member."""

    registration: Registration
    version: int
    changed_at_s: float
    heard_at_s: float
    stamp_s: float
    revision: int
    state: str


class Branch(NamedTuple):
    """A receiver of a message along the tree, and the member before which its part ends."""

    address: str
    until: str


class Membership:
    """This member's view of the fleet."""

    def __init__(self, own: Registration, seeds: tuple[str, ...], op_ids: OpIds) -> None:
        self.own = own
        self.peers: dict[str, Peer] = {}
        self.state = "live"
        self._seeds = seeds
        self._op_ids = op_ids
        self._own_version = MUST_NOT_EXIST
        self._put_op: int | None = None
        self._list_op: int | None = None
        self._prune_ops: set[int] = set()
        self._live: tuple[str, ...] = (own.name,)
        self._live_until_s = float("-inf")
        self._ring = Ring(self._live)
        self._watched_live: tuple[str, ...] = ()
        self._watchers: frozenset[str] = frozenset()
        self._fan_ring: list[str] = []
        self._fingers: frozenset[str] = frozenset()
        self._next_renew_s = 0.0
        self._next_list_s = 0.0
        self._next_beat_s = 0.0
        self.registered_at_s: float | None = None
        self._list_began_s = 0.0
        self.listed_at_s: float | None = None

    def live(self, now_s: float) -> tuple[str, ...]:
        """Return the names of the members that are not taken for dead, this one included."""
        if now_s >= self._live_until_s:
            names = [name for name, peer in self.peers.items() if self._is_live(peer, now_s)]
            live = tuple(sorted([self.own.name, *names]))
            self._live_until_s = now_s + LIVE_CACHE_S
            if live != self._live:
                self._live = live
                self._ring = Ring(live)
        return self._live

    def _is_live(self, peer: Peer, now_s: float) -> bool:
        return peer.state != "left" and now_s - peer.heard_at_s <= DEAD_AFTER_S

    def registered(self) -> tuple[str, ...]:
        """Return the names of all members that have not left, dead ones included."""
        names = [name for name, peer in self.peers.items() if peer.state != "left"]
        return tuple(sorted([self.own.name, *names]))

    def others(self) -> tuple[str, ...]:
        """Return the registered members other than this one."""
        return tuple(name for name in self.registered() if name != self.own.name)

    def owner(self, subject: str, now_s: float) -> str:
        """Return the live member that owns a subject."""
        self.live(now_s)
        return self._ring.owner(subject)

    def owners(self, subject: str, now_s: float) -> tuple[str, ...]:
        """Return the live members that keep a subject: the owner and the one that follows it."""
        self.live(now_s)
        return self._ring.owners(subject, KEEPERS)

    def first_heard(self, names: tuple[str, ...], now_s: float) -> str | None:
        """Return the address of the first member that was heard lately; None for this one.

        A member that has just died is not yet taken for dead; those who need an answer at once
        pass it over.
        """
        for name in names:
            peer = self.peers.get(name)
            if peer is None:
                return None
            if now_s - peer.heard_at_s <= HEARD_LATELY_S:
                return peer.registration.address
        return None

    def watchers(self, now_s: float) -> frozenset[str]:
        """Return the members of the own data center that read the platform for the others.

        So the platform's calls grow with the data centers and not with the members.
        """
        live = self.live(now_s)
        if live is not self._watched_live:
            self._watched_live = live
            near = [name for name in live if self._data_center_of(name) == self.own.data_center]
            near.sort(key=lambda name: rank(name, "watch"), reverse=True)
            self._watchers = frozenset(near[:WATCHERS])
        return self._watchers

    def _data_center_of(self, name: str) -> str:
        peer = self.peers.get(name)
        return self.own.data_center if peer is None else peer.registration.data_center

    def is_watcher(self, now_s: float) -> bool:
        """Whether this member reads the platform for its data center."""
        return self.own.name in self.watchers(now_s)

    def owes_reply(self, heartbeat: Heartbeat, now_s: float) -> bool:
        """Whether a heartbeat is answered at once.

        A watcher answers its data center, so that confirmations there are young; and who is not
        sent heartbeats regularly would else never get an echo.
        """
        if heartbeat.reply:
            return False
        watching = heartbeat.data_center == self.own.data_center and self.is_watcher(now_s)
        return watching or heartbeat.member not in self._fan_out_names(now_s)

    def address_of(self, name: str) -> str | None:
        """Return a peer's address."""
        peer = self.peers.get(name)
        return None if peer is None else peer.registration.address

    def fan_out(self, now_s: float) -> tuple[Peer, ...]:
        """Return the peers that get heartbeats.

        All of them while they are few; else the ring successors at distances 1, 2, 4, ... and the
        watchers of the own data center.
        """
        present = {name: peer for name, peer in self.peers.items() if peer.state != "left"}
        if len(present) <= ALL_PEERS_LIMIT:
            return tuple(present.values())
        names = self._fan_out_names(now_s)
        return tuple(present[name] for name in names if name in present)

    def _fan_out_names(self, now_s: float) -> frozenset[str]:
        if len(self.peers) <= ALL_PEERS_LIMIT:
            return frozenset(self.peers)
        ring = sorted(self.peers)
        if ring != self._fan_ring:
            self._fan_ring = ring
            start = bisect.bisect(ring, self.own.name)
            steps = [1 << power for power in range(len(ring).bit_length())]
            places = [(start + step - 1) % len(ring) for step in steps if step <= len(ring)]
            self._fingers = frozenset(ring[place] for place in places)
        return (self._fingers | self.watchers(now_s)) - {self.own.name}

    def tell_all(self, payload: PeerPayload, now_s: float) -> tuple[Action, ...]:
        """Return a message to each peer that gets heartbeats."""
        peers = self.fan_out(now_s)
        return tuple(SendPeer(peer.registration.address, payload) for peer in peers)

    def branches(self, until: str | None, now_s: float) -> tuple[Branch, ...]:
        """Return to whom a message goes that is to reach each live member before ``until`` once.

        Each receiver serves the members from itself to the next receiver, in the order of names
        around the ring.  None is the whole ring, for the member where a message begins; a receiver
        that is told its own name serves nobody.  What a dead receiver fails to pass on, heartbeats
        find and ask for.
        """
        if until == self.own.name:
            return ()
        live = [name for name in self.live(now_s) if name != self.own.name]
        ring = sorted(live, key=self._ring_place)
        if until is not None:
            ring = [name for name in ring if self._ring_place(name) < self._ring_place(until)]
        if not ring:
            return ()
        places = [(1 << power) - 1 for power in range(len(ring).bit_length())]
        ends = [*places[1:], len(ring)]
        last = until or self.own.name
        found = []
        for place, end in zip(places, ends, strict=True):
            name = ring[place]
            address = self.peers[name].registration.address
            alone = end == place + 1
            following = last if end == len(ring) else ring[end]
            found.append(Branch(address, name if alone else following))
        return tuple(found)

    def _ring_place(self, name: str) -> tuple[bool, str]:
        """Return what orders names around the ring, from this member's place on."""
        return name <= self.own.name, name

    def beat_due(self, now_s: float) -> bool:
        """Whether it is time for heartbeats; asking takes the turn."""
        if now_s < self._next_beat_s:
            return False
        self._next_beat_s = now_s + HEARTBEAT_S
        return True

    def seed_addresses(self) -> tuple[str, ...]:
        """Return seed addresses that belong to no known peer: whom to greet when cut off."""
        known = {peer.registration.address for peer in self.peers.values()}
        return tuple(seed for seed in self._seeds if seed not in known | {self.own.address})

    def on_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> bool:
        """Take in a heartbeat; return whether it brought a new member or incarnation."""
        if heartbeat.member == self.own.name:
            return False
        peer = self.peers.get(heartbeat.member)
        if peer is not None and heartbeat.incarnation < peer.registration.incarnation:
            return False
        newcomer = peer is None or heartbeat.incarnation > peer.registration.incarnation
        registration = Registration(
            heartbeat.member,
            heartbeat.member if peer is None else peer.registration.vm,
            heartbeat.incarnation,
            heartbeat.data_center,
            heartbeat.address,
            0,
        )
        if newcomer or (peer is not None and peer.state != heartbeat.state):
            self._live_until_s = float("-inf")
        version = MUST_NOT_EXIST if peer is None else peer.version
        changed_at_s = now_s if peer is None else peer.changed_at_s
        self.peers[heartbeat.member] = Peer(
            registration if newcomer or peer is None else peer.registration,
            version,
            changed_at_s,
            now_s,
            heartbeat.stamp_s,
            heartbeat.revision,
            heartbeat.state,
        )
        return newcomer

    def tick(self, now_s: float) -> tuple[Action, ...]:
        """Return the platform calls that are due: renewal, listing, taking stale rows away."""
        actions: list[Action] = []
        if now_s >= self._next_renew_s and self._put_op is None and self.state != "left":
            actions.append(self._renew(now_s))
        if now_s >= self._next_list_s and self._list_op is None:
            actions.append(self._list(now_s))
        return (*actions, *self._prune(now_s))

    def list_now(self) -> None:
        """Make a listing due, so that members which registered lately are known."""
        self._next_list_s = 0.0

    def leave(self) -> tuple[Action, ...]:
        """Take the own registration away, at the end of a planned stop."""
        self.state = "left"
        put = PutObject(self._op_ids.next(), MEMBERS_KIND, self.own.name, None, self._own_version)
        return (put,)

    def _renew(self, now_s: float) -> PutObject:
        self._next_renew_s = now_s + self._renew_s()
        self.own = msgspec.structs.replace(self.own, beat=self.own.beat + 1)
        self._put_op = self._op_ids.next()
        value = msgspec.json.encode(self.own)
        return PutObject(self._put_op, MEMBERS_KIND, self.own.name, value, self._own_version)

    def _renew_s(self) -> float:
        return max(RENEW_S, RENEW_S_PER_MEMBER * len(self.peers))

    def _list(self, now_s: float) -> ListObjects:
        self._next_list_s = now_s + max(LIST_S, LIST_S_PER_MEMBER * len(self.peers))
        self._list_op = self._op_ids.next()
        self._list_began_s = now_s
        return ListObjects(self._list_op, MEMBERS_KIND, "")

    def _prune(self, now_s: float) -> list[PutObject]:
        """Take away registrations that stand still; the owner by rank does it."""
        expired_s = EXPIRE_RENEWALS * self._renew_s()
        puts = []
        for name, peer in list(self.peers.items()):
            dead = not self._is_live(peer, now_s)
            if not dead or now_s - peer.changed_at_s <= expired_s:
                continue
            del self.peers[name]
            if peer.version != MUST_NOT_EXIST and self.owner(name, now_s) == self.own.name:
                op_id = self._op_ids.next()
                self._prune_ops.add(op_id)
                puts.append(PutObject(op_id, MEMBERS_KIND, name, None, peer.version))
        return puts

    def on_put(self, result: PutFinished, now_s: float) -> bool:
        """Take in a write's result; False if it wasn't asked for here."""
        if result.op_id in self._prune_ops:
            self._prune_ops.discard(result.op_id)
            return True
        if result.op_id != self._put_op:
            return False
        self._put_op = None
        if result.outcome == "ok":
            self._own_version = result.version
            self.registered_at_s = self.registered_at_s or now_s
        else:
            # An earlier incarnation's row or a lost answer: the listing tells the version.
            self._next_renew_s = now_s + HEARTBEAT_S
            self._next_list_s = now_s
        return True

    def on_read(self, result: ReadFinished, now_s: float) -> bool:
        """Take in a listing; False if it wasn't asked for here."""
        if result.op_id != self._list_op:
            return False
        self._list_op = None
        if not result.ok:
            return True
        self.listed_at_s = self._list_began_s
        rows = {row.name: row for row in result.records}
        own = rows.pop(self.own.name, None)
        self._own_version = MUST_NOT_EXIST if own is None else own.version
        for row in rows.values():
            self._take_row(row, now_s)
        for name in [name for name in self.peers if name not in rows]:
            if not self._is_live(self.peers[name], now_s):
                del self.peers[name]
        return True

    def _take_row(self, row: ObjectRecord, now_s: float) -> None:
        registration = msgspec.json.decode(row.value, type=Registration)
        peer = self.peers.get(row.name)
        if peer is None:
            # A member that has just registered may take work already, so it counts as live until
            # it has had the time to be heard: acceptance must wait for it.
            self.peers[row.name] = Peer(registration, row.version, now_s, now_s, 0.0, 0, "live")
            self._live_until_s = float("-inf")
            return
        moved = row.version != peer.version
        changed_at_s = now_s if moved else peer.changed_at_s
        newer = registration.incarnation >= peer.registration.incarnation
        self.peers[row.name] = peer._replace(
            registration=registration if newer else peer.registration,
            version=row.version,
            changed_at_s=changed_at_s,
        )
