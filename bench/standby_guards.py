"""Guards of sends that are silent while another target is tried, and of waits for room."""

from typing import Final

from bench.guard import Guard

SENDS: Final = "tests/test_standby_sends.py::"
STREAMS: Final = (
    "tests/test_standby_streams.py::test_stream_with_two_sends_is_cut_or_has_other_events"
)

STANDBY_GUARDS: Final = (
    Guard(
        "a call that has a silent send is not given up",
        "request/call_endings.py",
        "if call.standby is not None and code not in FINAL_CODES:",
        "if False:",
        SENDS + "test_silent_send_is_cancelled_although_all_other_targets_reject_the_call",
    ),
    Guard(
        "a silent send ends with its call",
        "request/call_endings.py",
        "standby = end_standby(call, outcome, now_s)",
        "standby: list[Action] = []",
        SENDS + "test_runs_go_on_for_a_caller_that_has_left",
    ),
    Guard(
        "a silent send ends once another one has begun to respond",
        "request/forwarding.py",
        'return [*actions, *end_standby(call, "replaced", now_s)]',
        "return actions",
        SENDS + "test_both_sends_go_on_after_the_other_one_responds",
    ),
    Guard(
        "a silent send that fails leaves the other one",
        "request/forwarding.py",
        "            return [*self._standbys.on_failed(silent, event.cause, event.sent, now_s)]",
        '            return self._endings.give_up(silent, "stopping", now_s)',
        SENDS + "test_silent_send_that_fails_ends_the_call",
    ),
    Guard(
        "targets that rejected a call are asked again later",
        "request/standby_sends.py",
        "call.tried = set() if call.target is None else {call.target.target_id}",
        "pass",
        SENDS + "test_full_targets_are_not_asked_again_while_a_stream_is_silent",
    ),
    Guard(
        "a stream that was broken off waits for room",
        "request/rejections.py",
        "return now_s + ROOM_RETRY_S < until_s",
        "return False",
        SENDS
        + "test_stream_that_was_broken_off_ends_while_the_other_targets_are_full_for_a_moment",
    ),
    Guard(
        "a resumed stream takes over with its first event",
        "connection/proxied_send.py",
        "if len(self._call.sends) <= 1:",
        "if True:",
        STREAMS,
    ),
    Guard(
        "progress of a silent send cancels the other one",
        "connection/proxied_send.py",
        "if self._call.standby is self:",
        "if False:",
        "tests/test_standby_streams.py::"
        "test_stream_that_goes_on_slowly_is_taken_over_in_its_middle",
    ),
)
