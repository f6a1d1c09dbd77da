"""Whole sessions against their golden files."""

import unittest

from damsonlane.requests.tests.sessions import GOLDEN, SESSIONS, render


class SessionTest(unittest.TestCase):
    maxDiff = None

    def test_sessions_are_as_written(self) -> None:
        for name, play in SESSIONS.items():
            with self.subTest(name):
                self.assertEqual(render(play()), (GOLDEN / f"{name}.json").read_text())


if __name__ == "__main__":
    unittest.main()
