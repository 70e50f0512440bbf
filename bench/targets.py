"""The targets' side of the virtual-time driver: attempts, polls, exports and orders.

``bench.world`` hands the core's actions here; the fakes of ``bench.fakes`` say what happens and
when.
"""

from typing import TYPE_CHECKING, Final

from filbertstream.actions import (
    ExportPieces,
    OrderTarget,
    PollTarget,
    ResumeAttempt,
    SendAttempt,
)
from filbertstream.core import Core
from filbertstream.events import (
    AttemptFailed,
    AttemptFinished,
    AttemptStarted,
    LoadReported,
    OrderFinished,
    PiecesExported,
    StoredPiece,
    StoreListed,
    TargetSilent,
)
from filbertstream.units import KV_BYTES_PER_TOKEN, PIECE_TOKENS

if TYPE_CHECKING:
    from bench.world import World

TARGET_S: Final = 0.0005
LOAD_WEIGHTS_S: Final = 0.5


class TargetSide:
    """All targets of a world."""

    def __init__(self, world: "World") -> None:
        self._world = world

    def attempt(self, core: Core, send: SendAttempt) -> None:
        """Carry an attempt out."""
        if send.target in self._world.silent:
            # The answer never comes; only the bound on the first byte tells.
            if send.kind == "service":
                req = self._world.asked[send.request_id].req
                self._world.services[send.target].runs[req.idempotency_key or req.request_id] += 1
            self._fail(core, send, send.first_byte_s, "silent", True)
            return
        if send.kind == "service":
            self._call_service(core, send)
        else:
            self._call_runner(core, send)

    def _fail(self, core: Core, send: SendAttempt, delay_s: float, cause: str, sent: bool) -> None:
        event = AttemptFailed(send.request_id, send.attempt_id, cause, sent, 0)
        self._world.later(core, delay_s, event)

    def _call_service(self, core: Core, send: SendAttempt) -> None:
        service = self._world.services[send.target]
        if service.dead:
            self._fail(core, send, TARGET_S, "unreachable", False)
            return

        def carry_out() -> None:
            req = self._world.asked[send.request_id].req
            service.runs[req.idempotency_key or req.request_id] += 1
            if service.cut_after_run > 0:
                service.cut_after_run -= 1
                self._fail(core, send, TARGET_S, "cut", True)
                return
            finished = AttemptFinished(
                send.request_id, send.attempt_id, 200, 0, 0, 0, service.run_s, b"{}"
            )
            self._world.later(core, TARGET_S, finished)
            self._note_answer(core, send, TARGET_S)

        self._world.after(TARGET_S + service.run_s, carry_out)

    def _note_answer(self, core: Core, send: SendAttempt, delay_s: float) -> None:
        def note() -> None:
            if self._world.cores.get(core.cfg.name) is core:
                self._world.end(send.request_id, "answered", None)

        self._world.after(delay_s, note)

    def _call_runner(self, core: Core, send: SendAttempt) -> None:
        runner = self._world.runners[send.target]
        if runner.dead:
            self._fail(core, send, TARGET_S, "unreachable", False)
            return
        if send.weight_version != runner.weight_version:
            self._fail(core, send, 2 * TARGET_S, "wrong_version", True)
            return
        asked = self._world.asked[send.request_id]
        tokens = asked.req.prompt_tokens
        stores = list(self._world.stores.values())
        served = runner.serve(self._world.now_s + TARGET_S, send, tokens, asked.out_tokens, stores)
        first_s = served.first_token_s + TARGET_S
        first_byte_s = first_s - self._world.now_s
        started = AttemptStarted(send.request_id, send.attempt_id, first_byte_s)
        finished = AttemptFinished(
            send.request_id,
            send.attempt_id,
            200,
            tokens,
            served.cached_tokens,
            served.imported_tokens,
            first_byte_s,
            b"",
        )

        def first() -> None:
            if runner.dead:
                self._fail(core, send, 0.0, "cut", True)
                return
            self._world.first_token_s[send.request_id] = self._world.now_s - asked.at_s
            self._world.later(core, 0.0, started)

        def last() -> None:
            if runner.dead:
                event = AttemptFailed(send.request_id, send.attempt_id, "cut", True, 1)
                self._world.later(core, 0.0, event)
                return
            self._world.later(core, 0.0, finished)
            self._note_answer(core, send, 0.0)

        self._world.after(first_byte_s, first)
        self._world.after(served.end_s + TARGET_S - self._world.now_s, last)

    def resume(self, core: Core, resume: ResumeAttempt) -> None:
        """A fake stream that was cut is gone with its runner."""
        event = AttemptFailed(resume.request_id, resume.attempt_id, "lost", True, resume.offset)
        self._world.later(core, TARGET_S, event)

    def poll(self, core: Core, poll: PollTarget) -> None:
        """Answer a poll."""
        event: LoadReported | StoreListed | TargetSilent
        runner = self._world.runners.get(poll.target)
        store = self._world.stores.get(poll.target)
        if runner is not None and not runner.dead:
            event = runner.report(self._world.now_s)
        elif store is not None and not store.dead:
            pieces = tuple(StoredPiece(name, root) for name, root in store.pieces.items())
            event = StoreListed(poll.target, pieces, store.full)
        else:
            event = TargetSilent(poll.target)
        self._world.later(core, TARGET_S, event)

    def export(self, core: Core, export: ExportPieces) -> None:
        """Move pieces to a store and publish them."""
        store = self._world.stores[export.store]
        runner = self._world.runners[export.runner]
        if store.dead or store.full or runner.dead:
            return
        names = tuple(name for name in export.names if name in runner.cache)
        if not names:
            return
        end_s = store.transfer(self._world.now_s, len(names))
        seconds = end_s - self._world.now_s
        moved = len(names) * PIECE_TOKENS * KV_BYTES_PER_TOKEN

        def published() -> None:
            if not store.dead:
                store.publish(names, export.root)
                event = PiecesExported(export.store, export.root, names, seconds, moved)
                self._world.later(core, 0.0, event)

        self._world.after(seconds, published)

    def order(self, core: Core, order: OrderTarget) -> None:
        """Have a runner load a weight version; fencing numbers are ignored."""
        runner = self._world.runners[order.target]

        def loaded() -> None:
            if runner.dead:
                self._world.later(core, 0.0, OrderFinished(order.target, "failed", ""))
                return
            runner.weight_version = order.weight_version
            runner.cache.clear()
            event = OrderFinished(order.target, "done", order.weight_version)
            self._world.later(core, 0.0, event)

        self._world.after(LOAD_WEIGHTS_S, loaded)
