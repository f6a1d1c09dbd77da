"""Reading from a connection whose bytes are counted for a caller, with a fake transport."""

import asyncio
import unittest
from unittest import mock

from damsonlaned.http import BufferGuard
from damsonlaned.http._tcp_stream import MAX_COUNTED_READ_BYTES, MAX_UNREAD_BYTES, TcpStream


def connect() -> tuple[TcpStream, mock.Mock]:
    """Return a connection and its transport, which does not send."""
    transport = mock.Mock(spec=asyncio.Transport)
    transport.get_extra_info.return_value = None
    transport.get_write_buffer_size.return_value = 0
    stream = TcpStream()
    stream.connection_made(transport)
    return stream, transport


class CountedReadTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.data = bytes(number % 251 for number in range(MAX_UNREAD_BYTES + 1_000))

    def receive(self, stream: TcpStream, size: int) -> None:
        for start in range(0, len(self.data), size):
            stream.data_received(self.data[start : start + size])

    async def test_the_target_of_a_caller_that_reads_slowly_waits_for_a_part_only(self) -> None:
        """Guards against a caller at 100 kB/s whose target waits until 256 KiB were passed on."""
        for size in (700, 100_000, len(self.data)):
            with self.subTest(size):
                guard = BufferGuard(2**24, lambda reason: None)
                caller, _ = connect()
                guard.watch(caller)
                target, transport = connect()
                target.charge_to(caller.meter)
                self.receive(target, size)
                transport.pause_reading.assert_called_once()
                read = [await target.read()]
                transport.resume_reading.assert_called_once()
                while target.has_unread():
                    read.append(await target.read())
                self.assertLessEqual(max(map(len, read)), MAX_COUNTED_READ_BYTES)
                self.assertEqual(b"".join(read), self.data)
                self.assertEqual(guard.budget.total, 0)

    async def test_reading_resumes_once_all_was_read_while_the_budget_is_short(self) -> None:
        """Guards against a target that is paused for ever, since nothing else frees memory."""
        guard = BufferGuard(300_000, lambda reason: None)
        other, _ = connect()
        guard.watch(other)
        assert other.meter is not None
        other.meter.record_unread(other, 200_000)
        caller, _ = connect()
        guard.watch(caller)
        target, transport = connect()
        target.charge_to(caller.meter)
        target.data_received(self.data[:90_000])
        transport.pause_reading.assert_called_once()
        while target.has_unread():
            await target.read()
        transport.resume_reading.assert_called_once()

    async def test_without_a_budget_all_bytes_are_read_at_once(self) -> None:
        """Guards against other reads where the setting is off."""
        target, _ = connect()
        self.receive(target, 10_000)
        self.assertEqual(await target.read(), self.data)


if __name__ == "__main__":
    unittest.main()
