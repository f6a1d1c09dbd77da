"""Back-off of targets: its end, its scope, and requests and results that wait for it."""

import asyncio
import json
import time
import unittest
from collections.abc import Sequence
from dataclasses import replace
from unittest import mock

from damsonlane.backoff import TargetIncarnation
from damsonlane.targets import TargetRecord
from damsonlaned import clock
from damsonlaned.dialects import ResponseSignals
from damsonlaned.gateway.tests.harness import (
    TEST_TIMEOUT_SECONDS,
    AnswerHandler,
    Entry,
    FakeTarget,
    answer_ok,
    make_piece_handler,
    read_id,
)
from damsonlaned.gateway.tests.test_backoff import (
    BACKOFF_DOCUMENT,
    BACKOFF_HEADERS,
    DRAINING_HEADERS,
    ONE_PIECE,
    make_pool_target,
    read_retry_after,
    reject_with,
    start_entry,
)
from damsonlaned.http import HttpRequest, HttpResponse, ResponseWriter

#: Headers of a rejection that requests a short back-off.
SHORT_BACKOFF_HEADERS = ((b"Retry-After", b"0.3"), (b"Damsonlane-Run-No", b"1"))
#: Time for which a box is suspended, in seconds; longer than any back-off in these tests.
SUSPENDED_SECONDS = 3_600.0


def in_turn(*answers: AnswerHandler) -> AnswerHandler:
    """Return a handler that uses some handlers in turn; the last one is repeated."""
    remaining = list(answers)

    async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
        await (remaining.pop(0) if len(remaining) > 1 else remaining[0])(request, writer)

    return answer


async def answer_another_request_first(request: HttpRequest, writer: ResponseWriter) -> None:
    """Send a rejection of an earlier request before the response to this one."""
    late = b"HTTP/1.1 503 Busy\r\nDamsonlane-Request-Id: old\r\nRetry-After: 600\r\n"
    own = b"HTTP/1.1 200 OK\r\nDamsonlane-Request-Id: " + read_id(request) + b"\r\n"
    writer._stream.write(late + b"Content-Length: 0\r\n\r\n" + own + b"Content-Length: 2\r\n\r\nok")


def make_backoff_signals(
    record: TargetRecord, seconds: float
) -> tuple[TargetIncarnation, ResponseSignals]:
    """Return the incarnation of a target, and signals by which it requests back-off."""
    signals = ResponseSignals(
        request_id=None, has_not_run=False, load=None, is_stream=False, backoff_seconds=seconds
    )
    return TargetIncarnation.of(record), signals


class BackoffEndsTest(unittest.IsolatedAsyncioTestCase):
    async def call(self, entry: Entry, path: str = "/plain/a", headers: str = "") -> int:
        return (await entry.call(path, headers=headers, deadline_ms=8_000)).status

    async def wait_for_item(self, items: Sequence[object]) -> None:
        """Wait until a list has an item."""
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not items:
                await asyncio.sleep(0.01)

    async def test_a_target_is_used_again_as_soon_as_its_backoff_ends(self) -> None:
        """Three failures in a row would eject an unhealthy target for a second."""
        target = FakeTarget("t1", in_turn(*[reject_with(SHORT_BACKOFF_HEADERS)] * 3, answer_ok))
        entry, _ = await start_entry(self, target)
        for _ in range(3):
            response = await entry.call("/plain/a")
            self.assertEqual(response.status, 503)
            await asyncio.sleep(read_retry_after(response))
        self.assertEqual(await self.call(entry), 200)
        self.assertEqual(len(target.requests), 4)

    async def test_a_request_that_many_targets_reject_reaches_another_data_centre(self) -> None:
        """All five targets of the entry's own data centre request back-off."""
        backing_off = [
            FakeTarget(f"t{number}", reject_with(BACKOFF_HEADERS)) for number in range(5)
        ]
        working = FakeTarget("far", answer_ok)
        entry, records = await start_entry(self, *backing_off, working)
        far = replace(records[-1], data_centre="dha")
        entry.put_targets(*records[:-1], far)
        self.assertEqual(await self.call(entry), 200)
        self.assertEqual([len(target.requests) for target in backing_off], [1] * 5)

    async def test_the_next_incarnation_gets_requests(self) -> None:
        for headers in (BACKOFF_HEADERS, DRAINING_HEADERS):
            target = FakeTarget(
                "t1", in_turn(reject_with((*headers, *BACKOFF_HEADERS[1:])), answer_ok)
            )
            entry, records = await start_entry(self, target)
            self.assertEqual([await self.call(entry) for _ in range(3)], [503] * 3)
            self.assertEqual(len(target.requests), 1)
            entry.put_targets(replace(records[0], start=7))
            self.assertEqual(await self.call(entry), 200)

    async def test_backoff_does_not_apply_to_another_box(self) -> None:
        target = FakeTarget("t1", in_turn(reject_with(BACKOFF_HEADERS), answer_ok))
        entry, records = await start_entry(self, target)
        other = Entry(BACKOFF_DOCUMENT)
        await other.start(*records)
        self.addAsyncCleanup(other.stop)
        self.assertEqual(await self.call(entry), 503)
        self.assertEqual(await self.call(other), 200)
        self.assertEqual(await self.call(entry), 503)

    async def test_backoff_in_a_response_to_another_request_counts(self) -> None:
        target = FakeTarget("t1", answer_another_request_first)
        entry, _ = await start_entry(self, target)
        self.assertEqual([await self.call(entry) for _ in range(3)], [200, 503, 503])
        self.assertEqual(len(target.requests), 1)

    async def test_backoff_requested_in_a_pool_call_applies_to_plain_requests(self) -> None:
        pool_target = FakeTarget("p1", reject_with(BACKOFF_HEADERS), "pool")
        routes = tuple(
            replace(route, services=(replace(route.services[0], service="pool"),))
            if route.name == "plain"
            else route
            for route in BACKOFF_DOCUMENT.routes
        )
        document = replace(BACKOFF_DOCUMENT, routes=routes)
        working = FakeTarget("t1", answer_ok)
        entry, _ = await start_entry(self, pool_target, working, document=document)
        self.assertEqual(await self.call(entry, "/pieces/a", ONE_PIECE), 503)
        self.assertEqual(await self.call(entry), 503)
        self.assertEqual(len(pool_target.requests), 1)

    # Stages.

    async def test_a_request_is_refused_before_its_stages_run(self) -> None:
        pool_target, target = make_pool_target("p1"), FakeTarget("t1", reject_with(BACKOFF_HEADERS))
        entry, _ = await start_entry(self, pool_target, target)
        self.assertEqual(await self.call(entry), 503)
        self.assertEqual(await self.call(entry, "/pieces/a", ONE_PIECE), 503)
        self.assertEqual(pool_target.requests, [])

    async def test_a_request_with_stage_results_waits_for_its_target(self) -> None:
        pool_target = make_pool_target("p1")
        target = FakeTarget("t1", in_turn(reject_with(SHORT_BACKOFF_HEADERS), answer_ok))
        entry, _ = await start_entry(self, pool_target, target)
        self.assertEqual(await self.call(entry, "/pieces/a", ONE_PIECE), 200)
        calls = [request for request in pool_target.requests if not request.path.endswith("/free")]
        self.assertEqual(len(calls), 1)

    async def test_a_request_whose_target_backs_off_too_long_is_refused_with_retry_after(
        self,
    ) -> None:
        pool_target, target = make_pool_target("p1"), FakeTarget("t1", reject_with(BACKOFF_HEADERS))
        entry, _ = await start_entry(self, pool_target, target)
        response = await entry.call("/pieces/a", headers=ONE_PIECE, deadline_ms=8_000)
        self.assertEqual(response.status, 503)
        self.assertGreater(read_retry_after(response), 500.0)

    async def test_pieces_are_refused_at_once_while_all_targets_of_a_pool_back_off(self) -> None:
        pool_target = FakeTarget("p1", reject_with(BACKOFF_HEADERS), "pool")
        entry, _ = await start_entry(self, pool_target, FakeTarget("t1", answer_ok))
        for _ in range(3):
            response = await entry.call("/pieces/a", headers=ONE_PIECE, deadline_ms=8_000)
            self.assertEqual(response.status, 503)
            self.assertGreater(read_retry_after(response), 500.0)
        self.assertEqual(len(pool_target.requests), 1)

    async def test_results_are_released_once_the_backoff_of_their_pool_target_ends(self) -> None:
        released: list[str] = []
        pool_targets: list[FakeTarget] = []
        answer_piece = make_piece_handler(lambda: pool_targets[0].address)

        async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
            if not request.path.endswith("/free"):
                entry.view.announcements.record(incarnation, signals)
                await answer_piece(request, writer)
                return
            released.extend(json.loads(request.body).get("handles", ["?"]))
            writer.send_response(HttpResponse(status=200))

        pool_targets.append(FakeTarget("p1", answer, "pool"))
        entry, records = await start_entry(self, pool_targets[0], FakeTarget("t1", answer_ok))
        incarnation, signals = make_backoff_signals(records[0], 0.5)
        self.assertEqual(await self.call(entry, "/pieces/a", ONE_PIECE), 200)
        self.assertEqual(released, [])
        await self.wait_for_item(released)
        self.assertEqual(entry.view.announcements.backoff_seconds_left(incarnation), 0.0)


class SuspendedTest(unittest.TestCase):
    def test_time_while_the_box_is_suspended_counts_towards_backoff(self) -> None:
        read = time.clock_gettime
        passed = [0.0]

        def read_moved(which: int) -> float:
            return read(which) + (passed[0] if which == time.CLOCK_BOOTTIME else 0.0)

        with mock.patch("time.clock_gettime", read_moved):
            statuses = clock.run(self._call_before_and_after(passed))
        self.assertEqual(statuses, [503, 503, 200])

    async def _call_before_and_after(self, passed: list[float]) -> list[int]:
        target = FakeTarget("t1", in_turn(reject_with(BACKOFF_HEADERS), answer_ok))
        entry = Entry(BACKOFF_DOCUMENT)
        await entry.start(await target.start())
        statuses = [(await entry.call("/plain/a")).status for _ in range(2)]
        passed[0] += SUSPENDED_SECONDS
        statuses.append((await entry.call("/plain/a")).status)
        await entry.stop()
        await target.stop()
        return statuses


if __name__ == "__main__":
    unittest.main()
