"""Prompts that crash their runner, over real processes: entries with peers, runners that return."""

import random
import threading
import time
import uuid
from http.client import HTTPConnection, HTTPException
from pathlib import Path

import pytest

from bench.crashing_prompts import CONTACT_S, CRASHES_TO_LEARN, SENDS_AFTER
from standins.platform_fleet import KEY, MODEL, PlatformFleet
from standins.processes import CrashBlock
from standins.restarts import Restarts

ENTRIES, RUNNERS = 4, 6
DEADLY = "dead01"
CALLERS = 8
PAUSE_S = 0.25
LOAD_S = 14.0
SHARE = 0.08


class Load:
    """Callers that send prompts to all entries, some with the block that crashes runners."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self._fleet = fleet
        self.sound: list[tuple[float, bool]] = []

    def run(self, seconds: float) -> None:
        end_s = time.monotonic() + seconds
        threads = [threading.Thread(target=self._caller, args=(n, end_s)) for n in range(CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _caller(self, number: int, end_s: float) -> None:
        rng = random.Random(number)
        while time.monotonic() < end_s:
            deadly = rng.random() < SHARE
            begun = self._prompt(rng, deadly)
            if not deadly:
                self.sound.append((time.monotonic(), begun))
            time.sleep(PAUSE_S)

    def _prompt(self, rng: random.Random, deadly: bool) -> bool:
        shared = f"aa{rng.randint(1, 3)}:800,bb{rng.randint(1, 6)}:200"
        blocks = f"{shared}{f',{DEADLY}:100' if deadly else ''},{uuid.uuid4().hex[:8]}:50"
        fields = {
            "Host": "h.example",
            "Request-Id": uuid.uuid4().hex[:16],
            "Deadline-Ms": "4000",
            "X-Api-Key": KEY,
            "Model": MODEL,
            "Token-Count": "1150,8",
            "Prefix-Hash": blocks,
        }
        entry = self._fleet.running[f"e{rng.randint(1, ENTRIES)}"]
        host, _, port = entry.address.rpartition(":")
        conn = HTTPConnection(host, int(port), timeout=6.0)
        try:
            conn.request("POST", "/draft/x", body=b"x", headers=fields)
            resp = conn.getresponse()
            return resp.status == 200 and resp.read().startswith(b"id: 1\n")
        except (HTTPException, OSError):
            return False
        finally:
            conn.close()


@pytest.mark.parametrize("after_head", [False, True])
def test_runners_keep_crashing_at_prompts_that_four_entries_send(
    tmp_path: Path, after_head: bool
) -> None:
    """Each entry sees a part of the crashes, and the runners are back after some seconds."""
    fleet = PlatformFleet(tmp_path, ENTRIES, RUNNERS, 1, CrashBlock(DEADLY, after_head))
    runners = [f"r{number}" for number in range(1, RUNNERS + 1)]
    restarts = Restarts(fleet, runners, lambda name: fleet.start_target(name, "models", MODEL))
    load = Load(fleet)
    try:
        fleet.start()
        restarts.start()
        load.run(LOAD_S)
    finally:
        restarts.close()
        fleet.close()
    crashes = fleet.crash_times("crashed")
    assert len(crashes) > 0
    late_s = crashes[min(len(crashes), CRASHES_TO_LEARN) - 1] + CONTACT_S
    assert sum(at_s > late_s for at_s in fleet.crash_times("arrived")) <= SENDS_AFTER
    begun = [begun for at_s, begun in load.sound if at_s > late_s + CONTACT_S]
    assert sum(begun) >= 0.95 * len(begun)
