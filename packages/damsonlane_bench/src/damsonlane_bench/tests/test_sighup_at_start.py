"""A hang-up signal that comes while a box starts.

Whoever changes a settings file signals the process that reads it, and may do so while it is
just starting again.  The handler was set only once everything had started, so until then the
signal had its usual effect and ended the process.  In two of four runs of the soak a control
replica ended so, 0.1 to 0.7 s after it was started: its log ends with "starting".
"""

import signal
import tempfile
import unittest
from pathlib import Path

from damsonlane_bench.fleet import wait_until
from damsonlane_bench.routes import RoutesFleet


class HangUpTest(unittest.TestCase):
    def test_a_box_that_starts_lives_through_a_hang_up(self) -> None:
        with tempfile.TemporaryDirectory() as folder, RoutesFleet(Path(folder)) as fleet:
            for name in ("control-1", "entry-1"):
                fleet.start(name, is_first_start=True)
                process = fleet.processes[name]
                wait_until(process.has_written, f"{name} runs its first lines")
                while '"started"' not in process.read_log_end() and process.is_running():
                    process.signal(signal.SIGHUP)
                self.assertTrue(process.is_running(), process.read_log_end())


if __name__ == "__main__":
    unittest.main()
