"""Tests of the log lines and metrics on the shares of organisations."""

import unittest

from damsonlane.fairness import MAX_NAMES, UsageTotals
from damsonlane.targets import Shard
from damsonlaned.fairness import REPORT_SECONDS, ShareReporter
from damsonlaned.fairness import _share_reporter as module
from damsonlaned.metrics import Metrics

SHARD = Shard(service="resize")
TOTALS = UsageTotals(work=0.5, started=2, refused=1, excess=1, wait_seconds=0.2, share=0.25)


class ShareReporterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.metrics = Metrics()
        self.reporter = ShareReporter(self.metrics)

    def test_one_line_reports_several_intervals(self) -> None:
        with self.assertLogs(module.__name__, "INFO") as logs:
            self.reporter.record({SHARD: {"florists": TOTALS}}, 1.0)
            self.reporter.record({SHARD: {"florists": TOTALS, "": TOTALS}}, 2.0 + REPORT_SECONDS)
        (line,) = logs.records
        self.assertEqual(line.message, "organisation shares")
        florists, unnamed = line.__dict__["organisations"]
        self.assertEqual((florists["organisation"], florists["started"]), ("florists", 4))
        self.assertEqual((florists["share"], florists["work"]), (0.25, 1.0))
        self.assertEqual(unnamed["organisation"], module.UNNAMED)

    def test_without_named_work_nothing_is_logged(self) -> None:
        """Guards against an effect on deployments without fair shares."""
        with self.assertNoLogs(module.__name__, "INFO"):
            self.reporter.record({SHARD: {}}, 10 * REPORT_SECONDS)
        self.assertNotIn(b'organisation="', self.metrics.render())

    def test_the_number_of_labels_is_bounded(self) -> None:
        """Guards against metrics that grow with the number of organisations ever seen."""
        for number in range(3 * MAX_NAMES):
            self.reporter.record({SHARD: {f"o{number}": TOTALS}}, 0.0)
        text = self.metrics.render().decode()
        counted = [line for line in text.splitlines() if line.startswith("damsonlane_organisation")]
        names = {line.partition('organisation="')[2].partition('"')[0] for line in counted}
        self.assertEqual(len(names), MAX_NAMES + 1)


if __name__ == "__main__":
    unittest.main()
