"""Targets of pipelines that close in the middle of the head of their answer."""

import socket
import threading
import time
import unittest

from damsonlane.requests import AttemptKey
from damsonlaned.targets import TARGET_PROTOCOLS, Connections, TargetCall, TargetReply

_KEY = AttemptKey(request="r", organisation="o", stage="encode", number=1)
_DEADLINE_SECONDS = 5.0
#: Statuses of an answer, and of a rejection.
_STATUSES = (200, 503)


def make_head(status: int) -> bytes:
    return (
        f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
        "Damsonlane-Leaving: 0\r\nConnection: close\r\n\r\n"
    ).encode()


class CuttingTarget:
    """A target that sends the first bytes of an answer, and closes its connection."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def _serve(self) -> None:
        connection, _ = self._server.accept()
        with connection:
            request = b""
            while not request.endswith(b"}"):
                request += connection.recv(65_536)
            connection.sendall(self._data)

    def stop(self) -> None:
        self._thread.join()
        self._server.close()


class CutHeadsTest(unittest.TestCase):
    def call(self, kind: str, data: bytes) -> TargetReply:
        connections, target = Connections(), CuttingTarget(data)
        call = TargetCall(
            address=target.address,
            key=_KEY,
            text="text",
            model="m",
            deadline_at=time.monotonic() + _DEADLINE_SECONDS,
        )
        attempt = TARGET_PROTOCOLS[kind].call(connections, call)
        try:
            while True:
                next(attempt)
        except StopIteration as stopped:
            reply = stopped.value
            assert isinstance(reply, TargetReply)
            return reply
        finally:
            target.stop()
            connections.close()

    def test_a_cut_head_is_neither_an_answer_nor_a_rejection(self) -> None:
        for kind in ("plain", "pool", "engine"):
            for status in _STATUSES:
                head = make_head(status)
                for cut in range(len(head)):
                    with self.subTest(kind=kind, status=status, cut=head[:cut]):
                        reply = self.call(kind, head[:cut])
                        self.assertEqual(reply.result.outcome, "failed")
                        self.assertTrue(reply.is_interrupted)

    def test_a_whole_head_is_read(self) -> None:
        for kind in ("plain", "pool", "engine"):
            reply = self.call(kind, make_head(503))
            self.assertEqual(reply.result.outcome, "refused")


if __name__ == "__main__":
    unittest.main()
