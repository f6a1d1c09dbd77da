"""The listener, with raw bytes sent over sockets."""

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from unittest import mock

from damsonlaned.http import (
    BufferGuard,
    HttpHead,
    HttpListener,
    HttpRequest,
    HttpResponse,
    ListenerLimits,
    ResponseWriter,
    _listener,
)

LIMITS = ListenerLimits(header_bytes=2_000, body_bytes=1_000, header_seconds=0.2, idle_seconds=0.3)
#: Time-out of a test, in seconds; nothing is expected to take that long.
TEST_TIMEOUT_SECONDS = 20.0

#: A body that no buffer of the kernel holds.
LARGE_BODY = b"x" * 32_000_000

Handler = Callable[[HttpRequest, ResponseWriter], Awaitable[None]]


def render(status: int, detail: str) -> HttpResponse:
    return HttpResponse(status=status, body=detail.encode())


async def echo(request: HttpRequest, writer: ResponseWriter) -> None:
    body = request.method.encode() + b" " + request.target.encode() + b" " + request.body
    writer.send_response(HttpResponse(status=200, body=body))


@dataclass(frozen=True, kw_only=True)
class Case:
    """Bytes that a caller sends, and the expected responses."""

    name: str
    sent: bytes
    #: Statuses of the responses, in order.
    statuses: tuple[int, ...]
    #: Whether the listener closes the connection afterwards.
    closes: bool = True


GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

CASES = (
    Case(name="one request", sent=GET, statuses=(200,), closes=False),
    Case(name="two pipelined requests", sent=GET + GET, statuses=(200, 200), closes=False),
    Case(
        name="a body with a length, and a request behind it",
        sent=b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + GET,
        statuses=(200, 200),
        closes=False,
    ),
    Case(
        name="a body in chunks, and a request behind it",
        sent=b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n0\r\n\r\n" + GET,
        statuses=(200, 200),
        closes=False,
    ),
    Case(
        name="two differing lengths",
        sent=b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        statuses=(400,),
    ),
    Case(
        name="a length beside chunks",
        sent=b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + GET,
        statuses=(400,),
    ),
    Case(
        # Guards against reading a body that is refused in any case.
        name="a length over the limit, without the body",
        sent=b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n",
        statuses=(413,),
    ),
    Case(
        name="a length over the limit, of a caller that waits for an invitation",
        sent=b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\nExpect: 100-continue\r\n\r\n",
        statuses=(413,),
    ),
    Case(
        name="a negative length",
        sent=b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\n",
        statuses=(400,),
    ),
    Case(name="no host", sent=b"GET /a HTTP/1.1\r\n\r\n", statuses=(400,)),
    Case(name="no request", sent=b"\x16\x03\x01\x02\x00\r\n\r\n", statuses=(400,)),
    Case(
        name="a head that is too large",
        sent=b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 200_000 + b"\r\n\r\n",
        statuses=(431,),
    ),
    Case(
        name="a body that is too large",
        sent=b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000,
        statuses=(413,),
    ),
    Case(
        name="a target that is no path",
        sent=b"GET http://other/a HTTP/1.1\r\nHost: h\r\n\r\n",
        statuses=(400,),
    ),
    Case(
        name="the caller wants to close",
        sent=b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        statuses=(200,),
    ),
    Case(name="a head that never ends", sent=b"GET /a HTTP/1.1\r\nHost:", statuses=()),
)


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, serve: Handler) -> HttpListener:
        listener = HttpListener("127.0.0.1:0", serve, limits=lambda: LIMITS, render_refusal=render)
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        return listener

    async def connect(
        self, listener: HttpListener
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", listener.port())
        self.addCleanup(writer.close)
        return reader, writer

    async def test_each_case(self) -> None:
        listener = await self.start(echo)
        for case in CASES:
            with self.subTest(case.name):
                reader, writer = await self.connect(listener)
                writer.write(case.sent)
                async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                    # The listener closes an idle connection, so all bytes can be read.
                    data = await reader.read()
                statuses = tuple(
                    int(part[:3]) for part in data.split(b"HTTP/1.1 ")[1:] if part[:3].isdigit()
                )
                self.assertEqual(statuses, case.statuses)
                says_close = b"connection: close" in data.lower()
                self.assertEqual(says_close, case.closes and bool(case.statuses))

    async def test_the_handler_gets_method_path_and_body(self) -> None:
        listener = await self.start(echo)
        reader, writer = await self.connect(listener)
        writer.write(b"PUT /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy")
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            data = await reader.read()
        self.assertTrue(data.endswith(b"PUT /a/b?c=d xy"))

    async def test_a_body_in_very_small_chunks_is_read_whole(self) -> None:
        """Guards against a time-out that counts the time for parsing what has arrived."""
        count = 100_000
        limits = ListenerLimits(body_bytes=count)
        listener = HttpListener("127.0.0.1:0", echo, limits=lambda: limits, render_refusal=render)
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", listener.port(), limit=2 * count
        )
        self.addCleanup(writer.close)
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        with mock.patch.object(_listener, "_BODY_TIMEOUT_SECONDS", 0.2):
            writer.write(head + b"1\r\nx\r\n" * count + b"0\r\n\r\n")
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                received = await reader.readuntil(b"x" * count)
        self.assertTrue(received.startswith(b"HTTP/1.1 200 "))

    async def test_a_body_that_stalls_is_refused_while_others_wait_for_room(self) -> None:
        """Guards against bodies that are held until their time-out, whatever their sum."""
        reasons: list[str] = []
        listener = HttpListener(
            "127.0.0.1:0",
            echo,
            render_refusal=render,
            guard=BufferGuard(2**20, reasons.append, limits_time=False),
        )
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 800000\r\n\r\n"
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            stalled, writer = await asyncio.open_connection("127.0.0.1", listener.port())
            self.addCleanup(writer.close)
            writer.write(head + b"x" * 700_000)
            while listener._guard is not None and listener._guard.budget.total < 700_000:
                await asyncio.sleep(0.01)
            reader, writer = await asyncio.open_connection("127.0.0.1", listener.port())
            self.addCleanup(writer.close)
            writer.write(head + b"x" * 800_000)
            self.assertIn(b" 200 ", await reader.readline())
            self.assertIn(b" 503 ", await stalled.readline())
        self.assertEqual(reasons, ["budget"])

    async def test_requests_wait_for_the_response_before_and_a_stalled_caller_is_closed(
        self,
    ) -> None:
        """Guards against responses that pile up for a caller that reads nothing."""
        served: list[str] = []

        async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
            served.append(request.path)
            writer.send_response(HttpResponse(status=200, body=LARGE_BODY))

        listener = HttpListener("127.0.0.1:0", answer, limits=lambda: LIMITS, render_refusal=render)
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        with socket.create_connection(("127.0.0.1", listener.port())) as caller:
            caller.sendall(GET * 5)
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                while not served or listener.count_open():
                    await asyncio.sleep(0.01)
        self.assertEqual(served, ["/a"])

    async def test_a_large_last_response_ends_its_connection_once(self) -> None:
        """Guards against a transport that is closed while it asks for more to send."""
        errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))

        async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
            writer.send_response(HttpResponse(status=200, body=LARGE_BODY))

        listener = HttpListener("127.0.0.1:0", answer, render_refusal=render)
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        listener.is_closing = True
        reader, writer = await asyncio.open_connection("127.0.0.1", listener.port())
        self.addCleanup(writer.close)
        writer.write(GET)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            received = await reader.read()
            while listener.count_open():
                await asyncio.sleep(0.01)
        self.assertTrue(received.endswith(LARGE_BODY))
        self.assertEqual(errors, [])

    async def test_a_disconnect_of_the_caller_cancels_the_handler_at_once(self) -> None:
        began, ended = asyncio.Event(), asyncio.Event()

        async def wait(request: HttpRequest, writer: ResponseWriter) -> None:
            began.set()
            try:
                await asyncio.sleep(TEST_TIMEOUT_SECONDS)
            finally:
                ended.set()

        listener = await self.start(wait)
        for reset in (False, True):
            with self.subTest(reset=reset):
                began.clear()
                ended.clear()
                _, writer = await self.connect(listener)
                writer.write(GET)
                async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                    await began.wait()
                    if reset:
                        writer.transport.abort()
                    else:
                        writer.close()
                    await ended.wait()

    async def test_an_aborted_response_does_not_look_complete(self) -> None:
        async def cut(request: HttpRequest, writer: ResponseWriter) -> None:
            writer.start(HttpHead(status=200))
            await writer.send(b"part")
            writer.abort()

        listener = await self.start(cut)
        reader, writer = await self.connect(listener)
        writer.write(GET)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            try:
                data = await reader.read()
            except ConnectionResetError:
                data = b""
        self.assertFalse(data.endswith(b"0\r\n\r\n"))

    async def test_a_failing_handler_breaks_the_connection(self) -> None:
        async def fail(request: HttpRequest, writer: ResponseWriter) -> None:
            raise ValueError("planted")

        listener = await self.start(fail)
        reader, writer = await self.connect(listener)
        with self.assertLogs("damsonlaned.http._listener", "ERROR"):
            writer.write(GET)
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                try:
                    data = await reader.read()
                except ConnectionResetError:
                    data = b""
        self.assertEqual(data, b"")

    async def test_a_closing_listener_sends_connection_close(self) -> None:
        listener = await self.start(echo)
        reader, writer = await self.connect(listener)
        listener.is_closing = True
        writer.write(GET + GET)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            data = await reader.read()
        self.assertEqual(data.count(b"HTTP/1.1 200"), 1)
        self.assertIn(b"connection: close", data.lower())

    async def test_idle_connections_are_closed_and_busy_ones_are_not(self) -> None:
        release = asyncio.Event()

        async def wait(request: HttpRequest, writer: ResponseWriter) -> None:
            await release.wait()
            await echo(request, writer)

        listener = await self.start(wait)
        idle, _ = await self.connect(listener)
        busy, writer = await self.connect(listener)
        writer.write(GET)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while listener.count_busy() == 0:
                await asyncio.sleep(0.01)
            listener.close_idle()
            self.assertEqual(await idle.read(), b"")
            release.set()
            self.assertIn(b"200", await busy.readline())

    async def test_a_response_that_its_caller_still_reads_is_in_progress(self) -> None:
        """Guards against a process that ends before its responses have left it."""
        is_done = asyncio.Event()

        async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
            writer.send_response(HttpResponse(status=200, body=LARGE_BODY))
            is_done.set()

        for sent in (GET, GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")):
            with self.subTest(sent):
                listener = await self.start(answer)
                reader, writer = await self.connect(listener)
                writer.write(sent)
                async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                    await is_done.wait()
                    await asyncio.sleep(0.05)
                    self.assertEqual(listener.count_busy(), 1)
                    listener.close_idle()
                    data = await reader.read()
                    self.assertTrue(data.endswith(LARGE_BODY))
                    writer.close()
                    while listener.count_busy() or listener.count_open():
                        await asyncio.sleep(0.01)


if __name__ == "__main__":
    unittest.main()
