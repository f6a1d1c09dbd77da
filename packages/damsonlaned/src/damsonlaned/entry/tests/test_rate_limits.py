"""Guards against more requests to a pipeline target than the rate limit that it announced.

A limit holds for all boxes together.  The leader of control issues the permits, since the entries
of pipelines have no list of each other from which an owner could be chosen.
"""

import itertools
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from unittest import mock

from pydantic import JsonValue

from damsonlane.ratelimit import Permit, PermitIssuer, RateLimitReport, RateLimitTable
from damsonlane.requests import AttemptResult
from damsonlane.settings import SettingsTree, check_tree
from damsonlane_rpc import PermitBatchRequest
from damsonlaned.entry._dispatcher import Dispatcher
from damsonlaned.entry._draining_targets import DrainingTargets
from damsonlaned.entry._rate_limited_targets import RateLimitedTargets
from damsonlaned.entry._settings_view import SettingsInForce
from damsonlaned.entry.tests.test_backoff import REQUEST, SEND, FakeTarget, run_attempt

#: Boxes that send to the same targets.
BOXES = 4
#: Requests that each box sends.
REQUESTS = 10
#: Rate limit of the target, in requests a second.
RATE = 0.1
#: Seconds over which requests are counted.
WINDOW = 4.0
#: Requests that the target may get in that time: one and a half times its rate, and five more.
ALLOWED = 1.5 * RATE * WINDOW + 5
#: An attempt for which all targets are equally good.
SEND_TO_ANY = replace(SEND, stage=replace(SEND.stage, routing="random"))


class ControlLeader:
    """Issues permits to all boxes, as the leader of control does."""

    def __init__(self) -> None:
        self._table = RateLimitTable()
        self._issuer = PermitIssuer(self._table)
        self._lock = threading.Lock()

    def request_permits(self, request: PermitBatchRequest) -> tuple[Permit, ...] | None:
        now = time.monotonic()
        with self._lock:
            for report in request.words:
                self._table.record(report, now)
            return tuple(
                self._issuer.issue(request.service, order, 1.0, now) for order in request.orders
            )

    def report(self, report: RateLimitReport) -> None:
        self.request_permits(PermitBatchRequest(words=(report,)))


class RateLimitedTarget(FakeTarget):
    """A target that announces its limit in each response, and records when requests arrive."""

    def __init__(self, status: int = 200) -> None:
        super().__init__(status, Damsonlane_Rate_Limit=str(RATE))
        self.times: list[float] = []

    def record_request(self) -> None:
        super().record_request()
        self.times.append(time.monotonic())

    def count_most_in_window(self) -> int:
        """Return the largest number of requests that arrived in any ``WINDOW`` seconds."""
        return max(
            (sum(begin <= at < begin + WINDOW for at in self.times) for begin in self.times),
            default=0,
        )


class PipelineRateLimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.versions = itertools.count(1)
        self.leader = ControlLeader()
        self.boxes = [self.make_box() for _ in range(BOXES)]

    def make_box(self) -> Dispatcher:
        limits = RateLimitedTargets(self.leader)
        box = Dispatcher("one", DrainingTargets(), mock.Mock(), limits=limits)
        self.addCleanup(box.close)
        return box

    def make_settings(self, **targets: FakeTarget) -> SettingsInForce:
        definitions: dict[str, JsonValue] = {
            name: {"address": target.address, "data_centre": "one"}
            for name, target in targets.items()
        }
        tree = check_tree({"services": {"encode": {"kind": "pool", "targets": definitions}}})
        assert isinstance(tree, SettingsTree)
        return SettingsInForce(version=next(self.versions), tree=tree)

    def send_all(self, box: Dispatcher, settings: SettingsInForce) -> list[AttemptResult]:
        return [run_attempt(box.send(SEND_TO_ANY, settings, "p", "f")) for _ in range(REQUESTS)]

    def send_from_all_boxes(
        self, limited: RateLimitedTarget, **others: FakeTarget
    ) -> list[AttemptResult]:
        """Let all boxes learn the limit, then send the requests of each; return the results."""
        for target in (limited, *others.values()):
            self.addCleanup(target.stop)
        only_limited = self.make_settings(limited=limited)
        for box in self.boxes:
            run_attempt(box.send(SEND_TO_ANY, only_limited, "p", "f"))
        limited.times.clear()
        settings = self.make_settings(limited=limited, **others)
        with ThreadPoolExecutor(BOXES) as threads:
            sent = threads.map(lambda box: self.send_all(box, settings), self.boxes)
        return [result for results in sent for result in results]

    def test_all_boxes_together_keep_the_limit_of_a_target(self) -> None:
        for status in (200, 503):
            with self.subTest(status=status):
                limited = RateLimitedTarget(status)
                results = self.send_from_all_boxes(limited, working=FakeTarget(200))
                self.assertLessEqual(limited.count_most_in_window(), ALLOWED)
                answered = [result for result in results if result.outcome == "answered"]
                rejected = len(limited.times) if status == 503 else 0
                self.assertEqual(len(answered), len(results) - rejected)

    def test_callers_get_a_retry_after_while_all_rate_limits_are_exhausted(self) -> None:
        limited = RateLimitedTarget()
        results = self.send_from_all_boxes(limited)
        self.assertLessEqual(limited.count_most_in_window(), ALLOWED)
        unsent = [result for result in results if result.outcome == "unsent"]
        self.assertGreaterEqual(len(unsent), len(results) - ALLOWED)
        self.assertGreater(max(result.retry_after for result in unsent), 1.0)
        # A request is refused on arrival, before any of its stages runs.
        settings = self.make_settings(limited=limited)
        self.assertGreater(self.boxes[0].forecast(REQUEST, settings), 1.0)


if __name__ == "__main__":
    unittest.main()
