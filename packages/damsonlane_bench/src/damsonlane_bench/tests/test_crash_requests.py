"""A request that no target survives, sent again and again by its caller.

On an afternoon in December one request ended 22 engines in ten seconds.  Each engine died
about 0.1 s after it began to run it; its caller sent it again under a new id, to whichever
entry the balancer chose, and that entry knew nothing of the earlier tries.  Each try was
within its route's limit of two targets, and the fleet's budget of repeats was kept, since a
caller's next try is no repeat to it.  Meanwhile one request in ten to the engines was refused
or broken off: up to seventeen streams died with each engine.

What settled it were the lines "accepted" and "not served" of the eight entries.  The same
fingerprint stood among what broke off in all seventeen ends that the logs still held, under
eleven ids at five entries, none with more than two offers; no other stood in more than three:

    43.351  first entry    not served  0.640 s after it was sent to one engine
    44.143  second entry   not served  0.216 s after it was sent to the next
    44.303  second entry   not served  0.155 s, a third engine
    45.982  third entry    not served  0.252 s, a fourth
    46.574  fourth entry   not served  0.202 s, a fifth

So what a request has done to targets must be known at all entries, survive them, and count
whatever brings the request to a target: the first offer of a new try, the second of the
same one, a stream taken up elsewhere, or one of its pieces in a stage pool.
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
from damsonlane_bench.registered import Kind
from damsonlane_bench.registered._target import DEADLY, EVENTS
from damsonlane_bench.routes import RoutesFleet, make_document

#: Times that the caller sends its request again.
TRIES = 8
#: Targets that may end under one request: three before it is known, and one that got it
#: while word of the third was on its way.
MOST_ENDS = 4
#: Seconds after which the supervisor of the targets starts one again.
RESTART_SECONDS = 0.3
TARGETS: tuple[tuple[str, str, Kind], ...] = (
    ("model-1", "model", "engine"),
    ("model-2", "model", "engine"),
    ("desk-1", "desk", "plain"),
    ("desk-2", "desk", "plain"),
    ("encode-1", "encode", "pool"),
    ("encode-2", "encode", "pool"),
)


class Supervisor:
    """Starts targets again when their process has ended, and counts that by service."""

    def __init__(self, fleet: RoutesFleet) -> None:
        self.ends: Counter[str] = Counter()
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
                    self.ends[service] += 1
                    self._stopped.wait(RESTART_SECONDS)
                    self._fleet.start_target(name, service, kind)


class DeadlyRequestTest(unittest.TestCase):
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
        wait_until(self._are_targets_known, "the targets are known")

    def test_a_request_that_ends_plain_targets_and_engines(self) -> None:
        for route, service in (("ping", "desk"), ("chat", "model")):
            statuses = [self._send_deadly(number, route) for number in range(TRIES)]
            self.assertLessEqual(self.supervisor.ends[service], MOST_ENDS, statuses)
            self.assertEqual(set(statuses[MOST_ENDS:]), {503}, statuses)
            self._check_others(route)

    def test_a_request_whose_pieces_end_targets_of_a_pool(self) -> None:
        statuses = [self._send_deadly(n, "chat", key=DEADLY) for n in range(TRIES)]
        self.assertLessEqual(self.supervisor.ends["encode"], MOST_ENDS, statuses)
        self.assertEqual(set(statuses), {503})
        self._check_others("chat")

    def test_it_is_known_after_all_boxes_lost_power(self) -> None:
        before = [self._send_deadly(number, "ping") for number in range(MOST_ENDS)]
        ends = self.supervisor.ends["desk"]
        for name in (*self.fleet.controls, *self.fleet.entries):
            self.fleet.processes[name].kill()
        for name in (*self.fleet.controls, *self.fleet.entries):
            self.fleet.start(name)
        for entry in self.fleet.entries:
            wait_until(lambda entry=entry: self.fleet.is_ready(entry), f"{entry} is ready")  # type: ignore[misc]
        after = [self._send_deadly(number, "ping") for number in range(TRIES)]
        self.assertLessEqual(self.supervisor.ends["desk"], MOST_ENDS, (before, after))
        self.assertLessEqual(self.supervisor.ends["desk"] - ends, MOST_ENDS - 3, (before, after))
        self._check_others("ping")

    def _check_others(self, route: str) -> None:
        """Other requests of the same caller and path are served whole."""
        for number in range(6):
            status = self._call(number, route, body=b"another %d" % number)
            self.assertEqual(status, 200)

    def _call(self, number: int, route: str, *, body: bytes, key: str = "demo") -> int:
        """Send a request to one of the entries by turns; return its status, 0 if cut off."""
        entry = self.fleet.entries[number % len(self.fleet.entries)]
        headers: dict[str, Any] = {"Damsonlane_Pieces": "1,1", "Damsonlane_Material_Key": key}
        request_id = f"{route}-{time.monotonic_ns()}"
        status, data = self.fleet.call(
            entry, f"/{route}/a", request_id, body=body, **(headers if route == "chat" else {})
        )
        is_whole = route != "chat" or data.count(b"data: token") == EVENTS
        return 0 if status == 200 and not is_whole else status

    def _are_targets_known(self) -> bool:
        return all(
            self._call(number, route, body=b"hello") == 200
            for number in range(len(self.fleet.entries))
            for route in ("ping", "chat")
        )

    def _send_deadly(self, number: int, route: str, *, key: str = "") -> int:
        """Send the deadly request; return its status once all targets are back and known."""
        body = b"its pieces are deadly" if key else DEADLY.encode()
        status = self._call(number, route, body=body, key=key or "demo")
        wait_until(self._are_all_back, "all targets are back")
        return status

    def _are_all_back(self) -> bool:
        return all(self._answers(name) for name, _, _ in TARGETS) and self._are_targets_known()

    def _answers(self, name: str) -> bool:
        try:
            return isinstance(self.fleet.read_ran(name), list)
        except (OSError, http.client.HTTPException):
            return False


if __name__ == "__main__":
    unittest.main()
