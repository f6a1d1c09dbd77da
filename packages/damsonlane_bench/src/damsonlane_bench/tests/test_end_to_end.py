"""The whole path, with real processes: what the demonstration shows must hold."""

import json
import tempfile
import unittest
from collections import Counter
from pathlib import Path

from damsonlane_bench.demo import Demonstration
from damsonlane_bench.fleet import Fleet, send, wait_until


class WholePathTest(unittest.TestCase):
    def test_demonstration_holds_and_its_bill_is_what_the_targets_did(self) -> None:
        with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
            demonstration = Demonstration(fleet)
            demonstration.run()
            done = _read_done(fleet)
            wait_until(lambda: _read_billed(fleet) == done, f"the bill says {done}")
            codes = [fleet.stop(name) for name in ("entry-1", "entry-2", "control-1")]
        self.assertEqual((demonstration.faults, codes), ([], [0, 0, 0]))


def _read_done(fleet: Fleet) -> Counter[str]:
    """Return executions by stage, and tokens, as the stand-ins counted them."""
    done: Counter[str] = Counter()
    for name, address in fleet.standins.items():
        body = send("GET", f"http://{address}/executions").body
        done[name.rpartition("-")[0]] += sum(item["count"] for item in body["executions"])
        done["tokens"] += body["tokens"]
    return done


def _read_billed(fleet: Fleet) -> Counter[str]:
    """Return attempts by stage, and tokens, as the report has them."""
    billed: Counter[str] = Counter()
    for row in json.loads(fleet.require("report", "cost", "--format=json")):
        billed[row["stage"]] += row["attempts"]
        billed["tokens"] += row["tokens"]
    return billed


if __name__ == "__main__":
    unittest.main()
