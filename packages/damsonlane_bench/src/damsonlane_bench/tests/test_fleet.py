"""Fleets of real processes: reservation of ports and reports of boxes that exited."""

import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from damsonlane_bench.fleet import Fleet, WaitTimeoutError, allocate_address
from damsonlane_bench.fleet._ports import reserve_port

#: Program that prints whether it can reserve the port in its argument.
_RESERVE_PROGRAM: str = (
    "import sys; from damsonlane_bench.fleet._ports import reserve_port; "
    "print(reserve_port(int(sys.argv[1])))"
)


class PortTest(unittest.TestCase):
    def test_another_process_cannot_reserve_an_unused_port(self) -> None:
        port = allocate_address().rpartition(":")[2]
        completed = subprocess.run(
            [sys.executable, "-c", _RESERVE_PROGRAM, port],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(completed.stdout.strip(), "False")

    def test_a_port_is_reserved_once(self) -> None:
        port = int(allocate_address().rpartition(":")[2])
        self.assertFalse(reserve_port(port))

    def test_a_reserved_port_can_be_listened_on(self) -> None:
        host, _, port = allocate_address().rpartition(":")
        with socket.create_server((host, int(port))) as server:
            self.assertEqual(server.getsockname()[1], int(port))


class FleetTest(unittest.TestCase):
    def test_the_error_about_a_box_that_exited_has_the_end_of_its_log(self) -> None:
        with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder), with_tls=False) as fleet:
            box = fleet.controls()[0]
            box.settings_file.write_text("{")
            fleet.start(box.name)
            with self.assertRaisesRegex(
                WaitTimeoutError, "control-1 ended; its log ends: (.|\n)*json"
            ):
                fleet.wait_ready(box)


if __name__ == "__main__":
    unittest.main()
