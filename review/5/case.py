"""Two of a zone's three machines are stopped in turn while bookings of 1.6 s come in."""

import asyncio
import random
import signal

import stand
from stand import TROUBLE, Client, Deployment, Entry

ENTRIES = 3
STOPPED = 2
GAP_S = 1.0
GRACE_S = stand.BOUNDS["grace_s"]
WORK_S = 1.6
TIMEOUT_MS = 2000
DEADLINE_S = 4.0
EVERY_S = 0.05
EXCUSED_S = 3.0
"""Of a request sent no later than this after the SIGTERM, a runner may still be at work at the end.
"""


class Ingress:
    """Spreads new connections over a zone's nodes as PROTOCOL.md tells."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._misses = {entry.name: 0 for entry in deployment.entries}
        self._rng = random.Random(35)

    async def ask(self) -> None:
        """Ask each node once a second whether it is ready."""
        while True:
            for entry in self._deployment.entries:
                is_ready = await entry.is_ready()
                self._misses[entry.name] = 0 if is_ready else self._misses[entry.name] + 1
            await asyncio.sleep(1.0)

    def choose(self) -> Entry:
        """Return the node of a new connection: any of all if fewer than half are in rotation."""
        nodes = self._deployment.entries
        rotation = [node for node in nodes if self._misses[node.name] < 2]
        return self._rng.choice(rotation if 2 * len(rotation) >= len(nodes) else nodes)


class Stops:
    """When each machine got SIGTERM."""

    def __init__(self) -> None:
        self.at_s: dict[str, float] = {}
        self.lost: list[tuple[str, float, float]] = []


async def book(deployment: Deployment, entry: Entry, stops: Stops) -> None:
    """Send one booking; note it if its connection ends without an answer though it was run."""
    record = deployment.record
    sent_s = record.now_s()
    process = entry.process
    client = Client(record, entry.front)
    request_id, answer = await client.call("/pago/x", "key-of-luma", DEADLINE_S)
    client.close()
    ended_s = record.now_s()
    stopped_s = stops.at_s.get(entry.name)
    if answer.status != 0 or stopped_s is None or process is not entry.first:
        return
    ran = any(
        request.request_id == request_id
        for runner in deployment.runners.values()
        for _, request in runner.ran
    )
    if ran and sent_s > stopped_s + EXCUSED_S and ended_s < sent_s + TIMEOUT_MS / 1000:
        stops.lost.append((request_id, sent_s - stopped_s, ended_s - stopped_s))


async def play(deployment: Deployment) -> bool:
    """Return whether a booking that had been passed on got no answer because of a SIGTERM."""
    deployment.routes[1] = stand.route(
        "pago", "non_idempotent", "app", timeout_ms=TIMEOUT_MS, latency_target_ms=300
    )
    await deployment.start(ENTRIES)
    for runner in deployment.runners.values():
        runner.work_s = WORK_S
    ingress, stops = Ingress(deployment), Stops()
    deployment.spawn(ingress.ask())
    await asyncio.sleep(3.0)
    record = deployment.record
    for entry in deployment.entries:
        entry.first = entry.process
    stop_at_s = record.now_s() + 3.0
    until_s = stop_at_s + GRACE_S + 2.0
    while record.now_s() < until_s:
        is_due = record.now_s() >= stop_at_s + GAP_S * len(stops.at_s)
        if TROUBLE and is_due and len(stops.at_s) < STOPPED:
            entry = deployment.entries[len(stops.at_s)]
            entry.signal(signal.SIGTERM)
            stops.at_s[entry.name] = record.now_s()
        deployment.spawn(book(deployment, ingress.choose(), stops))
        await asyncio.sleep(EVERY_S)
    await asyncio.sleep(DEADLINE_S + 1.0)
    for request_id, sent_s, ended_s in stops.lost:
        record.write(
            "lost",
            id=request_id,
            sent_after_sigterm_s=round(sent_s, 2),
            connection_ended_after_sigterm_s=round(ended_s, 2),
        )
    print(f"bookings that ran and got no answer around a SIGTERM: {len(stops.lost)}")
    return bool(stops.lost)


if __name__ == "__main__":
    stand.main(play, __file__)
