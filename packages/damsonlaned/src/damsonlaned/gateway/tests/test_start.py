"""Requests at an entry that has just started, or is stopping."""

import asyncio
import unittest
from unittest import mock

from damsonlaned.gateway import _caller_service
from damsonlaned.gateway._caller_service import EXPECTED_START_SECONDS, START_RETRY_SECONDS
from damsonlaned.gateway.tests.harness import TEST_TIMEOUT_SECONDS, Entry, FakeTarget, answer_ok


class StartTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_entry_without_routes_refuses(self) -> None:
        entry = Entry()
        await entry._listener.start()
        self.addAsyncCleanup(entry.stop)
        response = await entry.call("/ping/a")
        self.assertEqual(response.status, 503)
        self.assertIn(b"Retry-After", response.data)

    async def test_retry_after_covers_the_expected_start_of_an_entry(self) -> None:
        entry = Entry()
        await entry._listener.start()
        self.addAsyncCleanup(entry.stop)
        now = asyncio.get_running_loop().time()
        for age, least, most in (
            # Started in the future, so that a slow machine changes nothing.
            (-60.0, 30.0, 60.0 + EXPECTED_START_SECONDS),
            (EXPECTED_START_SECONDS, START_RETRY_SECONDS, START_RETRY_SECONDS),
            (60.0, START_RETRY_SECONDS, START_RETRY_SECONDS),
        ):
            with self.subTest(age=age):
                entry.callers._started_at = now - age  # type: ignore[misc]
                response = await entry.call("/ping/a")
                retry_after = response.data.partition(b"Retry-After: ")[2].partition(b"\r\n")[0]
                self.assertGreaterEqual(float(retry_after), least)
                self.assertLessEqual(float(retry_after), most)

    async def test_a_request_waits_for_the_routes_of_a_starting_entry(self) -> None:
        entry = Entry()
        target = FakeTarget("t1", answer_ok)
        record = await target.start()
        self.addAsyncCleanup(target.stop)
        await entry._listener.start()
        self.addAsyncCleanup(entry.stop)
        # Started in the future, so that a slow machine changes nothing.
        entry.callers._started_at = asyncio.get_running_loop().time() + 60  # type: ignore[misc]
        with mock.patch.object(_caller_service, "START_HOLD_SECONDS", TEST_TIMEOUT_SECONDS):
            waiting = asyncio.create_task(entry.call("/ping/a"))
            while not (entry.callers.in_flight() or waiting.done()):
                await asyncio.sleep(0.001)
            entry.put_targets(record)
            entry.put_document()
            self.assertEqual((await waiting).status, 200)

    async def test_a_request_is_not_sent_if_its_caller_disconnected_before(self) -> None:
        """The caller disconnects while its request waits for the routes of a starting entry."""
        target = FakeTarget("t1", answer_ok)
        record = await target.start()
        self.addAsyncCleanup(target.stop)
        entry = Entry()
        await entry._listener.start()
        self.addAsyncCleanup(entry.stop)
        # Started in the future, so that a slow machine changes nothing.
        entry.callers._started_at = asyncio.get_running_loop().time() + 60  # type: ignore[misc]
        with mock.patch.object(_caller_service, "START_HOLD_SECONDS", TEST_TIMEOUT_SECONDS):
            _, writer = await entry.send("/ping/a")
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                while not entry.callers.in_flight():
                    await asyncio.sleep(0.001)
                writer.close()
                while entry.callers.in_flight():
                    await asyncio.sleep(0.001)
            entry.put_targets(record)
            entry.put_document()
            self.assertEqual((await entry.call("/ping/b")).status, 200)
        self.assertEqual([request.path for request in target.requests], ["/ping/b"])

    async def test_a_stopping_entry_refuses_requests_that_it_could_not_complete(self) -> None:
        target = FakeTarget("t1", answer_ok)
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
