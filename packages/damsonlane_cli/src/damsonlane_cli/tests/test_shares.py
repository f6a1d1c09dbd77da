"""Tests of the report on the shares of organisations."""

import io
import json
import tempfile
import unittest
from contextlib import redirect_stderr
from pathlib import Path

from damsonlane_cli._shares import report_shares


def make_line(service: str, **organisations: dict[str, object]) -> str:
    items = [{"organisation": name, **fields} for name, fields in organisations.items()]
    line = {"message": "organisation shares", "service": service, "organisations": items}
    return "12.5 entry-1 " + json.dumps(line)


def report(*lines: str, service: str = "") -> list[dict[str, object]]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "a.log"
        path.write_text("\n".join(lines))
        return report_shares([str(path)], service)


LARGE: dict[str, object] = {
    "share": 0.6,
    "work": 9.0,
    "started": 30,
    "refused": 10,
    "excess": 12,
    "wait_seconds": 15.0,
}
SMALL: dict[str, object] = {
    "share": None,
    "work": 1.0,
    "started": 5,
    "refused": 0,
    "excess": 0,
    "wait_seconds": 0.5,
}


class SharesTest(unittest.TestCase):
    def test_rows_sum_the_lines_of_all_owners(self) -> None:
        rows = report(
            make_line("resize", small=SMALL, large=LARGE),
            "no line of a log",
            make_line("resize", large={**LARGE, "share": 0.5, "wait_seconds": 0.0}),
            make_line("other", small=SMALL),
            service="resize",
        )
        self.assertEqual([row["organisation"] for row in rows], ["large", "small"])
        large, small = rows
        self.assertEqual((large["least_share"], large["use"]), (0.5, 0.9474))
        self.assertEqual((large["served"], large["beyond_share"]), (0.75, 24))
        self.assertEqual(large["mean_wait_seconds"], 0.25)
        self.assertEqual((small["least_share"], small["mean_wait_seconds"]), (None, 0.1))

    def test_an_organisation_without_started_work_has_no_wait(self) -> None:
        (row,) = report(make_line("resize", large={"refused": 3, "share": 0.1}))
        self.assertEqual((row["served"], row["mean_wait_seconds"], row["use"]), (0.0, None, 0.0))

    def test_logs_without_shares_end_with_an_error(self) -> None:
        with redirect_stderr(io.StringIO()), self.assertRaises(SystemExit):
            report("nothing", make_line("other", small=SMALL), service="resize")


if __name__ == "__main__":
    unittest.main()
