"""What could have been served in aim, from logs written by hand."""

import io
import json
import tempfile
import unittest
from collections.abc import Sequence
from contextlib import redirect_stderr
from pathlib import Path

from damsonlane_cli._bound import count_bound, find_best_shares, read_record

#: A target that makes four pieces in a call of 0.4 s, ten a second.
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


def make_request(name: str, *, rank: int = 0, second: int = 0, aim: float = 1.0) -> list[str]:
    """Return the lines of a request with one piece that was refused."""
    time = f"2026-01-01 00:00:0{second},000"
    accepted = {"message": "accepted", "time": time, "request": name, "rank": rank}
    accepted |= {"route": f"r{rank}", "pieces": [1], "waited_ms": 0}
    made = {"message": "stage made", "route": f"r{rank}", "stage": 0, "service": "pool"}
    ended = {"message": "ended", "request": name, "route": f"r{rank}", "aim_seconds": aim}
    return [json.dumps(line) for line in (accepted, made, {**ended, "outcome": "refused-503"})]


def make_requests(count: int, **fields: int) -> list[str]:
    """Return the lines of several requests."""
    names = [f"{fields}-{number}" for number in range(count)]
    return [line for name in names for line in make_request(name, **fields)]


class BoundTest(unittest.TestCase):
    def find_best(self, texts: Sequence[str]) -> float:
        return round(sum(find_best_shares(read_record([*CALLS, *texts]))), 2)

    def test_no_more_is_served_than_full_calls_make_until_the_aim(self) -> None:
        self.assertEqual(self.find_best(make_requests(6)), 6.0)
        self.assertEqual(self.find_best(make_requests(30)), 10.0)

    def test_what_comes_later_has_time_of_its_own(self) -> None:
        texts = [*make_requests(30), *make_requests(30, second=1)]
        self.assertEqual(self.find_best(texts), 20.0)

    def test_the_more_urgent_come_first(self) -> None:
        record = read_record([*CALLS, *make_requests(8, rank=1), *make_requests(8, rank=5)])
        shares = find_best_shares(record)
        urgent = [s for s, d in zip(shares, record.demands, strict=True) if d.rank == 1]
        self.assertAlmostEqual(sum(urgent), 8.0)
        self.assertAlmostEqual(sum(shares), 10.0)

    def test_callers_that_came_back_are_no_new_requests(self) -> None:
        again = make_request("again")
        again[0] = again[0].replace('"waited_ms": 0', '"waited_ms": 700')
        self.assertEqual(read_record(again).demands, ())

    def test_rows_tell_the_distance_for_each_route_and_rank(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.log"
            path.write_text("\n".join([*CALLS, "no line of a log", *make_requests(20)]))
            (row,) = count_bound([str(path)])
        self.assertEqual((row["requests"], row["in_aim"], row["best"]), (20, 0, 10.0))
        self.assertEqual(row["distance"], 0.5)

    def test_logs_without_pools_are_refused_with_what_to_do(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.log"
            path.write_text("\n".join(make_requests(1)))
            said = io.StringIO()
            with redirect_stderr(said), self.assertRaises(SystemExit):
                count_bound([str(path)])
        self.assertIn("logs of all entries", said.getvalue())


if __name__ == "__main__":
    unittest.main()
