"""Transcripts of sessions are compared with golden files."""

import unittest

from damsonlane.requests.tests.sessions import GOLDEN, SESSIONS, render


class SessionTest(unittest.TestCase):
    maxDiff = None

    def test_sessions_match_their_golden_files(self) -> None:
        for name, run in SESSIONS.items():
            with self.subTest(name):
                self.assertEqual(render(run()), (GOLDEN / f"{name}.json").read_text())


if __name__ == "__main__":
    unittest.main()
