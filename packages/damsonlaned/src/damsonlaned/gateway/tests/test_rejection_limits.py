"""Targets that fail if they reject too many requests a second are not made to.

Guards against a fleet that goes on filling such targets, or sends one that restarted all that
waited.
"""

import asyncio
import unittest
from collections.abc import Sequence
from dataclasses import replace

from damsonlane.targets import TargetRecord
from damsonlaned.gateway.tests.fleet import Fleet
from damsonlaned.gateway.tests.harness import (
    DOCUMENT,
    TEST_TIMEOUT_SECONDS,
    FakeTarget,
    Response,
    read_id,
)
from damsonlaned.http import HttpRequest, HttpResponse, ResponseWriter

#: Requests that a target runs at once.
SLOTS = 4
#: Duration of one, in seconds.
SECONDS = 0.05


class FragileTarget(FakeTarget):
    """A target that announces a limit of rejections and counts the requests that it rejects.

    Args:
        name: its name.
        limit: what its responses announce; empty for nothing.
    """

    def __init__(self, name: str, limit: str) -> None:
        super().__init__(name, self._answer_and_count)
        self.limit = limit
        self.running = 0
        self.most_running = 0
        self.rejected = 0
        #: Cleared to have it hold its slots until it is set again.
        self.is_free = asyncio.Event()
        self.is_free.set()

    async def _answer_and_count(self, request: HttpRequest, writer: ResponseWriter) -> None:
        headers = [(b"Damsonlane-Request-Id", read_id(request))]
        if self.limit:
            headers.append((b"Damsonlane-Rejection-Limit", self.limit.encode()))
        if self.running >= SLOTS:
            self.rejected += 1
            headers.append((b"Damsonlane-Run-No", b"1"))
            writer.send_response(HttpResponse(status=503, headers=tuple(headers)))
            return
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await asyncio.sleep(SECONDS)
            await self.is_free.wait()
        finally:
            self.running -= 1
        writer.send_response(HttpResponse(status=200, headers=tuple(headers), body=b"done"))


class RejectionLimitsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, targets: Sequence[FakeTarget], count: int = 2) -> list[TargetRecord]:
        records = []
        for target in targets:
            self.addAsyncCleanup(target.stop)
            records.append(replace(await target.start(), start=1))
        self.fleet = Fleet(count, DOCUMENT)
        await self.fleet.start(self, records)
        return records

    async def send_wave(self, count: int) -> list[Response]:
        entries = self.fleet.entries
        return await asyncio.gather(
            *(entries[index % len(entries)].call("/ping/a") for index in range(count))
        )

    async def send_waves(self) -> tuple[list[Response], float]:
        """Return responses, and how long it took to send the requests, in seconds."""
        began_at = asyncio.get_running_loop().time()
        responses = [response for _ in range(12) for response in await self.send_wave(24)]
        return responses, asyncio.get_running_loop().time() - began_at

    async def test_a_wave_is_mostly_kept_from_targets_that_reject(self) -> None:
        targets = [FragileTarget(f"t{index}", "2") for index in range(2)]
        await self.start(targets)
        await self.send_wave(2)
        responses, seconds = await self.send_waves()
        refused = [response for response in responses if response.status == 503]
        self.assertGreater(len(responses) - len(refused), 0)
        self.assertTrue(all(b"Retry-After" in response.data for response in refused))
        self.assertTrue(all(b'"run": "no"' in response.data for response in refused))
        for target in targets:
            self.assertLessEqual(target.rejected, 2 * (1 + seconds))

    async def test_without_the_limit_targets_are_filled_as_before(self) -> None:
        targets = [FragileTarget(f"t{index}", "") for index in range(2)]
        await self.start(targets)
        _, seconds = await self.send_waves()
        self.assertGreater(sum(target.rejected for target in targets), 4 * 2 * (1 + seconds))

    async def test_an_invalid_limit_holds_nothing_back(self) -> None:
        for limit in ("-1", "many", "nan", "inf"):
            with self.subTest(limit=limit):
                targets = [FragileTarget("t0", limit)]
                await self.start(targets, count=1)
                targets[0].is_free.clear()
                wave = asyncio.create_task(self.send_wave(30))
                async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                    while not targets[0].rejected:
                        await asyncio.sleep(0.01)
                targets[0].is_free.set()
                await wave

    async def test_the_limit_ends_with_the_first_response_without_it(self) -> None:
        targets = [FragileTarget("t0", "2")]
        await self.start(targets, count=1)
        await self.send_wave(1)
        targets[0].limit = ""
        await self.send_wave(1)
        rejections = self.fleet.entries[0].view.announcements.rejections
        self.assertEqual([rejections.find_limit(name) for name in rejections.list_limited()], [])

    async def test_a_target_that_comes_back_gets_few_requests_at_first(self) -> None:
        targets = [FragileTarget("t0", "2"), FragileTarget("t1", "2")]
        records = await self.start(targets, count=1)
        await self.send_wave(2)
        targets[0].limit = ""
        self.fleet.put_targets(replace(records[0], start=2), records[1])
        targets[0].most_running = 0
        wave = asyncio.create_task(self.send_wave(60))
        await asyncio.sleep(SECONDS / 2)
        self.assertLessEqual(targets[0].most_running, 1)
        await wave


if __name__ == "__main__":
    unittest.main()
