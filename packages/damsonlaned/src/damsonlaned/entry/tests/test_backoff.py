"""Guards against requests to pipeline targets that requested back-off or are draining.

Targets announce both in headers of their responses, which are read over real connections.
"""

import json
import threading
import unittest
from collections.abc import Generator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from unittest import mock

from pydantic import JsonValue

from damsonlane.requests import AttemptKey, AttemptResult, Request, ResolvedStage, Send
from damsonlane.settings import SettingsTree, check_tree
from damsonlaned.entry._dispatcher import Dispatcher
from damsonlaned.entry._draining_targets import DrainingTargets
from damsonlaned.entry._settings_view import SettingsInForce

#: Back-off that targets request, in seconds; longer than any test takes.
BACKOFF_SECONDS = 600.0
REQUESTS = 40
STAGE = ResolvedStage(name="encode", service="encode", attempts=1, routing="paced")
KEY = AttemptKey(request="r", organisation="o", stage="encode", number=1)
SEND = Send(key=KEY, stage=STAGE, text="", avoid=(), seconds=10.0, is_last=True)
REQUEST = Request(
    request="r", organisation="o", pipeline="p", text="", deadline_at=0.0, stages=(STAGE,)
)


class FakeTarget:
    """A target on a port of its own that sends the same response to each request it counts."""

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
                target.record_request()
                self.send_response(status)
                for name, value in headers.items():
                    self.send_header(name.replace("_", "-"), value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_: object) -> None:
                """Suppress the log lines of the server."""

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self._thread = threading.Thread(target=self._server.serve_forever, args=(0.01,))
        self._thread.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.server_port}"

    def record_request(self) -> None:
        """Count a request."""
        self.count += 1

    def stop(self) -> None:
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()


class PipelineBackoffTest(unittest.TestCase):
    def setUp(self) -> None:
        self.dispatcher = Dispatcher("one", DrainingTargets(), mock.Mock())
        self.addCleanup(self.dispatcher.close)

    def make_settings(self, **targets: FakeTarget) -> SettingsInForce:
        definitions: dict[str, JsonValue] = {}
        for name, target in targets.items():
            self.addCleanup(target.stop)
            definitions[name] = {"address": target.address, "data_centre": "one"}
        tree = check_tree({"services": {"encode": {"kind": "pool", "targets": definitions}}})
        assert isinstance(tree, SettingsTree)
        return SettingsInForce(version=1, tree=tree)

    def send(self, settings: SettingsInForce) -> AttemptResult:
        return run_attempt(self.dispatcher.send(SEND, settings, "p", "f"))

    def test_a_target_that_requests_back_off_gets_no_more_requests(self) -> None:
        backing_off, working = (
            FakeTarget(503, Retry_After=f"{BACKOFF_SECONDS:.0f}"),
            FakeTarget(200),
        )
        settings = self.make_settings(backing_off=backing_off, working=working)
        outcomes = [self.send(settings).outcome for _ in range(REQUESTS)]
        self.assertLessEqual(backing_off.count, 1, outcomes)
        self.assertEqual(outcomes.count("answered"), REQUESTS - backing_off.count)

    def test_a_target_that_announces_draining_with_a_200_gets_no_more_requests(
        self,
    ) -> None:
        draining, working = FakeTarget(200, Damsonlane_Leaving="1"), FakeTarget(200)
        settings = self.make_settings(draining=draining, working=working)
        outcomes = [self.send(settings).outcome for _ in range(REQUESTS)]
        self.assertEqual(set(outcomes), {"answered"})
        self.assertLessEqual(draining.count, 1)

    def test_callers_get_a_retry_after_while_all_targets_back_off(self) -> None:
        settings = self.make_settings(one=FakeTarget(503, Retry_After=f"{BACKOFF_SECONDS:.0f}"))
        self.send(settings)
        result = self.send(settings)
        self.assertEqual(result.outcome, "unsent")
        self.assertGreater(result.retry_after, BACKOFF_SECONDS / 2)
        # A request is refused on arrival, before any of its stages runs.
        self.assertGreater(self.dispatcher.forecast(REQUEST, settings), BACKOFF_SECONDS / 2)


def run_attempt(attempt: Generator[str, None, tuple[str, AttemptResult]]) -> AttemptResult:
    while True:
        try:
            next(attempt)
        except StopIteration as stop:
            result: AttemptResult = stop.value[1]
            return result


if __name__ == "__main__":
    unittest.main()
