"""What tests with real processes lean on: ports of their own, and causes that are shown."""

import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from damsonlane_bench.fleet import Fleet, StuckError, take_address
from damsonlane_bench.fleet._ports import reserve_port

#: Prints whether another process can reserve a port that this one was given.
_TRY: str = (
    "import sys; from damsonlane_bench.fleet._ports import reserve_port; "
    "print(reserve_port(int(sys.argv[1])))"
)


class PortTest(unittest.TestCase):
    def test_no_other_process_is_given_a_port_before_it_is_used(self) -> None:
        port = take_address().rpartition(":")[2]
        done = subprocess.run(
            [sys.executable, "-c", _TRY, port], capture_output=True, text=True, check=True
        )
        self.assertEqual(done.stdout.strip(), "False")

    def test_a_port_is_given_once(self) -> None:
        port = int(take_address().rpartition(":")[2])
        self.assertFalse(reserve_port(port))

    def test_who_was_given_a_port_listens_there(self) -> None:
        host, _, port = take_address().rpartition(":")
        with socket.create_server((host, int(port))) as server:
            self.assertEqual(server.getsockname()[1], int(port))


class FleetTest(unittest.TestCase):
    def test_a_box_that_ended_is_told_with_its_log(self) -> None:
        with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder), with_tls=False) as fleet:
            box = fleet.controls()[0]
            box.settings_file.write_text("{")
            fleet.start(box.name)
            with self.assertRaisesRegex(StuckError, "control-1 ended; its log ends: (.|\n)*json"):
                fleet.wait_ready(box)


if __name__ == "__main__":
    unittest.main()
