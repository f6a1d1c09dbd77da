"""The whole path, with real processes: what the demonstration shows must hold."""

import tempfile
import unittest
from pathlib import Path

from damsonlane_bench.demo import Demonstration
from damsonlane_bench.fleet import Fleet


class WholePathTest(unittest.TestCase):
    def test_demonstration_holds(self) -> None:
        with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
            demonstration = Demonstration(fleet)
            demonstration.run()
            codes = [fleet.stop(name) for name in ("entry-1", "entry-2", "control-1")]
        self.assertEqual((demonstration.faults, codes), ([], [0, 0, 0]))


if __name__ == "__main__":
    unittest.main()
