"""A listener that closes while requests are under way to it."""

import asyncio
import socket
import unittest

from damsonlaned.http import HttpListener, HttpRequest, HttpResponse, ResponseWriter

TEST_TIMEOUT_SECONDS = 20.0
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


async def answer_ok(request: HttpRequest, writer: ResponseWriter) -> None:
    writer.send_response(HttpResponse(status=200, body=b"done"))


class DrainTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.listener = HttpListener(
            "127.0.0.1:0", answer_ok, render_refusal=lambda status, _: HttpResponse(status=status)
        )
        await self.listener.start()
        self.address = ("127.0.0.1", self.listener.port())
        self.addAsyncCleanup(self.listener.stop)

    def connect(self) -> socket.socket:
        """Return a connection whose bytes the event loop does not see before its next turn."""
        connection = socket.create_connection(self.address)
        self.addCleanup(connection.close)
        return connection

    async def wait_accepted(self) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not self.listener.count_open():
                await asyncio.sleep(0.01)

    async def read_answer(self, connection: socket.socket) -> bytes:
        connection.setblocking(False)
        data = b""
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not data.endswith(b"done"):
                part = await asyncio.get_running_loop().sock_recv(connection, 4096)
                if not part:
                    break
                data += part
        return data

    async def test_a_request_that_the_process_has_not_read_yet_is_answered(self) -> None:
        """Guards against idle connections that are closed with a request in the kernel."""
        connection = self.connect()
        connection.sendall(GET)
        self.assertIn(b"200", await self.read_answer(connection))
        connection.setblocking(True)
        connection.sendall(GET)
        self.listener.close_idle()
        self.assertIn(b"200", await self.read_answer(connection))

    async def test_a_new_connection_may_send_its_first_request(self) -> None:
        """Guards against connections that are closed between their start and their request."""
        connection = self.connect()
        await self.wait_accepted()
        self.listener.close_idle()
        connection.sendall(GET)
        self.assertIn(b"200", await self.read_answer(connection))

    async def test_connections_that_wait_to_be_accepted_are_served(self) -> None:
        """Guards against connections that are reset with the socket that they came to."""
        connections = [self.connect() for _ in range(5)]
        for connection in connections:
            connection.sendall(GET)
        ends_at = asyncio.get_running_loop().time() + TEST_TIMEOUT_SECONDS
        unanswered = asyncio.create_task(self.listener.drain(ends_at))
        for connection in connections:
            data = await self.read_answer(connection)
            self.assertIn(b"200", data)
            self.assertIn(b"Connection: close", data)
        self.assertEqual(await unanswered, 0)
        with self.assertRaises(OSError):
            self.connect()

    async def test_a_connection_without_a_request_is_closed_in_the_end(self) -> None:
        """Guards against a stop that waits for callers that send nothing."""
        connection = self.connect()
        await self.wait_accepted()
        ends_at = asyncio.get_running_loop().time() + TEST_TIMEOUT_SECONDS
        self.assertEqual(await self.listener.drain(ends_at), 0)
        self.assertLess(asyncio.get_running_loop().time(), ends_at)
        self.assertEqual(await self.read_answer(connection), b"")


if __name__ == "__main__":
    unittest.main()
