"""How a request uses kept cache: the names of its pieces, who holds them, what to keep after it.

``request.serving`` asks it around each attempt.  What it learns from answers goes to the machines
that estimate waits (``process.backlog``); what it knows of holders comes from the chain's keepers
(``version.catalogue``).
"""

from typing import Final

from filbertstream.actions import (
    Action,
    AwaitDecision,
    ExportPieces,
    ImportHint,
    Log,
    SendPeer,
)
from filbertstream.events import AttemptFinished, PiecesExported
from filbertstream.log_events import LogEvent
from filbertstream.messages import CatalogueAsk, CatalogueNote
from filbertstream.process.directory import Directory, Target
from filbertstream.process.membership import Membership
from filbertstream.process.sharing import Sharing
from filbertstream.request.prefix import piece_names
from filbertstream.request.routing import Decision
from filbertstream.request.run import Attempt, Phase, Run
from filbertstream.units import KV_BYTES_PER_TOKEN, PIECE_TOKENS
from filbertstream.version.catalogue import Catalogue
from filbertstream.version.keeping import choose_store

LOOKUP_WITHIN_S: Final = 0.02
"""How long a request waits for a keeper of its chain; after that it is routed without it."""

PIECE_KV_BYTES: Final = PIECE_TOKENS * KV_BYTES_PER_TOKEN


class CacheUse:
    """Names, lookups, imports, exports and what they teach."""

    def __init__(
        self,
        secret: bytes,
        directory: Directory,
        membership: Membership,
        catalogue: Catalogue,
        sharing: Sharing,
    ) -> None:
        self._secret = secret
        self._directory = directory
        self._membership = membership
        self._catalogue = catalogue
        self._sharing = sharing

    def names(self, run: Run, version: str) -> tuple[str, ...]:
        """Return the names of a prompt's pieces under a weight version."""
        req = run.req
        return piece_names(req.pieces, self._secret, run.workspace, req.target_name, version)

    def look_up(self, run: Run, now_s: float) -> list[Action]:
        """Find out who holds the prompt's pieces; without actions, that is known already."""
        if not run.names:
            return []
        keepers = self._membership.owners(run.names[0], now_s)
        address = self._membership.first_heard(keepers, now_s)
        if address is None:
            run.holdings = self._catalogue.find(run.names)
            return []
        run.phase = Phase.LOOKUP
        ask = CatalogueAsk(run.req.request_id, self._membership.own.address, run.names)
        return [SendPeer(address, ask), AwaitDecision(run.req.request_id, LOOKUP_WITHIN_S)]

    def look_up_here(self, run: Run) -> None:
        """Make do with what this member knows, where no keeper answered in time."""
        run.holdings = self._catalogue.find(run.names)

    def spread(self, now_s: float) -> int:
        """Return how many entries' work the own stands for."""
        return self._sharing.spread(len(self._membership.live(now_s)))

    def sent(self, target: Target, tokens: int, now_s: float) -> None:
        """Count a prompt's tokens against a runner's queue."""
        target.sent(now_s, tokens, self.spread(now_s))
        self._sharing.note(target.name, tokens)

    def _use_link(self, store: Target, pieces: int, now_s: float) -> None:
        moved = pieces * PIECE_KV_BYTES
        store.link.add(now_s, self.spread(now_s) * moved)
        self._sharing.note(store.name, moved)

    def hints(self, run: Run, decision: Decision, now_s: float) -> tuple[ImportHint, ...]:
        """Return where the runner can import pieces from, and count the import on the link."""
        store = self._directory.targets.get(decision.hint_store)
        if store is None:
            return ()
        first, end = decision.chosen.import_pieces
        self._use_link(store, end - first, now_s)
        names = run.names[: decision.hint_depth]
        return tuple(ImportHint(name, store.listed.address) for name in names)

    def observe_wait(self, run: Run, attempt: Attempt, first_byte_s: float) -> None:
        """Learn from a first byte how long its runner's queue was, or its store's link.

        Without an import, what took longer than computing was the queue; with one, what took longer
        than computing and moving was the link, unless the queue was expected to be longer still.
        """
        target = self._directory.targets.get(attempt.target)
        chosen = run.chosen
        if target is None or chosen is None:
            return
        waited_s = first_byte_s - attempt.expected_tokens / target.prefill.rate_per_s
        first, end = chosen.import_pieces
        if first == end:
            target.prefill.observe_wait(attempt.began_s, waited_s)
            return
        store = self._directory.targets.get(chosen.store)
        if store is not None and waited_s > chosen.wait_s:
            moving_s = (end - first) * PIECE_KV_BYTES / store.link.rate_per_s
            store.link.observe_wait(attempt.began_s, waited_s - moving_s)

    def learn_from(self, run: Run, event: AttemptFinished, now_s: float) -> str | None:
        """Learn from a whole answer; return the store that did not deliver, if one didn't."""
        if run.attempt is None or run.chosen is None:
            return None
        target = self._directory.targets.get(run.attempt.target)
        delivered = event.cached_tokens + event.imported_tokens
        if target is not None:
            target.learn_prefill(now_s, event.prompt_tokens - delivered, event.first_byte_s)
        first, end = run.chosen.import_pieces
        if not run.chosen.store or first == end:
            return None
        if event.imported_tokens:
            self._directory.outliers.succeeded(run.chosen.store)
        # A runner that turned out to have all the pieces itself tells nothing of the store.
        missing = delivered < end * PIECE_TOKENS
        return run.chosen.store if missing and not event.imported_tokens else None

    def after_answer(self, run: Run, now_s: float) -> list[Action]:
        """Note who holds the prompt's pieces now, and have them kept if that is worth the link."""
        if run.attempt is None or not run.names:
            return []
        holder = run.attempt.target
        noted = self._note(holder, run.names[0], run.names, now_s)
        return [*noted, *self._keep(run, holder, now_s)]

    def _note(self, holder: str, root: str, names: tuple[str, ...], now_s: float) -> list[Action]:
        """Enter pieces into the catalogues of the chain's keepers."""
        self._catalogue.note(holder, names)
        keepers = self._membership.owners(root, now_s)
        addresses = map(self._membership.address_of, keepers)
        note = CatalogueNote(holder, root, names)
        return [SendPeer(address, note) for address in addresses if address is not None]

    def _keep(self, run: Run, holder: str, now_s: float) -> list[Action]:
        """Order the runner to export the pieces that no store has."""
        kept = max((depth for name, depth in run.holdings if self._is_store(name)), default=0)
        missing = run.names[kept:]
        store = choose_store(self._directory, missing, run.grant.weights, now_s)
        runner = self._directory.targets.get(holder)
        if store is None or runner is None:
            return []
        self._use_link(store, len(missing), now_s)
        return [
            ExportPieces(
                run.req.request_id,
                runner.name,
                runner.listed.address,
                store.name,
                store.listed.address,
                missing,
                kept,
                run.names[0],
                run.weight_version,
            )
        ]

    def _is_store(self, name: str) -> bool:
        target = self._directory.targets.get(name)
        return target is not None and target.listed.kind == "store"

    def on_exported(self, event: PiecesExported, now_s: float) -> list[Action]:
        """Enter published pieces into the catalogue and learn the speed of the link."""
        store = self._directory.targets.get(event.store)
        if store is None or not event.names:
            return []
        store.learn_link(now_s - event.seconds, event.bytes_moved, event.seconds)
        fields = (("store", event.store), ("pieces", len(event.names)))
        actions = self._note(event.store, event.root, event.names, now_s)
        return [*actions, Log(LogEvent.PIECES_KEPT, fields)]
