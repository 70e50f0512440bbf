"""Guards of the detection of crashes, the evidence from them, and the quarantine."""

from typing import Final

from bench.guard import Guard

BEGUN: Final = "tests/test_begun_crashes.py::"

CRASH_GUARDS: Final = (
    Guard(
        "a call that may have crashed its runner is held back",
        "request/crash_reports.py",
        "if blocks and self._is_suspect(kind, blocks, target, begun, now_s):",
        "if False:",
        "tests/test_crash_evidence.py::"
        "test_call_that_may_have_crashed_its_runner_takes_the_next_one",
    ),
    Guard(
        "a call of proven blocks is sent again after a crash",
        "request/crash_reports.py",
        "return not self._evidence.is_proven(kind, blocks, now_s)",
        "return True",
        "tests/test_crash_evidence.py::test_call_of_proven_blocks_is_given_up_after_a_crash",
        "if self._evidence.is_proven(kind, blocks, now_s):",
    ),
    Guard(
        "a response that begins acquits the blocks of its prompt",
        "fleet/block_responses.py",
        "return last is not None and last.at_s >= crashed_s",
        "return False",
        "tests/test_crash_evidence.py::"
        "test_block_with_which_responses_begin_between_crashes_is_convicted",
    ),
    Guard(
        "a response acquits only on the kind of runner that gave it",
        "fleet/block_responses.py",
        "last = self._last.get((kind, block))\n        return last is not None and last.at_s >=",
        "last = next((v for k, v in self._last.items() if k[1] == block), None)\n"
        "        return last is not None and last.at_s >=",
        "tests/test_crash_evidence.py::"
        "test_response_on_older_weights_acquits_a_block_that_crashes_newer_ones",
    ),
    Guard(
        "a response that has only begun does not acquit a block of a crash after an event",
        "fleet/crash_evidence.py",
        "return self.established if prompt.begun else self.begun",
        "return self.begun",
        BEGUN + "test_block_goes_on_crashing_runners_after_their_first_event",
    ),
    Guard(
        "a call whose response has begun is suspected",
        "request/crash_reports.py",
        "blocks = None if call.stage is SendStage.ESTABLISHED else",
        "blocks = None if call.stage in (SendStage.BEGUN, SendStage.ESTABLISHED) else",
        BEGUN + "test_block_goes_on_crashing_runners_after_their_first_event",
    ),
    Guard(
        "a begun response is not sent again if its blocks were at another crash",
        "request/crash_reports.py",
        "return self._evidence.was_at_other_crash(target.start, kind, blocks, now_s)",
        "return False",
        BEGUN + "test_stream_that_crashes_runners_is_resumed_until_its_attempts_are_used",
    ),
    Guard(
        "a begun response is sent again after a single crash",
        "request/crash_reports.py",
        "return self._evidence.was_at_other_crash(target.start, kind, blocks, now_s)",
        "return True",
        BEGUN + "test_sound_stream_that_has_just_begun_is_cut_by_the_end_of_its_runner",
    ),
    Guard(
        "crashes at the same time count as one",
        "fleet/crash_verdicts.py",
        "if not found or at_s - found[-1] >= SEPARATE_S:",
        "if True:",
        "tests/test_crash_evidence.py::test_rack_that_fails_at_once_convicts_a_block",
    ),
    Guard(
        "calls that waited are suspected only if no call had a head",
        "fleet/crash_verdicts.py",
        "if suspected:",
        "if suspected and not head_received:",
        "tests/test_crash_evidence.py::"
        "test_block_of_calls_that_waited_is_convicted_while_another_had_its_head",
    ),
    Guard(
        "a block that was in use needs more crashes",
        "fleet/crash_verdicts.py",
        "needed = CRASHES_TO_CONVICT_KNOWN if known else CRASHES_TO_CONVICT",
        "needed = CRASHES_TO_CONVICT",
        "tests/test_crash_evidence.py::"
        "test_block_that_was_in_use_is_convicted_after_three_crashes",
    ),
    Guard(
        "crashes of a convicted block do not speak against others",
        "fleet/crash_verdicts.py",
        "charge.unexplained += [] if explained else [crash]",
        "charge.unexplained.append(crash)",
        "tests/test_crash_evidence.py::"
        "test_crash_of_a_convicted_block_speaks_against_the_block_before_it",
    ),
    Guard(
        "prompts with a block close to a verdict are sent one at a time",
        "fleet/crash_trials.py",
        "admitted = admitted and due",
        "pass",
        "tests/test_crashing_prompts.py::"
        "test_more_than_three_runners_crash_before_a_block_is_blocked",
    ),
    Guard(
        "a verdict names the blocks that its crashes don't rule out",
        "fleet/crash_verdicts.py",
        "return Verdict(model, block, tuple(targets), self._rivals(key, charges))",
        "return Verdict(model, block, tuple(targets))",
        "tests/test_contested_blocks.py::"
        "test_sound_block_is_refused_for_the_crashes_of_the_block_beside_it",
    ),
    Guard(
        "prompts with some of the contested blocks are not refused",
        "fleet/quarantine.py",
        "entry.record.active and blocks.issuperset(entry.record.rivals)",
        "entry.record.active",
        "tests/test_contested_blocks.py::"
        "test_sound_block_is_refused_for_the_crashes_of_the_block_beside_it",
    ),
    Guard(
        "a single crash does not rule out a contested block",
        "fleet/crash_verdicts.py",
        "EXCLUDING_CRASHES: Final = 2",
        "EXCLUDING_CRASHES: Final = 1",
        "tests/test_contested_blocks.py::"
        "test_unrelated_crash_convicts_the_sound_one_of_two_blocks",
    ),
    Guard(
        "a response clears contested blocks at entries that have lost the evidence",
        "fleet/contested_blocks.py",
        "if suspected[block] or (not crashes[block] and block not in contested.begun)",
        "if suspected[block] or not crashes[block]",
        "tests/test_contested_blocks.py::test_restart_forgets_that_a_sound_block_was_cleared",
    ),
    Guard(
        "entries take turns in trying a block",
        "fleet/crash_trials.py",
        "return min(TURN_S * index, MAX_TURNS_S * (1.0 + index / len(names)))",
        "return 0.0",
        "tests/test_contested_blocks.py::"
        "test_prompts_at_the_same_moment_crash_one_runner_each_time_after_time",
    ),
    Guard(
        "simultaneous crashes are enough for trials",
        "fleet/crash_trials.py",
        "elif len(crashes) < CRASHES_TO_TRY:",
        "elif len({round(crash.at_s) for crash in crashes}) < CRASHES_TO_TRY:",
        "tests/test_contested_blocks.py::"
        "test_prompts_at_the_same_moment_crash_one_runner_each_time_after_time",
    ),
    Guard(
        "a runner that responds has not crashed",
        "fleet/crash_detector.py",
        "del self._suspicions[target.start]",
        "pass",
        "tests/test_crash_evidence.py::"
        "test_runner_that_responds_after_a_broken_response_counts_as_crashed_later",
    ),
    Guard(
        "a new start of a runner confirms its crash",
        "process/target_registrations.py",
        "        self._index.forget(registration.target_id)\n"
        "        return self._on_gone(previous.start, now_s)",
        "        self._index.forget(registration.target_id)\n        return []",
        "tests/test_crash_evidence.py::"
        "test_crash_of_a_runner_that_is_back_before_the_probe_is_missed",
    ),
    Guard(
        "a runner that leaves is not suspected to have crashed",
        "fleet/crash_detector.py",
        "leaves = self._roster.is_leaving(target) or",
        "leaves =",
        "tests/test_crash_evidence.py::test_runner_that_leaves_counts_as_crashed",
    ),
    Guard(
        "of two records of a block the one with the higher generation counts",
        "fleet/quarantine.py",
        "record.generation <= known.record.generation:",
        "False:",
        "tests/test_crash_evidence.py::test_record_of_a_peer_undoes_a_later_release",
    ),
    Guard(
        "an entry that starts refuses prompts until it knows the quarantined blocks",
        "fleet/quarantine.py",
        "return self._waits and now_s - self._started_at_s < START_WAIT_S",
        "return False",
        "tests/test_crash_evidence.py::"
        "test_entry_that_has_not_listed_the_quarantined_blocks_sends_prompts",
    ),
    Guard(
        "a record that is not stored is written again",
        "fleet/quarantine.py",
        "entry.write_at_s = now_s + entry.write_pause_s * (1.0 + self._rng.random())",
        'entry.write_at_s = float("inf")',
        "tests/test_quarantine.py::"
        "test_block_crashes_runners_again_after_all_entries_were_killed",
    ),
    Guard(
        "a response without a length is not whole if its target has crashed",
        "connection/proxied_send.py",
        "if outcome is ProbeOutcome.REFUSED:",
        "if False:",
        "tests/test_unframed_responses.py::test_stream_that_was_broken_off_ends_as_complete",
    ),
    Guard(
        "a stream without a length of which nothing arrived is not whole",
        "connection/proxied_send.py",
        "if self._streams and (events is None or (events.last_id is None and not self._begun)):",
        "if False:",
        "tests/test_unframed_responses.py::test_stream_that_was_broken_off_ends_as_complete",
    ),
)
