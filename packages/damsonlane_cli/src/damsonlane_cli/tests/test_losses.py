"""Tests of the report on why requests missed their latency objective."""

import io
import json
import tempfile
import unittest
from contextlib import redirect_stderr
from pathlib import Path
from typing import Any

from damsonlane_cli._losses import read_outcomes, report_losses

ENDED: dict[str, Any] = {
    "outcome": "answered",
    "seconds": 0.9,
    "aim_seconds": 1.0,
    "pause_aim_seconds": 0.2,
    "staged_seconds": 0.4,
    "first_event_seconds": 0.6,
    "longest_pause_seconds": 0.1,
}


def make_lines(name: str, waited_ms: int = 0, **ended: object) -> list[str]:
    accepted = {"message": "accepted", "request": name, "route": "r", "rank": 1}
    accepted["waited_ms"] = waited_ms
    return [
        json.dumps(accepted),
        "12.5 entry-1 " + json.dumps({"message": "ended", "request": name, **ENDED, **ended}),
    ]


class LossesTest(unittest.TestCase):
    def test_each_outcome_has_its_step(self) -> None:
        cases: tuple[tuple[str, int, dict[str, object]], ...] = (
            ("in aim", 0, {}),
            ("late, stages", 0, {"staged_seconds": 0.9, "first_event_seconds": 1.1}),
            ("late, target", 0, {"staged_seconds": 0.2, "first_event_seconds": 1.1}),
            ("late, both", 0, {"staged_seconds": 0.5, "first_event_seconds": 1.0}),
            ("late, came back", 600, {}),
            ("late, paused", 0, {"longest_pause_seconds": 0.3}),
            ("refused-503", 0, {"outcome": "refused-503"}),
            ("refused again", 600, {"outcome": "refused-503"}),
            ("caller-gone", 0, {"outcome": "caller-gone"}),
            ("late, target", 0, {"first_event_seconds": None, "seconds": 9.0}),
        )
        for step, waited_ms, ended in cases:
            with self.subTest(step, **ended):
                outcomes = read_outcomes(make_lines("a", waited_ms, **ended))
                self.assertEqual([outcome.step for outcome in outcomes], [step])

    def test_a_request_without_a_completion_was_lost_with_its_entry(self) -> None:
        outcomes = read_outcomes(make_lines("a")[:1])
        self.assertEqual([outcome.step for outcome in outcomes], ["entry lost"])

    def test_rows_have_the_share_of_each_step(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.log"
            lines = [*make_lines("a"), "no line of a log", *make_lines("b", outcome="cut")]
            path.write_text("\n".join(lines))
            rows = report_losses([str(path)])
        self.assertEqual(
            [(row["step"], row["share"]) for row in rows], [("cut", 0.5), ("in aim", 0.5)]
        )

    def test_logs_without_requests_end_with_an_error(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.log"
            path.write_text("nothing\n")
            for name in (str(path), str(path) + ".missing"):
                with (
                    self.subTest(name),
                    redirect_stderr(io.StringIO()),
                    self.assertRaises(SystemExit),
                ):
                    report_losses([name])


if __name__ == "__main__":
    unittest.main()
