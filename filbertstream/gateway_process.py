"""The composition root of an entry: creates, connects, starts and closes its components.

An entry serves callers either in the protocol of the targets, as the users' platform requires, or
through the ``/v1`` API of ``product``.  The core and everything below it are the same for both.
"""

import asyncio
import contextlib
import math
import signal
import time
from collections.abc import Awaitable, Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok

from filbertstream.actions import Log
from filbertstream.connection.address_wait import ADDRESS_WAIT_S, AddressWait
from filbertstream.connection.buffer_budget import BUFFER_FRACTION
from filbertstream.connection.caller_listener import CallerListener, CallerPort
from filbertstream.connection.connection_limit import BYTES_PER_MB
from filbertstream.connection.gateway_io import GatewayIO
from filbertstream.connection.gateway_status import (
    StatusConnection,
    listen_for_status,
    metrics_text,
)
from filbertstream.connection.idempotency_key_store import IdempotencyKeyStore
from filbertstream.connection.key_actions import KeyActions
from filbertstream.connection.kind_rows import publish_kind
from filbertstream.connection.kind_watcher import KindWatcher, WatchGate
from filbertstream.connection.loop_exception_handler import LoopExceptionHandler
from filbertstream.connection.loop_lateness import LoopLateness
from filbertstream.connection.object_writes import ObjectWrites
from filbertstream.connection.peer_host import PeerHost
from filbertstream.connection.peer_link import PeerLink
from filbertstream.connection.peer_traffic import PeerTraffic
from filbertstream.connection.target_orders import TargetOrders
from filbertstream.connection.watched_kinds import (
    watched_kinds,
)
from filbertstream.core_config import core_config
from filbertstream.gateway import Gateway
from filbertstream.gateway_events import (
    BoundsChanged,
    PublishKind,
    StopProcess,
    StopRequested,
    StoreEpochObserved,
    Tick,
)
from filbertstream.log_events import LogEvent
from filbertstream.platform.objects import ObjectStore
from filbertstream.platform.runner_calls import RunnerCalls
from filbertstream.platform.settings_file import read_settings_file
from filbertstream.process.allocator import limit_fragmentation
from filbertstream.process.clock import boot_time_s
from filbertstream.process.deployment import Deployment
from filbertstream.process.logs import BoundedStream, EventLog
from filbertstream.process.store_recovery import SETTLE_S
from filbertstream.process.store_view import KindDelta
from filbertstream.process.watched_file import WatchedFile

if TYPE_CHECKING:
    # Imported only by entries that serve the /v1 API, since imports delay every start.
    from filbertstream.product import Product, ProductSetup

TICK_S: Final = 0.025
"""Interval of ticks while calls run; a fraction of the shortest timeout of a call."""

IDLE_TICK_S: Final = 0.1
"""Interval of ticks while no call runs; the arrival of a call ends the pause."""

HOUSEKEEPING_S: Final = 0.5
"""Interval of closing idle connections and checking for changed files."""

SETTLING_WAIT_S: Final = 0.2
"""The wait of watches soon after a restore, and while the evacuations are unknown: the first
confirmations that count are awaited."""

CALL_THREADS: Final = 4

MIN_CLOSE_S: Final = 0.1
"""Operators' requests may go on for this long at the end of the grace."""

MAX_INLINE_DECODE_BYTES: Final = 65_536
"""Objects up to this size are decoded on the event loop, which takes a few milliseconds."""

KEY_THREADS: Final = 8
"""Bounds concurrent claims of idempotency keys; each waits for an object store response."""

BALANCER_DELAY_S: Final = 3.0
"""The time within which the load balancer notices that a stopping entry is not ready."""

NANOSECONDS_PER_MILLISECOND: Final = 1_000_000


class GatewayProcess:
    """One entry: its components and their lifecycle; ``setup`` adds the ``/v1`` API."""

    def __init__(
        self,
        deployment: Deployment,
        settings_file: WatchedFile,
        setup: "ProductSetup | None" = None,
        address_wait_s: float = ADDRESS_WAIT_S,
    ) -> None:
        self.deployment = deployment
        self._address_wait_s = address_wait_s
        self._settings_file = settings_file
        self._stream = BoundedStream()
        self._setup = setup
        level = "info" if setup is None else setup.log_level
        self._log = EventLog(deployment.name, level, self._stream)
        incarnation = time.time_ns() // NANOSECONDS_PER_MILLISECOND
        kinds = (
            watched_kinds(deployment.bounds) if setup is None else setup.kinds(deployment.bounds)
        )
        self._watched = {watched.kind: watched for watched in kinds}
        cfg = core_config(deployment, incarnation, kinds)
        self.core = Gateway(cfg._replace(has_documents=setup is not None))
        self.gateway_io = GatewayIO(
            self.core,
            self._write_log,
            self._set_broken,
            int(BUFFER_FRACTION * deployment.memory_mb * BYTES_PER_MB),
        )
        store_ca = None if setup is None else setup.store_ca
        self._object_store = ObjectStore(
            deployment.object_store,
            store_ca,
            lambda epoch: self.emit_soon(StoreEpochObserved(epoch)),
        )
        self._lateness = LoopLateness(self.core.latencies, self._write_log)
        self._keys = IdempotencyKeyStore(self._object_store)
        targets_ca = None if setup is None else setup.targets_ca
        self._runners = RunnerCalls(f"{deployment.name}#{incarnation:x}", targets_ca)
        self._workers = ThreadPoolExecutor(CALL_THREADS, thread_name_prefix="calls")
        self._runner_workers = ThreadPoolExecutor(CALL_THREADS, thread_name_prefix="runners")
        self._key_workers = ThreadPoolExecutor(KEY_THREADS, thread_name_prefix="keys")
        self._decoder = ThreadPoolExecutor(1, thread_name_prefix="decoder")
        self._pending_decodes = 0
        self._loop: asyncio.AbstractEventLoop | None = None
        self._servers: list[asyncio.Server | CallerListener] = []
        self.broken = ""
        self._checks: dict[StatusConnection, None] = {}
        self._gate = WatchGate(self._watched)
        self._product: Product | None = None
        if setup is not None:
            self._product = setup.build(
                self.core, self.gateway_io, self._object_store, self._metrics
            )
        self._peers: PeerLink | None = None
        if deployment.peers is not None:
            host = PeerHost(self.gateway_io.handlers, self.emit_soon)
            address = f"tcp://{deployment.peers}"
            key_file = None if self._product is None else self._product.peer_key_file
            traffic = PeerTraffic(deployment.link_mbps, self.core.counters, self._write_log)
            self._peers = PeerLink(address, key_file, self.core.counters, host, traffic)
        writes = ObjectWrites(self._object_store, self._submit, self.emit_soon)
        self.gateway_io.handlers.update(writes.handlers())
        self.gateway_io.handlers[PublishKind] = self._publish_kind
        orders = TargetOrders(self.core, self._runners, self._submit_runner_call, self.emit_soon)
        self.gateway_io.handlers.update(orders.handlers())
        documents = None if self._product is None else self._product.documents
        key_actions = KeyActions(self._keys, documents, self._submit_key_call, self.emit_soon)
        self.gateway_io.handlers.update(key_actions.handlers())
        self.gateway_io.handlers[StopProcess] = lambda action: self._on_stop()

    def run(self) -> bool:
        """Serve until SIGTERM or SIGINT and drain; return False if an invariant was violated."""
        limit_fragmentation()
        try:
            asyncio.run(self._run())
        finally:
            self._stream.close()
        return not self.broken

    def _set_broken(self, reason: str) -> None:
        """Request the end of the process: its state may be corrupt, and a new one replaces it."""
        self.broken = self.broken or reason

    def _submit(self, work: Callable[..., object], *args: Any) -> None:
        """Run a blocking call on a worker thread."""
        self._submit_to(self._workers, work, *args)

    def _submit_runner_call(self, work: Callable[..., object], *args: Any) -> None:
        self._submit_to(self._runner_workers, work, *args)

    def _submit_key_call(self, work: Callable[..., object], *args: Any) -> None:
        self._submit_to(self._key_workers, work, *args)

    def _submit_to(
        self, workers: ThreadPoolExecutor, work: Callable[..., object], *args: Any
    ) -> None:
        workers.submit(work, *args).add_done_callback(self._on_worker_done)

    def _on_worker_done(self, done: Future[object]) -> None:
        if not done.cancelled() and (exc := done.exception()) is not None:
            self._set_broken(f"worker: {exc!r}")

    async def _run(self) -> None:
        loop = self._loop = asyncio.get_running_loop()
        loop.set_exception_handler(LoopExceptionHandler(self.core.counters, self._set_broken))
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._on_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._stream.start()
        with contextlib.ExitStack() as cleanup:
            # Waiting for these threads would block the exit of a process that can't continue.
            cleanup.callback(self._key_workers.shutdown, wait=False, cancel_futures=True)
            cleanup.callback(self._workers.shutdown, wait=False, cancel_futures=True)
            cleanup.callback(self._runner_workers.shutdown, wait=False, cancel_futures=True)
            cleanup.callback(self._decoder.shutdown, wait=False, cancel_futures=True)
            if self._peers is not None:
                cleanup.callback(self._peers.close)
            if self._product is not None:
                cleanup.callback(self._close_product, self._product)
            try:
                if await self._listen_all():
                    await self._serve()
            finally:
                self._close_callers()
                # The event loop closes the sockets in its next turn; the cleanup may block it.
                await asyncio.sleep(0)
        self._log.write(LogEvent.ENTRY_CLOSED, (("broken", self.broken),))

    async def _serve(self) -> None:
        """Watch the object store and send ticks until the process may end."""
        self._update_gate(boot_time_s())
        watchers = [
            KindWatcher.start(
                self._object_store, watched, self.emit_soon, self._set_broken, self._gate
            )
            for watched in self._watched.values()
        ]
        self._log.write(LogEvent.ENTRY_STARTED, (("data_center", self.deployment.data_center),))
        await self._send_ticks()
        for watcher in watchers:
            watcher.stop(block=False)

    def _close_product(self, product: "Product") -> None:
        left_s = self.core.stopping.exits_at_s - boot_time_s()
        product.close(max(left_s, MIN_CLOSE_S))

    def _close_callers(self) -> None:
        for server in self._servers:
            server.close()
        self.gateway_io.close()

    async def _listen_all(self) -> bool:
        """Listen on all addresses, for callers last; return False if the process stops before.

        Raises ``OSError`` if an address stays in use.
        """
        deployment, product = self.deployment, self._product
        wait = AddressWait(self._address_wait_s, self._is_stopping, self._write_log)
        starts = []
        if self._peers is not None and deployment.peers is not None:
            starts.append((deployment.peers, self._peers.start))
        if product is not None:
            starts.append((product.operators, product.start))
        for address, start in starts:
            if not await wait.listen(address, start):
                return False
        for status in (deployment.readiness, deployment.metrics):
            if status is not None and not await self._listen(
                listen_for_status(wait, status, self._new_status)
            ):
                return False
        protocol, tls = self.gateway_io.new_connection, None
        if product is not None:
            protocol, tls = product.callers.new_connection, product.callers_tls
        callers = CallerPort(deployment, self.gateway_io, protocol, tls, self._set_broken)
        return await self._listen(callers.listen(wait))

    async def _listen(self, opening: Awaitable[asyncio.Server | CallerListener | None]) -> bool:
        server = await opening
        if server is None:
            return False
        self._servers.append(server)
        return not self._is_stopping()

    def _is_stopping(self) -> bool:
        return self.core.stopping.begun

    def _new_status(self) -> StatusConnection:
        return StatusConnection(lambda: self.core.ready(boot_time_s()), self._metrics, self._checks)

    def _metrics(self) -> bytes:
        return metrics_text(self.core, self.gateway_io, self._object_store, self._stream.dropped)

    async def _send_ticks(self) -> None:
        """Send ticks to the core until the process may end."""
        housekeeping_at_s = 0.0
        while not self._may_end() and not self.broken:
            await self._wait_for_tick()
            self.gateway_io.emit(Tick())
            self.gateway_io.relieve()
            now_s = boot_time_s()
            self._update_gate(now_s)
            if now_s >= housekeeping_at_s:
                housekeeping_at_s = now_s + HOUSEKEEPING_S
                self.gateway_io.sweep()
                self._reload_certificates()
                if self._settings_file.changed:
                    self._reload()

    async def _wait_for_tick(self) -> None:
        """Wait until the next tick, for longer while the core is idle."""
        if not self.core.busy:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.gateway_io.call_started.wait(), IDLE_TICK_S)
        self.gateway_io.call_started.clear()
        self._lateness.begin(TICK_S)
        await asyncio.sleep(TICK_S)
        self._lateness.end()

    def _may_end(self) -> bool:
        stopping, now_s = self.core.stopping, boot_time_s()
        if stopping.since_s is None:
            return False
        if now_s > stopping.exits_at_s:
            return True
        if now_s < stopping.since_s + BALANCER_DELAY_S:
            return False
        self.gateway_io.close_idle()
        return not self.gateway_io.connections and not self.core.idempotency_keys.unsettled

    def _on_stop(self) -> None:
        if not self.core.stopping.begun:
            self.gateway_io.stopping = True
            self.gateway_io.emit(StopRequested())

    def _reload(self) -> None:
        """Reload the settings; only bounds change, as the process listens on the old addresses."""
        read = read_settings_file if self._setup is None else self._setup.read
        match self._settings_file.read(read):
            case Ok(deployment):
                self.deployment = self.deployment._replace(bounds=deployment.bounds)
                self.gateway_io.emit(BoundsChanged(deployment.bounds))
                self._log.write(LogEvent.SETTINGS_RELOADED)
            case Err(errors):
                fields = (("mistakes", "; ".join(str(error) for error in errors)),)
                self._log.write(LogEvent.SETTINGS_REJECTED, fields)

    def _reload_certificates(self) -> None:
        for used in [] if self._product is None else self._product.reload():
            event = LogEvent.CERTIFICATE_RELOADED if used else LogEvent.CERTIFICATE_REJECTED
            self._log.write(event)

    def _write_log(self, action: Log) -> None:
        self._log.write(action.number, action.fields)
        if self._product is not None:
            self._product.recent.note(action)

    def emit_soon(self, event: Any) -> None:
        """Emit an event to the core from any thread."""
        loop = self._loop
        if loop is not None and not loop.is_closed():
            loop.call_soon_threadsafe(self.gateway_io.emit, event)

    def _update_gate(self, now_s: float) -> None:
        """Make the watchers read the kinds that no relay provides."""
        relayed_view = self.core.relayed_view
        idle = frozenset(kind for kind in self._watched if not relayed_view.reads_kind(kind, now_s))
        restored = self.core.recovery.restored_for_s(now_s) < SETTLE_S
        unconfirmed = self.core.config_freshness.awaits_confirmation(now_s)
        settling = restored or unconfirmed or self.core.evacuations.is_unknown(now_s)
        self._gate.max_wait_s = SETTLING_WAIT_S if settling else math.inf
        relays = self.core.relays
        serves_peers = relays.serves_peers(now_s)
        self._gate.set(idle, serves_peers, not (serves_peers or relays.small_fleet))

    def _publish_kind(self, action: PublishKind) -> None:
        """Decode objects and emit them to the core, large ones on a thread of their own.

        Whatever follows a large object is queued behind it, since a confirmation must not overtake
        the object that it confirms.
        """
        delta = action.taken
        size = sum(len(row.content or b"") for row in delta.rows)
        if not self._pending_decodes and size <= MAX_INLINE_DECODE_BYTES:
            publish_kind(self._watched[delta.kind], delta, self.gateway_io.emit)
            return
        self._pending_decodes += 1
        self._submit_to(self._decoder, self._decode, delta)

    def _decode(self, delta: KindDelta) -> None:
        publish_kind(self._watched[delta.kind], delta, self.emit_soon)
        if self._loop is not None:
            self._loop.call_soon_threadsafe(self._decoded)

    def _decoded(self) -> None:
        self._pending_decodes -= 1
