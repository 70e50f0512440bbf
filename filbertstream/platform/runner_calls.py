"""Calls to runners outside of callers' requests: reports and orders.

They use urllib3 and block, so they run on worker threads, each for a bounded time: a timeout of
urllib3 bounds each read, and a runner may send its response a byte at a time.
"""

from typing import Final

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from filbertstream.platform.bounded_read import read_bounded
from filbertstream.platform.headers import LEAVING, REQUEST_RATE, RETRY_AFTER
from filbertstream.platform.raw_json import UNREADABLE, Number
from filbertstream.platform.reported_values import decode_notice, decode_request_rate
from filbertstream.platform.tracked_connections import TrackedConnections
from filbertstream.process.clock import boot_time_s
from filbertstream.process.deployment import Address
from filbertstream.request.call import RequestRate, TargetNotice
from filbertstream.statuses import OK
from filbertstream.version.rollout import (
    OrderResponse,
    OrderWeights,
    PollReport,
    ReportFailed,
    ReportReceived,
)

CONNECT_TIMEOUT_S: Final = 0.4
RESPONSE_TIMEOUT_S: Final = 0.6

REPORT_LIMIT_BYTES: Final = 1_000_000
"""A report lists a runner's running requests; thousands of them are smaller than this."""

CONTINUE_MODE: Final = "continue"
"""The mode in which running requests continue after the runner has loaded a version."""


class _Model(msgspec.Struct):
    name: str
    version: Number


class _Report(msgspec.Struct):
    # In a report, the orders accepted since the runner's start; in a registration, refreshes.
    seq: Number
    busy: bool = False
    models: list[_Model] = []


class RunnerCalls:
    """Blocking calls to runners, over TLS if ``ca_file``, which verifies them, is given."""

    def __init__(self, holder: str, ca_file: str | None = None) -> None:
        self._holder = holder
        self._scheme = "http" if ca_file is None else "https"
        self._ca_file = ca_file
        self._connections = TrackedConnections(RESPONSE_TIMEOUT_S)
        self._pool = self._connections.pool(maxsize=2, retries=False, ca_certs=ca_file)
        self._timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=RESPONSE_TIMEOUT_S)

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.clear()

    def report(self, poll: PollReport, address: Address) -> ReportReceived | ReportFailed:
        """Request and return a runner's report."""
        sent_at_s = boot_time_s()
        headers = {"Expect-Instance": poll.target_id}
        url = f"{self._scheme}://{address}/report"
        try:
            resp = self._pool.request(
                "GET", url, headers=headers, timeout=self._timeout, preload_content=False
            )
            data = read_bounded(resp, REPORT_LIMIT_BYTES, boot_time_s() + RESPONSE_TIMEOUT_S)
            if resp.status != OK:
                return ReportFailed(poll.target_id, _notice(resp))
            report = msgspec.json.decode(data, type=_Report)
        except (HTTPError, *UNREADABLE):
            self._pool.clear()
            return ReportFailed(poll.target_id)
        weights = {model.name: model.version for model in report.models}
        rate = _request_rate(resp)
        notice = _notice(resp)
        return ReportReceived(
            poll.target_id, report.seq, report.busy, weights, sent_at_s, rate, notice
        )

    def order(self, order: OrderWeights, address: Address) -> OrderResponse:
        """Send an order, without retries."""
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "mode": CONTINUE_MODE,
            "holder": self._holder,
            "fence": order.fence,
            "precondition": order.accepted_orders,
        }
        headers = {"Content-Type": "application/json", "Expect-Instance": order.target_id}
        url = f"{self._scheme}://{address}/order"
        data = msgspec.json.encode(body)
        sent_at_s = boot_time_s()
        # On a pooled connection, a lost order looks the same as one that was never sent.
        pool = self._connections.pool(maxsize=1, retries=False, ca_certs=self._ca_file)
        try:
            resp = pool.request(
                "POST",
                url,
                body=data,
                headers=headers,
                timeout=self._timeout,
                preload_content=False,
            )
            # Only the status matters: the body is not read and the connection is not reused.
            resp.close()
        except HTTPError:
            return OrderResponse(order.target_id, None)
        finally:
            pool.clear()
        return OrderResponse(
            order.target_id, resp.status, sent_at_s, _request_rate(resp), _notice(resp)
        )


def _request_rate(resp: urllib3.BaseHTTPResponse) -> RequestRate:
    return decode_request_rate(_values(resp, REQUEST_RATE))


def _notice(resp: urllib3.BaseHTTPResponse) -> TargetNotice:
    return decode_notice(resp.status, _values(resp, RETRY_AFTER), _values(resp, LEAVING))


def _values(resp: urllib3.BaseHTTPResponse, name: bytes) -> list[bytes]:
    return [value.encode("latin-1") for value in resp.headers.getlist(name.decode())]
