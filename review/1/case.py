"""Another writer leaves an entry in the list of runners: fields missing, its address unreadable."""

import asyncio

import stand
from stand import TROUBLE, Client, Deployment

ENTRIES = 3
CLIENTS_PER_ENTRY = 12
WORK_S = 0.5
BEFORE_S = 3.0
AFTER_S = 8.0
ALLOWED = 3

ODD = {"service": "app", "address": "127.0.0..7:8080", "zone": stand.ZONE, "state": "ready"}
"""Without ``version``, ``slots``, ``cold_left_ms`` and ``seq``, and with a slip in the address."""


class Caller:
    """A client that sends one request after the other on a kept connection."""

    def __init__(self, client: Client) -> None:
        self._client = client
        self.unanswered: list[str] = []

    async def send(self, deployment: Deployment, until_s: float) -> None:
        """Send requests; note those on a connection in use that ended without an answer."""
        kept = False
        while deployment.record.now_s() < until_s:
            request_id, answer = await self._client.call("/pago/x", "key-of-luma", 4.0)
            if kept and answer.status == 0:
                self.unanswered.append(request_id)
            kept = answer.whole
            if not answer.whole:
                await asyncio.sleep(0.3)


async def play(deployment: Deployment) -> bool:
    """Return whether a machine cut more than three requests that it had passed on."""
    await deployment.start(ENTRIES)
    record = deployment.record
    for runner in deployment.runners.values():
        runner.work_s = WORK_S
    callers = [
        (entry, Caller(Client(record, entry.front)))
        for entry in deployment.entries
        for _ in range(CLIENTS_PER_ENTRY)
    ]
    until_s = record.now_s() + BEFORE_S + AFTER_S
    work = [asyncio.create_task(caller.send(deployment, until_s)) for _, caller in callers]
    await asyncio.sleep(BEFORE_S)
    if TROUBLE:
        record.write("odd_entry", **ODD)
        await deployment.store.put("servers", "i-other", ODD)
    await asyncio.gather(*work)
    ran = {request.request_id for r in deployment.runners.values() for _, request in r.ran}
    broken = False
    for entry in deployment.entries:
        cut = [
            request_id
            for at, caller in callers
            if at is entry
            for request_id in caller.unanswered
            if request_id in ran
        ]
        record.write("result", name=entry.name, ended_by_itself=len(entry.ends), cut=len(cut))
        print(
            f"{entry.name}: ended by itself {len(entry.ends)} times; passed on and cut {len(cut)}"
        )
        broken = broken or len(cut) > ALLOWED
    return broken


if __name__ == "__main__":
    stand.main(play, __file__)
