"""A pipeline's target names how many requests a second it takes, and gets more.

The entries of routes read no limit that a target named for all boxes together, and the entries
of pipelines read none either.  Of 40 requests that four boxes sent in a moment a target got 20
to 24 though it had named one request in ten seconds, 8 where it turned them away, and where it
was the only one it got all 40.  Their permits come from the leader of control, since these
entries know no list of each other from which an owner could be chosen.
"""

import itertools
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from unittest import mock

from pydantic import JsonValue

from damsonlane.ratelimit import Permit, PermitIssuer, RateLimitBook, RateWord
from damsonlane.requests import AttemptResult
from damsonlane.settings import Tree, check_tree
from damsonlane_rpc import PermitRequest
from damsonlaned.entry._dispatcher import Dispatch
from damsonlaned.entry._draining_targets import LeavingTargets
from damsonlaned.entry._rate_limited_targets import LimitedTargets
from damsonlaned.entry._settings_view import SettingsInForce
from damsonlaned.entry.tests.test_backoff import REQUEST, SEND, StandIn, run

#: Boxes before the same targets.
BOXES = 4
#: Requests of each box.
REQUESTS = 10
#: Requests a second that the target takes.
RATE = 0.1
#: Seconds over which requests are counted.
WINDOW = 4.0
#: Requests that a target may get in that time: one and a half times its rate, and five more.
ALLOWED = 1.5 * RATE * WINDOW + 5
#: A sending for which any target is as good as the others.
ANY = replace(SEND, stage=replace(SEND.stage, routing="random"))


class Leader:
    """Issues permits to all boxes, as the leader of control does."""

    def __init__(self) -> None:
        self._book = RateLimitBook()
        self._issuer = PermitIssuer(self._book)
        self._lock = threading.Lock()

    def ask(self, request: PermitRequest) -> tuple[Permit, ...] | None:
        now = time.monotonic()
        with self._lock:
            for word in request.words:
                self._book.note(word, now)
            return tuple(
                self._issuer.issue(request.service, order, 1.0, now) for order in request.orders
            )

    def tell(self, word: RateWord) -> None:
        self.ask(PermitRequest(words=(word,)))


class Limited(StandIn):
    """A target that names its limit in each answer, and notes when requests come."""

    def __init__(self, status: int = 200) -> None:
        super().__init__(status, Damsonlane_Rate_Limit=str(RATE))
        self.times: list[float] = []

    def note(self) -> None:
        super().note()
        self.times.append(time.monotonic())

    def count_most(self) -> int:
        """Return the most requests that came in some four seconds."""
        return max(
            (sum(begin <= at < begin + WINDOW for at in self.times) for begin in self.times),
            default=0,
        )


class PipelineRateLimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.versions = itertools.count(1)
        self.leader = Leader()
        self.boxes = [self.make_box() for _ in range(BOXES)]

    def make_box(self) -> Dispatch:
        limits = LimitedTargets(self.leader)
        box = Dispatch("one", LeavingTargets(), mock.Mock(), limits=limits)
        self.addCleanup(box.close)
        return box

    def make_settings(self, **targets: StandIn) -> SettingsInForce:
        written: dict[str, JsonValue] = {
            name: {"address": target.address, "data_centre": "one"}
            for name, target in targets.items()
        }
        tree = check_tree({"services": {"encode": {"kind": "pool", "targets": written}}})
        assert isinstance(tree, Tree)
        return SettingsInForce(version=next(self.versions), tree=tree)

    def send_all(self, box: Dispatch, settings: SettingsInForce) -> list[AttemptResult]:
        return [run(box.send(ANY, settings, "p", "f")) for _ in range(REQUESTS)]

    def play(self, limited: Limited, **others: StandIn) -> list[AttemptResult]:
        """Tell all boxes of the limit, then have each send its requests; return the results."""
        for target in (limited, *others.values()):
            self.addCleanup(target.stop)
        alone = self.make_settings(limited=limited)
        for box in self.boxes:
            run(box.send(ANY, alone, "p", "f"))
        limited.times.clear()
        settings = self.make_settings(limited=limited, **others)
        with ThreadPoolExecutor(BOXES) as threads:
            sent = threads.map(lambda box: self.send_all(box, settings), self.boxes)
        return [result for results in sent for result in results]

    def test_a_target_gets_no_more_than_it_names_from_all_boxes_together(self) -> None:
        for status in (200, 503):
            with self.subTest(status=status):
                limited = Limited(status)
                results = self.play(limited, working=StandIn(200))
                self.assertLessEqual(limited.count_most(), ALLOWED)
                answered = [result for result in results if result.outcome == "answered"]
                refused = len(limited.times) if status == 503 else 0
                self.assertEqual(len(answered), len(results) - refused)

    def test_callers_are_told_the_time_when_all_targets_are_at_their_rates(self) -> None:
        limited = Limited()
        results = self.play(limited)
        self.assertLessEqual(limited.count_most(), ALLOWED)
        unsent = [result for result in results if result.outcome == "unsent"]
        self.assertGreaterEqual(len(unsent), len(results) - ALLOWED)
        self.assertGreater(max(result.retry_after for result in unsent), 1.0)
        # Refused on arrival, before its earlier stages are made.
        settings = self.make_settings(limited=limited)
        self.assertGreater(self.boxes[0].forecast(REQUEST, settings), 1.0)


if __name__ == "__main__":
    unittest.main()
