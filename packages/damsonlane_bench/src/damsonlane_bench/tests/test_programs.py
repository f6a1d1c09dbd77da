"""Errors of the daemon and of the operator's command: message, exit code and no traceback."""

import json
import socket
import subprocess
import tempfile
import unittest
from pathlib import Path
from typing import Any

from damsonlane_bench.fleet import Fleet, allocate_address, find_program


def _make_box_settings(folder: Path, **changes: Any) -> dict[str, Any]:
    settings: dict[str, Any] = {
        "name": "control-1",
        "data_centre": "johar",
        "role": "control",
        "data_folder": str(folder / "data"),
        "internal_address": allocate_address(),
        "admin_address": allocate_address(),
        "control": [],
    }
    return settings | changes


def _run_program(program: str, *arguments: str) -> tuple[int, str]:
    completed = subprocess.run(
        [find_program(program), *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env={"DAMSONLANE_SETTINGS": "/nowhere/damsonlane.json"},
    )
    return completed.returncode, completed.stderr


class ProgramsTest(unittest.TestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name)

    def _write(self, text: str) -> str:
        path = self.folder / "box.json"
        path.write_text(text)
        return str(path)

    def test_a_box_that_cannot_start_prints_the_cause(self) -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            busy = f"127.0.0.1:{taken.getsockname()[1]}"
            folder = self.folder
            (folder / "file").write_text("")
            cases = [
                (
                    json.dumps(_make_box_settings(folder, internal_address=busy)),
                    3,
                    "cannot listen on",
                ),
                (json.dumps(_make_box_settings(folder, admin_address=busy)), 3, "cannot listen on"),
                (
                    json.dumps(_make_box_settings(folder, data_folder=str(folder / "file"))),
                    3,
                    "File exists",
                ),
                (json.dumps(_make_box_settings(folder, role="king")), 2, "/role"),
                (
                    json.dumps(_make_box_settings(folder, nmae="x")),
                    2,
                    "nearest known name is 'name'",
                ),
                ("{", 2, "not JSON with comments"),
            ]
            for text, code, message in cases:
                with self.subTest(message=message):
                    result = _run_program("damsonlaned", f"--settings={self._write(text)}")
                    self._check(result, code, message)

    def test_missing_settings_are_reported_in_one_line(self) -> None:
        result = _run_program("damsonlaned", "--settings=/nowhere/box.json")
        self._check(result, 2, "/nowhere/box.json /: cannot be read: No such file")

    def test_a_damaged_journal_is_reported_with_its_offset(self) -> None:
        with Fleet(self.folder / "fleet", controls=1, entries=0, with_tls=False) as fleet:
            fleet.start_control_group()
            box = fleet.controls()[0]
            fleet.kill(box.name)
            journal = box.data_folder / "journal"
            data = bytearray(journal.read_bytes())
            data[20] ^= 1
            journal.write_bytes(bytes(data))
            result = _run_program("damsonlaned", f"--settings={box.settings_file}")
        self._check(result, 3, "damaged at byte 0")

    def test_the_operators_command_reports_missing_files(self) -> None:
        self._check(_run_program("damsonlane", "control", "status"), 2, "cannot be read")
        self._check(
            _run_program("damsonlane", "settings", "check", "/nowhere"), 2, "cannot be read"
        )

    def test_settings_are_checked_without_a_control_group(self) -> None:
        result = _run_program("damsonlane", "settings", "check", self._write('{"polcy": {}}'))
        self._check(result, 2, "box.json:1:2 /polcy: unknown key 'polcy'; the nearest known name")

    def _check(self, result: tuple[int, str], code: int, message: str) -> None:
        self.assertEqual(result[0], code, result[1])
        self.assertIn(message, result[1])
        self.assertNotIn("Traceback", result[1])


if __name__ == "__main__":
    unittest.main()
