"""Callers that don't read, with real connections and a budget of buffered bytes."""

import unittest
from unittest import mock

from damsonlane.buffers import EvictionReason, _budget
from damsonlaned.gateway.tests.harness import (
    Entry,
    FakeTarget,
    make_piece_handler,
    read_id,
)
from damsonlaned.gateway.tests.test_links import wait_until
from damsonlaned.http import BufferGuard, HttpHead, HttpRequest, HttpResponse, ResponseWriter

LONG_MS = 60_000
EVENT = b"data: " + b"x" * 8_000 + b"\n\n"
#: Length of the finite streams and whole responses in these tests, in bytes.
WHOLE_BYTES = 2_000_000


async def stream_forever(request: HttpRequest, writer: ResponseWriter) -> None:
    start_stream(request, writer)
    while True:
        await writer.send(EVENT)


async def stream_some(request: HttpRequest, writer: ResponseWriter) -> None:
    start_stream(request, writer)
    for _ in range(WHOLE_BYTES // len(EVENT)):
        await writer.send(EVENT)
    writer.finish()


async def answer_whole(request: HttpRequest, writer: ResponseWriter) -> None:
    headers = ((b"Damsonlane-Request-Id", read_id(request)), (b"Signature", b"s"))
    writer.send_response(HttpResponse(status=200, headers=headers, body=b"x" * WHOLE_BYTES))


def start_stream(request: HttpRequest, writer: ResponseWriter) -> None:
    headers = (
        (b"Damsonlane-Request-Id", read_id(request)),
        (b"Content-Type", b"text/event-stream"),
        (b"Signature", b"s"),
    )
    writer.start(HttpHead(status=200, headers=headers))


class SlowCallerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.reasons: list[EvictionReason] = []
        self.guard = BufferGuard(20 * 2**20, self.reasons.append)

    async def start(self, guard: BufferGuard | None, **targets: FakeTarget) -> Entry:
        entry = Entry(guard=guard)
        self.addAsyncCleanup(entry.stop)
        records = []
        for target in targets.values():
            records.append(await target.start())
            self.addAsyncCleanup(target.stop)
        await entry.start(*records)
        return entry

    async def test_the_target_and_the_stages_of_a_caller_that_does_not_read_are_cancelled(
        self,
    ) -> None:
        """Guards against a target that waits for a caller, and against results held for it."""
        pool = FakeTarget("p1", make_piece_handler(lambda: pool.address), "pool")
        desk = FakeTarget("t1", stream_forever)
        entry = await self.start(self.guard, pool=pool, desk=desk)
        headers = "Damsonlane-Pieces: 1\r\nDamsonlane-Material-Key: m\r\n"
        with mock.patch.object(_budget, "BLOCKED_SECONDS", 0.3):
            reader, writer = await entry.send(
                "/staged-chat/a", headers=headers, deadline_ms=LONG_MS
            )
            self.addCleanup(writer.close)
            await wait_until(desk.gone.is_set)
        self.assertEqual(self.reasons, ["blocked"])
        await wait_until(lambda: any(call.path.endswith("/free") for call in pool.requests))
        await wait_until(lambda: self.guard.budget.total == 0)
        await wait_until(lambda: entry.callers.in_flight() == 0)

    async def test_without_a_budget_the_target_waits_until_the_deadline(self) -> None:
        """Guards against callers that are disconnected earlier though the setting is off."""
        desk = FakeTarget("t1", stream_forever)
        entry = await self.start(None, desk=desk)
        _, writer = await entry.send("/chat/a", deadline_ms=1_500)
        self.addCleanup(writer.close)
        await wait_until(desk.gone.is_set)
        self.assertEqual(entry.callers.in_flight(), 0)

    async def test_responses_are_delivered_whole_under_pressure(self) -> None:
        """Guards against lost bytes, and against quick callers that pay for slow ones."""
        limit = 4 * 2**20
        self.guard = BufferGuard(limit, self.reasons.append)
        stream, whole = FakeTarget("t1", stream_some), FakeTarget("t2", answer_whole)
        for target, path in ((stream, "/chat/a"), (whole, "/open/a")):
            with self.subTest(path):
                entry = await self.start(self.guard, target=target)
                for _ in range(12):
                    _, writer = await entry.send(path, deadline_ms=LONG_MS)
                    self.addCleanup(writer.close)
                for _ in range(4):
                    response = await entry.call(path, deadline_ms=LONG_MS)
                    self.assertEqual(response.status, 200)
                    self.assertTrue(response.is_whole())
                    self.assertLessEqual(self.guard.budget.total, limit)
        self.assertIn("budget", self.reasons)

    async def test_one_stream_gets_all_bytes_with_a_budget(self) -> None:
        """Guards against reading that pauses and is not resumed."""
        self.guard = BufferGuard(400_000, self.reasons.append)
        entry = await self.start(self.guard, desk=FakeTarget("t1", stream_some))
        for _ in range(3):
            response = await entry.call("/chat/a", deadline_ms=LONG_MS)
            self.assertEqual(response.data.count(EVENT), WHOLE_BYTES // len(EVENT))
        await wait_until(lambda: self.guard.budget.total == 0)
        self.assertEqual(self.reasons, [])


if __name__ == "__main__":
    unittest.main()
