"""Rejections on kept connections of pipelines that need not belong to the attempt under way."""

import json
import socket
import threading
import time
import unittest
from typing import Any

from damsonlane.requests import AttemptKey
from damsonlaned.targets import TARGET_PROTOCOLS, Connections, TargetCall, TargetReply

_DEADLINE_SECONDS = 5.0
_KINDS = ("plain", "pool", "engine")


def make_key(number: int) -> AttemptKey:
    return AttemptKey(request="r", organisation="o", stage="encode", number=number)


def render_response(status: int, fields: dict[str, Any]) -> bytes:
    body = json.dumps(fields).encode()
    return f"HTTP/1.1 {status} S\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def render_rejection(kind: str, number: int) -> bytes:
    fields = {"request": "r", "organisation": "o", "stage": "encode", "attempt": number}
    return render_response(503, {"metadata": fields} if kind == "engine" else fields)


class ScriptedTarget:
    """A target with one connection, which answers each request with the next bytes."""

    def __init__(self, *answers: bytes) -> None:
        self._answers = answers
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def _serve(self) -> None:
        connection, _ = self._server.accept()
        with connection:
            for answer in self._answers:
                request = b""
                while not request.endswith(b"}"):
                    request += connection.recv(65_536)
                connection.sendall(answer)

    def stop(self) -> None:
        self._thread.join()
        self._server.close()


class LateRejectionsTest(unittest.TestCase):
    def call(self, kind: str, *answers: bytes) -> list[TargetReply]:
        """Send one attempt for each answer, one after the other; return their outcomes."""
        connections, target = Connections(), ScriptedTarget(*answers)
        try:
            return [
                self.attempt(kind, connections, target.address, number)
                for number in range(1, 1 + len(answers))
            ]
        finally:
            connections.close()
            target.stop()

    def attempt(
        self, kind: str, connections: Connections, address: str, number: int
    ) -> TargetReply:
        call = TargetCall(
            address=address,
            key=make_key(number),
            text="text",
            model="m",
            deadline_at=time.monotonic() + _DEADLINE_SECONDS,
        )
        running = TARGET_PROTOCOLS[kind].call(connections, call)
        try:
            while True:
                next(running)
        except StopIteration as stopped:
            reply = stopped.value
            assert isinstance(reply, TargetReply)
            return reply

    def test_a_second_copy_of_a_rejection_is_no_rejection_of_the_next_attempt(self) -> None:
        for kind in _KINDS:
            with self.subTest(kind=kind):
                rejection = render_rejection(kind, 1)
                replies = self.call(kind, rejection, rejection)
                self.assertEqual([r.result.outcome for r in replies], ["refused", "failed"])

    def test_a_rejection_that_names_no_attempt_is_believed_on_a_new_connection_only(self) -> None:
        for kind in _KINDS:
            with self.subTest(kind=kind):
                rejection = render_response(503, {})
                replies = self.call(kind, rejection, rejection)
                self.assertEqual([r.result.outcome for r in replies], ["refused", "failed"])

    def test_rejections_that_name_their_attempts_are_believed(self) -> None:
        for kind in _KINDS:
            with self.subTest(kind=kind):
                replies = self.call(kind, render_rejection(kind, 1), render_rejection(kind, 2))
                self.assertEqual([r.result.outcome for r in replies], ["refused", "refused"])


if __name__ == "__main__":
    unittest.main()
