"""Guards of the request rates and pauses that targets name."""

from typing import Final

from bench.guard import Guard

RATE_GUARDS: Final = (
    Guard(
        "a response ends a limit only if its request was sent after the limit was named",
        "process/request_rates.py",
        "if found.from_s > known.until_s or found.until_s < known.from_s:",
        "if True:",
        "tests/test_rate_admission.py::"
        "test_response_that_was_overtaken_neither_ends_nor_raises_a_limit",
    ),
    Guard(
        "an entry reports only the limits that it has seen itself",
        "process/request_rates.py",
        "if wider >= scope:",
        "if True:",
        "tests/test_rate_admission.py::test_reports_hold_only_what_the_sender_has_seen_itself",
    ),
    Guard(
        "an entry that has just started uses no share of a rate",
        "process/rate_shares.py",
        "return registered_at_s is not None and now_s - registered_at_s >= SETTLE_S",
        "return True",
        "tests/test_rate_shares.py::TestTruthAndViews",
    ),
    Guard(
        "the share of an entry that left stays unused until older views have expired",
        "process/rate_shares.py",
        "frozenset({*self._registered, *self._left_at_s, self._name})",
        "frozenset({*self._registered, self._name})",
        "tests/test_rate_shares.py::"
        "test_share_of_an_entry_that_left_is_taken_over_only_after_older_views_have_expired",
    ),
    Guard(
        "an entry with an old view does not use its whole share",
        "process/rate_shares.py",
        "if self.age_s(now_s) <= VIEW_MAX_AGE_S:",
        "if True:",
        "tests/test_rate_shares.py::"
        "test_entry_with_an_old_view_has_no_share_while_a_peer_is_current",
    ),
    Guard(
        "what was sent before a limit was known counts against it",
        "request/rate_admission.py",
        "return share.burst - min(sent, window_s * share.per_s)",
        "return share.burst",
        "tests/test_rate_admission.py::"
        "test_sends_before_a_limit_was_known_count_against_its_first_window",
    ),
    Guard(
        "every send counts against a target's rate",
        "request/forwarding.py",
        "self._deps.rate_admission.note_send(target, now_s)",
        "pass",
        "tests/test_rate_admission.py::test_every_send_counts_whatever_its_cause",
    ),
    Guard(
        "reports of a runner that loads weights count against its rate",
        "version/rollout.py",
        "            if not self._admission.may_call(target, now_s):\n"
        "                return None\n"
        "            swap.polled_at_s",
        "            swap.polled_at_s",
        "tests/test_request_rates.py::"
        "test_runner_that_loads_weights_gets_no_more_calls_than_its_rate_allows",
    ),
    Guard(
        "a target that named a pause gets no calls until its end",
        "request/eligibility.py",
        "return deps.roster.notices.paused_until_s(target.start, now_s) > now_s",
        "return False",
        "tests/test_target_notices.py::"
        "test_target_that_names_a_pause_gets_nothing_until_its_end",
    ),
    Guard(
        "a later response shortens no pause",
        "process/target_notices.py",
        "max(self._paused_until_s.get(start, 0.0), now_s + pause_s)",
        "now_s + pause_s",
        "tests/test_target_notices.py::"
        "test_shorter_pause_and_success_that_arrive_later_shorten_nothing",
    ),
    Guard(
        "a target that says that it leaves gets no more calls",
        "process/roster.py",
        "or self.notices.is_leaving(target.start)",
        "",
        "tests/test_target_notices.py::" "test_target_that_says_that_it_leaves_gets_no_more_calls",
    ),
    Guard(
        "a runner that named a pause is not polled",
        "version/rollout.py",
        "if swap is None or not self._roster.notices.admits(target.start, now_s):",
        "if swap is None:",
        "tests/test_target_notices.py::test_paused_runner_is_polled",
    ),
    Guard(
        "the shares of a cold target count whole requests in a second",
        "fleet/cold_targets.py",
        "in_a_second = budget // holders",
        "in_a_second = budget",
        "tests/test_rate_shares.py::TestTruthAndViews",
    ),
    Guard(
        "the first requests of the holders of a cold target are spread",
        "request/rate_admission.py",
        "share.burst * (1.0 - share.rank / share.holders)",
        "share.burst",
        "tests/test_cold_targets.py::"
        "test_share_of_the_calls_rises_gradually_after_the_cold_time",
    ),
    Guard(
        "a cold target's limit rises gradually after its cold time",
        "fleet/cold_targets.py",
        "return phase if phase < 1.0 else None",
        "return None",
        "tests/test_cold_targets.py::"
        "test_share_of_the_calls_rises_gradually_after_the_cold_time",
    ),
    Guard(
        "a target that was down begins its slow start after it has responded",
        "fleet/cold_targets.py",
        "        if state.is_down:\n            return RAMP_BEGINS\n",
        "",
        "tests/test_cold_targets.py::"
        "test_slow_start_of_a_target_that_was_down_begins_after_it_has_responded",
    ),
    Guard(
        "a registration from before a broken connection does not refute a restart",
        "fleet/cold_targets.py",
        "if now_s - state.sign_at_s < LATE_REGISTRATION_S:",
        "if False:",
        "tests/test_cold_targets.py::"
        "test_registration_that_was_refreshed_well_after_a_broken_connection_refutes_it",
    ),
)
