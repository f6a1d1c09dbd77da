"""Demonstration of routes, registered targets and stage pools with real processes."""

import tempfile
import unittest
from pathlib import Path

from damsonlane_bench.routes import RoutesDemonstration
from damsonlane_bench.routes_fleet import RoutesFleet


class RoutesTest(unittest.TestCase):
    def test_demonstration_passes(self) -> None:
        with tempfile.TemporaryDirectory() as folder, RoutesFleet(Path(folder)) as fleet:
            demonstration = RoutesDemonstration(fleet)
            demonstration.run()
        self.assertEqual(demonstration.failures, [])


if __name__ == "__main__":
    unittest.main()
