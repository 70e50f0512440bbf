"""The targets' side of the virtual-time driver: sends, reports, orders and cache stores.

``bench.world`` passes the cores' actions to it; the fakes of ``bench.fakes`` determine the results
and their times.
"""

import functools
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from bench.fakes import SWAP_S, TOKEN_GAP_S, FakeTarget
from filbertstream.connection.target_probe import CLOSE_WAIT_S as PROBE_CLOSE_S
from filbertstream.fleet.crash_detector import ProbeOutcome, ProbeTarget, TargetProbed
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
from filbertstream.request.call import RequestRate, ResponseHead, TargetLoad
from filbertstream.request.call_events import (
    CancelSend,
    FirstEvent,
    LoadProbed,
    ProbeLoad,
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

LINK_LATENCY_S: Final = 0.001
CONNECT_TIMEOUT_S: Final = 0.35
CRASH_DELAY_S: Final = 0.03
"""Time from the head of a response that crashes its target to the end of the target."""

MAX_EVENTS_WAIT_S: Final = 0.3
SLOTS: Final = 64
OK: Final = 200
MISDIRECTED: Final = 421
BUSY: Final = 503
ACCEPTED: Final = 202
CONFLICT: Final = 409
SAVE_DELAY_S: Final = 0.2
MS: Final = 1000.0


SendKey = tuple[str, int, int]
"""The entry, call and number of a send."""


def _load(target: FakeTarget) -> TargetLoad:
    load = TargetLoad(target.running, target.waiting, SLOTS)
    if target.reported_slowness is None:
        return load
    return load._replace(slowness=target.reported_slowness, reports_slowness=True)


class TargetSide:
    """Carries out sends, reports and orders."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._cancelled: set[tuple[str, int, int]] = set()
        self._under_way: dict[str, dict[SendKey, Callable[[], None]]] = {}

    def send(self, core: Gateway, send: SendCall) -> None:
        """Carry out a send, from the connection to the end of the response."""
        self._world.after(LINK_LATENCY_S, lambda: self._receive(core, send))

    def cancel(self, core: Gateway, cancel: CancelSend) -> None:
        """Record that a send was cancelled and its connection closed."""
        self._cancelled.add((core.cfg.name, cancel.call_id, cancel.number))

    def _receive(self, core: Gateway, send: SendCall) -> None:
        world = self._world
        target = world.targets.get(send.target_id)
        if target is None or target.dead:
            crashed = target is not None and target.crashed
            delay_s = LINK_LATENCY_S if crashed else CONNECT_TIMEOUT_S
            self._fail(core, send, "unreachable", False, delay_s)
            return
        if send.target_id in world.stalled:
            # The connection is open but stalled: the core's timeout or the deadline ends the send.
            return
        target.arrivals.append(world.now_s)
        request_id = world.calls[core.cfg.name, send.call_id]
        if send.cache is not None and send.cache.weights not in (None, target.weights):
            self._deliver_head(core, send, self._head(target, MISDIRECTED, request_id, True))
        elif world.now_s < target.loading_until_s:
            self._deliver_head(core, send, self._head(target, BUSY, request_id, True))
        elif target.model:
            self._run_prompt(core, send, target, request_id)
        else:
            self._run_plain(core, send, target, request_id)

    def _head(
        self, target: FakeTarget, status: int, request_id: str, not_run: bool
    ) -> ResponseHead:
        load = _load(target)
        weights = target.weights if target.model else None
        return ResponseHead(
            status,
            request_id,
            not_run,
            True,
            False,
            load,
            weights,
            target.name,
            None,
            RequestRate(target.limit_per_s),
        )

    def _deliver_head(self, core: Gateway, send: SendCall, head: ResponseHead) -> None:
        self._world.deliver_later(
            core, LINK_LATENCY_S, ResponseStarted(send.call_id, send.number, head)
        )

    def _fail(self, core: Gateway, send: SendCall, cause: str, sent: bool, delay_s: float) -> None:
        event = SendFailed(send.call_id, send.number, cause, sent, False, None)
        self._world.deliver_later(core, delay_s, event)

    def _run_plain(
        self, core: Gateway, send: SendCall, target: FakeTarget, request_id: str
    ) -> None:
        world = self._world
        submitted = world.submitted[request_id]
        idempotency_key = submitted.head.idempotency_key
        target.runs[request_id if idempotency_key is None else idempotency_key.key] += 1
        target.ran.add(request_id)
        if target.lose_responses > 0:
            target.lose_responses -= 1
            self._fail(core, send, "cut", True, target.run_s)
            return

        def respond() -> None:
            self._deliver_head(core, send, self._head(target, OK, request_id, False))
            stored = world.buffered_response(request_id) if idempotency_key is not None else None
            done = ResponseComplete(send.call_id, send.number, 10, stored)
            self._complete(core, send, target, done, LINK_LATENCY_S)

        world.after(target.run_s, respond)

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
                self._fail(core, send, "cut", True, LINK_LATENCY_S)
                return
            if core.cfg.name in world.paused:
                world.after(MAX_EVENTS_WAIT_S, end)
                return
            self._under_way.get(target.name, {}).pop(key, None)
            world.record_complete(core, send.call_id)
            world.deliver(core.cfg.name, done)

        world.after(delay_s + LINK_LATENCY_S, end)

    def _run_prompt(
        self, core: Gateway, send: SendCall, target: FakeTarget, request_id: str
    ) -> None:
        world = self._world
        submitted = world.submitted[request_id]
        prompt, directives = submitted.head.prompt, send.cache
        if prompt is None or directives is None:
            raise AssertionError("send of a prompt without cache directives")
        target.ran.add(request_id)
        send_key = (core.cfg.name, send.call_id, send.number)
        self._under_way.setdefault(target.name, {})[send_key] = lambda: self._fail(
            core, send, "cut", True, LINK_LATENCY_S
        )
        if target.is_deadly(prompt):
            target.deadly_arrivals.append(world.now_s)
        stores = {store.address: store for store in world.stores.values()}
        first_s = target.queue_prompt(prompt, directives, stores, world.now_s)
        target.waiting += 1
        for block, save in zip(
            prompt.blocks, directives.save or ("",) * len(prompt.blocks), strict=True
        ):
            store = stores.get(save)
            if store is not None:
                key = (directives.namespace, block.block_id)
                delay_s = first_s - world.now_s + SAVE_DELAY_S
                world.after(delay_s, functools.partial(store.save, key, block.tokens))
        world.after(
            first_s - world.now_s,
            functools.partial(self._first_token, core, send, target, target.started_ms),
        )

    def _first_token(
        self, core: Gateway, send: SendCall, target: FakeTarget, started_ms: int
    ) -> None:
        world = self._world
        if target.started_ms != started_ms:
            return
        target.waiting -= 1
        request_id = world.calls[core.cfg.name, send.call_id]
        submitted = world.submitted[request_id]
        if (core.cfg.name, send.call_id, send.number) in self._cancelled:
            return
        if target.dead:
            self._fail(core, send, "cut", True, LINK_LATENCY_S)
            return
        deadly = target.is_deadly(submitted.head.prompt)
        if target.head_first or not deadly:
            self._deliver_head(core, send, self._head(target, OK, request_id, False))
        if deadly:
            after_s = target.crash_after_s
            world.after(CRASH_DELAY_S if after_s is None else after_s, lambda: self.crash(target))
            if after_s is None:
                return
        world.first_token_s.setdefault(request_id, world.now_s - submitted.at_s)
        world.deliver_later(core, LINK_LATENCY_S, FirstEvent(send.call_id, send.number))
        target.running += 1
        decode_s = submitted.out_tokens * TOKEN_GAP_S * target.slowness
        world.after(decode_s, functools.partial(target.end_run, started_ms))
        done = ResponseComplete(send.call_id, send.number, 0, events=submitted.out_tokens)
        self._complete(core, send, target, done, decode_s)

    def crash(self, target: FakeTarget) -> None:
        """End a target and all its work; it starts again later."""
        if target.dead:
            return
        world = self._world
        target.dead = target.crashed = True
        target.crashes.append(world.now_s)
        for key, fail in self._under_way.pop(target.name, {}).items():
            if key not in self._cancelled:
                self._cancelled.add(key)
                fail()
        world.after(target.restart_s, target.start)

    def probe(self, core: Gateway, probe: ProbeTarget) -> None:
        """Deliver whether a target listens."""
        world = self._world
        target = world.targets.get(probe.start.target_id)
        if target is None or target.crashed:
            outcome, delay_s = ProbeOutcome.REFUSED, 2 * LINK_LATENCY_S
        elif target.dead or target.name in world.stalled:
            outcome, delay_s = ProbeOutcome.NO_RESPONSE, CONNECT_TIMEOUT_S
        else:
            outcome, delay_s = ProbeOutcome.ACCEPTED, PROBE_CLOSE_S
        world.deliver_later(core, delay_s, TargetProbed(probe.start, outcome))

    def probe_load(self, core: Gateway, probe: ProbeLoad) -> None:
        """Deliver a target's load, or that it did not answer in time."""
        world = self._world
        target = world.targets.get(probe.start.target_id)
        if target is None or target.dead or target.name in world.stalled:
            head, delay_s = None, probe.timeout_s
        else:
            head, delay_s = self._head(target, OK, "", False), 2 * LINK_LATENCY_S
        probed = LoadProbed(probe.call_id, probe.start, world.now_s, head)
        world.deliver_later(core, delay_s, probed)

    def poll_report(self, core: Gateway, poll: PollReport) -> None:
        """Deliver a runner's report."""
        world = self._world
        target = world.targets.get(poll.target_id)
        if target is None or target.dead or poll.target_id in world.stalled:
            world.deliver_later(core, CONNECT_TIMEOUT_S, ReportFailed(poll.target_id))
            return
        target.arrivals.append(world.now_s)
        busy = world.now_s < target.loading_until_s
        weights = {target.model: target.weights}
        report = ReportReceived(poll.target_id, target.orders, busy, weights, world.now_s)
        world.deliver_later(core, 2 * LINK_LATENCY_S, report)

    def order_weights(self, core: Gateway, order: OrderWeights) -> None:
        """Carry out an order to load weights."""
        world = self._world
        target = world.targets.get(order.target_id)
        if target is None or target.dead or order.target_id in world.stalled:
            world.deliver_later(core, CONNECT_TIMEOUT_S, OrderResponse(order.target_id, None))
            return
        target.arrivals.append(world.now_s)
        if target.orders != order.accepted_orders:
            world.deliver_later(core, LINK_LATENCY_S, OrderResponse(order.target_id, CONFLICT))
            return
        target.orders += 1
        target.accepted_orders.append((world.now_s, order.fence, core.cfg.name))
        target.loading_until_s = world.now_s + SWAP_S
        version = order.version
        world.after(SWAP_S, lambda: setattr(target, "weights", version))
        world.deliver_later(core, LINK_LATENCY_S, OrderResponse(order.target_id, ACCEPTED))

    def poll_cache_events(self, core: Gateway, poll: PollCacheEvents) -> None:
        """Deliver a cache store's events after the requested wait."""
        world = self._world
        sent_at_s = world.now_s

        def respond() -> None:
            store = world.stores[poll.holder]
            if store.dead:
                world.deliver_later(core, 0.0, CacheEventsFailed(poll.holder))
                return
            changes = tuple(store.events[poll.since :])
            clock_ms = int(world.now_s * MS)
            event = CacheEventsReceived(
                poll.holder,
                sent_at_s,
                world.now_s,
                store.start_id,
                len(store.events),
                clock_ms,
                changes,
            )
            world.deliver_later(core, LINK_LATENCY_S, event)

        world.after(min(MAX_EVENTS_WAIT_S, poll.wait_s), respond)

    def list_cache_blocks(self, core: Gateway, listing: ListCacheBlocks) -> None:
        """Deliver a listing of all blocks on a cache store."""
        store = self._world.stores[listing.holder]
        if store.dead:
            return
        held = tuple(store.blocks.items())
        event = CacheBlocksListed(
            listing.holder, self._world.now_s, store.start_id, len(store.events), held, 0
        )
        self._world.deliver_later(core, LINK_LATENCY_S, event)

    def free_blocks(self, core: Gateway, free: FreeBlocks) -> None:
        """Free blocks on a cache store."""
        store = self._world.stores[free.holder]
        if store.dead or free.start_id != store.start_id or free.until_ms < self._world.now_s * MS:
            return
        for key in free.keys:
            store.free(key)
        self._world.deliver_later(core, LINK_LATENCY_S, BlocksFreed(free.holder, free.keys))
