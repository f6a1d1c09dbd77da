"""A target that sends bytes without end, and the forms that its responses take."""

import re
import socket
import threading
from dataclasses import dataclass
from typing import Final

from damsonlane.targets import TargetRecord
from damsonlaned.gateway.tests.harness import HEALTH_PATH

#: Size of the blocks that are sent, in bytes.
_BLOCK_BYTES: Final = 64 * 1024
#: Bytes sent on one connection after which it is given up, so that a test ends in any case.
GIVE_UP_BYTES: Final = 256 * 2**20
_OWN_HEAD: Final = b"HTTP/1.1 200 OK\r\nDamsonlane-Request-Id: {id}\r\n"


@dataclass(frozen=True, kw_only=True)
class EndlessForm:
    """What an endless response begins with, and what it repeats."""

    #: The beginning; ``{id}`` stands for the id of the request.
    beginning: bytes = b""
    #: The bytes that are repeated.
    repeated: bytes


#: Heads that never end, or never lead to a body.
ENDLESS_HEADS: Final = {
    "one line": EndlessForm(repeated=b"x"),
    "lines": EndlessForm(repeated=b"no answer\r\n"),
    "empty lines": EndlessForm(repeated=b"\r\n"),
    "zero bytes": EndlessForm(repeated=b"\0"),
    "reason": EndlessForm(beginning=b"HTTP/1.1 200 ", repeated=b"x"),
    "headers": EndlessForm(beginning=_OWN_HEAD, repeated=b"a: b\r\n"),
    "header": EndlessForm(beginning=_OWN_HEAD + b"a: ", repeated=b"x"),
    "folded header": EndlessForm(beginning=_OWN_HEAD + b"a: b\r\n", repeated=b" \r\n"),
    "informational responses": EndlessForm(repeated=b"HTTP/1.1 100 Continue\r\n\r\n"),
    "responses to other requests": EndlessForm(
        repeated=b"HTTP/1.1 200 OK\r\nDamsonlane-Request-Id: x\r\nContent-Length: 0\r\n\r\n"
    ),
}
_CHUNKED: Final = _OWN_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
#: Bodies that never end.
ENDLESS_BODIES: Final = {
    "no length": EndlessForm(beginning=_OWN_HEAD + b"\r\n", repeated=b"x"),
    "no length, HTTP/1.0": EndlessForm(
        beginning=_OWN_HEAD.replace(b"1.1", b"1.0") + b"\r\n", repeated=b"x"
    ),
    "huge length": EndlessForm(
        beginning=_OWN_HEAD + b"Content-Length: 999999999999\r\n\r\n", repeated=b"x"
    ),
    "large chunks": EndlessForm(beginning=_CHUNKED, repeated=b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "small chunks": EndlessForm(beginning=_CHUNKED, repeated=b"1\r\nx\r\n"),
    "one chunk": EndlessForm(beginning=_CHUNKED + b"ffffffffff\r\n", repeated=b"x"),
    "chunk size": EndlessForm(beginning=_CHUNKED, repeated=b"1"),
    "chunk extension": EndlessForm(beginning=_CHUNKED + b"1;", repeated=b"x"),
    "chunk without its end": EndlessForm(beginning=_CHUNKED + b"1\r\nx", repeated=b"x"),
    "trailers": EndlessForm(beginning=_CHUNKED + b"0\r\n", repeated=b"a: b\r\n"),
    "response to another request": EndlessForm(
        beginning=_OWN_HEAD.replace(b"{id}", b"x") + b"\r\n", repeated=b"x"
    ),
    "small chunks of a response to another request": EndlessForm(
        beginning=_CHUNKED.replace(b"{id}", b"x"), repeated=b"1\r\nx\r\n"
    ),
    "failure": EndlessForm(
        beginning=_OWN_HEAD.replace(b"200 OK", b"500 Failed") + b"\r\n", repeated=b"x"
    ),
    "rejection": EndlessForm(
        beginning=_OWN_HEAD.replace(b"200 OK", b"503 Full") + b"Damsonlane-Run-No: 1\r\n\r\n",
        repeated=b"x",
    ),
    "bytes after the response": EndlessForm(
        beginning=_OWN_HEAD + b"Content-Length: 4\r\n\r\ndone", repeated=b"x"
    ),
}
_STREAM: Final = _OWN_HEAD + b"Content-Type: text/event-stream\r\n"
#: Event streams that hold no event, or never end inside one.
ENDLESS_STREAMS: Final = {
    "no length": EndlessForm(beginning=_STREAM + b"\r\n", repeated=b"x"),
    "lines": EndlessForm(beginning=_STREAM + b"\r\n", repeated=b"x\n"),
    "small chunks": EndlessForm(
        beginning=_STREAM + b"Transfer-Encoding: chunked\r\n\r\n", repeated=b"1\r\nx\r\n"
    ),
    "blank lines": EndlessForm(beginning=_STREAM + b"\r\n", repeated=b"\n"),
    "comments": EndlessForm(beginning=_STREAM + b"\r\n", repeated=b":\n\n"),
    "comments after an event": EndlessForm(
        beginning=_STREAM + b"\r\nid: 1\ndata: token 1\n\n", repeated=b": x\n\n"
    ),
    "event without its end": EndlessForm(
        beginning=_STREAM + b"\r\nid: 1\ndata: token 1\n\nid: 2\ndata: ", repeated=b"x"
    ),
}


#: Events without end: a response by its form, which its caller gets until its deadline.
ENDLESS_EVENTS: Final = EndlessForm(beginning=_STREAM + b"\r\n", repeated=b"data: x\n\n")


class EndlessTarget:
    """A target whose responses never end, in threads of its own.

    Args:
        name: its name.
        form: the form of its responses.
        service: its service.
        health_path: path of the health checks that it answers as it should.
    """

    def __init__(
        self, name: str, form: EndlessForm, service: str = "desk", health_path: str = HEALTH_PATH
    ) -> None:
        self._health_path: Final = health_path
        self.name: Final = name
        self.service: Final = service
        #: Bytes sent on each connection that got a request, once it is closed.
        self.sent: Final[list[int]] = []
        #: Connections that got a request.
        self.accepted = 0
        self._form: Final = form
        copies = _BLOCK_BYTES // len(form.repeated) + 1
        self._block: Final = form.repeated * copies
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._thread = threading.Thread(target=self._accept, daemon=True)

    def start(self) -> TargetRecord:
        """Start accepting connections."""
        self._thread.start()
        return TargetRecord(
            target=self.name,
            service=self.service,
            address=f"127.0.0.1:{self._listener.getsockname()[1]}",
            data_centre="gulberg",
            slots=4,
            standing="live",
            sequence=1,
        )

    def stop(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def count_open(self) -> int:
        """Return how many connections with a request the entry has not closed yet."""
        return self.accepted - len(self.sent)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            head = connection.recv(65536).decode()
            if self._health_path in head:
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                return
            if not head:
                return
            self.accepted += 1
            found = re.search("damsonlane-request-id: (.*)\r\n", head, re.IGNORECASE)
            request_id = found[1].encode() if found is not None else b""
            sent = 0
            try:
                connection.sendall(self._form.beginning.replace(b"{id}", request_id))
                while sent < GIVE_UP_BYTES:
                    sent += connection.send(self._block)
            except OSError:
                pass
            finally:
                self.sent.append(sent)
