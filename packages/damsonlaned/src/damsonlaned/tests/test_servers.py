"""Tests of the WSGI server with raw bytes, among them ambiguous requests."""

import socket
import unittest
from collections.abc import Iterable
from typing import Any

from damsonlaned.wsgi_server import WsgiServer

#: Time-out of a connection, in seconds.
TIMEOUT_SECONDS = 20.0
#: The first lines of a request.
POST = b"POST /a HTTP/1.1\r\nHost: h\r\n"

#: Name, bytes sent, and the status of the answer.
CASES = (
    ("two lengths", POST + b"Content-Length: 3\r\nContent-Length: 9\r\n\r\nabc", 400),
    (
        "a length and chunks",
        POST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    ("a length that is not a number", POST + b"Content-Length: x\r\n\r\n", 400),
    ("a head that is too large", POST + b"X: " + b"x" * 200_000 + b"\r\n\r\n", 431),
)


def echo(environment: dict[str, Any], start: Any) -> Iterable[bytes]:
    body = environment["wsgi.input"].read()
    start("200 OK", [("Content-Length", str(len(body)))])
    return [body]


class RawBytesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.server = WsgiServer("127.0.0.1:0", echo, threads=2)
        self.server.start()
        self.addCleanup(self.server.stop)

    def exchange(self, sent: bytes) -> bytes:
        address = self.server._server.bind_addr
        with socket.create_connection(address, timeout=TIMEOUT_SECONDS) as connection:
            data = b""
            try:
                connection.sendall(sent)
                while part := connection.recv(65_536):
                    data += part
            except ConnectionError:
                # The server resets a connection whose client still sends after the answer.
                pass
            return data

    def test_invalid_requests_are_refused_and_their_connections_closed(self) -> None:
        for name, sent, status in CASES:
            with self.subTest(name):
                data = self.exchange(sent)
                self.assertTrue(data.startswith(b"HTTP/1.1 %d " % status), data[:100])
                self.assertIn(b"Connection: close", data)
                self.assertEqual(data.count(b"HTTP/1.1"), 1)

    def test_a_valid_request_is_served(self) -> None:
        data = self.exchange(POST + b"Content-Length: 3\r\nConnection: close\r\n\r\nabc")
        self.assertTrue(data.endswith(b"abc"), data)


if __name__ == "__main__":
    unittest.main()
