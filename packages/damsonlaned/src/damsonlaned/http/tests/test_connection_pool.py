"""The targets' side, against a target that answers with raw bytes."""

import asyncio
import contextlib
import socket
import struct
import unittest
from collections.abc import Sequence

from damsonlaned.http import (
    BrokenAnswerError,
    ConnectionPool,
    HttpRequest,
    NotSentError,
    SentExchange,
)

PATIENCE = 20.0
REQUEST = HttpRequest(method="GET", target="/a", headers=((b"Host", b"h"),))
POST = HttpRequest(method="POST", target="/a", headers=((b"Host", b"h"),), body=b"x" * 10)
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: r1\r\n\r\nok"
OTHER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: r0\r\n\r\nno"


def break_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection by a reset, as a box that crashes does."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class RawTarget:
    """Answers the requests of each connection with the next bytes of a script.

    ``None`` in a script closes the connection, ``RESET`` breaks it.
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
                    break_connection(writer)
                    return
            await reader.read()


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def open(self, *scripts: Sequence[bytes | None]) -> tuple[RawTarget, ConnectionPool]:
        target = RawTarget(*scripts)
        address = await target.start()
        self.addAsyncCleanup(target.stop)
        return target, ConnectionPool(address, 4)

    async def call(self, pool: ConnectionPool, request: HttpRequest = REQUEST) -> bytes:
        async with asyncio.timeout(PATIENCE):
            exchange = await pool.send(request, PATIENCE)
            try:
                await exchange.read_head()
                return await exchange.body.read_whole()
            finally:
                exchange.finish()

    async def test_a_connection_is_kept_after_a_whole_answer(self) -> None:
        target, pool = await self.open((WHOLE, WHOLE))
        self.assertEqual(await self.call(pool), b"ok")
        self.assertEqual(await self.call(pool, POST), b"ok")
        self.assertEqual((target.connections, pool.open_connections()), (1, 1))

    async def test_a_connection_is_not_used_beyond_the_time_that_its_target_names(self) -> None:
        brief = WHOLE.replace(b"Request-Id", b"Keep-Alive: timeout=0, max=9\r\nRequest-Id")
        target, pool = await self.open((brief, WHOLE), (WHOLE,))
        await self.call(pool)
        await self.call(pool)
        self.assertEqual(target.connections, 2)

    async def test_a_connection_that_said_close_is_not_kept(self) -> None:
        closing = WHOLE.replace(b"Request-Id", b"Connection: close\r\nRequest-Id")
        target, pool = await self.open((closing,), (WHOLE,))
        await self.call(pool)
        await self.call(pool)
        self.assertEqual((target.connections, pool.open_connections()), (2, 1))

    async def test_a_connection_with_bytes_behind_the_answer_is_not_kept(self) -> None:
        target, pool = await self.open((WHOLE + OTHER,), (WHOLE,))
        self.assertEqual(await self.call(pool), b"ok")
        self.assertEqual(await self.call(pool), b"ok")
        self.assertEqual(target.connections, 2)

    async def test_a_connection_that_the_target_closed_is_not_used(self) -> None:
        target, pool = await self.open((WHOLE,), (WHOLE,))
        await self.call(pool)
        async with asyncio.timeout(PATIENCE):
            target._server.close()
            # The script is over, so end the connection as the target's idle time would.
            for connection in list(pool._idle):
                connection._wire.eof_received()
        self.assertEqual(pool.open_connections(), 0)

    async def test_broken_answers_are_told(self) -> None:
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
            ("two lengths", WHOLE.replace(b"Request-Id", b"Content-Length: 3\r\nRequest-Id")),
        )
        for name, answer in cases:
            with self.subTest(name):
                _, pool = await self.open((answer,))
                with self.assertRaises(BrokenAnswerError):
                    await self.call(pool)
                self.assertEqual(pool.open_connections(), 0)

    async def test_an_answer_without_a_length_ends_with_its_connection(self) -> None:
        target = RawTarget((b"HTTP/1.1 200 OK\r\n\r\nab",))
        address = await target.start()
        self.addAsyncCleanup(target.stop)
        pool = ConnectionPool(address, 4)
        async with asyncio.timeout(PATIENCE):
            exchange = await pool.send(REQUEST, PATIENCE)
            await exchange.read_head()
            exchange._connection._wire.eof_received()
            self.assertEqual(await exchange.body.read_whole(), b"ab")
            exchange.finish()
        self.assertEqual(pool.open_connections(), 0)

    async def test_an_answer_of_another_request_is_passed_over(self) -> None:
        for request in (REQUEST, POST):
            with self.subTest(request.method):
                _, pool = await self.open((OTHER + WHOLE,))
                async with asyncio.timeout(PATIENCE):
                    exchange = await pool.send(request, PATIENCE)
                    self.assertEqual(await self.read_own(exchange), b"ok")
                    exchange.finish()

    async def read_own(self, exchange: SentExchange) -> bytes:
        head = await exchange.read_head()
        self.assertEqual(head.find(b"request-id"), "r0")
        await exchange.skip_answer()
        head = await exchange.read_head()
        self.assertEqual(head.find(b"request-id"), "r1")
        return await exchange.body.read_whole()

    async def test_nothing_is_sent_where_nobody_listens(self) -> None:
        target, pool = await self.open((WHOLE,))
        await target.stop()
        with self.assertRaises(NotSentError):
            await self.call(pool)
        self.assertEqual(pool.open_connections(), 0)

    async def test_no_more_connections_are_opened_than_allowed(self) -> None:
        _, pool = await self.open((WHOLE,))
        pool.most = 1
        async with asyncio.timeout(PATIENCE):
            exchange = await pool.send(REQUEST, PATIENCE)
            with self.assertRaises(NotSentError):
                await pool.send(REQUEST, PATIENCE)
            exchange.finish()
            # Its answer was not read, so its connection is gone and there is room for another.
            self.assertEqual(await self.call(pool), b"ok")

    async def test_a_given_up_exchange_closes_its_connection(self) -> None:
        target, pool = await self.open((b"",))
        async with asyncio.timeout(PATIENCE):
            exchange = await pool.send(REQUEST, PATIENCE)
            exchange.finish()
        self.assertEqual(pool.open_connections(), 0)


if __name__ == "__main__":
    unittest.main()
