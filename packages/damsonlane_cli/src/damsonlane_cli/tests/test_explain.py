"""Tests of the log lines shown for one request."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from damsonlane_cli._explain import collect_tries, explain, explain_outcome, read_lines


def make_line(time: str, box: str, message: str, request: str = "r1", **fields: object) -> str:
    line = {"time": time, "box": box, "message": message, "request": request, **fields}
    return json.dumps(line) + "\n"


class ExplainTest(unittest.TestCase):
    def test_lines_of_all_boxes_are_sorted_and_the_outcome_explained(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            first, second = Path(folder) / "a.log", Path(folder) / "b.log"
            first.write_text(
                make_line("10:00:02", "entry-1", "ended", outcome="refused-504", offers=1)
                + make_line("10:00:01", "entry-1", "sent", target="t1")
                + make_line("10:00:01", "entry-1", "sent", request="r2")
                + "no line of a log with r1\n"
            )
            second.write_text("12.5 entry-2 " + make_line("10:00:00", "entry-2", "refused"))
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                explain("r1", str(first), str(second))
        shown = output.getvalue().splitlines()
        self.assertEqual([line.split("  ")[2] for line in shown[:3]], ["refused", "sent", "ended"])
        self.assertIn("it may have run there", shown[3])
        self.assertEqual(len(shown), 4)

    def test_the_tries_of_a_stream_are_one_story(self) -> None:
        texts = [
            make_line("10:00:00", "entry-1", "sent", target="t1", target_version="v1"),
            make_line("10:00:01", "entry-2", "accepted", request="r2", first_attempt="r1"),
            make_line("10:00:02", "entry-2", "sent", request="r2", target="t2"),
            make_line("10:00:03", "entry-3", "accepted", request="r3", first_attempt="r1"),
            make_line("10:00:04", "entry-3", "accepted", request="r4", first_attempt="r9"),
        ]
        for request in ("r1", "r2", "r3"):
            story = [(line.request, line.message) for line in collect_tries(texts, request)]
            expected = [("r1", "sent"), ("r2", "accepted"), ("r2", "sent"), ("r3", "accepted")]
            self.assertEqual(story, expected)

    def test_a_missing_outcome_means_that_the_entry_was_lost(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.log"
            path.write_text(make_line("10:00:01", "entry-1", "sent"))
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                explain("r1", str(path))
        self.assertIn("the process was lost", output.getvalue())

    def test_unknown_requests_and_files_end_with_an_error(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.log"
            path.write_text("")
            for files in ([str(path)], [str(path) + ".missing"]):
                with (
                    self.subTest(files),
                    contextlib.redirect_stderr(io.StringIO()) as errors,
                    self.assertRaises(SystemExit),
                ):
                    explain("r1", *files)
                self.assertNotIn("Traceback", errors.getvalue())

    def test_lines_that_are_not_json_objects_are_ignored(self) -> None:
        texts = ['{"request": "r1"', "r1", '["r1"]', make_line("t", "b", "m")]
        self.assertEqual(len(list(read_lines(texts, "r1"))), 1)

    def test_every_outcome_has_a_meaning(self) -> None:
        for outcome in ("answered", "cut", "refused-502", "refused-503", "refused-504"):
            self.assertNotIn("does not know", explain_outcome(outcome))


if __name__ == "__main__":
    unittest.main()
