"""Naming the step in which a request lost its aim."""

import io
import json
import tempfile
import unittest
from contextlib import redirect_stderr
from pathlib import Path
from typing import Any

from damsonlane_cli._losses import count_losses, find_endings

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
    def test_each_request_is_counted_in_one_step(self) -> None:
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
                found = find_endings(make_lines("a", waited_ms, **ended))
                self.assertEqual([ending.step for ending in found], [step])

    def test_a_request_without_an_end_was_lost_with_its_entry(self) -> None:
        found = find_endings(make_lines("a")[:1])
        self.assertEqual([ending.step for ending in found], ["entry lost"])

    def test_rows_add_up_for_each_route(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.log"
            lines = [*make_lines("a"), "no line of a log", *make_lines("b", outcome="cut")]
            path.write_text("\n".join(lines))
            rows = count_losses([str(path)])
        self.assertEqual(
            [(row["step"], row["share"]) for row in rows], [("cut", 0.5), ("in aim", 0.5)]
        )

    def test_logs_that_tell_nothing_end_with_an_error(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.log"
            path.write_text("nothing\n")
            for name in (str(path), str(path) + ".missing"):
                with (
                    self.subTest(name),
                    redirect_stderr(io.StringIO()),
                    self.assertRaises(SystemExit),
                ):
                    count_losses([name])


if __name__ == "__main__":
    unittest.main()
