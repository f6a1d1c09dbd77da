"""A target of pipelines that answers with given bytes, and attempts at it."""

import socket
import threading
import time

from damsonlane.requests import AttemptKey
from damsonlaned.targets import TARGET_PROTOCOLS, Connections, TargetCall, TargetReply

#: Kinds of targets.
KINDS = ("plain", "pool", "engine")
_DEADLINE_SECONDS = 5.0


class RawTarget:
    """A target with one connection, which answers each request with the next bytes.

    Args:
        answers: what it sends.
        closes: whether it closes the connection after the last answer, and not the other side.
    """

    def __init__(self, *answers: bytes, closes: bool = True) -> None:
        self._answers = answers
        self._closes = closes
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
            if not self._closes:
                connection.recv(1)

    def is_closed_by_peer(self) -> bool:
        """Wait until the other side has closed the connection; return whether it has."""
        self._thread.join(_DEADLINE_SECONDS)
        return not self._thread.is_alive()

    def stop(self) -> None:
        self._thread.join()
        self._server.close()


def run_attempts(kind: str, *answers: bytes) -> list[TargetReply]:
    """Send one attempt for each answer of a target, one after the other; return their outcomes."""
    connections, target = Connections(), RawTarget(*answers)
    try:
        numbers = range(1, 1 + len(answers))
        return [run_attempt(kind, connections, target.address, number) for number in numbers]
    finally:
        connections.close()
        target.stop()


def run_attempt(kind: str, connections: Connections, address: str, number: int) -> TargetReply:
    call = TargetCall(
        address=address,
        key=AttemptKey(request="r", organisation="o", stage="encode", number=number),
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
