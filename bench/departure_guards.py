"""The guards that end the work for callers that leave, and keep a VM's link free for that."""

from typing import Final

from bench.guard import Guard

DEPARTED: Final = "tests/test_departed_callers.py::"
RELAY: Final = "tests/test_relay_link.py::"
UPLOADS: Final = "tests/test_incomplete_uploads.py"

DEPARTURE_GUARDS: Final = (
    Guard(
        "a relay's messages about work take a share of the link",
        "process/work_exchange.py",
        "while current is not None and current.receivers and self._link.has_room(now_s):",
        "while current is not None and current.receivers:",
        RELAY + "test_messages_of_one_purpose_take_more_than_their_share_of_the_link",
    ),
    Guard(
        "a relay's updates of cache stores take a share of the link",
        "process/cache_updates.py",
        "while self._receivers and self._link.has_room(now_s):",
        "while self._receivers:",
        RELAY + "test_messages_of_one_purpose_take_more_than_their_share_of_the_link",
    ),
    Guard(
        "a relay leaves rows out if its link is too slow for all",
        "process/cache_updates.py",
        "return _without_oldest(batch, math.ceil(excess))",
        "return batch",
        RELAY + "test_what_followers_of_a_busy_relay_know_expires",
    ),
    Guard(
        "VMs with the most bandwidth relay",
        "process/relays.py",
        "return resources[name].cores < median_cores, -link_mbps,",
        "return resources[name].cores < median_cores, 0.0,",
        RELAY + "test_entries_with_the_smallest_links_relay",
    ),
    Guard(
        "the end of a connection that isn't read is looked for",
        "connection/read_pauses.py",
        "if has_ended(self._transport):",
        "if False:",
        DEPARTED + "test_departure_behind_requests_that_are_not_read_is_not_noticed",
    ),
    Guard(
        "no request is served whose caller has left",
        "connection/caller_connection.py",
        "if self.transport is not None and has_ended(self.transport):",
        "if False:",
        DEPARTED + "test_request_is_served_whose_caller_has_left_before_it_was_read",
    ),
    Guard(
        "the connection of a cancelled send is reset",
        "connection/target_connection.py",
        "if sock is not None:\n                with",
        "if False:\n                with",
        DEPARTED + "test_request_of_a_departed_caller_goes_on_to_its_target",
    ),
    Guard(
        "a status outside of the protocol is no response",
        "connection/target_connection.py",
        "if status not in STATUSES:",
        "if False:",
        "tests/test_target_connection.py::"
        "test_response_without_a_valid_status_is_passed_on_or_waited_out",
    ),
    Guard(
        "a response without a length is whole after its upload only",
        "connection/target_connection.py",
        "elif self.unsent_bytes or (sock is not None and unacknowledged_bytes(sock)):",
        "elif False:",
        UPLOADS,
    ),
)
