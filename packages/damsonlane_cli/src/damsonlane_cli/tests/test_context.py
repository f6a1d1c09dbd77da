"""Tests of the errors and time-outs of calls to control."""

import contextlib
import io
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from damsonlane.errors import UnavailableError
from damsonlane_cli._context import CONNECT_SECONDS, EXIT_UNKNOWN, OperatorSettings, call_control
from damsonlane_rpc import ControlClient


class CallControlTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "operator.json"
        path.write_text('{"control": ["127.0.0.1:1"]}')
        settings = mock.patch.dict(os.environ, {"DAMSONLANE_SETTINGS": str(path)})
        settings.start()
        self.addCleanup(settings.stop)

    def test_a_failed_call_prints_one_line_and_exits(self) -> None:
        cases: tuple[tuple[str, BaseException, str], ...] = (
            ("no connection in time", TimeoutError(), "outcome is unknown: TimeoutError"),
            ("no connection at all", ConnectionRefusedError("refused"), "unknown: refused"),
            ("no quorum", UnavailableError("no quorum"), "no quorum"),
        )
        for name, fault, expected in cases:
            with self.subTest(name):

                async def work(
                    _: ControlClient, __: OperatorSettings, fault: BaseException = fault
                ) -> None:
                    raise fault

                errors = io.StringIO()
                with contextlib.redirect_stderr(errors), self.assertRaises(SystemExit) as caught:
                    call_control(work)
                self.assertEqual(caught.exception.code, EXIT_UNKNOWN)
                self.assertIn(expected, errors.getvalue())
                self.assertEqual(len(errors.getvalue().splitlines()), 1)

    def test_an_operator_waits_longer_for_a_connection_than_a_box(self) -> None:
        async def work(client: ControlClient, _: OperatorSettings) -> float:
            return client.channel("127.0.0.1:1").connect_seconds  # type: ignore[attr-defined, no-any-return]

        self.assertEqual(call_control(work), CONNECT_SECONDS)


if __name__ == "__main__":
    unittest.main()
