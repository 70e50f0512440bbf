"""The targets' side of the virtual-time driver: sends, reports, orders, and kept cache.

``bench.world`` hands the core's actions here; the fakes of ``bench.fakes`` say what happens and
when.
"""

import functools
from typing import TYPE_CHECKING, Final

from bench.fakes import LOAD_S, TOKEN_GAP_S, FakeTarget
from filbertstream.gateway import Gateway
from filbertstream.process.cache_stores import (
    BlocksFreed,
    CacheBlocksListed,
    CacheEventsFailed,
    CacheEventsReceived,
    FreeBlocks,
    ListCacheBlocks,
    PollCacheEvents,
)
from filbertstream.request.call import ResponseHead, TargetLoad
from filbertstream.request.call_events import (
    CancelSend,
    FirstEvent,
    ResponseComplete,
    ResponseStarted,
    SendCall,
    SendFailed,
)
from filbertstream.version.rollout import (
    OrderResponse,
    OrderWeights,
    PollReport,
    ReportFailed,
    ReportReceived,
)

if TYPE_CHECKING:
    from bench.world import World

LINK_S: Final = 0.001
CONNECT_S: Final = 0.35
EVENTS_S: Final = 0.3
SLOTS: Final = 64
OK: Final = 200
MISDIRECTED: Final = 421
BUSY: Final = 503
ACCEPTED: Final = 202
CONFLICT: Final = 409
SAVE_S: Final = 0.2
MS: Final = 1000.0


class TargetSide:
    """Carries out sends, reports and orders."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._cancelled: set[tuple[str, int, int]] = set()

    def send(self, core: Gateway, send: SendCall) -> None:
        """Carry out a send, from the connection to the answer's end."""
        self._world.after(LINK_S, lambda: self._arrive(core, send))

    def cancel(self, core: Gateway, cancel: CancelSend) -> None:
        """Note that a send was given up: its connection is closed."""
        self._cancelled.add((core.cfg.name, cancel.call_id, cancel.number))

    def _arrive(self, core: Gateway, send: SendCall) -> None:
        world = self._world
        target = world.targets.get(send.target_id)
        if target is None or target.dead:
            self._fail(core, send, "unreachable", False, CONNECT_S)
            return
        if send.target_id in world.silent:
            # The connection is open and nothing comes: the core notices, or the deadline does.
            return
        request_id = world.calls[core.cfg.name, send.call_id]
        if send.cache is not None and send.cache.weights not in (None, target.weights):
            self._start(core, send, self._head(target, MISDIRECTED, request_id, True))
        elif world.now_s < target.loading_until_s:
            self._start(core, send, self._head(target, BUSY, request_id, True))
        elif target.model:
            self._prompt(core, send, target, request_id)
        else:
            self._plain(core, send, target, request_id)

    def _head(
        self, target: FakeTarget, status: int, request_id: str, not_run: bool
    ) -> ResponseHead:
        load = TargetLoad(target.running, target.waiting, SLOTS)
        weights = target.weights if target.model else None
        return ResponseHead(
            status, request_id, not_run, True, False, load, weights, target.name, None
        )

    def _start(self, core: Gateway, send: SendCall, head: ResponseHead) -> None:
        self._world.later(core, LINK_S, ResponseStarted(send.call_id, send.number, head))

    def _fail(self, core: Gateway, send: SendCall, cause: str, sent: bool, delay_s: float) -> None:
        event = SendFailed(send.call_id, send.number, cause, sent, False, None)
        self._world.later(core, delay_s, event)

    def _plain(self, core: Gateway, send: SendCall, target: FakeTarget, request_id: str) -> None:
        world = self._world
        asked = world.asked[request_id]
        idempotency_key = asked.head.idempotency_key
        target.runs[request_id if idempotency_key is None else idempotency_key.key] += 1
        target.ran.add(request_id)
        if target.lose > 0:
            target.lose -= 1
            self._fail(core, send, "cut", True, target.run_s)
            return

        def answer() -> None:
            self._start(core, send, self._head(target, OK, request_id, False))
            kept = world.kept_answer(request_id) if idempotency_key is not None else None
            done = ResponseComplete(send.call_id, send.number, 10, kept)
            self._complete(core, send, target, done, LINK_S)

        world.after(target.run_s, answer)

    def _complete(
        self,
        core: Gateway,
        send: SendCall,
        target: FakeTarget,
        done: ResponseComplete,
        delay_s: float,
    ) -> None:
        world = self._world
        key = (core.cfg.name, send.call_id, send.number)

        def end() -> None:
            if key in self._cancelled or world.cores.get(core.cfg.name) is not core:
                return
            if target.dead:
                self._fail(core, send, "cut", True, LINK_S)
                return
            if core.cfg.name in world.paused:
                world.after(EVENTS_S, end)
                return
            world.answered(core, send.call_id)
            world.give(core.cfg.name, done)

        world.after(delay_s + LINK_S, end)

    def _prompt(self, core: Gateway, send: SendCall, target: FakeTarget, request_id: str) -> None:
        world = self._world
        asked = world.asked[request_id]
        prompt, orders = asked.head.prompt, send.cache
        if prompt is None or orders is None:
            raise AssertionError("a prompt without its orders")
        target.ran.add(request_id)
        stores = {store.address: store for store in world.stores.values()}
        first_s = target.read(prompt, orders, stores, world.now_s)
        target.waiting += 1
        for block, save in zip(
            prompt.blocks, orders.save or ("",) * len(prompt.blocks), strict=True
        ):
            store = stores.get(save)
            if store is not None:
                key = (orders.namespace, block.block_id)
                delay_s = first_s - world.now_s + SAVE_S
                world.after(delay_s, functools.partial(store.save, key, block.tokens))
        world.after(first_s - world.now_s, lambda: self._first(core, send, target, request_id))

    def _first(self, core: Gateway, send: SendCall, target: FakeTarget, request_id: str) -> None:
        world = self._world
        target.waiting -= 1
        asked = world.asked[request_id]
        if (core.cfg.name, send.call_id, send.number) in self._cancelled:
            return
        if target.dead:
            self._fail(core, send, "cut", True, LINK_S)
            return
        world.first_token_s.setdefault(request_id, world.now_s - asked.at_s)
        self._start(core, send, self._head(target, OK, request_id, False))
        world.later(core, LINK_S, FirstEvent(send.call_id, send.number))
        target.running += 1
        decode_s = asked.out_tokens * TOKEN_GAP_S
        world.after(decode_s, lambda: setattr(target, "running", target.running - 1))
        done = ResponseComplete(send.call_id, send.number, 0)
        self._complete(core, send, target, done, decode_s)

    def poll(self, core: Gateway, poll: PollReport) -> None:
        """Give a runner's report."""
        world = self._world
        target = world.targets.get(poll.target_id)
        if target is None or target.dead or poll.target_id in world.silent:
            world.later(core, CONNECT_S, ReportFailed(poll.target_id))
            return
        busy = world.now_s < target.loading_until_s
        weights = {target.model: target.weights}
        report = ReportReceived(poll.target_id, target.orders, busy, weights, world.now_s)
        world.later(core, 2 * LINK_S, report)

    def order(self, core: Gateway, order: OrderWeights) -> None:
        """Have a runner load weights."""
        world = self._world
        target = world.targets.get(order.target_id)
        if target is None or target.dead or order.target_id in world.silent:
            world.later(core, CONNECT_S, OrderResponse(order.target_id, None))
            return
        if target.orders != order.accepted_orders:
            world.later(core, LINK_S, OrderResponse(order.target_id, CONFLICT))
            return
        target.orders += 1
        target.accepted_orders.append((world.now_s, order.fence, core.cfg.name))
        target.loading_until_s = world.now_s + LOAD_S
        version = order.version
        world.after(LOAD_S, lambda: setattr(target, "weights", version))
        world.later(core, LINK_S, OrderResponse(order.target_id, ACCEPTED))

    def follow(self, core: Gateway, follow: PollCacheEvents) -> None:
        """Give a store's events after a while."""
        world = self._world
        sent_at_s = world.now_s

        def answer() -> None:
            store = world.stores[follow.holder]
            if store.dead:
                world.later(core, 0.0, CacheEventsFailed(follow.holder))
                return
            changes = tuple(store.events[follow.since :])
            clock_ms = int(world.now_s * MS)
            event = CacheEventsReceived(
                follow.holder,
                sent_at_s,
                world.now_s,
                store.start_id,
                len(store.events),
                clock_ms,
                changes,
            )
            world.later(core, LINK_S, event)

        world.after(min(EVENTS_S, follow.wait_s), answer)

    def list(self, core: Gateway, ask: ListCacheBlocks) -> None:
        """Give all that a store keeps."""
        store = self._world.stores[ask.holder]
        if store.dead:
            return
        held = tuple(store.blocks.items())
        event = CacheBlocksListed(
            ask.holder, self._world.now_s, store.start_id, len(store.events), held, 0
        )
        self._world.later(core, LINK_S, event)

    def free(self, core: Gateway, free: FreeBlocks) -> None:
        """Free parts at a store."""
        store = self._world.stores[free.holder]
        if store.dead or free.start_id != store.start_id or free.until_ms < self._world.now_s * MS:
            return
        for key in free.keys:
            store.free(key)
        self._world.later(core, LINK_S, BlocksFreed(free.holder, free.keys))
