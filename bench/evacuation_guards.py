"""Guards of evacuations and allowed regions."""

from typing import Final

from bench.guard import Guard

EVACUATION_GUARDS: Final = (
    Guard(
        "an evacuated target gets no request",
        "request/eligibility.py",
        "return deps.roster.is_evacuated(target)",
        "return False",
        "tests/test_evacuations.py::" "test_evacuated_targets_get_no_first_send",
    ),
    Guard(
        "an evacuated runner gets no weight orders",
        "version/rollout.py",
        "            and not self._roster.is_evacuated(target)\n",
        "",
        "tests/test_evacuations.py::"
        "test_evacuated_runner_gets_no_weight_orders_and_does_not_hold_up_the_others",
    ),
    Guard(
        "nothing is fetched from an evacuated runner",
        "request/prompt_placer.py",
        "return frozenset(evacuated) | {",
        "return frozenset() | {",
        "tests/test_evacuations.py::" "test_nothing_is_fetched_from_runners_that_are_evacuated",
    ),
    Guard(
        "an evacuated runner is not probed",
        "fleet/crash_detector.py",
        "if is_new and self._roster.is_evacuated(target):",
        "if False:",
        "tests/test_evacuations.py::" "test_retries_and_resumed_streams_avoid_evacuated_targets",
    ),
    Guard(
        "an entry that starts waits for the evacuations",
        "fleet/evacuations.py",
        "        if not self._listed:\n            return True\n",
        "",
        "tests/test_evacuations.py::"
        "test_entry_that_starts_sends_nothing_before_it_knows_the_evacuations",
    ),
    Guard(
        "an entry that was suspended waits for the evacuations",
        "fleet/evacuations.py",
        "self._resumed_at_s = now_s",
        "pass",
        "tests/test_evacuations.py::"
        "test_suspended_entry_sends_on_an_old_view_only_if_the_store_does_not_respond",
    ),
    Guard(
        "a call that was sent before a suspension waits for the evacuations",
        "request/forwarding.py",
        "if self._deps.roster.evacuations.is_unknown(now_s):",
        "if not call.number and self._deps.roster.evacuations.is_unknown(now_s):",
        "tests/test_evacuations.py::"
        "test_suspended_entry_sends_on_an_old_view_only_if_the_store_does_not_respond",
    ),
    Guard(
        "a restored store ends no evacuation at once",
        "fleet/evacuations.py",
        "if now_s < self._kept_until_s:",
        "if False:",
        "tests/test_evacuations.py::"
        "test_evacuation_lost_by_a_restore_is_kept_until_operators_have_written_again",
    ),
    Guard(
        "a kind that a relay does not follow is read from the store",
        "process/relayed_view.py",
        "self._direct_reads |= self._newer_kinds - {item.kind for item in response.kinds}",
        "pass",
        "tests/test_evacuations.py::"
        "test_follower_of_a_relay_of_an_older_build_reads_the_kind_itself",
    ),
    Guard(
        "nothing is written to a target that was evacuated after the choice",
        "connection/proxied_send.py",
        "if not self._may_reach(action.target_id):",
        "if False:",
        "tests/test_time_left.py::"
        "test_nothing_is_written_if_the_target_was_evacuated_while_its_connection_opened",
    ),
    Guard(
        "a call leaves no allowed region",
        "request/eligibility.py",
        "return not deps.regions.allows(allowed_regions(call), target.registration.data_center)",
        "return False",
        "tests/test_regions.py::" "test_calls_reach_only_allowed_regions",
    ),
    Guard(
        "nothing is fetched from another region",
        "request/prompt_placer.py",
        "if not self._regions.allows(allowed, center)",
        "if False",
        "tests/test_regions.py::" "test_blocks_are_fetched_from_and_saved_to_allowed_regions_only",
    ),
    Guard(
        "nothing is saved to another region",
        "process/cache_stores.py",
        "if name not in skip and self._knows_contents",
        "if self._knows_contents",
        "tests/test_regions.py::" "test_blocks_are_fetched_from_and_saved_to_allowed_regions_only",
    ),
)
