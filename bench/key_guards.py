"""Guards of idempotency keys, operators' changes, limits and the I/O layer."""

from typing import Final

from bench.guard import Guard

KEY_GUARDS: Final = (
    Guard(
        "a claim without a response does not count",
        "request/key_writes.py",
        "        if response.outcome is KeyOutcome.OUTCOME_UNKNOWN or present is None:\n"
        "            continue",
        "        if response.outcome is KeyOutcome.OUTCOME_UNKNOWN or present is None:\n"
        "            return KeyClaimed(claim.call_id, claim.name, True, None)",
        "tests/test_keys_machine.py",
    ),
    Guard(
        "only a free key is claimed again",
        "request/key_writes.py",
        "if present.state is not KeyState.FREE:",
        "if present.state is KeyState.STORED:",
        "tests/test_keys_machine.py",
    ),
    Guard(
        "an abandoned claim is made impossible",
        "request/key_writes.py",
        "    if present is None:\n"
        "        call = KeyCall(KeyAction.CREATE, settle.name, settle.record)\n",
        "    if present is None:\n        return settled\n",
        "tests/test_faults.py::test_claim_that_is_carried_out_late_does_not_block_its_key",
    ),
    Guard(
        "a key whose caller disconnected during the run is not set free",
        "request/idempotency_keys.py",
        "ran = call.may_have_run or call.attempts > 0",
        "ran = call.may_have_run",
        "tests/test_faults.py::"
        "test_key_of_a_caller_that_disconnected_during_the_run_may_have_run",
    ),
    Guard(
        "another request under the same key conflicts",
        "request/idempotency_keys.py",
        "if present.fingerprint != idempotency_key.fingerprint:",
        "if False:",
        "tests/test_whole_path.py::test_other_body_with_the_same_idempotency_key_conflicts",
    ),
    Guard(
        "keys are named by workspace",
        "request/idempotency_keys.py",
        '"idempotency-key", workspace, call',
        '"idempotency-key", "", call',
        "tests/test_whole_path.py::test_two_workspaces_may_use_the_same_idempotency_key",
    ),
    Guard(
        "an outcome that the object store has not accepted is written again",
        "request/idempotency_keys.py",
        "        return [item.settle for item in due]",
        "        return []",
        "tests/test_faults.py::test_claim_that_is_carried_out_late_does_not_block_its_key",
    ),
    Guard(
        "a key claimed by a replaced process is not waited for",
        "request/idempotency_keys.py",
        "if not self._is_registered(present.entry, present.incarnation):",
        "if False:",
        "tests/test_faults.py::test_key_of_a_restarted_entry_does_not_stay_marked_as_running",
    ),
    Guard(
        "a change needs the revision that it was made on",
        "connection/document_store.py",
        "return self._object_store.put(DOCUMENTS_KIND, DOCUMENTS_NAME, content, revision)",
        "present = self._object_store.read(DOCUMENTS_KIND, DOCUMENTS_NAME).unwrap()\n"
        "        revision = NO_REVISION if present is None else present.revision\n"
        "        return self._object_store.put(DOCUMENTS_KIND, DOCUMENTS_NAME, content, revision)",
        "tests/test_documents_machine.py::"
        "test_change_written_between_read_and_write_is_not_overwritten",
    ),
    Guard(
        "a change without a response is not reported as refused",
        "connection/document_store.py",
        'return ApplyResult("unsettled", base, "no response to the write, outcome unknown")',
        'return ApplyResult("unavailable", base, "")',
        "tests/test_whole_path.py::"
        "test_change_that_is_carried_out_late_is_reported_as_unsettled",
    ),
    Guard(
        "documents that contradict each other are refused",
        "connection/document_store.py",
        "        if conflicts:\n",
        "        if False:\n",
        "tests/test_whole_path.py::test_change_that_contradicts_other_documents_is_invalid",
    ),
    Guard(
        "operators drain a target",
        "process/roster.py",
        "or target.target_id in self.drained",
        "or False",
        "tests/test_whole_path.py::test_leaving_target_gets_no_new_work_after_the_bound",
    ),
    Guard(
        "a workspace is held to its limits",
        "request/admission.py",
        "if usage.running >= max(1.0, workspace_limits.concurrent * share):",
        "if False:",
        "tests/test_whole_path.py::"
        "test_workspace_over_its_limits_is_refused_and_others_are_served",
    ),
    Guard(
        "after a rejection the runner's weights are derived from those that the call expected",
        "request/target_feedback.py",
        "target.note_weights(model, max(named, call.weights + 1))",
        "target.note_weights(model, max(named, target.weights.get(model, 0) + 1))",
        "tests/test_gateway_core.py::"
        "test_simultaneous_rejections_raise_the_recorded_weights_only_once",
    ),
    Guard(
        "a long prompt is not retried while it is prefilled",
        "request/send_timeouts.py",
        "latency_s, prefill_s, wait_s)",
        "latency_s)",
        "tests/test_whole_path.py::test_returning_prompt_reuses_its_cache_through_another_entry_and_runner",
    ),
    Guard(
        "after a failed send only a new connection is used",
        "request/send_timeouts.py",
        "    if call.failed_sends:\n        return 0.0\n",
        "",
        "tests/test_gateway_core.py::test_retry_uses_a_new_connection",
    ),
    Guard(
        "a link closes although poll reports a message that is not there",
        "connection/peer_link.py",
        "socket.recv(zmq.NOBLOCK)",
        "socket.recv()",
        "tests/test_peer_link.py",
    ),
    Guard(
        "block ids are chained",
        "request/prefix.py",
        "blake2b(block, key=chain, digest_size=BLOCK_ID_BYTES)",
        "blake2b(block, digest_size=BLOCK_ID_BYTES)",
        "tests/test_names.py::test_block_after_a_different_prefix_has_a_different_name",
    ),
)
