"""Demonstration of pipelines with real processes, and its cost report."""

import json
import tempfile
import unittest
from collections import Counter
from pathlib import Path

from damsonlane_bench.demo import Demonstration
from damsonlane_bench.fleet import Fleet, send, wait_until


class EndToEndTest(unittest.TestCase):
    def test_demonstration_passes_and_its_costs_match_what_the_targets_ran(self) -> None:
        with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
            demonstration = Demonstration(fleet)
            demonstration.run()
            executed = _read_executed(fleet)
            wait_until(lambda: _read_reported(fleet) == executed, f"the report says {executed}")
            codes = [fleet.stop(name) for name in ("entry-1", "entry-2", "control-1")]
        self.assertEqual((demonstration.failures, codes), ([], [0, 0, 0]))


def _read_executed(fleet: Fleet) -> Counter[str]:
    """Return the executions by stage and the tokens that the stand-ins counted."""
    executed: Counter[str] = Counter()
    for name, address in fleet.standins.items():
        body = send("GET", f"http://{address}/executions").body
        executed[name.rpartition("-")[0]] += sum(item["count"] for item in body["executions"])
        executed["tokens"] += body["tokens"]
    return executed


def _read_reported(fleet: Fleet) -> Counter[str]:
    """Return the attempts by stage and the tokens in the cost report."""
    reported: Counter[str] = Counter()
    for row in json.loads(fleet.check_command("report", "cost", "--format=json")):
        reported[row["stage"]] += row["attempts"]
        reported["tokens"] += row["tokens"]
    return reported


if __name__ == "__main__":
    unittest.main()
