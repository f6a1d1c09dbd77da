"""An idle stream between an entry and an owner of pools schedules no timers.

This guards against wake-ups whose number grows with the number of entries and owners.
"""

import asyncio
import unittest
from typing import Any, cast
from unittest import mock

from damsonlane.pools import PieceOrder, PieceResult
from damsonlane_rpc import PoolOrders, PoolResults
from damsonlaned.gateway import _owner_link, _pool_service
from damsonlaned.gateway._owner_link import OwnerLink
from damsonlaned.gateway._pool_service import _SendBuffer


class _FakeStream:
    """Collects the messages that are sent."""

    def __init__(self) -> None:
        self.sent: asyncio.Queue[PoolResults] = asyncio.Queue()

    async def send_message(self, message: PoolResults) -> None:
        self.sent.put_nowait(message)


def _order(number: int) -> PieceOrder:
    return cast(PieceOrder, mock.Mock(number=number))


def _result(number: int) -> PieceResult:
    return cast(PieceResult, mock.Mock(number=number))


class IdleStreamsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stream = _FakeStream()
        self.buffer = _SendBuffer()
        patch = mock.patch.object(_pool_service, "PoolResults", mock.Mock)
        patch.start()
        self.addCleanup(patch.stop)
        loop = asyncio.get_running_loop()
        self.timers = mock.Mock(wraps=loop.call_at)
        patch = mock.patch.object(loop, "call_at", self.timers)
        patch.start()
        self.addCleanup(patch.stop)
        task = asyncio.create_task(self.buffer.push(cast(Any, self.stream)))
        self.addCleanup(task.cancel)
        await self._settle()

    async def _settle(self) -> None:
        for _ in range(10):
            await asyncio.sleep(0)

    async def test_an_idle_stream_has_no_timer(self) -> None:
        self.assertEqual(self.timers.call_count, 0)

    async def test_keepalives_are_sent_while_a_result_is_awaited(self) -> None:
        with mock.patch.object(_pool_service, "KEEPALIVE_SECONDS", 0.001):
            self.buffer.await_orders([_order(1)])
            for _ in range(3):
                keepalive = await self.stream.sent.get()
                self.assertEqual(keepalive.results, ())
            self.buffer.receive([_result(1)])
            while not (await self.stream.sent.get()).results:
                pass
            await self._settle()
            self.timers.reset_mock()
            await self._settle()
        self.assertEqual(self.timers.call_count, 0)

    async def test_an_order_sends_nothing_by_itself(self) -> None:
        self.buffer.await_orders([_order(1)])
        await self._settle()
        self.assertTrue(self.stream.sent.empty())

    async def test_a_link_is_checked_only_while_a_result_is_awaited(self) -> None:
        nothing = mock.Mock()
        with mock.patch.object(_owner_link, "start_task", lambda work, _: work.close()):
            link = OwnerLink(
                "127.0.0.1:1", None, nothing, nothing, nothing, nothing, nothing, nothing, 60.0
            )
        watch = asyncio.create_task(link._watch_for_silence())
        self.addCleanup(watch.cancel)
        await self._settle()
        self.assertEqual(self.timers.call_count, 0)
        link.send(PoolOrders(service="one", orders=(_order(1),)))
        await self._settle()
        self.assertEqual(self.timers.call_count, 1)


if __name__ == "__main__":
    unittest.main()
