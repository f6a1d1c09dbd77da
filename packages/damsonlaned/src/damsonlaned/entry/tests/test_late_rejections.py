"""Rejections on kept connections of pipelines that need not belong to the attempt under way."""

import json
import unittest
from typing import Any

from damsonlaned.entry.tests.raw_target import KINDS, RawTarget, run_attempt, run_attempts
from damsonlaned.targets import Connections


def render_response(status: int, fields: dict[str, Any]) -> bytes:
    body = json.dumps(fields).encode()
    return f"HTTP/1.1 {status} S\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def render_rejection(kind: str, number: int) -> bytes:
    fields = {"request": "r", "organisation": "o", "stage": "encode", "attempt": number}
    return render_response(503, {"metadata": fields} if kind == "engine" else fields)


class LateRejectionsTest(unittest.TestCase):
    def assert_outcomes(self, kind: str, *answers: bytes, outcomes: list[str]) -> None:
        """Check the outcome of one attempt for each answer, on one connection."""
        with self.subTest(kind=kind):
            replies = run_attempts(kind, *answers)
            self.assertEqual([reply.result.outcome for reply in replies], outcomes)

    def test_a_second_copy_of_a_rejection_is_no_rejection_of_the_next_attempt(self) -> None:
        for kind in KINDS:
            rejection = render_rejection(kind, 1)
            self.assert_outcomes(kind, rejection, rejection, outcomes=["refused", "failed"])

    def test_a_rejection_that_names_no_attempt_is_believed_on_a_new_connection_only(self) -> None:
        for kind in KINDS:
            rejection = render_response(503, {})
            self.assert_outcomes(kind, rejection, rejection, outcomes=["refused", "failed"])

    def test_the_answer_after_a_late_rejection_is_taken_for_that_of_the_next_attempt(self) -> None:
        for kind in KINDS:
            rejection = render_rejection(kind, 1)
            connections, target = Connections(), RawTarget(rejection, rejection, closes=False)
            with self.subTest(kind=kind):
                for number in (1, 2):
                    run_attempt(kind, connections, target.address, number)
                self.assertTrue(target.is_closed_by_peer())
            connections.close()
            target.stop()

    def test_rejections_that_name_their_attempts_are_believed(self) -> None:
        for kind in KINDS:
            answers = [render_rejection(kind, number) for number in (1, 2)]
            self.assert_outcomes(kind, *answers, outcomes=["refused", "refused"])


if __name__ == "__main__":
    unittest.main()
