"""A WSGI server in threads, by cheroot."""

import contextlib
import socket
import threading
from collections.abc import Callable, Iterable
from typing import Any, Final

from cheroot import makefile, wsgi
from cheroot import server as cheroot_server

from damsonlane.errors import StorageError
from damsonlane_rpc import Endpoint
from damsonlaned.wsgi_limits import (
    DEFAULT_BUDGET_BYTES,
    BodyBudget,
    RequestReader,
    RequestSocket,
    find_connection_limit,
)

#: Headers that a request may have only once.
_SINGLE_HEADERS: Final = frozenset(
    {
        b"Authorization",
        b"Content-Length",
        b"Damsonlane-Deadline-Ms",
        b"Damsonlane-Resend",
        b"Host",
        b"Idempotency-Key",
    }
)
#: Set by us, with the name of a header that was repeated although it may be there only once.
_REPEATED_HEADER: Final = b"Damsonlane-Repeated-Header"
_CONTENT_LENGTH: Final = b"Content-Length"
#: Largest head of a request, in bytes; the same as at entries that serve routes.
_MAX_HEADER_BYTES: Final = 16_384
#: Prefix of the library's message that a head is too large.
_HEADERS_TOO_LARGE_PREFIX: Final = "The headers sent"
#: Seconds after which an idle connection is closed.
_IDLE_TIMEOUT_SECONDS: Final = 10
#: Connections that may be queued until they are accepted or get a thread.
_BACKLOG: Final = 512
#: Most idle connections that are kept open.
_MAX_IDLE_CONNECTIONS: Final = 10_000
#: Bytes of an unread body that are skipped at once.
_SKIPPED_PART_BYTES: Final = 64 * 1024

#: A WSGI application.
Application = Callable[[Any, Any], Iterable[bytes]]


class _Headers(dict[bytes, bytes]):
    """The headers of a request, with one more that names a header that was repeated."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in _SINGLE_HEADERS and name in self:
            super().__setitem__(_REPEATED_HEADER, name)
        super().__setitem__(name, value)


class _StrictHeaderReader(cheroot_server.HeaderReader):
    """Reads headers, and refuses a request whose length is ambiguous.

    Guards against request smuggling: cheroot uses the last of two lengths, and accepts chunks
    beside a length.
    """

    def __call__(self, rfile: Any, hdict: Any = None) -> Any:
        headers = super().__call__(rfile, hdict)
        if headers.get(_REPEATED_HEADER) == _CONTENT_LENGTH:
            raise ValueError("a request has one length")
        if _CONTENT_LENGTH in headers and b"Transfer-Encoding" in headers:
            raise ValueError("a request has a length or chunks, not both")
        return headers


class _Request(cheroot_server.HTTPRequest):
    """A request that detects repeated headers."""

    header_reader = _StrictHeaderReader()

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.inheaders = _Headers()

    def parse_request(self) -> None:
        """Parse the head."""
        self.conn.request_socket.begin_head()
        super().parse_request()

    def respond(self) -> None:
        """Call the application, and send its response."""
        self.conn.request_socket.begin_body(int(self.inheaders.get(_CONTENT_LENGTH, 0)))
        try:
            super().respond()
        finally:
            self.conn.request_socket.end_request()

    def send_headers(self) -> None:
        """Send the head of the response.

        cheroot reads what the application left of the body, at once and whatever its length.
        """
        remaining = getattr(self.rfile, "remaining", 0)
        if remaining:
            self.conn.request_socket.skip_body()
        if remaining > self.server.body_limit:
            self.close_connection = True
        while remaining and not self.close_connection and self.rfile.read(_SKIPPED_PART_BYTES):
            pass
        super().send_headers()

    def simple_response(self, status: Any, msg: str = "") -> None:
        """Send an error response to an invalid request, and close the connection."""
        if msg.startswith(_HEADERS_TOO_LARGE_PREFIX):
            status = "431 Request Header Fields Too Large"
        self.close_connection = True
        body = msg.encode("latin-1", "replace")
        head = (
            f"{self.server.protocol} {status}\r\nContent-Length: {len(body)}\r\n"
            "Content-Type: text/plain\r\nConnection: close\r\n\r\n"
        )
        # The caller may have closed the connection.
        with contextlib.suppress(OSError):
            self.conn.wfile.write(head.encode("latin-1") + body)


class _Connection(cheroot_server.HTTPConnection):
    """A connection whose requests detect repeated headers."""

    RequestHandlerClass = _Request

    def __init__(
        self, server: "_Server", connection: socket.socket, make_file: Any = makefile.MakeFile
    ) -> None:
        super().__init__(server, connection, make_file)
        self.request_socket: Final = RequestSocket(connection, server.body_budget)
        self.rfile.close()
        self.rfile = RequestReader(self.request_socket, self.rbufsize)
        server.open_connections.add(self)

    def close(self) -> None:
        """Close the connection."""
        self.server.open_connections.discard(self)
        super().close()


class _Server(wsgi.Server):
    """A server that keeps the idle connections of many callers open."""

    ConnectionClass = _Connection
    keep_alive_conn_limit = _MAX_IDLE_CONNECTIONS
    max_request_header_size = _MAX_HEADER_BYTES
    #: Largest body that is skipped if the application does not read it, in bytes.
    body_limit: int
    #: Limits the bodies of all requests.
    body_budget: BodyBudget
    #: Connections that may be open, and those that are.
    connection_limit: int
    open_connections: set[_Connection]
    #: Idle connections, from the base class.
    _connections: Any

    def process_conn(self, conn: _Connection) -> None:
        """Pass a connection to a thread; a new one only once its first bytes have arrived."""
        if conn.last_used is not None:
            super().process_conn(conn)
        elif len(self.open_connections) <= self.connection_limit or self._close_idle():
            self.put_conn(conn)
        else:
            conn.close()

    def _close_idle(self) -> bool:
        """Close the connection that has been idle for longest; return whether there was any."""
        selector = self._connections._selector
        idle = [(descriptor, conn) for descriptor, conn in selector.connections if conn != self]
        if not idle:
            return False
        descriptor, oldest = min(idle, key=lambda item: item[1].last_used)
        selector.unregister(descriptor)
        oldest.close()
        return True

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Suppress cheroot's messages, which are about broken connections of callers."""


class WsgiServer:
    """A WSGI server in threads of its own.

    Args:
        address: address to listen on.
        application: the WSGI application.
        threads: number of threads, that is, of requests served at once.
        body_limit: largest body that the application reads, in bytes.
        budget_bytes: limit of the bodies of all requests together, in bytes.
    """

    def __init__(
        self,
        address: str,
        application: Application,
        threads: int,
        body_limit: int = 2 * 2**20,
        budget_bytes: int = DEFAULT_BUDGET_BYTES,
    ) -> None:
        endpoint = Endpoint.parse(address)
        self._server: Final = _Server(
            (endpoint.host, endpoint.port),
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=_BACKLOG,
            timeout=_IDLE_TIMEOUT_SECONDS,
        )
        self._server.server_name = "damsonlane"
        self._server.body_limit = body_limit
        self._server.connection_limit = find_connection_limit()
        self._server.open_connections = set()
        self._server.body_budget = BodyBudget(budget_bytes)
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start serving.

        Raises:
            StorageError: cannot listen on the address.
        """
        try:
            self._server.prepare()
        except OSError as error:
            host, port = self._server.bind_addr
            raise StorageError(f"cannot listen on {host}:{port}: {error.args[-1]}") from None
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    def count_waiting(self) -> int:
        """Return the number of requests that wait for a thread."""
        return int(self._server.requests.qsize)

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()
