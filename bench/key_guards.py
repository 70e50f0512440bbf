"""Guards of idempotency keys, operators' changes, terms and the product's edge, for
``bench.guards``."""

from typing import Final

from bench.guard import Guard

KEY_GUARDS: Final = (
    Guard(
        "a claim without an answer does not count",
        "request/key_writes.py",
        "        if reply.outcome is KeyOutcome.OUTCOME_UNKNOWN or present is None:\n            continue",
        "        if reply.outcome is KeyOutcome.OUTCOME_UNKNOWN or present is None:\n"
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
        "a claim that was given up is made impossible",
        "request/key_writes.py",
        "    if present is None:\n"
        "        call = KeyCall(KeyAction.CREATE, settle.name, settle.record)\n",
        "    if present is None:\n        return settled\n",
        "tests/test_faults.py::test_a_claim_that_is_carried_out_late_leaves_its_key_free",
    ),
    Guard(
        "a run whose caller left is not called free",
        "request/idempotency_keys.py",
        "ran = call.may_have_run or call.attempts > 0",
        "ran = call.may_have_run",
        "tests/test_faults.py::"
        "test_a_caller_that_leaves_during_its_booking_leaves_a_key_that_may_have_run",
    ),
    Guard(
        "another request under the same key conflicts",
        "request/idempotency_keys.py",
        "if present.fingerprint != idempotency_key.fingerprint:",
        "if False:",
        "tests/test_whole_path.py::test_another_body_under_the_same_key_conflicts",
    ),
    Guard(
        "keys are named by workspace",
        "request/idempotency_keys.py",
        '"idempotency-key", workspace, call',
        '"idempotency-key", "", call',
        "tests/test_whole_path.py::test_two_workspaces_may_use_the_same_key",
    ),
    Guard(
        "an outcome that the store has not taken is written again",
        "request/idempotency_keys.py",
        "        return [item.settle for item in due]",
        "        return []",
        "tests/test_faults.py::test_a_claim_that_is_carried_out_late_leaves_its_key_free",
    ),
    Guard(
        "a key of a process that was replaced is not waited for",
        "request/idempotency_keys.py",
        "if not self._alive(present.entry, present.incarnation):",
        "if False:",
        "tests/test_faults.py::test_a_claimant_that_was_replaced_leaves_no_key_running",
    ),
    Guard(
        "a change needs the revision that it was made on",
        "connection/document_store.py",
        "return self._store.replace(DOCUMENTS_KIND, DOCUMENTS_NAME, content, revision)",
        "present = self._store.read(DOCUMENTS_KIND, DOCUMENTS_NAME).unwrap()\n"
        "        revision = 0 if present is None else present.revision\n"
        "        return self._store.replace(DOCUMENTS_KIND, DOCUMENTS_NAME, content, revision)",
        "tests/test_documents_machine.py::"
        "test_a_change_written_between_read_and_write_is_not_lost",
    ),
    Guard(
        "a change without an answer is not called refused",
        "connection/document_store.py",
        'return ApplyResult("unsettled", base, "the platform has not answered the write")',
        'return ApplyResult("unavailable", base, "")',
        "tests/test_whole_path.py::"
        "test_a_change_that_is_carried_out_late_is_not_called_accepted_or_lost",
    ),
    Guard(
        "documents that contradict each other are refused",
        "connection/document_store.py",
        "        if faults:\n",
        "        if False:\n",
        "tests/test_whole_path.py::test_a_change_that_contradicts_the_documents_is_invalid",
    ),
    Guard(
        "operators drain a target",
        "process/roster.py",
        "and target.target_id not in self.drained",
        "and True",
        "tests/test_whole_path.py::test_a_leaving_target_gets_no_new_work_after_the_bound",
    ),
    Guard(
        "a workspace keeps to its limits",
        "request/admission.py",
        "if use.running >= max(1.0, workspace_limits.concurrent * share):",
        "if False:",
        "tests/test_whole_path.py::"
        "test_a_workspace_over_its_limits_is_refused_and_others_are_served",
    ),
    Guard(
        "a refusal's weights are guessed from what the call expected",
        "request/forwarding.py",
        "target.note_weights(model, max(named, call.weights + 1))",
        "target.note_weights(model, max(named, target.weights.get(model, 0) + 1))",
        "tests/test_gateway_core.py::"
        "test_simultaneous_rejections_raise_the_recorded_weights_only_once",
    ),
    Guard(
        "a long prompt is not sent elsewhere while it is read",
        "request/send_timeouts.py",
        "longest_s, reading_s, wait_s)",
        "longest_s)",
        "tests/test_whole_path.py::test_a_prompt_and_its_return_through_another_entry",
    ),
    Guard(
        "after a failed send only a new connection is used",
        "request/send_timeouts.py",
        "    if call.failed_sends:\n        return 0.0\n",
        "",
        "tests/test_gateway_core.py::test_retry_uses_a_new_connection",
    ),
    Guard(
        "a link closes though a poll reports a message that is not there",
        "connection/peer_link.py",
        "socket.recv(zmq.NOBLOCK)",
        "socket.recv()",
        "tests/test_peer_link.py",
    ),
    Guard(
        "names of parts are chained",
        "request/prefix.py",
        "blake2b(block, key=chain, digest_size=BLOCK_ID_BYTES)",
        "blake2b(block, digest_size=BLOCK_ID_BYTES)",
        "tests/test_names.py::test_a_part_after_another_beginning_has_another_name",
    ),
)
