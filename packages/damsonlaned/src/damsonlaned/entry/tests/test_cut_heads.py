"""Targets of pipelines that close in the middle of the head of their answer."""

import unittest

from damsonlaned.entry.tests.raw_target import KINDS, run_attempts

#: Statuses of an answer, and of a rejection.
_STATUSES = (200, 503)


def make_head(status: int) -> bytes:
    return (
        f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
        "Damsonlane-Leaving: 0\r\nConnection: close\r\n\r\n"
    ).encode()


class CutHeadsTest(unittest.TestCase):
    def test_a_cut_head_is_neither_an_answer_nor_a_rejection(self) -> None:
        for kind in KINDS:
            for status in _STATUSES:
                head = make_head(status)
                for cut in range(len(head)):
                    with self.subTest(kind=kind, status=status, cut=head[:cut]):
                        (reply,) = run_attempts(kind, head[:cut])
                        self.assertEqual(reply.result.outcome, "failed")
                        self.assertTrue(reply.is_interrupted)

    def test_a_whole_head_is_read(self) -> None:
        for kind in KINDS:
            (reply,) = run_attempts(kind, make_head(503))
            self.assertEqual(reply.result.outcome, "refused")


if __name__ == "__main__":
    unittest.main()
