"""The memory that a process may use."""

import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from damsonlane.settings import Capacity
from damsonlaned.machine import _memory, find_memory_bytes

MACHINE_BYTES = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


class MemoryTest(unittest.TestCase):
    def find(self, *limits: str) -> int:
        """Return what is found with some limits of the control group."""
        with tempfile.TemporaryDirectory() as folder:
            paths = [Path(folder) / str(number) for number in range(len(limits) + 1)]
            for path, text in zip(paths, limits, strict=False):
                path.write_text(text)
            with mock.patch.object(_memory, "_GROUP_LIMITS", paths):
                return find_memory_bytes(None)

    def test_the_settings_have_precedence(self) -> None:
        capacity = Capacity(cores=1.0, memory_bytes=2**27, link_bits=1e9)
        self.assertEqual(find_memory_bytes(capacity), 2**27)

    def test_the_least_limit_counts(self) -> None:
        self.assertEqual(self.find(f"{2**26}\n", "max\n"), 2**26)
        self.assertEqual(self.find("max\n"), self.find())
        self.assertLessEqual(self.find(), MACHINE_BYTES)


if __name__ == "__main__":
    unittest.main()
