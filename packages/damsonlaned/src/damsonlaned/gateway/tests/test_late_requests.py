"""Requests served late, and requests that can't end in time, through an entry."""

import asyncio
import unittest
from collections.abc import Sequence
from dataclasses import replace
from unittest import mock

from damsonlane.lateness._durations import MIN_SAMPLES
from damsonlane.pools import PieceOrder, PieceResult
from damsonlane.settings import LatePolicy
from damsonlaned.gateway.tests.harness import (
    DOCUMENT,
    AnswerHandler,
    Entry,
    FakeTarget,
    Response,
    answer_ok,
    make_piece_handler,
    read_id,
    stream_events,
)
from damsonlaned.http import HttpRequest, HttpResponse, ResponseWriter
from damsonlaned.lateness import LateRequests

#: Every request of these tests allows as many output tokens, so that one forecast applies.
TOKENS = 280
HEADERS = f"Damsonlane-Tokens: 10,{TOKENS}\r\n"
STAGED_HEADERS = HEADERS + "Damsonlane-Pieces: 1,1\r\nDamsonlane-Material-Key: m\r\n"


class BackoffOnce:
    """A target that requests back-off in response to its first request."""

    def __init__(self) -> None:
        self._has_rejected = False

    async def answer(self, request: HttpRequest, writer: ResponseWriter) -> None:
        if self._has_rejected:
            await answer_ok(request, writer)
            return
        self._has_rejected = True
        headers = (
            (b"Damsonlane-Request-Id", read_id(request)),
            (b"Damsonlane-Run-No", b"1"),
            (b"Retry-After", b"0.2"),
        )
        writer.send_response(HttpResponse(status=503, headers=headers))


class LateRequestsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, policy: LatePolicy, answer: AnswerHandler = answer_ok) -> Entry:
        self.desk = FakeTarget("t1", answer)
        pool = FakeTarget("p1", make_piece_handler(lambda: pool.address), "pool")
        routes = tuple(replace(route, aim_seconds=0.0) for route in DOCUMENT.routes)
        entry = Entry(replace(DOCUMENT, routes=routes), late_policy=policy)
        await entry.start(await self.desk.start(), await pool.start())
        for stop in (self.desk.stop, pool.stop, entry.stop):
            self.addAsyncCleanup(stop)
        self.orders: list[PieceOrder] = []
        order = entry.pools.order

        def record(
            service: str, orders: Sequence[PieceOrder], *rest: object
        ) -> "list[asyncio.Future[PieceResult]]":
            self.orders.extend(orders)
            return order(service, orders)

        entry.pools.order = record  # type: ignore[method-assign,assignment]
        return entry

    def learn(self, entry: Entry, route: str, seconds: float) -> None:
        for _ in range(MIN_SAMPLES):
            entry.late_requests.record_duration(route, TOKENS, seconds)

    def read_metrics(self, entry: Entry) -> list[str]:
        names = ("damsonlane_served_late_total{", "damsonlane_cannot_end_total{")
        lines = entry.metrics.render().decode().splitlines()
        return [line for line in lines if line.startswith(names)]

    def check_refusal(self, response: Response) -> None:
        self.assertEqual(response.status, 503)
        self.assertIn(b"Retry-After", response.data)
        self.assertIn(b'"run": "no"', response.data)

    async def test_a_late_answer_is_counted_by_route_and_logged(self) -> None:
        entry = await self.start("serve")
        with self.assertLogs("damsonlaned.lateness._late_requests", "INFO") as logs:
            response = await entry.call("/staged/a", headers=STAGED_HEADERS)
        self.assertEqual(response.status, 200)
        self.assertEqual([record.getMessage() for record in logs.records], ["served late"])
        line = 'damsonlane_served_late_total{route="staged"} 1'
        self.assertEqual(self.read_metrics(entry), [line])
        self.assertEqual([order.may_be_late for order in self.orders], [True, True])

    async def test_a_request_that_cannot_end_in_time_is_not_begun(self) -> None:
        """Guards against stages and prompts whose answer nobody waits for any more."""
        for path, route, headers in (
            ("/staged-chat/a", "staged chat", STAGED_HEADERS.replace("1,1", "1")),
            ("/chat/a", "chat", HEADERS),
            ("/once/a", "once", HEADERS),
        ):
            with self.subTest(path):
                entry = await self.start("serve")
                self.learn(entry, route, 60.0)
                with self.assertLogs("damsonlaned.lateness._late_requests", "INFO") as logs:
                    self.check_refusal(await entry.call(path, headers=headers))
                self.assertEqual(len(logs.records), 1)
                self.assertEqual((self.orders, self.desk.requests), ([], []))
                line = f'damsonlane_cannot_end_total{{route="{route}"}} 1'
                self.assertEqual(self.read_metrics(entry), [line])

    async def test_a_request_that_lost_its_time_in_its_stages_is_not_sent(self) -> None:
        entry = await self.start("serve")
        with mock.patch.object(LateRequests, "find_duration", side_effect=[0.0, 0.0, 60.0]):
            headers = STAGED_HEADERS.replace("1,1", "1")
            self.check_refusal(await entry.call("/staged-chat/a", headers=headers))
        self.assertEqual((len(self.orders), self.desk.requests), (1, []))

    async def test_a_request_with_results_waits_for_a_target_beyond_its_objective(self) -> None:
        """Otherwise its results would be thrown away although it could be served late."""
        cases: tuple[tuple[LatePolicy, int], ...] = (("refuse", 503), ("serve", 200))
        for policy, status in cases:
            with self.subTest(policy):
                entry = await self.start(policy, BackoffOnce().answer)
                response = await entry.call("/staged/a", headers=STAGED_HEADERS)
                self.assertEqual(response.status, status)

    async def test_a_new_route_is_served_while_nothing_is_learned(self) -> None:
        entry = await self.start("serve", stream_events(1, 3))
        self.assertEqual((await entry.call("/chat/a", headers=HEADERS)).status, 200)
        self.learn(entry, "draft", 60.0)
        self.assertEqual((await entry.call("/chat/a", headers=HEADERS)).status, 200)

    async def test_durations_are_learned_from_complete_streams_only(self) -> None:
        for is_cut in (False, True):
            with self.subTest(is_cut=is_cut):
                entry = await self.start("serve", stream_events(1, 3, is_cut=is_cut))
                for _ in range(MIN_SAMPLES):
                    await entry.call("/draft/a", headers=HEADERS)
                duration = entry.late_requests.find_duration("draft", TOKENS)
                self.assertEqual(duration is None, is_cut)

    async def test_an_answer_that_has_begun_is_delivered(self) -> None:
        """A forecast that grew since the first event must not end the stream."""

        async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
            self.learn(entry, "chat", 60.0)
            is_resumed = request.find(b"last-event-id") is not None
            await stream_events(1, 3 if is_resumed else 2, is_cut=not is_resumed)(request, writer)

        entry = await self.start("serve", answer)
        response = await entry.call("/chat/a", headers=HEADERS)
        self.assertIn(b"token 3", response.data)

    async def test_without_the_policy_nothing_is_forecast_logged_or_ordered_late(self) -> None:
        entry = await self.start("refuse")
        for path, route, headers in (
            ("/chat/a", "chat", HEADERS),
            ("/once/a", "once", HEADERS),
            ("/staged/a", "staged", STAGED_HEADERS),
        ):
            self.learn(entry, route, 60.0)
            with self.assertNoLogs("damsonlaned.lateness._late_requests"):
                self.assertEqual((await entry.call(path, headers=headers)).status, 200)
        self.assertEqual([order.may_be_late for order in self.orders], [False, False])
        self.assertEqual(self.read_metrics(entry), [])


if __name__ == "__main__":
    unittest.main()
