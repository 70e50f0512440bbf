"""What an entry concludes from crashes: order of reports, detection, weight versions, bounds."""

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from filbertstream.actions import Log
from filbertstream.fleet.block_responses import RunnerKind
from filbertstream.fleet.crash_detector import ProbeOutcome, ProbeTarget, TargetProbed
from filbertstream.fleet.crash_evidence import (
    MAX_CRASHES,
    MAX_PROMPTS,
    CrashEvidence,
    SuspectPrompt,
)
from filbertstream.fleet.crash_facts import BegunFacts, BegunRow, CrashFacts, CrashRow
from filbertstream.fleet.crash_verdicts import CrashVerdicts, Verdict
from filbertstream.fleet.facts import encode_rows
from filbertstream.fleet.quarantine import (
    START_WAIT_S,
    Quarantine,
    QuarantineListed,
    QuarantineObserved,
    QuarantineRecord,
    QuarantineRow,
)
from filbertstream.fleet.scope import Scope
from filbertstream.gateway_events import PeerMessage, TargetObserved
from filbertstream.log_events import LogEvent
from filbertstream.messages import EntryWork, decode, encode
from filbertstream.process.counters import Counters
from filbertstream.process.target_registration import TargetStart
from filbertstream.request.call_events import (
    FirstEvent,
    RespondLocally,
    ResponseComplete,
    ResponseStarted,
    SendCall,
    SendFailed,
)
from tests.gateway_world import RUNNERS, World, response_head, sends, statuses
from tests.helpers import rev

KIND = RunnerKind("models", "m", 1)


def evidence() -> tuple[CrashEvidence, CrashVerdicts]:
    found = CrashEvidence(lambda model, block: False)
    return found, CrashVerdicts(found, lambda model, block: False)


def crash(
    found: CrashEvidence, at_s: float, *blocks: str, head: bool = True, kind: RunnerKind = KIND
) -> None:
    start = TargetStart(f"r{at_s}", 1)
    found.add(start, kind, [SuspectPrompt(head, blocks)], at_s, at_s)


def crash_row(number: int, age_s: float, *blocks: str) -> CrashRow:
    return CrashRow(f"r{number}", 1, *KIND, age_s, (SuspectPrompt(True, blocks),))


ROWS: list[Any] = [
    crash_row(1, 9.0, "popular", "deadly"),
    crash_row(2, 6.0, "popular", "deadly"),
    crash_row(3, 3.0, "popular", "deadly"),
    crash_row(3, 3.0, "popular", "other"),
    BegunRow(*KIND, "popular", 1.0),
    BegunRow(*KIND, "other", 2.0),
]


@given(st.lists(st.sampled_from(ROWS), min_size=0, max_size=12), st.permutations(ROWS))
def test_verdict_depends_on_the_order_or_number_of_reports(
    repeated: list[Any], rows: list[Any]
) -> None:
    """Peers tell the same crashes and begun responses more than once, in any order."""
    found, verdicts = evidence()
    for row in [*rows, *repeated]:
        holder: Any = CrashFacts(found) if isinstance(row, CrashRow) else BegunFacts(found)
        holder.take([row], Scope.FLEET, 10.0)
    assert verdicts.verdict(11.0) == Verdict("m", "deadly", ("r1", "r2", "r3"))


def test_crash_that_several_entries_tell_counts_more_than_once() -> None:
    """Eight entries saw the same crash, each with the same block."""
    found, verdicts = evidence()
    for number in range(8):
        CrashFacts(found).take([crash_row(1, 1.0 + number, "deadly")], Scope.FLEET, 10.0)
    assert verdicts.verdict(11.0) is None


def test_rack_that_fails_at_once_convicts_a_block() -> None:
    """Three runners end within 50 ms, each with a call that has the same block."""
    found, verdicts = evidence()
    for at_s in (9.0, 9.02, 9.05):
        crash(found, at_s, "rare")
    assert verdicts.verdict(10.5) is None


def test_block_of_calls_that_waited_is_convicted_while_another_had_its_head() -> None:
    """A sound prompt waits at each runner that another prompt crashes."""
    found, verdicts = evidence()
    for at_s in (1.0, 5.0, 9.0):
        crash(found, at_s, "rare", head=False)
        crash(found, at_s, "deadly")
    verdict = verdicts.verdict(10.0)
    assert verdict is not None
    assert verdict.block_id == "deadly"


def test_response_on_older_weights_acquits_a_block_that_crashes_newer_ones() -> None:
    """Half of the runners have new weights, at which a block crashes."""
    found, verdicts = evidence()
    newer = KIND._replace(weights=2)
    for at_s in (1.0, 5.0, 9.0):
        crash(found, at_s, "deadly", kind=newer)
        found.note_begun(KIND, ("deadly",), at_s + 1.0, at_s + 1.0)
    assert verdicts.verdict(10.5) is not None


def test_block_that_was_in_use_is_convicted_after_three_crashes() -> None:
    """Responses with a block began until shortly before; it may become deadly all the same."""
    found, verdicts = evidence()
    found.note_begun(KIND, ("known",), 0.5, 0.5)
    for at_s in (1.0, 5.0, 9.0, 13.0):
        crash(found, at_s, "known")
        assert verdicts.verdict(at_s + 0.5) is None
    crash(found, 17.0, "known")
    assert verdicts.verdict(17.5) is not None


def test_block_with_which_responses_begin_between_crashes_is_convicted() -> None:
    """A block is at each of many crashes, and in responses that begin after each."""
    found, verdicts = evidence()
    for number in range(8):
        at_s = 1.0 + 4.0 * number
        crash(found, at_s, "sound")
        assert verdicts.verdict(at_s + 0.5) is None
        found.note_begun(KIND, ("sound",), at_s + 1.0, at_s + 1.0)


def test_crash_of_a_convicted_block_speaks_against_the_block_before_it() -> None:
    """A rare block was in all prompts that crashed runners, then in a crash without the other."""
    found = CrashEvidence(lambda model, block: block == "deadly")
    verdicts = CrashVerdicts(found, lambda model, block: block == "deadly")
    for at_s in (1.0, 5.0, 9.0):
        crash(found, at_s, "rare", "deadly")
    assert verdicts.verdict(10.0) is None
    crash(found, 13.0, "rare", "new")
    verdict = verdicts.verdict(13.5)
    assert verdict is not None
    assert verdict.block_id == "rare"


def test_evidence_grows_with_crashes_prompts_and_blocks() -> None:
    """Callers send endless blocks with long ids to runners that crash all the time."""
    found, _ = evidence()
    for number in range(3 * MAX_CRASHES):
        prompts = [SuspectPrompt(False, (f"{number} {item}" * 2,)) for item in range(100)]
        found.add(TargetStart("r", number), KIND, prompts, float(number), float(number))
        found.note_begun(KIND, (f"b{number}",), float(number), float(number))
    assert found.suspect(KIND, True, ("x" * 10_000,), 0.0) is None
    rows = CrashFacts(found).rows(Scope.LOCAL, 200.0)
    assert len(rows) <= 12
    assert max(len(row.prompts) for row in rows) <= MAX_PROMPTS
    work = EntryWork("e", ())
    assert decode(encode(work)) == work


def test_record_of_a_peer_undoes_a_later_release() -> None:
    """A peer that has not heard of a release tells the record from before it."""
    quarantine = Quarantine("e1", False, Counters(), random.Random(1))
    active = QuarantineRecord("m", "b", 1, True, "e2")
    released = QuarantineRecord("m", "b", 2, False, "operator")
    quarantine.on_observed(QuarantineObserved(released.name, released, rev(7)), 1.0)
    quarantine.take([QuarantineRow(active, 0.0)], Scope.FLEET, 2.0)
    assert not quarantine.is_active("m", "b")


class StartingWorld(World):
    """An entry that has its configuration and has not listed the quarantined blocks yet."""

    listed = False


def test_entry_that_has_not_listed_the_quarantined_blocks_sends_prompts() -> None:
    """An entry starts; its object store responds for one kind and not yet for another."""
    world = StartingWorld()
    actions = world.arrive("draft")
    assert statuses(actions) == [503]
    assert sends(world.arrive("read"))
    world.step(QuarantineListed(frozenset()))
    assert sends(world.arrive("draft"))


def test_entry_that_can_never_list_the_quarantined_blocks_refuses_prompts_for_ever() -> None:
    """The object store never responds for that kind."""
    world = StartingWorld()
    assert statuses(world.arrive("draft")) == [503]
    world.run(START_WAIT_S + 0.2)
    assert sends(world.arrive("draft"))


class CrashWorld(World):
    """One entry whose calls are cut off."""

    def cut_off(self, send: SendCall, head: bool = False, begun: bool = False) -> list[Any]:
        actions = []
        if head or begun:
            actions += self.step(ResponseStarted(send.call_id, send.number, response_head()))
        if begun:
            actions += self.step(FirstEvent(send.call_id, send.number))
        failed = SendFailed(send.call_id, send.number, "cut", True, head or begun, None)
        return actions + self.step(failed)

    def probed(self, actions: list[Any], outcome: ProbeOutcome) -> list[Any]:
        (probe,) = [item for item in actions if isinstance(item, ProbeTarget)]
        return self.step(TargetProbed(probe.start, outcome)) + self.run(0.2)

    def logs(self, event: Any) -> list[LogEvent]:
        actions = self.core.step(self.now_s, event)
        return [LogEvent(item.number) for item in actions if isinstance(item, Log)]


@pytest.mark.parametrize("head", [False, True])
def test_call_that_may_have_crashed_its_runner_takes_the_next_one(head: bool) -> None:
    """A prompt with a block that is in no begun response is cut off, and nobody listens."""
    world = CrashWorld()
    actions = world.cut_off(sends(world.arrive("draft"))[0], head)
    assert not sends(actions)
    actions += world.probed(actions, ProbeOutcome.REFUSED) + world.run(0.5)
    assert not sends(actions)
    assert world.core.counters.get("retries_withheld") == 1
    assert statuses(actions) == ([] if head else [502])


def test_call_of_proven_blocks_is_given_up_after_a_crash() -> None:
    """A response with the same shared block began before, so the call is sent again at once."""
    world = CrashWorld()
    first = sends(world.arrive("draft"))[0]
    world.step(ResponseStarted(first.call_id, first.number, response_head()))
    world.step(FirstEvent(first.call_id, first.number))
    assert sends(world.cut_off(sends(world.arrive("draft"))[0], head=True))


def test_call_is_given_up_after_a_broken_response_of_a_runner_that_runs() -> None:
    """A response is cut off while the runner still listens."""
    world = CrashWorld()
    actions = world.cut_off(sends(world.arrive("draft"))[0], head=True)
    assert sends(world.probed(actions, ProbeOutcome.ACCEPTED))
    assert not world.core.crash_watch.evidence.suspected_blocks


def test_runner_that_responds_after_a_broken_response_counts_as_crashed_later() -> None:
    """A connection is reset; the runner goes on, and leaves as planned a few seconds later."""
    world = CrashWorld()
    send, other = (sends(world.arrive("draft"))[0] for _ in range(2))
    world.cut_off(send)
    if other.target_id == send.target_id:
        other = sends(world.arrive("draft"))[0]
    world.run(0.5)
    for call in (sends(world.arrive("draft"))[0] for _ in range(4)):
        world.step(ResponseStarted(call.call_id, call.number, response_head()))
        world.step(FirstEvent(call.call_id, call.number))
        world.step(ResponseComplete(call.call_id, call.number, 1))
    gone = world.logs(TargetObserved(send.target_id, None, True))
    assert LogEvent.TARGET_CRASHED not in gone


@pytest.mark.parametrize("restarted", [False, True])
def test_crash_of_a_runner_that_is_back_before_the_probe_is_missed(restarted: bool) -> None:
    """The probe is accepted, by a new start or a proxy; the registration shows the crash."""
    world = CrashWorld()
    send = sends(world.arrive("draft"))[0]
    actions = world.cut_off(send, head=True)
    (probe,) = [item for item in actions if isinstance(item, ProbeTarget)]
    world.step(TargetProbed(probe.start, ProbeOutcome.ACCEPTED))
    registered = next(item for item in RUNNERS if item.target_id == send.target_id)
    again = registered._replace(started_ms=2) if restarted else None
    logs = world.logs(TargetObserved(send.target_id, again, again is None))
    assert LogEvent.TARGET_CRASHED in logs


def test_runner_that_leaves_counts_as_crashed() -> None:
    """A runner is draining when its calls are cut off."""
    world = CrashWorld()
    send = sends(world.arrive("draft"))[0]
    registered = next(item for item in RUNNERS if item.target_id == send.target_id)
    world.step(TargetObserved(send.target_id, registered._replace(draining=True), False))
    actions = world.cut_off(send)
    assert not [item for item in actions if isinstance(item, ProbeTarget)]


def test_message_with_unknown_or_malformed_facts_is_dropped() -> None:
    """A newer build sends a kind of fact that this one does not know, and one it can't read."""
    world = CrashWorld()
    good = EntryWork("e2", (), facts={"of a newer build": encode_rows([1])})
    bad = EntryWork("e2", (), facts={"crashes": encode_rows([1])})
    for message in (good, bad):
        world.step(PeerMessage(decode(encode(message))))
    assert world.core.counters.get("peer_facts_malformed", "crashes") == 1
    assert isinstance(world.arrive("draft")[0], SendCall | RespondLocally)
