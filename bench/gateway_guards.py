"""Guards of the core, the relays and the connections."""

from typing import Final

from bench.guard import Guard

GATEWAY_GUARDS: Final = (
    Guard(
        "a key needs a configuration that was confirmed within the bound",
        "request/authorization.py",
        "if not self._config_freshness.admits_keys(now_s):",
        "if False:",
        "tests/test_gateway_core.py::"
        "test_no_key_is_admitted_when_the_configuration_is_not_confirmed_within_the_bound",
    ),
    Guard(
        "the age of a confirmation counts from its send",
        "process/config_observer.py",
        "if not self._freshness.confirm(sent_at_s)",
        "if not self._freshness.confirm(now_s)",
        "tests/test_gateway_core.py::"
        "test_age_of_a_configuration_counts_from_when_its_request_was_sent",
    ),
    Guard(
        "only a current configuration denies a route",
        "request/authorization.py",
        'return Refused(NOT_FOUND, "no_route") if current else self._stale(now_s)',
        'return Refused(NOT_FOUND, "no_route")',
        "tests/test_gateway_core.py::"
        "test_unknown_routes_and_keys_are_denied_only_by_a_current_configuration",
    ),
    Guard(
        "configuration versions only rise",
        "request/authorization.py",
        "config.version <= self.config.version",
        "False",
        "tests/test_gateway_core.py::"
        "test_older_configuration_version_is_ignored_and_a_removed_key_stays_refused",
    ),
    Guard(
        "a call that may have run is not refused as not run",
        "request/call_endings.py",
        "        if call.may_have_run:\n            return (GATEWAY",
        "        if False:\n            return (GATEWAY",
        "tests/test_gateway_core.py::"
        "test_non_idempotent_call_that_may_have_run_is_sent_once_and_fails_with_502",
    ),
    Guard(
        "only retryable calls are retried",
        "request/send_failures.py",
        "if not call.route.retryable or call.attempts",
        "if call.attempts - 1",
        "tests/test_gateway_core.py::"
        "test_non_idempotent_call_that_may_have_run_is_sent_once_and_fails_with_502",
    ),
    Guard(
        "late events of earlier sends are ignored",
        "request/forwarding.py",
        "call.number == number and call.target",
        "call.target",
        "tests/test_gateway_core.py::" "test_late_response_of_an_earlier_send_is_ignored",
    ),
    Guard(
        "a success needs a signature",
        "request/forwarding.py",
        "(response.status < MULTIPLE_CHOICES and not response.signed)",
        "False",
        "tests/test_gateway_core.py::" "test_unsigned_or_encoded_success_is_not_relayed",
    ),
    Guard(
        "removals observed during an outage are held back",
        "process/roster.py",
        "if now_s >= self.removals_held_until_s:\n            self._forget(name)",
        "if True:\n            self._forget(name)",
        "tests/test_gateway_core.py::"
        "test_expired_registration_is_kept_during_an_object_store_outage",
    ),
    Guard(
        "draining targets get no call",
        "process/roster.py",
        "target.registration.draining\n            or",
        "False\n            or",
        "tests/test_gateway_core.py::" "test_draining_or_unreadable_target_gets_no_call",
    ),
    Guard(
        "old weights get no call past the bound",
        "version/weights_view.py",
        "return self.outdated_for_s(model, version, now_s) > OVERDUE_FRACTION * self._version_s",
        "return False",
        "tests/test_gateway_core.py::"
        "test_runner_with_old_weights_gets_no_call_near_the_end_of_the_bound",
    ),
    Guard(
        "weights in a listing may be outdated",
        "version/weights_view.py",
        "if model in self._listed:",
        "if False:",
        "tests/test_gateway_core.py::"
        "test_entry_that_starts_during_a_roll_out_uses_new_weights_only",
    ),
    Guard(
        "an entry that starts between two roll-outs skips the runners with the oldest weights",
        "version/weights_view.py",
        "min_version = named if self._has_started(model, named) else newest_version",
        "min_version = named if self._has_started(model, named) else 0",
        "tests/test_gateway_core.py::"
        "test_entry_that_starts_between_two_roll_outs_uses_the_newest_loaded_weights",
    ),
    Guard(
        "a listing's weights may have been named a while ago",
        "version/weights_view.py",
        "at_s -= LISTED_AGE_FRACTION * self._version_s",
        "pass",
        "tests/test_gateway_core.py::"
        "test_entry_that_starts_before_any_swap_uses_old_weights_for_a_limited_time",
    ),
    Guard(
        "a block is fetched only from a store that has it complete",
        "process/cache_stores.py",
        "or held < tokens",
        "",
        "tests/test_gateway_cache.py::"
        "test_block_stored_with_fewer_tokens_than_needed_is_not_fetched",
    ),
    Guard(
        "nothing is fetched from an unresponsive cache store",
        "process/cache_stores.py",
        "name in skip or not state.fetchable(now_s):\n                continue",
        "name in skip:\n                continue",
        "tests/test_gateway_cache.py::"
        "test_nothing_is_fetched_from_a_store_whose_state_is_too_old",
    ),
    Guard(
        "nothing is saved to a cache store that has just restarted",
        "process/cache_stores.py",
        "if now_s < self.save_holdoff_until_s or",
        "if",
        "tests/test_gateway_cache.py::"
        "test_restarted_store_counts_as_empty_and_gets_no_saves_until_old_fetches_have_ended",
    ),
    Guard(
        "nothing is fetched on an outdated view of the roll-out lease",
        "version/weights_view.py",
        " and now_s - self.lease_observed_at_s < MAX_FETCH_VIEW_AGE_S",
        "",
        "tests/test_gateway_cache.py::"
        "test_nothing_is_fetched_on_an_outdated_view_of_the_roll_out_lease",
    ),
    Guard(
        "unknown namespaces are not freed",
        "version/retirement.py",
        "if key[0] in replaced]",
        "]",
        "tests/test_gateway_parts.py::"
        "test_only_blocks_of_replaced_weights_are_freed_and_each_once",
    ),
    Guard(
        "a leader's validity counts from the send of its renewal",
        "process/rollout_lease.py",
        "self._renewed_at_s = pending.sent_at_s",
        "self._renewed_at_s = now_s + 5.0",
        "tests/test_rollout_lease.py::" "test_orders_of_two_leaders_are_at_least_one_lease_apart",
    ),
    Guard(
        "orders of two leaders are a lease apart",
        "process/rollout_lease.py",
        "self._order_from_s = self._read_at_s + RENEWAL_VALID_S + ORDER_TRANSIT_S + self._lease_s",
        "self._order_from_s = now_s",
        "tests/test_rollout_lease.py::" "test_orders_of_two_leaders_are_at_least_one_lease_apart",
    ),
    Guard(
        "retries stay within a fraction of the entry's calls",
        "request/retry_budget.py",
        "if len(retries) + 1 > self._floor",
        "if len(retries) + 1 > 1_000 * self._floor",
        "tests/test_gateway_parts.py::"
        "test_retries_of_all_entries_stay_within_the_budget_without_coordination",
    ),
    Guard(
        "prompts are rejected when the queue is long",
        "request/load_shedding.py",
        "if queue_s > limits.queue_s:",
        "if False:",
        "tests/test_gateway_overload.py::"
        "test_overload_is_shed_so_that_admitted_calls_meet_their_objective",
    ),
    Guard(
        "prompts are rejected when memory is full",
        "request/load_shedding.py",
        "return MEMORY_RETRY_S if memory_fraction > limits.memory_fraction else None",
        "return None",
        "tests/test_gateway_overload.py::" "test_prompts_are_rejected_when_runs_fill_the_memory",
    ),
    Guard(
        "events are relayed once",
        "connection/event_relay.py",
        "int(number) <= int(last)",
        "False",
        "tests/test_gateway_parts.py::" "test_resumed_stream_has_no_gap_and_no_duplicate_event",
    ),
    Guard(
        "headers that the system sets are not accepted from callers",
        "platform/headers.py",
        "name in HOP_BY_HOP or name in RESERVED or name in connection_headers",
        "name in HOP_BY_HOP or name in connection_headers",
        "tests/test_gateway_parts.py::"
        "test_request_to_a_target_contains_no_api_key_and_no_forged_system_header",
    ),
    Guard(
        "a version's bound counts from the first newer one",
        "version/weights_view.py",
        "for named, at_s in self._namings.get(model, ()):",
        "for named, at_s in reversed(self._namings.get(model, ())):",
        "tests/test_rollout.py::"
        "test_no_call_starts_on_weights_near_their_bound_after_newer_ones_were_named",
    ),
    Guard(
        "swaps are spread over time",
        "version/rollout.py",
        "due = math.ceil(len(group) * progress)",
        "due = len(group)",
        "tests/test_rollout.py::" "test_swaps_are_spread_over_a_fraction_of_the_bound",
    ),
    Guard(
        "the lease record publishes new weights",
        "version/weights_leader.py",
        "self._roster.targets[name].note_weights(model, version)",
        "pass",
        "tests/test_rollout.py::" "test_lease_record_informs_all_entries_of_loaded_weights",
    ),
    Guard(
        "a prompt is placed on a runner where it fits",
        "request/placement.py",
        "return (not option.fits, option.cost)",
        "return (False, option.cost)",
        "tests/test_placement.py::"
        "test_prompt_is_not_rejected_because_its_preferred_runner_is_full",
    ),
    Guard(
        "old reports of queues weigh less",
        "process/peer_work.py",
        "HALF_WEIGHT_AGE_S / (HALF_WEIGHT_AGE_S + age_s)",
        "1",
        "tests/test_placement.py::" "test_older_report_of_a_queue_diverts_fewer_prompts",
    ),
    Guard(
        "a prefix that no runner is known to hold is prefilled at one runner",
        "request/placement.py",
        "return cost + NOT_PREFERRED_COST_PER_TOKEN * max(0, not_held - fetched)",
        "return NOT_PREFERRED_COST",
        "tests/test_placement.py::"
        "test_prefix_without_a_known_holder_queues_at_its_preferred_runner_up_to_a_limit",
    ),
    Guard(
        "a dead peer connection is reopened",
        "connection/peer_link.py",
        "            self._reopen(action.address)",
        "",
        "tests/test_peer_link.py::"
        "test_link_recovers_after_another_program_listened_at_the_address",
    ),
    Guard(
        "an uncaught exception ends the process",
        "connection/loop_exception_handler.py",
        "self._on_fatal(f",
        "str(f",
        "tests/test_loop_exception_handler.py::test_exception_in_a_connection_callback_ends_the_process",
    ),
    Guard(
        "callers of a stale entry are redirected to a current one",
        "request/authorization.py",
        "if not self._has_current_peer(now_s):",
        "if True:",
        "tests/test_gateway_redirect.py::"
        "test_stale_entry_gives_a_short_retry_time_if_a_peer_is_current",
    ),
    Guard(
        "a stale entry ends connections before it refuses calls",
        "gateway.py",
        "return not self.ready(now_s) and self.peers.any_peer_current(now_s)",
        "return False",
        "tests/test_gateway_redirect.py::"
        "test_keep_alive_connections_are_closed_before_the_configuration_is_stale",
    ),
    Guard(
        "a leader that takes the lease again keeps the gap to the previous one",
        "process/rollout_lease.py",
        "max(now_s, self._order_from_s)",
        "now_s",
        "tests/test_rollout_lease.py::"
        "test_leader_that_released_before_its_first_order_waits_out_the_gap_when_it_takes_again",
    ),
    Guard(
        "any order of responses: a call that is not retryable runs once",
        "request/send_failures.py",
        "if not call.route.retryable or call.attempts",
        "if call.attempts - 1",
        "tests/test_calls_machine.py::TestCalls",
    ),
    Guard(
        "any order of responses: a call that may have run is not refused as not run",
        "request/call_endings.py",
        "        if call.may_have_run:\n            return (GATEWAY",
        "        if False:\n            return (GATEWAY",
        "tests/test_calls_machine.py::TestCalls",
    ),
    Guard(
        "any order of responses: the call of a disconnected caller is cancelled",
        "request/forwarding.py",
        "            self._deps.roster.outliers.probe_inconclusive(call.target.target_id)\n"
        "            actions.append(CancelSend(call.call_id, call.number))",
        "            self._deps.roster.outliers.probe_inconclusive(call.target.target_id)",
        "tests/test_calls_machine.py::TestCalls",
    ),
    Guard(
        "any delay of the object store: a removed key is refused after the bound",
        "process/config_observer.py",
        "if not self._freshness.confirm(sent_at_s)",
        "if not self._freshness.confirm(now_s)",
        "tests/test_revocation_machine.py::TestRevocation",
    ),
    Guard(
        "any delay of the object store: configuration versions only rise",
        "request/authorization.py",
        "config.version <= self.config.version",
        "False",
        "tests/test_revocation_machine.py::TestRevocation",
    ),
    Guard(
        "any restart of a cache store: nothing is saved while fetches on older state may run",
        "process/cache_stores.py",
        "if now_s < self.save_holdoff_until_s or not",
        "if not",
        "tests/test_stores_machine.py::TestStores",
    ),
    Guard(
        "any restart of a cache store: its blocks are removed from the index",
        "process/cache_stores.py",
        "            self._index.forget(state.name)\n            state.used_tokens = 0",
        "            state.used_tokens = 0",
        "tests/test_stores_machine.py::TestStores",
    ),
    Guard(
        "any break of a stream: no event is sent twice",
        "connection/event_relay.py",
        "int(number) <= int(last)",
        "False",
        "tests/test_relay_machine.py::test_events_of_a_resumed_stream_arrive_once_and_in_order",
    ),
    Guard(
        "an update from a peer is at least as old as the request for it",
        "process/relayed_view.py",
        "observed_at_s = sent_at_s - kind_update.age_s",
        "observed_at_s = now_s - kind_update.age_s",
        "tests/test_relays.py::test_age_of_relayed_state_counts_from_before_the_request",
    ),
    Guard(
        "late responses of peers are ignored",
        "process/relays.py",
        "if sent is None or sent.responded or now_s - sent.at_s >= RESPONSE_TIMEOUT_S:",
        "if sent is None:",
        "tests/test_relays.py::test_late_or_duplicate_response_of_a_relay_confirms_nothing",
    ),
    Guard(
        "an update that contradicts an earlier one of its relay is ignored",
        "process/relayed_view.py",
        "if not self._contradicts(kind_update, response.epochs, sent_at_s)",
        "if True",
        "tests/test_relays.py::" "test_older_state_that_a_relay_reports_as_newer_is_rejected",
    ),
    Guard(
        "changes that leave a gap to the known state are requested again",
        "process/store_view.py",
        "and kind.revision(kind.as_of).succeeds(since)",
        "and True",
        "tests/test_relays.py::" "test_update_that_begins_after_the_known_revision_is_not_applied",
    ),
    Guard(
        "a follower whose view is older than a listing gets the full kind",
        "process/store_view.py",
        "            kind.complete_from = as_of.number\n",
        "",
        "tests/test_relays.py::"
        "test_follower_with_a_view_older_than_the_relays_first_listing_gets_a_full_listing",
    ),
    Guard(
        "an entry that gets no responses from relays reads the object store",
        "process/relayed_view.py",
        "return not self._uses_relay or self._relays.serves_peers(now_s)",
        "return self._relays.serves_peers(now_s)",
        "tests/test_relays.py::"
        "test_follower_without_responses_reads_the_object_store_before_it_is_unready",
    ),
    Guard(
        "removals are held back as long as the relay holds them back",
        "process/relayed_view.py",
        "if response.removals_held_s > 0:",
        "if False:",
        "tests/test_relays.py::test_expired_registration_is_kept_as_long_as_the_relay_keeps_it",
    ),
    Guard(
        "an object that was removed and recreated within one response is kept",
        "process/store_view.py",
        "last = {row.name: row for row in observed.rows}",
        "last = {number: row for number, row in enumerate(observed.rows)}",
        "tests/test_store_view.py",
    ),
    Guard(
        "only complete events count as progress of a stream",
        "connection/target_connection.py",
        "if self._sink.on_body(data):",
        "if self._sink.on_body(data) or True:",
        "tests/test_slow_streams.py",
    ),
)
