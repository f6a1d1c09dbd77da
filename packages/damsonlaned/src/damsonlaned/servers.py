"""HTTP servers by cheroot."""

import contextlib
import threading
from collections.abc import Callable, Iterable
from typing import Any, Final

from cheroot import server as cheroot_server
from cheroot import wsgi

from damsonlane.errors import StorageError
from damsonlane_rpc import Endpoint

#: Headers that may stand once only.
_SINGLE: Final = frozenset(
    {
        b"Authorization",
        b"Content-Length",
        b"Damsonlane-Deadline-Ms",
        b"Damsonlane-Resend",
        b"Host",
        b"Idempotency-Key",
    }
)
_REPEATED: Final = b"Damsonlane-Repeated-Header"
_LENGTH: Final = b"Content-Length"
#: Largest head of a request, in bytes; as for entries that serve routes.
_HEADER_BYTES: Final = 16_384
#: How the library begins to say that a head is too large.
_HEADERS_TOO_LARGE: Final = "The headers sent"
#: Seconds for which an idle connection is kept.
_IDLE_SECONDS: Final = 10
#: Connections that may wait for a thread or be accepted.
_BACKLOG: Final = 512
#: Idle connections that may be kept.
_IDLE_CONNECTIONS: Final = 10_000

Application = Callable[[Any, Any], Iterable[bytes]]


class _Headers(dict[bytes, bytes]):
    """Headers as cheroot collects them, with a mark when one stands twice."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in _SINGLE and name in self:
            super().__setitem__(_REPEATED, name)
        super().__setitem__(name, value)


class _StrictHeaderReader(cheroot_server.HeaderReader):
    """Reads headers, and refuses a request whose end is in doubt.

    cheroot takes the last of two lengths, and chunks although a length is there.
    """

    def __call__(self, rfile: Any, hdict: Any = None) -> Any:
        headers = super().__call__(rfile, hdict)
        if headers.get(_REPEATED) == _LENGTH:
            raise ValueError("a request has one length")
        if _LENGTH in headers and b"Transfer-Encoding" in headers:
            raise ValueError("a request has a length or chunks, not both")
        return headers


class _Request(cheroot_server.HTTPRequest):
    """A request that notices repeated headers."""

    header_reader = _StrictHeaderReader()

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.inheaders = _Headers()

    def simple_response(self, status: Any, msg: str = "") -> None:
        """Answer bytes that are no proper request, and say that the connection closes."""
        if msg.startswith(_HEADERS_TOO_LARGE):
            status = "431 Request Header Fields Too Large"
        self.close_connection = True
        body = msg.encode("latin-1", "replace")
        head = (
            f"{self.server.protocol} {status}\r\nContent-Length: {len(body)}\r\n"
            "Content-Type: text/plain\r\nConnection: close\r\n\r\n"
        )
        # A caller that is gone needs no answer.
        with contextlib.suppress(OSError):
            self.conn.wfile.write(head.encode("latin-1") + body)


class _Connection(cheroot_server.HTTPConnection):
    """A connection whose requests notice repeated headers."""

    RequestHandlerClass = _Request


class _Server(wsgi.Server):
    """A server that keeps as many idle connections as a fleet of callers has."""

    ConnectionClass = _Connection
    keep_alive_conn_limit = _IDLE_CONNECTIONS
    max_request_header_size = _HEADER_BYTES

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Drop cheroot's own messages: broken connections of callers are not ours to report."""


class HttpServer:
    """A WSGI server in threads of its own.

    Args:
        address: where to listen.
        application: what answers.
        threads: requests served at once.
    """

    def __init__(self, address: str, application: Application, threads: int) -> None:
        endpoint = Endpoint.parse(address)
        self._server: Final = _Server(
            (endpoint.host, endpoint.port),
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=_BACKLOG,
            timeout=_IDLE_SECONDS,
        )
        self._server.server_name = "damsonlane"
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Listen and serve.

        Raises:
            StorageError: the address can't be had.
        """
        try:
            self._server.prepare()
        except OSError as error:
            host, port = self._server.bind_addr
            raise StorageError(f"cannot listen on {host}:{port}: {error.args[-1]}") from None
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    def waiting(self) -> int:
        """Return the requests that no thread has taken yet."""
        return int(self._server.requests.qsize)

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()
