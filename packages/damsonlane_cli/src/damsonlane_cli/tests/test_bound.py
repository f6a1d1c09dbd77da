"""Tests of the bound on requests that meet their objective, with hand-written logs."""

import io
import json
import tempfile
import unittest
from collections.abc import Sequence
from contextlib import redirect_stderr
from pathlib import Path

from damsonlane_cli._bound import find_best_shares, read_fleet_log, report_bound

#: Calls of a target that computes up to four pieces in 0.4 s, ten a second.
CALLS = tuple(
    json.dumps(
        {
            "message": "batch ended",
            "time": f"2026-01-01 00:00:0{second},900",
            "service": "pool",
            "target": "t1",
            "made": made,
            "seconds": seconds,
        }
    )
    for second, made, seconds in ((0, 4, 0.4), (1, 4, 0.4), (2, 1, 0.3))
)


def make_request(
    name: str, *, priority: int = 0, second: int = 0, objective: float = 1.0
) -> list[str]:
    """Return the log lines of a refused request with one piece."""
    time = f"2026-01-01 00:00:0{second},000"
    accepted = {"message": "accepted", "time": time, "request": name, "rank": priority}
    accepted |= {"route": f"r{priority}", "pieces": [1], "waited_ms": 0}
    made = {"message": "stage made", "route": f"r{priority}", "stage": 0, "service": "pool"}
    ended = {"message": "ended", "request": name, "route": f"r{priority}", "aim_seconds": objective}
    return [json.dumps(line) for line in (accepted, made, {**ended, "outcome": "refused-503"})]


def make_requests(count: int, **fields: int) -> list[str]:
    """Return the log lines of several requests."""
    names = [f"{fields}-{number}" for number in range(count)]
    return [line for name in names for line in make_request(name, **fields)]


class BoundTest(unittest.TestCase):
    def find_best(self, texts: Sequence[str]) -> float:
        return round(sum(find_best_shares(read_fleet_log([*CALLS, *texts]))), 2)

    def test_bound_is_what_full_calls_compute_within_the_objective(self) -> None:
        self.assertEqual(self.find_best(make_requests(6)), 6.0)
        self.assertEqual(self.find_best(make_requests(30)), 10.0)

    def test_a_later_burst_is_bounded_separately(self) -> None:
        texts = [*make_requests(30), *make_requests(30, second=1)]
        self.assertEqual(self.find_best(texts), 20.0)

    def test_higher_priorities_are_served_first(self) -> None:
        log = read_fleet_log([*CALLS, *make_requests(8, priority=1), *make_requests(8, priority=5)])
        shares = find_best_shares(log)
        urgent = [s for s, r in zip(shares, log.requests, strict=True) if r.priority == 1]
        self.assertAlmostEqual(sum(urgent), 8.0)
        self.assertAlmostEqual(sum(shares), 10.0)

    def test_retries_of_callers_are_not_counted_as_requests(self) -> None:
        lines = make_request("again")
        lines[0] = lines[0].replace('"waited_ms": 0', '"waited_ms": 700')
        self.assertEqual(read_fleet_log(lines).requests, ())

    def test_rows_show_the_distance_for_each_route_and_priority(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.log"
            path.write_text("\n".join([*CALLS, "no line of a log", *make_requests(20)]))
            (row,) = report_bound([str(path)])
        self.assertEqual((row["requests"], row["in_aim"], row["best"]), (20, 0, 10.0))
        self.assertEqual(row["distance"], 0.5)

    def test_logs_without_pool_calls_fail_with_a_hint(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.log"
            path.write_text("\n".join(make_requests(1)))
            errors = io.StringIO()
            with redirect_stderr(errors), self.assertRaises(SystemExit):
                report_bound([str(path)])
        self.assertIn("logs of all entries", errors.getvalue())


if __name__ == "__main__":
    unittest.main()
