"""Noticing changed settings, and logs whose reader stalls."""

import logging
import os
import unittest
from dataclasses import replace

from damsonlane.errors import SettingsError
from damsonlane.settings import BoxSettings
from damsonlaned._process import SettingsWatch
from damsonlaned.logs import _BUFFER_BYTES, BoundedHandler

SETTINGS = BoxSettings(
    name="box",
    data_centre="dha",
    role="entry",
    data_folder="/tmp/none",
    internal_address="127.0.0.1:1",
    admin_address="127.0.0.1:2",
    control=("127.0.0.1:3",),
)


class SettingsWatchTest(unittest.TestCase):
    def test_only_changed_settings_are_handed_on(self) -> None:
        newer = replace(SETTINGS, control=("127.0.0.1:4",))
        found = [SETTINGS, newer, newer]
        taken: list[BoxSettings] = []
        watch = SettingsWatch(SETTINGS, lambda: found.pop(0), taken.append)
        for _ in range(3):
            watch.look()
        self.assertEqual(taken, [newer])

    def test_settings_that_cannot_be_read_change_nothing(self) -> None:
        def fail() -> BoxSettings:
            raise SettingsError([])

        taken: list[BoxSettings] = []
        with self.assertLogs("damsonlaned._process", "ERROR"):
            SettingsWatch(SETTINGS, fail, taken.append).look()
        self.assertEqual(taken, [])


class BoundedHandlerTest(unittest.TestCase):
    def test_a_reader_that_stalls_never_holds_the_process_up(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        handler = BoundedHandler(writer)
        line = "x" * 1000
        record = logging.LogRecord("n", logging.INFO, "f", 1, line, (), None)
        # The pipe and the buffer take some hundred lines; nobody reads them.
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
