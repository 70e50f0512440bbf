"""The demo: the Cwmdu deployment on loopback, from a first prompt to a burn report.

Run by ``scripts/demo``.  Each step prints what it did and what came back; a step that doesn't hold
ends the demo with exit code 1.
"""

import shutil
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import msgspec

from filbertstream.process.cache_stores import SAVE_HOLDOFF_S
from standins.fleet import OPERATOR_KEY, Fleet, Options

DRAFTS: Final = "snowdon-drafts"
WALK_IN: Final = "bethesda-tours"
HISTORY: Final = "The owner of the ice house at Betws writes about the spring opening hours. "
SMALL_CACHE_TOKENS: Final = 16_000
APPLIED_S: Final = 2.0
"""The bound within which a change is in force."""

SAVES_AFTER_S: Final = SAVE_HOLDOFF_S + 1.0

OTHERS: Final = 24
"""How many other prompts push the first one out of the runners' caches."""


def _say(text: str) -> None:
    print(text, flush=True)


def _check(holds: bool, what: str) -> None:
    if not holds:
        _say(f"   FAILED: {what}")
        raise SystemExit(1)


def _chat(text: str, stream: bool = False, tokens: int = 8) -> dict[str, Any]:
    message = {"role": "user", "content": text}
    return {"model": "guide-7b", "messages": [message], "stream": stream, "max_tokens": tokens}


class Demo:
    """The steps, over one fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.history = HISTORY * 260

    def run(self) -> None:
        """Take all steps in order."""
        steps: list[tuple[str, Callable[[], None]]] = [
            ("Stream a prompt through entry-1", self.stream),
            ("Send it back after the runners have dropped it, through entry-2", self.come_back),
            ("Book once, and repeat the booking through another entry", self.book),
            ("Kill entry-3 in the middle of work", self.kill),
            ("Apply a template and see it in force everywhere", self.apply),
            ("Explain a request", self.explain),
            ("The burn report", self.burn),
        ]
        for number, (title, step) in enumerate(steps, 1):
            _say(f"{number}. {title}")
            step()

    def stream(self) -> None:
        """Stream a long prompt and show its first events."""
        # Entries save to a store only once no fetch from before their start can run any more.
        time.sleep(SAVES_AFTER_S)
        body = _chat(self.history, stream=True, tokens=6)
        resp = self.fleet.call("entry-1", "/v1/chat/completions", body, DRAFTS)
        events = [event for event in resp.data.split(b"\n\n") if event]
        _say(f"   {len(events)} events, the last is {events[-1].decode()}")
        _check(events[-1] == b"data: [DONE]", "the stream is whole")

    def come_back(self) -> None:
        """Push the prompt out of the runners, send it again, and count what was read."""
        self.fleet.wait(self._is_kept, what="the prompt's parts are kept on a store")
        for number in range(OTHERS):
            text = f"{number} " + f"Another owner asks about hall {number}. " * 1_000
            self.fleet.call("entry-1", "/v1/chat/completions", _chat(text, tokens=1), WALK_IN)
        body = _chat(self.history + "And in winter?")
        before = self._tokens()
        resp = self.fleet.call("entry-2", "/v1/chat/completions", body, DRAFTS)
        tokens = {name: count - before[name] for name, count in self._tokens().items()}
        prompt = msgspec.json.decode(resp.data)["usage"]["prompt_tokens"]
        _say(f"   of {prompt} prompt tokens, {tokens['read']} were read again:")
        _say(f"   {tokens['fetched']} came from a store, {tokens['cached']} were there")
        _check(tokens["fetched"] + tokens["cached"] > 0, "kept cache was used")

    def _tokens(self) -> Counter[str]:
        """Return how the runners came to the tokens of prompts."""
        found: Counter[str] = Counter()
        for name in self.fleet.running:
            if name.startswith("runner"):
                found.update(self.fleet.counts(name)["tokens"])
        return found

    def _is_kept(self) -> bool:
        """Whether the stores have the prompt and all entries have heard of it."""
        counts = [self.fleet.counts(name) for name in ("store-1", "store-2")]
        return sum(int(count["saved"]) for count in counts) > 0

    def book(self) -> None:
        """Make one booking twice under one key."""
        headers = {"Idempotency-Key": "family-of-four"}
        path = "/v1/services/bookings/bookings"
        for entry in ("entry-1", "entry-2"):
            resp = self.fleet.call(entry, path, {"reference": "hall-2"}, WALK_IN, headers)
            replayed = resp.headers.get("Idempotency-Replayed", "false")
            _say(f"   {entry}: {resp.status} {resp.data.decode()} replayed={replayed}")
        names = ("bookings-1", "bookings-2", "bookings-3")
        runs = sum(self.fleet.counts(name)["references"].get("hall-2", 0) for name in names)
        _say(f"   the booking ran {runs} time(s)")
        _check(runs == 1, "the booking ran once")

    def kill(self) -> None:
        """Kill an entry under streams; their callers ask another, which goes on."""
        results: list[str] = []
        threads = [threading.Thread(target=self._caller, args=(results,)) for _ in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        self.fleet.kill("entry-3")
        for thread in threads:
            thread.join()
        _say(f"   callers got: {', '.join(sorted(results))}")
        _check(all("whole" in result for result in results), "every caller got a whole answer")

    def _caller(self, results: list[str]) -> None:
        """Ask entry-3, and entry-1 where the connection breaks, as a balancer's client would."""
        for entry, how in (("entry-3", "whole"), ("entry-1", "whole after asking again")):
            try:
                body = _chat("A visitor asks when the gate opens.", stream=True, tokens=40)
                resp = self.fleet.call(entry, "/v1/chat/completions", body, WALK_IN)
            except Exception:
                continue
            if resp.data.endswith(b"data: [DONE]\n\n"):
                results.append(how)
                return
        results.append("nothing")

    def apply(self) -> None:
        """Change a template by the command line."""
        text = (self.fleet.config / "documents.yaml").read_text()
        file = self.fleet.folder / "change.yaml"
        file.write_text(text.replace("priority: 8", "priority: 9"))
        code, output = self.command("apply", "-f", str(file))
        _say("   " + output.strip().replace("\n", "\n   "))
        _check(code == 0, "the change was accepted")
        time.sleep(APPLIED_S)
        for entry in ("entry-1", "entry-2"):
            found = self.fleet.operator(entry, "GET", "/v1/documents/template/walk-in")
            status = self.fleet.operator(entry, "GET", "/v1/status")
            _say(f"   {entry}: revision {status['revision']}, {found['document']['priority']=}")
            _check(status["revision"] >= found["revision"], "the change is in force")

    def explain(self) -> None:
        """Show why a request went where it went."""
        resp = self.fleet.call("entry-1", "/v1/chat/completions", _chat(self.history), DRAFTS)
        _, output = self.command("explain", resp.headers["X-Request-Id"])
        _say("   " + "\n   ".join(output.splitlines()[:16]))

    def burn(self) -> None:
        """Print the report over the entries that live."""
        code, output = self.command("report", "burn")
        _say("   " + output.strip().replace("\n", "\n   "))
        _check(code == 0, "there is a report")

    def command(self, *arguments: str) -> tuple[int, str]:
        """Run the command line against the entries that live."""
        entries = []
        for name in ("entry-1", "entry-2"):
            entries += ["--entry", self.fleet.operators_url(name)]
        command = [sys.executable, "-m", "filbertstream", *arguments, *entries]
        done = subprocess.run(
            [*command, "--key", OPERATOR_KEY], capture_output=True, text=True, check=False
        )
        return done.returncode, done.stdout + done.stderr


def main() -> None:
    """Run the demo."""
    stay = "--stay" in sys.argv[1:]
    folder = Path(tempfile.mkdtemp(prefix="filbertstream-"))
    fleet = Fleet(folder, Options(cache_tokens=SMALL_CACHE_TOKENS))
    began_s = time.monotonic()
    try:
        _say("0. Start the stand-ins and three entries in the shape of the Cwmdu deployment")
        fleet.start()
        Demo(fleet).run()
        _say(f"Done in {time.monotonic() - began_s:.0f} s.")
        if stay:
            _stay(fleet)
    finally:
        fleet.close()
        shutil.rmtree(folder)


def _stay(fleet: Fleet) -> None:
    caller, operator = fleet.running["entry-1"].url, fleet.operators_url("entry-1")
    body = msgspec.json.encode(_chat("When does the gate open?", stream=True)).decode()
    _say(
        f"curl -N {caller}/v1/chat/completions -H 'Authorization: Bearer key-{WALK_IN}' -d '{body}'"
    )
    _say(
        f"curl {caller}/v1/services/bookings/bookings -H 'Authorization: Bearer key-{WALK_IN}' "
        "-H 'Idempotency-Key: mine' -H 'Content-Type: application/json' -d '{\"reference\":\"h1\"}'"
    )
    _say(f"curl {operator}/v1/status -H 'Authorization: Bearer {OPERATOR_KEY}'")
    _say("Press Ctrl-C to stop.")
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        _say("Stopping.")


if __name__ == "__main__":
    main()
