"""SIGHUP that arrives while a box starts must not end it.

A process that changes a settings file may signal the box while the box is restarting.
"""

import signal
import tempfile
import unittest
from pathlib import Path

from damsonlane_bench.fleet import wait_until
from damsonlane_bench.routes_fleet import RoutesFleet


class SighupAtStartTest(unittest.TestCase):
    def test_a_starting_box_survives_sighup(self) -> None:
        with tempfile.TemporaryDirectory() as folder, RoutesFleet(Path(folder)) as fleet:
            for name in ("control-1", "entry-1"):
                fleet.start(name, is_first_start=True)
                process = fleet.processes[name]
                wait_until(process.has_output, f"{name} has written to its log")
                while '"started"' not in process.read_log_tail() and process.is_running():
                    process.signal(signal.SIGHUP)
                self.assertTrue(process.is_running(), process.read_log_tail())


if __name__ == "__main__":
    unittest.main()
