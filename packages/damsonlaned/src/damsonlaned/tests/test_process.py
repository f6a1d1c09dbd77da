"""Tests of the reload of settings, and of logs whose reader stalls."""

import logging
import os
import unittest
from dataclasses import replace

from damsonlane.errors import SettingsError
from damsonlane.settings import BoxSettings
from damsonlaned._process import SettingsReloader
from damsonlaned.logs import _BUFFER_BYTES, NonBlockingHandler

SETTINGS = BoxSettings(
    name="box",
    data_centre="dha",
    role="entry",
    data_folder="/tmp/none",
    internal_address="127.0.0.1:1",
    admin_address="127.0.0.1:2",
    control=("127.0.0.1:3",),
)


class SettingsReloaderTest(unittest.TestCase):
    def test_only_changed_settings_are_reported(self) -> None:
        newer = replace(SETTINGS, control=("127.0.0.1:4",))
        reads = [SETTINGS, newer, newer]
        reported: list[BoxSettings] = []
        reloader = SettingsReloader(SETTINGS, lambda: reads.pop(0), reported.append)
        for _ in range(3):
            reloader.reload_if_changed()
        self.assertEqual(reported, [newer])

    def test_settings_that_cannot_be_read_change_nothing(self) -> None:
        def fail() -> BoxSettings:
            raise SettingsError([])

        reported: list[BoxSettings] = []
        with self.assertLogs("damsonlaned._process", "ERROR"):
            SettingsReloader(SETTINGS, fail, reported.append).reload_if_changed()
        self.assertEqual(reported, [])


class NonBlockingHandlerTest(unittest.TestCase):
    def test_a_stalled_reader_never_blocks_the_process(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        handler = NonBlockingHandler(writer)
        line = "x" * 1000
        record = logging.LogRecord("n", logging.INFO, "f", 1, line, (), None)
        # The pipe and the buffer hold fewer lines than these, and nothing reads them.
        for _ in range(3 * _BUFFER_BYTES // 1000):
            handler.emit(record)
        os.set_blocking(reader, False)
        data = b""
        while b"log lines dropped" not in data:
            try:
                data += os.read(reader, 65_536)
            except BlockingIOError:
                handler.emit(record)
        for text in data.splitlines()[:-1]:
            self.assertTrue(text == line.encode() or b"dropped" in text)


if __name__ == "__main__":
    unittest.main()
