"""Requests that are passed on while one of the two entries stops."""

import asyncio
import unittest

from damsonlaned.gateway.tests.harness import FakeTarget, answer_ok, hang, read_id
from damsonlaned.http import HttpHead, HttpRequest, ResponseWriter
from damsonlaned.relay.tests.test_relay import RelayTestCase, count_runs

DEADLINE_MS = 15_000
#: Seconds until the entry that stops ends its requests.
LEFT_SECONDS = 0.5


async def stream_without_end(request: HttpRequest, writer: ResponseWriter) -> None:
    headers = (
        (b"Damsonlane-Request-Id", read_id(request)),
        (b"Content-Type", b"text/event-stream"),
        (b"Signature", b"s"),
    )
    writer.start(HttpHead(status=200, headers=headers))
    while True:
        await writer.send(b"data: token\n\n")
        await asyncio.sleep(0.02)


class StoppingEntriesTest(RelayTestCase):
    def stop_entry(self, index: int) -> None:
        ends_at = asyncio.get_running_loop().time() + LEFT_SECONDS
        self.fleet.entries[index].callers.stop_limit.begin(ends_at)

    async def wait_for_run(self, targets: list[FakeTarget]) -> None:
        await self.wait_for(lambda: count_runs(targets) == 1)

    async def test_a_request_under_way_is_answered_when_either_entry_ends(self) -> None:
        """Guards against callers whose connection is closed when the box that has it ends."""
        for index in (0, 1):
            with self.subTest(index):
                targets = await self.start_cut_fleet(hang)
                caller = asyncio.create_task(self.call("/once/a", deadline_ms=DEADLINE_MS))
                await self.wait_for_run(targets)
                self.stop_entry(index)
                response = await caller
                self.assertEqual(response.status, 504)
                self.assertIn(b'"run": "unknown"', response.data)
                self.assertTrue(response.is_whole())
                self.assertEqual(count_runs(targets), 1)

    async def test_a_stream_under_way_is_cut_visibly_when_either_entry_ends(self) -> None:
        for index in (0, 1):
            with self.subTest(index):
                targets = await self.start_cut_fleet(stream_without_end)
                caller = asyncio.create_task(self.call("/draft/a", deadline_ms=DEADLINE_MS))
                await self.wait_for_run(targets)
                self.stop_entry(index)
                response = await caller
                self.assertEqual(response.status, 200)
                self.assertIn(b"data: token", response.data)
                self.assertFalse(response.is_whole())

    async def test_an_entry_that_stops_takes_no_requests_of_others(self) -> None:
        """Guards against requests that are passed on to a box that ends before they do."""
        targets = await self.start_cut_fleet(answer_ok)
        self.stop_entry(1)
        response = await self.call("/once/a", deadline_ms=DEADLINE_MS)
        self.assertEqual(response.status, 503)
        self.assertIn(b'"run": "no"', response.data)
        self.assertEqual(count_runs(targets), 0)


if __name__ == "__main__":
    unittest.main()
