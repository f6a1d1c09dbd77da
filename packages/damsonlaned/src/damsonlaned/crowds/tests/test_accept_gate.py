"""Connections that are closed unread while the event loop is late."""

import asyncio
import unittest
from collections.abc import Callable
from functools import partial
from unittest import mock

from damsonlaned.crowds import AcceptGate
from damsonlaned.crowds._accept_gate import MAX_DELAY_SECONDS, STALE_SECONDS
from damsonlaned.http import HttpListener, HttpRequest, HttpResponse, ResponseWriter
from damsonlaned.loop_load import LoopLoad


class FakeLoop:
    """An event loop whose turns take as long as the test says."""

    def __init__(self) -> None:
        self.now = 100.0
        self._scheduled: list[tuple[Callable[[float], None], float]] = []

    def time(self) -> float:
        return self.now

    def call_soon(self, callback: Callable[[float], None], argument: float) -> None:
        self._scheduled.append((callback, argument))

    def turn(self, seconds: float) -> None:
        self.now += seconds
        scheduled, self._scheduled = self._scheduled, []
        for callback, argument in scheduled:
            callback(argument)


class AcceptGateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = FakeLoop()
        patched = mock.patch.object(asyncio, "get_running_loop", return_value=self.loop)
        patched.start()
        self.addCleanup(patched.stop)
        self.closed = 0
        self.gate = AcceptGate(self._count)

    def _count(self) -> None:
        self.closed += 1

    def _admit(self, seconds: float, count: int, gate: AcceptGate | None = None) -> list[bool]:
        """Return whether each of some connections is admitted, one in each turn of the loop."""
        admitted = []
        for _ in range(count):
            admitted.append((gate or self.gate).admit())
            self.loop.turn(seconds)
        return admitted

    def test_a_loop_in_time_admits_all(self) -> None:
        self.assertTrue(all(self._admit(MAX_DELAY_SECONDS / 2, 100)))

    def test_a_late_loop_closes_connections_until_it_is_in_time_again(self) -> None:
        self.assertFalse(any(self._admit(3 * MAX_DELAY_SECONDS, 20)[5:]))
        self.assertGreater(self.closed, 0)
        self.assertTrue(all(self._admit(MAX_DELAY_SECONDS / 10, 300)[200:]))

    def test_a_full_box_admits_no_burst_once_its_loop_is_in_time(self) -> None:
        """Guards against a crowded box that reads by turns far more than it can serve."""
        for has_others, most in ((True, 10), (False, 300)):
            has = partial(bool, has_others)
            gate = AcceptGate(count_in_flight=lambda: 10, has_others=has)
            with mock.patch.object(LoopLoad, "sample", return_value=1.0):
                self._admit(3 * MAX_DELAY_SECONDS, 20, gate)
                self.loop.turn(1.1 * STALE_SECONDS)
                admitted = self._admit(MAX_DELAY_SECONDS / 100, 300, gate)
            self.assertLessEqual(sum(admitted), most)
            self.assertEqual(sum(admitted) == 300, not has_others)

    def test_one_long_turn_is_no_crowd(self) -> None:
        self._admit(MAX_DELAY_SECONDS / 10, 100)
        self._admit(1.5 * MAX_DELAY_SECONDS, 1)
        self.assertTrue(self.gate.admit())

    def test_an_old_measurement_closes_nothing(self) -> None:
        self._admit(3 * MAX_DELAY_SECONDS, 20)
        self.loop.turn(2 * STALE_SECONDS)
        self.assertTrue(self.gate.admit())


class ClosedConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_that_is_not_admitted_is_closed_unread(self) -> None:
        handled: list[HttpRequest] = []

        async def handle(request: HttpRequest, writer: ResponseWriter) -> None:
            handled.append(request)
            writer.send_response(HttpResponse(status=200))

        gate = AcceptGate()
        listener = HttpListener(
            "127.0.0.1:0", handle, render_refusal=lambda status, _: HttpResponse(status=status),
            gate=gate,
        )  # fmt: skip
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        for is_admitted in (False, True):
            with mock.patch.object(gate, "admit", return_value=is_admitted):
                reader, writer = await asyncio.open_connection("127.0.0.1", listener.port())
                writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                try:
                    answer = await reader.read()
                except ConnectionResetError:
                    answer = b""
                writer.close()
            self.assertEqual(answer.startswith(b"HTTP/1.1 200"), is_admitted)
        self.assertEqual(len(handled), 1)


if __name__ == "__main__":
    unittest.main()
