"""Demonstration of a small fleet that serves pipelines: ``python -m damsonlane_bench.demo``."""

import json
import sys
import tempfile
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, Final

from damsonlane_bench.fleet import Fleet, Response, wait_until
from damsonlane_bench.settings_trees import STAGES, digest_token, make_pipeline, make_services

_TOKEN: Final = "florist-token"
_FILING: Final = Path(__file__).with_name("filing.txt")


class Demonstration:
    """Runs the steps of the demonstration and collects the checks that failed."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet: Final = fleet
        self.failures: list[str] = []

    def run(self) -> None:
        """Run all steps on a fleet that has not been started."""
        self._start()
        self._send_requests()
        self._send_expired_request()
        self._change_deadline()

    def _start(self) -> None:
        print("Starting 3 control replicas, 2 entries, 4 stage targets and 1 plain service ...")
        for service in (*STAGES, "terminal"):
            self._fleet.start_standin(f"{service}-1")
        self._fleet.start_control_group()
        self._fleet.start_entries()
        self._fleet.wait_standins()
        self._fleet.apply_settings(make_tree(self._fleet.standins))
        print(self._fleet.check_command("control", "status"))

    def _send_requests(self) -> None:
        filing = _FILING.read_text(encoding="utf-8")
        self._send("a statement question", "statement", "Why does my statement show Tuesday?")
        self._send("a long filing", "filing", filing)
        self._send("a subtitle line", "subtitle", "The court will rise.")
        key = {"Idempotency-Key": "demo-refund-1"}
        first = self._send("a terminal ping", "refund", "confirm refund 1", key)
        repeated = self._send("the same ping again", "refund", "confirm refund 1", key)
        self._check(
            repeated.body.get("repeated") is True, "a repeated ping gets the first response again"
        )
        self._check(
            first.body.get("output") == repeated.body.get("output"),
            "both responses have the same output",
        )
        runs = self._fleet.read_executions("terminal-1")
        self._check(len(runs) == 1 and runs[0]["count"] == 1, "the non-repeatable ping ran once")

    def _send(
        self, what: str, pipeline: str, text: str, headers: dict[str, str] | None = None
    ) -> Response:
        response = self._fleet.call("entry-1", pipeline, text, token=_TOKEN, headers=headers)
        self._check(response.status == 200, f"{what} is answered (status {response.status})")
        if response.status == 200:
            body = response.body
            print(f"{what}: {len(text)} characters in, answered: {body['output'][:90]!r}")
            for stage in body["stages"]:
                print(f"    {stage['name']:<10} {stage['seconds'] * 1000:8.1f} ms")
            print(f"    remaining  {body['remaining_ms']:6d} ms of the deadline")
        return response

    def _send_expired_request(self) -> None:
        headers = {"Damsonlane-Deadline-Ms": "0"}
        response = self._fleet.call(
            "entry-2", "statement", "too late", token=_TOKEN, headers=headers
        )
        print(f"a refused request: {json.dumps(response.body)}")
        self._check(
            response.body.get("run") == "no", "the refusal says that the request did not run"
        )

    def _change_deadline(self) -> None:
        print(
            self._fleet.check_command("settings", "set", "/policy/deadline_seconds", "2.5").strip()
        )
        print(self._fleet.check_command("control", "boxes"))
        for entry in ("entry-1", "entry-2"):
            response = self._fleet.call(entry, "statement", "in force?", token=_TOKEN)
            remaining = response.body.get("remaining_ms", 9999)
            self._check(remaining <= 2500, f"the new deadline is in force at {entry}")
        wait_until(self._have_costs_arrived, "the cost report contains the refund")
        print(self._fleet.check_command("report", "cost"))
        plot = self._fleet.folder / "attainment.svg"
        print(self._fleet.check_command("report", "burn", f"--plot={plot}"))
        self._check(plot.stat().st_size > 0, "the attainment plot is written")

    def _have_costs_arrived(self) -> bool:
        return "refund" in self._fleet.check_command("report", "cost")

    def _check(self, passed: bool, description: str) -> None:
        print(f"{'ok ' if passed else 'BAD'} {description}")
        if not passed:
            self.failures.append(description)


def make_tree(addresses: dict[str, str]) -> dict[str, Any]:
    """Return the settings tree of the demonstration."""
    return {
        "policy": {"deadline_seconds": 3.0},
        "data_centres": {"fukuoka-a": {}, "kumamoto": {}},
        "services": make_services(addresses, "fukuoka-a"),
        "organisations": {
            "florists": {
                "token_digests": [digest_token(_TOKEN)],
                "pipelines": {
                    "statement": make_pipeline(*STAGES),
                    "filing": make_pipeline(*STAGES, lane="bulk"),
                    "subtitle": make_pipeline("generate"),
                    "refund": make_pipeline("terminal", repeatable=False, lane="lookup"),
                },
            }
        },
        "events": {
            "closing-time": {
                "starts_at": datetime.now(UTC).isoformat(),
                "answer_within_seconds": 600,
                "pipelines": ["florists/statement"],
            }
        },
    }


def main() -> int:
    """Run the demonstration and return the exit code: 0 if all checks passed."""
    began_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        demonstration = Demonstration(fleet)
        demonstration.run()
        for name in ("entry-1", "entry-2"):
            code = fleet.stop(name)
            print(f"{name} stopped with code {code}")
            if code != 0:
                demonstration.failures.append(f"{name} stopped with code {code}")
    print(f"{time.monotonic() - began_at:.1f} s; {len(demonstration.failures)} failed checks")
    return 1 if demonstration.failures else 0


if __name__ == "__main__":
    sys.exit(main())
