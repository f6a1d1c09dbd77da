"""Answers with neither a length nor chunks, which end with their connection."""

import asyncio
import socket
import struct
import unittest
from typing import Final

from damsonlane.targets import TargetRecord
from damsonlaned.gateway.tests.harness import Entry, Response

EVENTS: Final = tuple(f"id: {number}\ndata: token {number}\n\n".encode() for number in range(1, 6))


class UnframedTarget:
    """A target whose answers end with their connection.

    Args:
        name: its name.
        cuts: bytes after which each answer ends, the last one first; targets may share them.
            Answers are whole once there are none.
        resets: whether it resets the connection at the end instead of closing it.
    """

    def __init__(self, name: str, *, cuts: list[int] | None = None, resets: bool = False) -> None:
        self.name: Final = name
        #: Values of the last event that requests named, in order.
        self.resumed: Final[list[int]] = []
        self._cuts: Final = cuts if cuts is not None else []
        self._resets: Final = resets
        self._server: asyncio.Server | None = None

    async def start(self) -> TargetRecord:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return TargetRecord(
            target=self.name,
            service="desk",
            address=f"127.0.0.1:{port}",
            data_centre="gulberg",
            slots=4,
            standing="live",
            sequence=1,
        )

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        except asyncio.IncompleteReadError:
            writer.close()
            return
        fields = dict(line.split(": ", 1) for line in head.splitlines()[1:] if ": " in line)
        is_stream = "/chat/" in head or "/draft/" in head
        self.resumed.append(int(fields.get("last-event-id", 0)))
        body = b"".join(EVENTS[self.resumed[-1] :]) if is_stream else b"whole body"
        kind = "text/event-stream" if is_stream else "text/plain"
        writer.write(
            f"HTTP/1.1 200 OK\r\nDamsonlane-Request-Id: {fields['damsonlane-request-id']}\r\n"
            f"Content-Type: {kind}\r\nConnection: close\r\n\r\n".encode()
        )
        writer.write(body[: self._cuts.pop()] if self._cuts else body)
        await writer.drain()
        if self._resets:
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            # What was sent must arrive before the reset.
            await asyncio.sleep(0.05)
            writer.transport.abort()
        writer.close()


def read_events(response: Response) -> bytes:
    """Return the body of a chunked response without its framing."""
    body, rest = b"", response.data.partition(b"\r\n\r\n")[2]
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        body += rest[: int(size or b"0", 16)]
        rest = rest[int(size or b"0", 16) + 2 :]
    return body


class UnframedAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *targets: UnframedTarget) -> Entry:
        entry = Entry()
        records = []
        for target in targets:
            records.append(await target.start())
            self.addAsyncCleanup(target.stop)
        await entry.start(*records)
        self.addAsyncCleanup(entry.stop)
        return entry

    async def test_a_body_that_ends_with_its_connection_is_whole(self) -> None:
        entry = await self.start(UnframedTarget("t1"))
        response = await entry.call("/ping/a")
        self.assertEqual(response.status, 200)
        self.assertTrue(response.is_whole())
        self.assertIn(b"whole body", response.data)

    async def test_a_body_that_ends_with_a_reset_is_not_passed_on_as_whole(self) -> None:
        entry = await self.start(UnframedTarget("t1", resets=True))
        response = await entry.call("/once/a")
        self.assertEqual(response.status, 502)

    async def test_a_stream_that_ends_with_its_connection_is_whole(self) -> None:
        entry = await self.start(UnframedTarget("t1"))
        response = await entry.call("/chat/a")
        self.assertTrue(response.is_whole())
        self.assertEqual(read_events(response), b"".join(EVENTS))

    async def test_a_stream_that_ends_inside_an_event_is_resumed(self) -> None:
        first = len(EVENTS[0])
        for cut in (first + 1, first + 5, 2 * first - 2, 2 * first - 1, 5 * first - 1):
            with self.subTest(cut=cut):
                cuts = [cut]
                targets = [UnframedTarget(name, cuts=cuts) for name in ("t1", "t2")]
                entry = await self.start(*targets)
                response = await entry.call("/chat/a")
                self.assertTrue(response.is_whole())
                self.assertEqual(read_events(response), b"".join(EVENTS))
                resumed = sorted(event for target in targets for event in target.resumed)
                self.assertEqual(resumed, [0, cut // first])

    async def test_a_stream_that_ends_inside_an_event_never_looks_complete(self) -> None:
        first = len(EVENTS[0])
        for cut in (first + 1, 5 * first - 1):
            with self.subTest(cut=cut):
                entry = await self.start(UnframedTarget("t1", cuts=[cut]))
                response = await entry.call("/draft/a")
                self.assertFalse(response.is_whole())


if __name__ == "__main__":
    unittest.main()
