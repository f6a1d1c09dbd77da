"""Connections to a target that answers with raw bytes."""

import asyncio
import contextlib
import socket
import struct
import time
import unittest
from collections.abc import Sequence

from damsonlaned.http import (
    ConnectionPool,
    HttpExchange,
    HttpRequest,
    IncompleteResponseError,
    NotSentError,
)
from damsonlaned.http._connection_observer import NoObserver

TEST_TIMEOUT_SECONDS = 20.0
REQUEST = HttpRequest(method="GET", target="/a", headers=((b"Host", b"h"),))
POST = HttpRequest(method="POST", target="/a", headers=((b"Host", b"h"),), body=b"x" * 10)
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: r1\r\n\r\nok"
EARLIER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: r0\r\n\r\nno"


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as happens when a box crashes."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class RawTarget:
    """Answers the requests of each connection with the byte strings of a script, one by one.

    ``None`` in a script closes the connection, ``RESET`` resets it.
    """

    RESET = b"reset"

    def __init__(self, *scripts: Sequence[bytes | None]) -> None:
        self._scripts = list(scripts)
        self._writers: list[asyncio.StreamWriter] = []
        self.connections = 0
        self.requests = 0

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.close()
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        script = self._scripts[min(self.connections, len(self._scripts) - 1)]
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            for answer in script:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                if b"Content-Length: 10" in head:
                    await reader.readexactly(10)
                if answer is None:
                    writer.close()
                    return
                parts = answer.split(self.RESET)
                writer.write(parts[0])
                await writer.drain()
                if len(parts) > 1:
                    await asyncio.sleep(0.05)
                    reset_connection(writer)
                    return
            await reader.read()


class ExtraBytesCounter(NoObserver):
    """Counts the connections with bytes after a whole response."""

    def __init__(self) -> None:
        self.count = 0

    def record_extra_bytes(self) -> None:
        self.count += 1


class ConnectionPoolTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.observer = ExtraBytesCounter()

    async def open(self, *scripts: Sequence[bytes | None]) -> tuple[RawTarget, ConnectionPool]:
        target = RawTarget(*scripts)
        address = await target.start()
        self.addAsyncCleanup(target.stop)
        return target, ConnectionPool(address, 4, self.observer)

    async def call(self, pool: ConnectionPool, request: HttpRequest = REQUEST) -> bytes:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            exchange = await pool.send(request, TEST_TIMEOUT_SECONDS)
            try:
                await exchange.read_head()
                return await exchange.body.read_all()
            finally:
                exchange.finish()

    async def test_a_connection_is_kept_after_a_complete_response(self) -> None:
        target, pool = await self.open((COMPLETE, COMPLETE))
        self.assertEqual(await self.call(pool), b"ok")
        self.assertEqual(await self.call(pool, POST), b"ok")
        self.assertEqual((target.connections, pool.count_open()), (1, 1))

    async def test_a_connection_is_not_used_beyond_the_announced_idle_time_out(self) -> None:
        short_lived = COMPLETE.replace(b"Request-Id", b"Keep-Alive: timeout=0, max=9\r\nRequest-Id")
        target, pool = await self.open((short_lived, COMPLETE), (COMPLETE,))
        await self.call(pool)
        await self.call(pool)
        self.assertEqual(target.connections, 2)

    async def test_a_connection_with_connection_close_is_not_kept(self) -> None:
        closing = COMPLETE.replace(b"Request-Id", b"Connection: close\r\nRequest-Id")
        target, pool = await self.open((closing,), (COMPLETE,))
        await self.call(pool)
        await self.call(pool)
        self.assertEqual((target.connections, pool.count_open()), (2, 1))

    async def test_a_connection_with_bytes_after_the_response_is_not_kept(self) -> None:
        target, pool = await self.open((COMPLETE + EARLIER,), (COMPLETE,))
        self.assertEqual(await self.call(pool), b"ok")
        self.assertEqual(await self.call(pool), b"ok")
        self.assertEqual((target.connections, self.observer.count), (2, 1))

    async def test_a_connection_that_the_target_closed_is_not_used(self) -> None:
        target, pool = await self.open((COMPLETE,), (COMPLETE,))
        await self.call(pool)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            target._server.close()
            # The script has ended, so close the connection as the target's idle time-out would.
            for connection in list(pool._idle):
                connection._stream.eof_received()
        self.assertEqual(pool.count_open(), 0)

    async def test_an_idle_connection_with_bytes_of_no_response_is_closed_at_once(self) -> None:
        """Otherwise it stays open, and keeps them, until the next request."""
        _, pool = await self.open((COMPLETE,))
        await self.call(pool)
        for connection in list(pool._idle):
            connection._stream.data_received(b"x")
        self.assertEqual((pool.count_open(), self.observer.count), (0, 1))

    async def test_a_length_without_a_body_is_not_limited(self) -> None:
        """The answers to HEAD, and those that say that nothing has changed, announce a length."""
        large = COMPLETE.replace(b"Content-Length: 2", b"Content-Length: 99999999")[:-2]
        unchanged = large.replace(b"200 OK", b"304 Not Modified")
        head = HttpRequest(method="HEAD", target="/a", headers=REQUEST.headers)
        for name, request, answer in (("HEAD", head, large), ("304", REQUEST, unchanged)):
            with self.subTest(name):
                _, pool = await self.open((answer,))
                self.assertEqual(await self.call(pool, request), b"")

    async def test_incomplete_and_malformed_responses_raise_an_error(self) -> None:
        cases = (
            ("closed without an answer", None),
            ("no answer", b"hello\r\n\r\n"),
            ("cut body", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab" + RawTarget.RESET),
            ("reset without a length", b"HTTP/1.1 200 OK\r\n\r\nab" + RawTarget.RESET),
            (
                "cut chunks",
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
                + RawTarget.RESET,
            ),
            ("two lengths", COMPLETE.replace(b"Request-Id", b"Content-Length: 3\r\nRequest-Id")),
        )
        for name, answer in cases:
            with self.subTest(name):
                _, pool = await self.open((answer,))
                with self.assertRaises(IncompleteResponseError):
                    await self.call(pool)
                self.assertEqual(pool.count_open(), 0)

    async def test_a_response_without_a_length_ends_with_its_connection(self) -> None:
        target = RawTarget((b"HTTP/1.1 200 OK\r\n\r\nab",))
        address = await target.start()
        self.addAsyncCleanup(target.stop)
        pool = ConnectionPool(address, 4)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            exchange = await pool.send(REQUEST, TEST_TIMEOUT_SECONDS)
            await exchange.read_head()
            exchange._connection._stream.eof_received()
            self.assertEqual(await exchange.body.read_all(), b"ab")
            exchange.finish()
        self.assertEqual(pool.count_open(), 0)

    async def test_a_response_to_another_request_is_skipped(self) -> None:
        for request in (REQUEST, POST):
            with self.subTest(request.method):
                _, pool = await self.open((EARLIER + COMPLETE,))
                async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                    exchange = await pool.send(request, TEST_TIMEOUT_SECONDS)
                    self.assertEqual(await self.read_second_response(exchange), b"ok")
                    exchange.finish()

    async def read_second_response(self, exchange: HttpExchange) -> bytes:
        head = await exchange.read_head()
        self.assertEqual(head.find(b"request-id"), "r0")
        await exchange.skip_response()
        head = await exchange.read_head()
        self.assertEqual(head.find(b"request-id"), "r1")
        return await exchange.body.read_all()

    async def test_a_request_is_not_sent_when_the_connection_is_refused(self) -> None:
        target, pool = await self.open((COMPLETE,))
        await target.stop()
        with self.assertRaises(NotSentError):
            await self.call(pool)
        self.assertEqual(pool.count_open(), 0)

    async def test_a_connection_that_opens_while_the_event_loop_is_late_is_used(self) -> None:
        """Guards against a late box that takes targets for unreachable."""
        _, pool = await self.open([COMPLETE])
        seconds = 0.05
        asyncio.get_running_loop().call_soon(time.sleep, 2 * seconds)
        exchange = await pool.send(REQUEST, seconds)
        self.assertEqual((await exchange.read_head()).status, 200)

    async def test_no_more_connections_are_opened_than_allowed(self) -> None:
        _, pool = await self.open((COMPLETE,))
        pool.max_connections = 1
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            exchange = await pool.send(REQUEST, TEST_TIMEOUT_SECONDS)
            with self.assertRaises(NotSentError):
                await pool.send(REQUEST, TEST_TIMEOUT_SECONDS)
            exchange.finish()
            # Its response was not read, so its connection was closed and another one may be opened.
            self.assertEqual(await self.call(pool), b"ok")

    async def test_an_abandoned_exchange_closes_its_connection(self) -> None:
        target, pool = await self.open((b"",))
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            exchange = await pool.send(REQUEST, TEST_TIMEOUT_SECONDS)
            exchange.finish()
        self.assertEqual(pool.count_open(), 0)

    async def test_connections_beyond_a_lowered_limit_are_closed(self) -> None:
        """Guards against entries that together keep more connections than a target may have."""
        _, pool = await self.open([COMPLETE, COMPLETE])
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            exchanges = [await pool.send(REQUEST, 1.0) for _ in range(4)]
            for exchange in exchanges:
                await exchange.read_head()
                await exchange.body.read_all()
        for exchange in exchanges[:2]:
            exchange.finish()
        pool.set_limit(3)
        self.assertEqual(pool.count_open(), 3)
        pool.set_limit(1)
        self.assertEqual(pool.count_open(), 2)
        for exchange in exchanges[2:]:
            exchange.finish()
        self.assertEqual(pool.count_open(), 1)


if __name__ == "__main__":
    unittest.main()
