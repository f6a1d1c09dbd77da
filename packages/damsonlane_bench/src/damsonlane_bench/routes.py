"""Demonstration of a fleet that serves routes: ``python -m damsonlane_bench.routes``."""

import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from threading import Thread
from typing import Final

from damsonlane_bench.fleet import wait_until
from damsonlane_bench.registered_target._events import EVENT_COUNT
from damsonlane_bench.routes_fleet import TARGETS, RoutesFleet


class RoutesDemonstration:
    """Runs the steps of the demonstration and collects the checks that failed."""

    def __init__(self, fleet: RoutesFleet) -> None:
        self._fleet: Final = fleet
        self.failures: list[str] = []

    def run(self) -> None:
        """Run all steps on a fleet that has not been started."""
        self._start()
        self._send_requests()
        self._kill_control_replica()
        self._drain_target()
        self._kill_engine()
        self._stop_entry()

    def _start(self) -> None:
        fleet = self._fleet
        print("Starting 3 control replicas, 2 entries and 6 targets that register themselves ...")
        for control in fleet.controls:
            fleet.start(control, is_first_start=True)
        for entry in fleet.entries:
            fleet.start(entry)
        for name, service, kind in TARGETS:
            fleet.start_target(name, service, kind)
        fleet.put_document(1)
        for entry in fleet.entries:
            wait_until(lambda entry=entry: fleet.is_ready(entry), f"{entry} is ready")  # type: ignore[misc]
        wait_until(lambda: self._is_served("ping"), "all entries serve the plain targets")
        wait_until(lambda: self._is_served("chat"), "all entries serve the engines and pools")

    def _is_served(self, route: str) -> bool:
        return all(
            self._call(entry, route, f"probe-{route}")[0] == 200 for entry in self._fleet.entries
        )

    def _call(self, entry: str, route: str, request_id: str) -> tuple[int, bytes]:
        path = f"/{route}/a"
        if route != "chat":
            return self._fleet.call(entry, path, request_id)
        return self._fleet.call(
            entry, path, request_id, Damsonlane_Pieces="2,3", Damsonlane_Material_Key="demo"
        )

    def _send_requests(self) -> None:
        status, body = self._call("entry-1", "refund", "refund-1")
        self._check(status == 200, f"a refund is confirmed: {body.decode()}")
        status, body = self._call("entry-2", "chat", "chat-1")
        self._check(
            _is_complete_stream(status, body), f"a stream of {EVENT_COUNT} events is complete"
        )
        status, body = self._fleet.call("entry-1", "/nowhere/a", "lost-1")
        self._check(status == 404, f"an unknown path is refused: {body.decode()}")

    def _kill_control_replica(self) -> None:
        fleet = self._fleet
        fleet.processes["control-1"].kill()
        fleet.put_document(2)
        for control in ("control-2", "control-3"):
            wait_until(lambda control=control: fleet.read_version(control) == 2, "it has version 2")  # type: ignore[misc]
        status, _ = self._call("entry-1", "ping", "ping-1")
        self._check(status == 200, "a control replica is killed: changes and requests succeed")
        fleet.start("control-1")

    def _drain_target(self) -> None:
        fleet = self._fleet
        before = len(fleet.read_run_ids("desk-2"))
        fleet.processes["desk-1"].terminate()
        statuses = [self._call("entry-1", "refund", f"leaving-{number}")[0] for number in range(40)]
        self._check(statuses == [200] * 40, "a target drains: all refunds are confirmed")
        self._check(len(fleet.read_run_ids("desk-2")) > before, "the other target serves them")
        fleet.processes["desk-1"].wait()

    def _kill_engine(self) -> None:
        fleet = self._fleet
        results: list[tuple[int, bytes]] = []
        caller = _start_thread(lambda: results.append(self._call("entry-2", "chat", "chat-2")))
        fleet.processes[self._wait_for_engine("chat-2")].kill()
        caller.join()
        status, body = results[0]
        is_complete = _is_complete_stream(status, body)
        self._check(is_complete, "an engine is killed: its stream is resumed")
        if not is_complete:
            print(f"   status {status}, {len(body)} bytes; log lines of the boxes:")
            print(*fleet.read_log_lines("chat-2"), sep="\n")

    def _wait_for_engine(self, request_id: str) -> str:
        """Wait until an engine runs a request and return its name."""
        engines = [name for name, _, kind in TARGETS if kind == "engine"]
        wait_until(
            lambda: any(request_id in self._read_run_ids(name) for name in engines),
            f"{request_id} runs",
        )
        return next(name for name in engines if request_id in self._read_run_ids(name))

    def _read_run_ids(self, target: str) -> list[str]:
        try:
            return self._fleet.read_run_ids(target)
        except OSError:
            return []

    def _stop_entry(self) -> None:
        fleet = self._fleet
        results: list[tuple[int, bytes]] = []
        caller = _start_thread(lambda: results.append(self._call("entry-1", "chat", "chat-3")))
        self._wait_for_engine("chat-3")
        fleet.processes["entry-1"].terminate()
        wait_until(lambda: not fleet.is_ready("entry-1"), "entry-1 is not ready any more")
        caller.join()
        status, body = results[0]
        self._check(
            _is_complete_stream(status, body), "an entry stops: its stream in flight is complete"
        )
        code = fleet.processes["entry-1"].wait()
        self._check(code == 0, f"entry-1 stopped with code {code}")

    def _check(self, passed: bool, description: str) -> None:
        print(f"{'ok ' if passed else 'BAD'} {description}")
        if not passed:
            self.failures.append(description)


def _is_complete_stream(status: int, body: bytes) -> bool:
    """Return whether a response is a stream with each event once, in order."""
    expected = "".join(
        f"id: {number}\ndata: token {number}\n\n" for number in range(1, EVENT_COUNT + 1)
    )
    return status == 200 and body.decode() == expected


def _start_thread(work: Callable[[], object]) -> Thread:
    thread = Thread(target=work)
    thread.start()
    return thread


def main() -> int:
    """Run the demonstration and return the exit code: 0 if all checks passed."""
    began_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder, RoutesFleet(Path(folder)) as fleet:
        demonstration = RoutesDemonstration(fleet)
        demonstration.run()
    print(f"{time.monotonic() - began_at:.1f} s; {len(demonstration.failures)} failed checks")
    return 1 if demonstration.failures else 0


if __name__ == "__main__":
    sys.exit(main())
