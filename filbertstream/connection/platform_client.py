"""Calls to the platform's object API and its list of VMs, by urllib3.

The core asks with ``PutObject`` and ``ListObjects``; a few worker threads carry the calls out and
tell the results.  What matters here is to say truthfully what a failed write means: ``refused``
only where the platform can't have applied it, ``unsure`` everywhere else.
"""

from concurrent.futures import ThreadPoolExecutor
from typing import Final

import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    MaxRetryError,
    NameResolutionError,
    NewConnectionError,
)

from filbertstream.actions import MUST_NOT_EXIST, ListObjects, PutObject
from filbertstream.events import (
    ListedTarget,
    ObjectRecord,
    PutFinished,
    ReadFinished,
    TargetsListed,
)
from filbertstream.process.host import Host

WORKERS: Final = 4
CONNECT_S: Final = 0.5
READ_S: Final = 2.0
PAGE_LIMIT: Final = 500

OK: Final = 200
NOT_FOUND: Final = 404
CONFLICT: Final = 412
THROTTLED: Final = 429

NEVER_SENT: Final = (NewConnectionError, ConnectTimeoutError, NameResolutionError)


class _Object(msgspec.Struct):
    name: str
    version: int
    value: bytes


class _Page(msgspec.Struct):
    objects: list[_Object]


class _Written(msgspec.Struct):
    version: int


class _VmRow(msgspec.Struct):
    name: str
    vm: str
    kind: str
    address: str
    data_center: str
    state: str
    model: str = ""
    service: str = ""


def never_sent(exc: HTTPError) -> bool:
    """Whether a failure happened before any byte of the request went out."""
    cause = exc.reason if isinstance(exc, MaxRetryError) else exc
    return isinstance(cause, NEVER_SENT)


class PlatformClient:
    """Carries out platform calls on worker threads and tells the host the results."""

    def __init__(self, objects_url: str, vm_list_url: str, ca_file: str | None, host: Host) -> None:
        self._objects_url = objects_url
        self._vm_list_url = vm_list_url
        self._host = host
        self._pool = urllib3.PoolManager(
            maxsize=WORKERS,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_S, read=READ_S),
            ca_certs=ca_file,
        )
        self._workers = ThreadPoolExecutor(WORKERS, thread_name_prefix="platform")
        self._listing = False

    def start(self) -> None:
        """Take the core's platform actions."""
        self._host.register(PutObject, lambda put: self._workers.submit(self._put, put))
        self._host.register(ListObjects, lambda ask: self._workers.submit(self._list, ask))

    def close(self) -> None:
        """Stop the workers; calls that wait are dropped."""
        self._workers.shutdown(wait=False, cancel_futures=True)
        self._pool.clear()

    def poll_vms(self) -> None:
        """Fetch the list of VMs, unless a fetch is under way."""
        if not self._listing:
            self._listing = True
            self._workers.submit(self._vms)

    def _put(self, put: PutObject) -> None:
        url = f"{self._objects_url}/v1/objects/{put.kind}/{put.name}"
        if put.expect == MUST_NOT_EXIST:
            headers = {"If-None-Match": "*"}
        else:
            headers = {"If-Match": str(put.expect)}
        method = "DELETE" if put.value is None else "PUT"
        try:
            resp = self._pool.request(method, url, body=put.value, headers=headers)
        except HTTPError as exc:
            # Idle connections may have gone silent together with this one.
            self._pool.clear()
            outcome = "refused" if never_sent(exc) else "unsure"
            self._host.tell(PutFinished(put.op_id, outcome))
            return
        self._host.tell(_put_result(put.op_id, resp.status, resp.data))

    def _list(self, ask: ListObjects) -> None:
        records: list[ObjectRecord] = []
        after = ask.after
        while True:
            page = self._page(ask.kind, after)
            if page is None:
                self._host.tell(ReadFinished(ask.op_id, False, ()))
                return
            records += page
            if len(page) < PAGE_LIMIT:
                break
            after = page[-1].name
        self._host.tell(ReadFinished(ask.op_id, True, tuple(records)))

    def _page(self, kind: str, after: str) -> list[ObjectRecord] | None:
        url = f"{self._objects_url}/v1/objects/{kind}"
        fields = {"after": after, "limit": str(PAGE_LIMIT)}
        try:
            resp = self._pool.request("GET", url, fields=fields)
            if resp.status != OK:
                return None
            page = msgspec.json.decode(resp.data, type=_Page)
        except (HTTPError, msgspec.DecodeError):
            self._pool.clear()
            return None
        return [ObjectRecord(row.name, row.version, row.value) for row in page.objects]

    def _vms(self) -> None:
        try:
            resp = self._pool.request("GET", f"{self._vm_list_url}/v1/vms")
            rows = msgspec.json.decode(resp.data, type=list[_VmRow]) if resp.status == OK else None
        except (HTTPError, msgspec.DecodeError):
            rows = None
        self._listing = False
        if rows is not None:
            listed = tuple(ListedTarget(**msgspec.structs.asdict(row)) for row in rows)
            self._host.tell(TargetsListed(listed))


def _put_result(op_id: int, status: int, body: bytes) -> PutFinished:
    if status == OK:
        try:
            version = msgspec.json.decode(body, type=_Written).version
        except msgspec.DecodeError:
            return PutFinished(op_id, "unsure")
        return PutFinished(op_id, "ok", version)
    if status in (CONFLICT, NOT_FOUND):
        return PutFinished(op_id, "conflict")
    return PutFinished(op_id, "refused" if status == THROTTLED else "unsure")
