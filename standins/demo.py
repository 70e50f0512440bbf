"""The demo: the Cwmdu deployment on loopback, from a first prompt to a burn report.

Run by ``scripts/demo``.  Each step prints what it did and what was returned; a step whose check
fails ends the demo with exit code 1.
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
"""The bound within which a change takes effect."""

SAVE_HOLDOFF_WAIT_S: Final = SAVE_HOLDOFF_S + 1.0

EVICTING_PROMPTS: Final = 24
"""Number of other prompts that evict the first one from the runners' caches."""


def _print(text: str) -> None:
    print(text, flush=True)


def _check(holds: bool, what: str) -> None:
    if not holds:
        _print(f"   FAILED: {what}")
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
        """Run all steps in order."""
        steps: list[tuple[str, Callable[[], None]]] = [
            ("Stream a prompt through entry-1", self.stream),
            ("Send it again through entry-2 after the runners have evicted it", self.send_again),
            ("Make a booking and retry it through another entry", self.book),
            ("Kill entry-3 while it relays streams", self.kill),
            ("Apply a template and check that it is in force on all entries", self.apply),
            ("Explain a request", self.explain),
            ("The burn report", self.burn),
        ]
        for number, (title, step) in enumerate(steps, 1):
            _print(f"{number}. {title}")
            step()

    def stream(self) -> None:
        """Stream a long prompt and show its first events."""
        # Entries save to a cache store only when no fetch from before their start can still run.
        time.sleep(SAVE_HOLDOFF_WAIT_S)
        body = _chat(self.history, stream=True, tokens=6)
        resp = self.fleet.call("entry-1", "/v1/chat/completions", body, DRAFTS)
        events = [event for event in resp.data.split(b"\n\n") if event]
        _print(f"   {len(events)} events, the last is {events[-1].decode()}")
        _check(events[-1] == b"data: [DONE]", "the stream is complete")

    def send_again(self) -> None:
        """Evict the prompt from the runners, send it again, and count the tokens prefilled."""
        self.fleet.wait(self._is_saved, what="the prompt's blocks are saved on a cache store")
        for number in range(EVICTING_PROMPTS):
            text = f"{number} " + f"Another owner asks about hall {number}. " * 1_000
            self.fleet.call("entry-1", "/v1/chat/completions", _chat(text, tokens=1), WALK_IN)
        body = _chat(self.history + "And in winter?")
        before = self._tokens()
        resp = self.fleet.call("entry-2", "/v1/chat/completions", body, DRAFTS)
        tokens = {name: count - before[name] for name, count in self._tokens().items()}
        prompt = msgspec.json.decode(resp.data)["usage"]["prompt_tokens"]
        _print(f"   of {prompt} prompt tokens, {tokens['read']} were prefilled again:")
        _print(f"   {tokens['fetched']} came from a cache store, {tokens['cached']} were cached")
        _check(tokens["fetched"] + tokens["cached"] > 0, "saved cache was used")

    def _tokens(self) -> Counter[str]:
        """Return how many prompt tokens the runners prefilled, fetched and had cached."""
        found: Counter[str] = Counter()
        for name in self.fleet.running:
            if name.startswith("runner"):
                found.update(self.fleet.counts(name)["tokens"])
        return found

    def _is_saved(self) -> bool:
        """Whether a cache store has saved blocks of the prompt."""
        counts = [self.fleet.counts(name) for name in ("store-1", "store-2")]
        return sum(int(count["saved"]) for count in counts) > 0

    def book(self) -> None:
        """Make one booking twice with the same idempotency key."""
        headers = {"Idempotency-Key": "family-of-four"}
        path = "/v1/services/bookings/bookings"
        for entry in ("entry-1", "entry-2"):
            resp = self.fleet.call(entry, path, {"reference": "hall-2"}, WALK_IN, headers)
            replayed = resp.headers.get("Idempotency-Replayed", "false")
            _print(f"   {entry}: {resp.status} {resp.data.decode()} replayed={replayed}")
        names = ("bookings-1", "bookings-2", "bookings-3")
        runs = sum(self.fleet.counts(name)["references"].get("hall-2", 0) for name in names)
        _print(f"   the booking ran {runs} time(s)")
        _check(runs == 1, "the booking ran once")

    def kill(self) -> None:
        """Kill an entry that relays streams; their callers retry through another one."""
        results: list[str] = []
        threads = [threading.Thread(target=self._caller, args=(results,)) for _ in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        self.fleet.kill("entry-3")
        for thread in threads:
            thread.join()
        _print(f"   callers got: {', '.join(sorted(results))}")
        _check(
            all("complete" in result for result in results), "every caller got a complete response"
        )

    def _caller(self, results: list[str]) -> None:
        """Call entry-3, and entry-1 if the connection breaks, as a load balancer's client would."""
        for entry, how in (("entry-3", "complete"), ("entry-1", "complete after a retry")):
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
        """Change a template through the command line."""
        text = (self.fleet.config / "documents.yaml").read_text()
        file = self.fleet.folder / "change.yaml"
        file.write_text(text.replace("priority: 8", "priority: 9"))
        code, output = self.command("apply", "-f", str(file))
        _print("   " + output.strip().replace("\n", "\n   "))
        _check(code == 0, "the change was accepted")
        time.sleep(APPLIED_S)
        for entry in ("entry-1", "entry-2"):
            found = self.fleet.operator(entry, "GET", "/v1/documents/template/walk-in")
            status = self.fleet.operator(entry, "GET", "/v1/status")
            _print(f"   {entry}: revision {status['revision']}, {found['document']['priority']=}")
            _check(status["revision"] >= found["revision"], "the change is in force")

    def explain(self) -> None:
        """Show why a request was placed on its target."""
        resp = self.fleet.call("entry-1", "/v1/chat/completions", _chat(self.history), DRAFTS)
        _, output = self.command("explain", resp.headers["X-Request-Id"])
        _print("   " + "\n   ".join(output.splitlines()[:16]))

    def burn(self) -> None:
        """Print the report over the live entries."""
        code, output = self.command("report", "burn")
        _print("   " + output.strip().replace("\n", "\n   "))
        _check(code == 0, "there is a report")

    def command(self, *arguments: str) -> tuple[int, str]:
        """Run the command line against the live entries."""
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
        _print("0. Start the stand-ins and three entries in the shape of the Cwmdu deployment")
        fleet.start()
        Demo(fleet).run()
        _print(f"Done in {time.monotonic() - began_s:.0f} s.")
        if stay:
            _stay(fleet)
    finally:
        fleet.close()
        shutil.rmtree(folder)


def _stay(fleet: Fleet) -> None:
    caller, operator = fleet.running["entry-1"].url, fleet.operators_url("entry-1")
    body = msgspec.json.encode(_chat("When does the gate open?", stream=True)).decode()
    _print(
        f"curl -N {caller}/v1/chat/completions -H 'Authorization: Bearer key-{WALK_IN}' -d '{body}'"
    )
    _print(
        f"curl {caller}/v1/services/bookings/bookings -H 'Authorization: Bearer key-{WALK_IN}' "
        "-H 'Idempotency-Key: mine' -H 'Content-Type: application/json' -d '{\"reference\":\"h1\"}'"
    )
    _print(f"curl {operator}/v1/status -H 'Authorization: Bearer {OPERATOR_KEY}'")
    _print("Press Ctrl-C to stop.")
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        _print("Stopping.")


if __name__ == "__main__":
    main()
