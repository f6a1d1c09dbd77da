"""A request on which every target exits, sent repeatedly by its caller under new ids.

Its caller sends it to any entry, and each attempt is within the limits of its route and of the
retry budget.  So all entries must know which targets a request has crashed, also after a restart,
and count whatever brings it to a target: the first attempt or a retry, a resumed stream, or one of
its pieces in a stage pool.
"""

import http.client
import tempfile
import time
import unittest
from collections import Counter
from pathlib import Path
from threading import Event, Thread
from typing import Any

from damsonlane_bench.fleet import wait_until
from damsonlane_bench.registered_target import TargetKind
from damsonlane_bench.registered_target._crashes import CRASH_INPUT
from damsonlane_bench.registered_target._events import EVENT_COUNT
from damsonlane_bench.routes_document import make_document
from damsonlane_bench.routes_fleet import RoutesFleet

#: Number of times that the caller sends the request.
REQUEST_COUNT = 8
#: Maximum number of targets that may exit on the request: three until it is quarantined, and one
#: that got it while the report of the third exit was on its way.
MAX_EXITS = 4
#: Seconds after which the supervisor restarts a target.
RESTART_SECONDS = 0.3
TARGETS: tuple[tuple[str, str, TargetKind], ...] = (
    ("model-1", "model", "engine"),
    ("model-2", "model", "engine"),
    ("desk-1", "desk", "plain"),
    ("desk-2", "desk", "plain"),
    ("encode-1", "encode", "pool"),
    ("encode-2", "encode", "pool"),
)


class Supervisor:
    """Restarts targets whose process exited, and counts the exits by service."""

    def __init__(self, fleet: RoutesFleet) -> None:
        self.exits: Counter[str] = Counter()
        self._fleet = fleet
        self._stopped = Event()
        self._thread = Thread(target=self._watch)

    def start(self) -> None:
        for target in TARGETS:
            self._fleet.start_target(*target)
        self._thread.start()

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join()

    def _watch(self) -> None:
        while not self._stopped.wait(0.02):
            for name, service, kind in TARGETS:
                if not self._fleet.processes[name].is_running():
                    self.exits[service] += 1
                    self._stopped.wait(RESTART_SECONDS)
                    self._fleet.start_target(name, service, kind)


class CrashRequestTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = RoutesFleet(Path(folder.name))
        self.addCleanup(self.fleet.__exit__)
        self.supervisor = Supervisor(self.fleet)
        for control in self.fleet.controls:
            self.fleet.start(control, is_first_start=True)
        for entry in self.fleet.entries:
            self.fleet.start(entry)
        self.supervisor.start()
        self.addCleanup(self.supervisor.stop)
        routes = make_document()["routes"]
        self.fleet.put_document(1, routes=routes)
        for entry in self.fleet.entries:
            wait_until(lambda entry=entry: self.fleet.is_ready(entry), f"{entry} is ready")  # type: ignore[misc]
        wait_until(self._are_routes_served, "all entries serve both routes")

    def test_a_request_that_crashes_plain_targets_and_engines(self) -> None:
        for route, service in (("ping", "desk"), ("chat", "model")):
            statuses = [self._send_crash_request(number, route) for number in range(REQUEST_COUNT)]
            self.assertLessEqual(self.supervisor.exits[service], MAX_EXITS, statuses)
            self.assertEqual(set(statuses[MAX_EXITS:]), {503}, statuses)
            self._check_other_requests(route)

    def test_a_request_whose_pieces_crash_pool_targets(self) -> None:
        statuses = [
            self._send_crash_request(n, "chat", key=CRASH_INPUT) for n in range(REQUEST_COUNT)
        ]
        self.assertLessEqual(self.supervisor.exits["encode"], MAX_EXITS, statuses)
        self.assertEqual(set(statuses), {503})
        self._check_other_requests("chat")

    def test_the_quarantine_survives_a_kill_of_all_boxes(self) -> None:
        before = [self._send_crash_request(number, "ping") for number in range(MAX_EXITS)]
        exits_before = self.supervisor.exits["desk"]
        for name in (*self.fleet.controls, *self.fleet.entries):
            self.fleet.processes[name].kill()
        for name in (*self.fleet.controls, *self.fleet.entries):
            self.fleet.start(name)
        for entry in self.fleet.entries:
            wait_until(lambda entry=entry: self.fleet.is_ready(entry), f"{entry} is ready")  # type: ignore[misc]
        after = [self._send_crash_request(number, "ping") for number in range(REQUEST_COUNT)]
        self.assertLessEqual(self.supervisor.exits["desk"], MAX_EXITS, (before, after))
        self.assertLessEqual(
            self.supervisor.exits["desk"] - exits_before, MAX_EXITS - 3, (before, after)
        )
        self._check_other_requests("ping")

    def _check_other_requests(self, route: str) -> None:
        """Check that other requests of the same caller and path get complete responses."""
        for number in range(6):
            status = self._call(number, route, body=b"another %d" % number)
            self.assertEqual(status, 200)

    def _call(self, number: int, route: str, *, body: bytes, key: str = "demo") -> int:
        """Send a request to an entry by turns; return its status, 0 if its stream is incomplete."""
        entry = self.fleet.entries[number % len(self.fleet.entries)]
        headers: dict[str, Any] = {"Damsonlane_Pieces": "1,1", "Damsonlane_Material_Key": key}
        request_id = f"{route}-{time.monotonic_ns()}"
        status, data = self.fleet.call(
            entry, f"/{route}/a", request_id, body=body, **(headers if route == "chat" else {})
        )
        is_complete = route != "chat" or data.count(b"data: token") == EVENT_COUNT
        return 0 if status == 200 and not is_complete else status

    def _are_routes_served(self) -> bool:
        return all(
            self._call(number, route, body=b"hello") == 200
            for number in range(len(self.fleet.entries))
            for route in ("ping", "chat")
        )

    def _send_crash_request(self, number: int, route: str, *, key: str = "") -> int:
        """Send the crash request; return its status once all targets serve again."""
        body = b"its pieces are deadly" if key else CRASH_INPUT.encode()
        status = self._call(number, route, body=body, key=key or "demo")
        wait_until(self._are_targets_back, "all targets serve again")
        return status

    def _are_targets_back(self) -> bool:
        return all(self._answers(name) for name, _, _ in TARGETS) and self._are_routes_served()

    def _answers(self, name: str) -> bool:
        try:
            return isinstance(self.fleet.read_run_ids(name), list)
        except (OSError, http.client.HTTPException):
            return False


if __name__ == "__main__":
    unittest.main()
