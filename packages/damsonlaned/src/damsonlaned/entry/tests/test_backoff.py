"""Targets of pipelines that ask for rest or say that they leave, over real connections.

The entry of routes went on sending to targets that had asked it for rest.  The entry of
pipelines did the same: it read the header of a target that leaves only where that target
refused, and how long a refusal lasts nowhere.  Of 40 requests a target got 4 though it
had asked for ten minutes, and where all targets asked it was called again all the same.
"""

import json
import threading
import unittest
from collections.abc import Generator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from unittest import mock

from pydantic import JsonValue

from damsonlane.requests import AttemptKey, AttemptResult, Request, Send, StagePlan
from damsonlane.settings import Tree, check_tree
from damsonlaned.entry._dispatcher import Dispatch
from damsonlaned.entry._draining_targets import LeavingTargets
from damsonlaned.entry._settings_view import SettingsInForce

#: Seconds for which targets ask for rest: longer than any test takes.
REST = 600.0
REQUESTS = 40
STAGE = StagePlan(name="encode", service="encode", attempts=1, routing="paced")
KEY = AttemptKey(request="r", organisation="o", stage="encode", number=1)
SEND = Send(key=KEY, stage=STAGE, text="", avoid=(), seconds=10.0, is_last=True)
REQUEST = Request(request="r", organisation="o", pipeline="p", text="", due_at=0.0, stages=(STAGE,))


class StandIn:
    """A target on a port of its own that answers each request alike, and counts them."""

    def __init__(self, status: int, **headers: str) -> None:
        self.count = 0
        body = json.dumps(
            {"request": "r", "organisation": "o", "stage": "encode", "attempt": 1, "output": "x"}
        ).encode()
        target = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self) -> None:
                self.rfile.read(int(self.headers["Content-Length"]))
                target.note()
                self.send_response(status)
                for name, value in headers.items():
                    self.send_header(name.replace("_", "-"), value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_: object) -> None:
                """Say nothing."""

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self._thread = threading.Thread(target=self._server.serve_forever, args=(0.01,))
        self._thread.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.server_port}"

    def note(self) -> None:
        """Count a request that came."""
        self.count += 1

    def stop(self) -> None:
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()


class PipelineBackoffTest(unittest.TestCase):
    def setUp(self) -> None:
        self.dispatch = Dispatch("one", LeavingTargets(), mock.Mock())
        self.addCleanup(self.dispatch.close)

    def start(self, **targets: StandIn) -> SettingsInForce:
        written: dict[str, JsonValue] = {}
        for name, target in targets.items():
            self.addCleanup(target.stop)
            written[name] = {"address": target.address, "data_centre": "one"}
        tree = check_tree({"services": {"encode": {"kind": "pool", "targets": written}}})
        assert isinstance(tree, Tree)
        return SettingsInForce(version=1, tree=tree)

    def send(self, settings: SettingsInForce) -> AttemptResult:
        return run(self.dispatch.send(SEND, settings, "p", "f"))

    def test_a_target_that_asks_for_rest_gets_nothing_more(self) -> None:
        asking, working = StandIn(503, Retry_After=f"{REST:.0f}"), StandIn(200)
        settings = self.start(asking=asking, working=working)
        outcomes = [self.send(settings).outcome for _ in range(REQUESTS)]
        self.assertLessEqual(asking.count, 1, outcomes)
        self.assertEqual(outcomes.count("answered"), REQUESTS - asking.count)

    def test_a_target_that_says_it_leaves_with_a_good_answer_gets_nothing_more(self) -> None:
        leaving, working = StandIn(200, Damsonlane_Leaving="1"), StandIn(200)
        settings = self.start(leaving=leaving, working=working)
        outcomes = [self.send(settings).outcome for _ in range(REQUESTS)]
        self.assertEqual(set(outcomes), {"answered"})
        self.assertLessEqual(leaving.count, 1)

    def test_callers_are_told_the_time_when_all_targets_rest(self) -> None:
        settings = self.start(one=StandIn(503, Retry_After=f"{REST:.0f}"))
        self.send(settings)
        result = self.send(settings)
        self.assertEqual(result.outcome, "unsent")
        self.assertGreater(result.retry_after, REST / 2)
        # Refused on arrival, before its earlier stages are made.
        self.assertGreater(self.dispatch.forecast(REQUEST, settings), REST / 2)


def run(attempt: Generator[str, None, tuple[str, AttemptResult]]) -> AttemptResult:
    while True:
        try:
            next(attempt)
        except StopIteration as stop:
            result: AttemptResult = stop.value[1]
            return result


if __name__ == "__main__":
    unittest.main()
