"""Requests at an entry that has just started, or is about to end."""

import asyncio
import unittest
from unittest import mock

from damsonlaned.gateway import _caller_service
from damsonlaned.gateway._caller_service import START_RETRY_SECONDS, USUAL_START_SECONDS
from damsonlaned.gateway.tests.harness import PATIENCE, Entry, StandIn, answer_well


class StartTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_entry_that_knows_no_routes_refuses(self) -> None:
        entry = Entry()
        await entry._listener.start()
        self.addAsyncCleanup(entry.stop)
        response = await entry.call("/ping/a")
        self.assertEqual(response.status, 503)
        self.assertIn(b"Retry-After", response.data)

    async def test_an_entry_that_starts_says_when_it_will_know_its_routes(self) -> None:
        entry = Entry()
        await entry._listener.start()
        self.addAsyncCleanup(entry.stop)
        now = asyncio.get_running_loop().time()
        for age, least, most in (
            # Started in the future, so that a slow machine changes nothing.
            (-60.0, 30.0, 60.0 + USUAL_START_SECONDS),
            (USUAL_START_SECONDS, START_RETRY_SECONDS, START_RETRY_SECONDS),
            (60.0, START_RETRY_SECONDS, START_RETRY_SECONDS),
        ):
            with self.subTest(age=age):
                entry.callers._started_at = now - age  # type: ignore[misc]
                response = await entry.call("/ping/a")
                told = response.data.partition(b"Retry-After: ")[2].partition(b"\r\n")[0]
                self.assertGreaterEqual(float(told), least)
                self.assertLessEqual(float(told), most)

    async def test_a_request_waits_for_an_entry_that_is_about_to_know_its_routes(self) -> None:
        entry = Entry()
        target = StandIn("t1", answer_well)
        record = await target.start()
        self.addAsyncCleanup(target.stop)
        await entry._listener.start()
        self.addAsyncCleanup(entry.stop)
        # Started in the future, so that a slow machine changes nothing.
        entry.callers._started_at = asyncio.get_running_loop().time() + 60  # type: ignore[misc]
        with mock.patch.object(_caller_service, "START_HOLD_SECONDS", PATIENCE):
            waiting = asyncio.create_task(entry.call("/ping/a"))
            while not (entry.callers.in_flight() or waiting.done()):
                await asyncio.sleep(0.001)
            entry.put_targets(record)
            entry.put_document()
            self.assertEqual((await waiting).status, 200)

    async def test_nothing_reaches_a_target_for_a_caller_that_left_before(self) -> None:
        """It left while its request waited for the routes of an entry that starts."""
        target = StandIn("t1", answer_well)
        record = await target.start()
        self.addAsyncCleanup(target.stop)
        entry = Entry()
        await entry._listener.start()
        self.addAsyncCleanup(entry.stop)
        # Started in the future, so that a slow machine changes nothing.
        entry.callers._started_at = asyncio.get_running_loop().time() + 60  # type: ignore[misc]
        with mock.patch.object(_caller_service, "START_HOLD_SECONDS", PATIENCE):
            _, writer = await entry.send("/ping/a")
            async with asyncio.timeout(PATIENCE):
                while not entry.callers.in_flight():
                    await asyncio.sleep(0.001)
                writer.close()
                while entry.callers.in_flight():
                    await asyncio.sleep(0.001)
            entry.put_targets(record)
            entry.put_document()
            self.assertEqual((await entry.call("/ping/b")).status, 200)
        self.assertEqual([request.path for request in target.requests], ["/ping/b"])

    async def test_an_entry_about_to_end_takes_nothing_that_it_could_not_finish(self) -> None:
        target = StandIn("t1", answer_well)
        record = await target.start()
        self.addAsyncCleanup(target.stop)
        entry = Entry()
        await entry.start(record)
        self.addAsyncCleanup(entry.stop)
        entry.callers.refuses_new = True
        response = await entry.call("/ping/a")
        self.assertEqual(response.status, 503)
        self.assertIn(b"Retry-After", response.data)
        self.assertEqual(target.requests, [])


if __name__ == "__main__":
    unittest.main()
