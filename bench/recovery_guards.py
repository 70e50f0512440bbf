"""Guards of the recovery from a restore of the object store."""

from typing import Final

from bench.guard import Guard

TESTS: Final = "tests/test_restored_store.py::"

RECOVERY_GUARDS: Final = (
    Guard(
        "confirmations count only once operators have written again",
        "version/config_freshness.py",
        "self._proves_from_s = now_s + SETTLE_S",
        "self._proves_from_s = now_s + 1.0",
        TESTS + "test_key_removed_right_before_a_restore_is_admitted_by_an_entry_that_is_cut_off",
    ),
    Guard(
        "a restore leaves entries ready",
        "version/config_freshness.py",
        "if self.awaits_confirmation(now_s) and self.is_recent(now_s):",
        "if False:",
        TESTS + "test_restore_makes_all_entries_unready_or_refuse_keys",
    ),
    Guard(
        "a listing of a later epoch replaces the view",
        "process/store_view.py",
        "if as_of.epoch > kind.epoch:",
        "if False:",
        TESTS + "test_changes_after_the_return_of_the_store_never_take_effect",
    ),
    Guard(
        "a key that was claimed while records may be missing is given up",
        "request/idempotency_keys.py",
        "if event.revision.epoch != self._complete_epoch():",
        "if False:",
        TESTS + "test_booking_of_the_lost_span_runs_again_at_another_entry",
    ),
    Guard(
        "own records of keys are written again",
        "request/key_journal.py",
        "self._pending = OrderedDict.fromkeys(own, 0.0)",
        "self._pending = OrderedDict()",
        TESTS + "test_booking_of_the_lost_span_runs_again_at_another_entry",
    ),
    Guard(
        "peers write the records of an entry that is dead",
        "request/key_journal.py",
        "return sum(rank(peer, name) > local for peer in confirmed) < BACKUP_WRITERS",
        "return False",
        TESTS + "test_booking_of_the_lost_span_runs_again_at_another_entry",
    ),
    Guard(
        "a fencing number contains the epoch",
        "process/rollout_lease.py",
        "fence = fence.next_in(self._epoch)",
        "fence = fence.next_in(0)",
        TESTS + "test_fence_of_the_lost_span_is_given_out_again",
    ),
    Guard(
        "a leader of a new epoch keeps the gap",
        "process/rollout_lease.py",
        "self._order_from_s = max(self._order_from_s, self._gap_until_s)",
        "pass",
        TESTS + "test_two_leaders_order_within_a_lease_when_the_store_returns",
    ),
    Guard(
        "a target that left stays out although the copy has it",
        "process/target_registrations.py",
        "if registration.draining or registration.start not in self._leaving:",
        "if True:",
        TESTS + "test_target_that_left_in_the_lost_span_is_used_again",
    ),
    Guard(
        "an entry that left is removed again from the copy",
        "process/entry_registrations.py",
        "return left is not None and left < event.revision.epoch",
        "return False",
        TESTS + "test_entry_that_left_in_the_lost_span_is_a_member_again",
    ),
    Guard(
        "an older configuration does not replace that in force after a restore",
        "request/authorization.py",
        "return config.generation < self.config.generation",
        "return False",
        TESTS + "test_documents_accepted_in_the_lost_span_are_undone",
    ),
    Guard(
        "an entry that starts after a restore ignores confirmations at first",
        "process/store_recovery.py",
        "if 0 < known < self.epoch or self._is_unsettled():",
        "if False:",
        TESTS + "test_entry_that_starts_after_the_return_takes_the_copy_for_current",
    ),
    Guard(
        "the first call on a silent connection ends the reads on older ones",
        "platform/objects.py",
        "self._connections.interrupt_reads(sent_at_s)",
        "pass",
        "tests/test_platform_objects.py::"
        "test_watch_goes_on_after_other_connections_have_gone_silent",
    ),
    Guard(
        "the head of a runner's response has a limit in time",
        "platform/runner_calls.py",
        "TrackedConnections(RESPONSE_TIMEOUT_S)",
        "TrackedConnections()",
        "tests/test_endless_bytes.py::"
        "test_report_whose_head_arrives_byte_by_byte_holds_its_thread",
    ),
    Guard(
        "a runner is asked for one report at a time",
        "version/rollout.py",
        "interval_s = CALL_TIMEOUT_S if swap.awaits_report else POLL_INTERVAL_S",
        "interval_s = POLL_INTERVAL_S",
        "tests/test_rollout.py::test_runner_is_asked_again_while_its_report_is_awaited",
    ),
    Guard(
        "runners without a report hold up no others",
        "version/rollout.py",
        "swapping = sum(now_s - swap.reported_at_s < NO_REPORT_S for swap in begun)",
        "swapping = len(begun)",
        "tests/test_rollout.py::test_runners_without_a_report_keep_the_others_from_their_weights",
    ),
)
