"""Requests through an entry, with targets that fail in each way."""

import asyncio
import json
import unittest
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from unittest import mock

from damsonlane.admission._first_event import MAX_OBJECTIVE_SHARE
from damsonlane.cluster import PackedDocument
from damsonlane.codec import encode_bytes
from damsonlane.membership import BoxRecord
from damsonlane.pools import PieceOrder, PieceResult
from damsonlane.routes import EngineProperties, RoutingDocument
from damsonlane.versions import StreamOrigin
from damsonlaned.gateway import _attempts
from damsonlaned.gateway._stage_orders import StageOrders
from damsonlaned.gateway.tests.harness import (
    DOCUMENT,
    TEST_TIMEOUT_SECONDS,
    AnswerHandler,
    Entry,
    FakeTarget,
    answer_ok,
    answer_with,
    close_without_answer,
    hang,
    make_piece_handler,
    stream_events,
)
from damsonlaned.http import HttpRequest, ResponseWriter


@dataclass(frozen=True, kw_only=True)
class Case:
    """How two targets respond to a request, and what its caller gets."""

    name: str
    path: str
    #: Handlers of the first target that is tried, and of the second.
    answers: tuple[AnswerHandler, AnswerHandler]
    status: int
    #: Number of requests at both targets together.
    sent: int
    deadline_ms: int = 2000


CASES = (
    Case(name="well", path="/ping/a", answers=(answer_ok, answer_ok), status=200, sent=1),
    Case(
        name="safe, cut",
        path="/ping/a",
        answers=(close_without_answer, answer_ok),
        status=200,
        sent=2,
    ),
    Case(name="safe, silent", path="/ping/a", answers=(hang, answer_ok), status=200, sent=2),
    Case(
        name="safe, failed",
        path="/ping/a",
        answers=(answer_with(500, has_run=True), answer_ok),
        status=200,
        sent=2,
    ),
    Case(
        name="safe, failed twice: the target's own response is forwarded",
        path="/ping/a",
        answers=(answer_with(500, has_run=True), answer_with(500, has_run=True)),
        status=500,
        sent=2,
    ),
    Case(
        name="safe, cut twice",
        path="/ping/a",
        answers=(close_without_answer, close_without_answer),
        status=502,
        sent=2,
    ),
    Case(
        name="once, cut: it may have run",
        path="/once/a",
        answers=(close_without_answer, close_without_answer),
        status=502,
        sent=1,
    ),
    Case(
        name="once, failed: it has run",
        path="/once/a",
        answers=(answer_with(500, has_run=True), answer_ok),
        status=500,
        sent=1,
    ),
    Case(
        name="once, rejected: it has not run, so it may be retried",
        path="/once/a",
        answers=(answer_with(503, has_run=False), answer_ok),
        status=200,
        sent=2,
    ),
    Case(
        name="once, rejected by all: a guarantee that it has not run",
        path="/once/a",
        answers=(answer_with(503, has_run=False), answer_with(503, has_run=False)),
        status=503,
        sent=3,
    ),
    Case(
        name="once, rejected by one target with 429, which has not run it",
        path="/once/a",
        answers=(answer_with(429, has_run=False), answer_ok),
        status=200,
        sent=2,
    ),
    Case(
        name="once, another target at the address",
        path="/once/a",
        answers=(answer_with(421, has_run=False), answer_ok),
        status=200,
        sent=2,
    ),
    Case(
        name="once, silent until the deadline",
        path="/once/a",
        answers=(hang, hang),
        status=504,
        sent=1,
        deadline_ms=300,
    ),
)


#: An entry at another address.
OTHER_ENTRY = BoxRecord(
    box="entry-2",
    incarnation="i",
    started_at=0.0,
    data_centre="gulberg",
    address="127.0.0.1:8",
    standing="live",
    via="control-1",
)


def answer_in_turn(answers: list[AnswerHandler]) -> AnswerHandler:
    """Return a handler that uses some handlers in turn; the last one is repeated."""

    async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
        chosen = answers.pop(0) if len(answers) > 1 else answers[0]
        await chosen(request, writer)

    return answer


class GatewayTest(unittest.IsolatedAsyncioTestCase):
    async def start_entry(
        self, *stand_ins: FakeTarget, document: RoutingDocument = DOCUMENT, slack: float = 20.0
    ) -> Entry:
        entry = Entry(document, slack=slack)
        records = []
        for stand_in in stand_ins:
            records.append(await stand_in.start())
            self.addAsyncCleanup(stand_in.stop)
        await entry.start(*records)
        self.addAsyncCleanup(entry.stop)
        return entry

    async def test_each_case(self) -> None:
        for case in CASES:
            with self.subTest(case.name):
                # Whichever target is tried first uses the first handler.
                answers = list(case.answers)

                answer = answer_in_turn(answers)
                targets = [FakeTarget("t1", answer), FakeTarget("t2", answer)]
                entry = await self.start_entry(*targets)
                response = await entry.call(case.path, deadline_ms=case.deadline_ms)
                self.assertEqual(response.status, case.status)
                self.assertTrue(response.is_whole())
                self.assertEqual(sum(len(target.requests) for target in targets), case.sent)
                is_refusal = case.status in (502, 503, 504)
                self.assertEqual(b"Signature" in response.data, not is_refusal)
                self.assertEqual(b"Retry-After" in response.data, case.status == 503)

    async def test_a_target_gets_the_request_of_the_caller_and_the_time_left(self) -> None:
        target = FakeTarget("t1", answer_ok)
        entry = await self.start_entry(target)
        headers = "X-Own: kept\r\nDamsonlane-Organisation: forged\r\nDamsonlane-Target: forged\r\n"
        await entry.call("/once/a/b?c=d", headers=headers)
        request = target.requests[0]
        self.assertEqual((request.method, request.target), ("GET", "/once/a/b?c=d"))
        self.assertEqual(request.find(b"x-own"), "kept")
        self.assertEqual(request.find(b"damsonlane-organisation"), "florists")
        self.assertEqual(request.find(b"damsonlane-target"), "t1")
        self.assertIsNone(request.find(b"authorization"))
        self.assertLessEqual(int(request.find(b"damsonlane-deadline-ms") or 0), 2000)

    async def test_requests_that_are_not_allowed_are_refused_and_not_sent(self) -> None:
        target = FakeTarget("t1", answer_ok)
        entry = await self.start_entry(target)
        cases = (("/none/a", "florists-key", 404), ("/ping/a", "other", 401), ("/ping/a", "", 401))
        for path, key, status in cases:
            with self.subTest(path=path, key=key):
                self.assertEqual((await entry.call(path, key=key)).status, status)
        self.assertEqual(target.requests, [])
        self.assertEqual((await entry.call("/open/a", key="")).status, 200)

    async def test_the_target_is_released_when_the_caller_disconnects(self) -> None:
        target = FakeTarget("t1", hang)
        entry = await self.start_entry(target)
        _, writer = await entry.send("/once/a")
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not target.requests:
                await asyncio.sleep(0.01)
            writer.close()
            await target.gone.wait()
            while entry.callers.in_flight():
                await asyncio.sleep(0.01)

    async def test_draining_targets_get_no_new_requests(self) -> None:
        first, second = FakeTarget("t1", answer_ok), FakeTarget("t2", answer_ok)
        records = [await first.start(), await second.start()]
        self.addAsyncCleanup(first.stop)
        self.addAsyncCleanup(second.stop)
        entry = Entry()
        await entry.start(records[0].with_standing("leaving"), records[1])
        self.addAsyncCleanup(entry.stop)
        for _ in range(6):
            self.assertEqual((await entry.call("/ping/a")).status, 200)
        self.assertEqual((len(first.requests), len(second.requests)), (0, 6))

    async def test_a_request_that_was_not_sent_needs_no_retry_budget(self) -> None:
        """Guards against a box that uses up its retries for targets which it does not reach."""
        for _ in range(4):
            lost, target = FakeTarget("t1", answer_ok), FakeTarget("t2", answer_ok)
            entry = await self.start_entry(lost, target, slack=0.0)
            await lost.stop()
            self.assertEqual((await entry.call("/ping/a")).status, 200)

    async def test_retries_stop_when_their_budget_is_exhausted(self) -> None:
        targets = [FakeTarget("t1", close_without_answer), FakeTarget("t2", close_without_answer)]
        entry = await self.start_entry(*targets, slack=0.0)
        # On a busy machine, a connect time-out would consume the retry without a request.
        with mock.patch.object(_attempts, "CONNECT_SECONDS", TEST_TIMEOUT_SECONDS):
            for _ in range(10):
                await entry.call("/ping/a")
        # Ten first attempts allow one retry: seven tenths of a fifth of them.
        self.assertEqual(sum(len(target.requests) for target in targets), 11)

    # Event streams.

    async def test_a_stream_is_forwarded_completely(self) -> None:
        entry = await self.start_entry(FakeTarget("t1", stream_events(1, 3)))
        response = await entry.call("/chat/a")
        self.assertTrue(response.is_whole())
        for number in (1, 2, 3):
            self.assertEqual(response.data.count(f"token {number}".encode()), 1)

    async def test_a_broken_stream_is_resumed_where_it_broke(self) -> None:
        broken, whole = stream_events(1, 2, is_cut=True), stream_events(1, 5)
        answer = answer_in_turn([broken, whole])
        targets = [FakeTarget("t1", answer), FakeTarget("t2", answer)]
        entry = await self.start_entry(*targets)
        response = await entry.call("/chat/a")
        self.assertTrue(response.is_whole())
        for number in range(1, 6):
            self.assertEqual(response.data.count(f"data: token {number}\n".encode()), 1)
        self.assertNotIn(b"id: 99", response.data)
        self.assertEqual(response.data.count(b"HTTP/1.1 200"), 1)
        resumed = [request for target in targets for request in target.requests][-1]
        self.assertEqual(sum(len(target.requests) for target in targets), 2)
        self.assertIn(resumed.find(b"last-event-id"), ("2", None))

    async def test_a_broken_stream_waits_behind_new_requests_at_its_second_engine(self) -> None:
        broken, whole = stream_events(1, 2, is_cut=True), stream_events(1, 4)
        answer = answer_in_turn([broken, whole])
        targets = [FakeTarget("t1", answer), FakeTarget("t2", answer)]
        desk = replace(DOCUMENT.services[0], engine=EngineProperties(slots=4, cache_tokens=100_000))
        document = replace(
            DOCUMENT,
            routes=tuple(replace(route, priority=2) for route in DOCUMENT.routes),
            services=(desk, *DOCUMENT.services[1:]),
        )
        entry = await self.start_entry(*targets, document=document)
        self.assertTrue((await entry.call("/chat/a")).is_whole())
        urgencies = [
            request.find(b"damsonlane-urgency") for target in targets for request in target.requests
        ]
        self.assertEqual(sorted(urgencies, key=str), ["0", "2"])

    async def test_a_stream_that_may_not_be_resumed_is_cut_after_its_last_whole_event(self) -> None:
        target = FakeTarget("t1", stream_events(1, 2, is_cut=True))
        entry = await self.start_entry(target)
        response = await entry.call("/draft/a")
        self.assertFalse(response.is_whole())
        self.assertIn(b"token 2", response.data)
        self.assertNotIn(b"id: 99", response.data)
        self.assertEqual(len(target.requests), 1)

    # Stages.

    async def test_stages_run_in_order_and_their_results_are_released(self) -> None:
        desk = FakeTarget("t1", answer_ok)
        pool = FakeTarget("p1", make_piece_handler(lambda: pool.address), "pool")
        entry = await self.start_entry(desk, pool)
        headers = "Damsonlane-Pieces: 2,1\r\nDamsonlane-Material-Key: m\r\n"
        response = await entry.call("/staged/a", headers=headers)
        self.assertEqual(response.status, 200)
        self.assertEqual(desk.requests[0].find(b"damsonlane-inputs"), f"{pool.address}/r1-1-0")
        # Results released within a few milliseconds share a call, so the number of calls varies.
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while len(self._find_released(pool)) < 3:
                await asyncio.sleep(0.01)
        handles = [f"{pool.address}/r1-{name}" for name in ("0-0", "0-1", "1-0")]
        self.assertEqual(sorted(self._find_released(pool)), handles)

    def _find_released(self, pool: FakeTarget) -> list[str]:
        """Return the handles released at a pool target, once for each release."""
        calls = [request for request in pool.requests if request.path.endswith("/free")]
        return [handle for call in calls for handle in json.loads(call.body)["handles"]]

    async def test_stages_of_a_broken_stream_are_recomputed_after_the_objective(self) -> None:
        answer = answer_in_turn([stream_events(1, 2, is_cut=True), stream_events(1, 4)])
        pool = FakeTarget("p1", make_piece_handler(lambda: pool.address), "pool")
        entry = await self.start_entry(FakeTarget("t1", answer), FakeTarget("t2", answer), pool)
        aim_seconds: list[float] = []
        order_pieces = entry.pools.order

        def record_order(
            service: str, orders: Sequence[PieceOrder], on_read: Callable[[int], None]
        ) -> "list[asyncio.Future[PieceResult]]":
            aim_seconds.extend(order.aim_left_seconds for order in orders)
            return order_pieces(service, orders, on_read)

        with mock.patch.object(entry.pools, "order", record_order):
            headers = "Damsonlane-Pieces: 1\r\nDamsonlane-Material-Key: m\r\n"
            response = await entry.call("/staged-chat/a", headers=headers)
        self.assertTrue(response.is_whole())
        self.assertEqual(response.data.count(b"data: token"), 4)
        # The first order has the objective of 0.2 s; the second has until the deadline.
        self.assertLessEqual(aim_seconds[0], 0.2 * (1 - MAX_OBJECTIVE_SHARE))
        self.assertGreater(aim_seconds[1], 0.5)

    async def test_stages_of_a_stream_that_its_caller_takes_up_are_those_of_a_begun_one(
        self,
    ) -> None:
        """Guards against begun streams that are refused like new requests."""
        pool = FakeTarget("p1", make_piece_handler(lambda: pool.address), "pool")
        entry = await self.start_entry(FakeTarget("t1", stream_events(1, 4)), pool)
        origin = StreamOrigin(attempt="r0", service="desk", version="")
        entry.origins.record_told([origin], TEST_TIMEOUT_SECONDS)
        ordered: list[PieceOrder] = []
        order_pieces = entry.pools.order

        def record_order(
            service: str, orders: Sequence[PieceOrder], on_read: Callable[[int], None]
        ) -> "list[asyncio.Future[PieceResult]]":
            ordered.extend(orders)
            return order_pieces(service, orders, on_read)

        headers = "Damsonlane-Pieces: 1\r\nDamsonlane-Material-Key: m\r\n"
        with (
            mock.patch.object(entry.pools, "order", record_order),
            mock.patch.object(StageOrders, "_estimate_first_event", return_value=1.2),
        ):
            await entry.call("/staged-chat/a", headers=headers, request_id="new")
            resumed = f"{headers}Last-Event-Id: 2\r\nDamsonlane-Resumes: r0\r\n"
            response = await entry.call("/staged-chat/a", headers=resumed, request_id="r1")
        self.assertTrue(response.is_whole())
        self.assertEqual(response.data.count(b"data: token"), 2)
        self.assertEqual([order.is_begun for order in ordered], [False, True])
        # They go before those of new requests, whatever their route.
        self.assertGreater(ordered[0].rank, 0)
        self.assertEqual(ordered[1].rank, 0)
        # An objective that can't be met would put it behind them all the same.
        self.assertGreater(ordered[1].aim_left_seconds, 0.5)

    async def test_stages_that_fail_after_a_broken_run_give_no_guarantee(self) -> None:
        pieces = make_piece_handler(lambda: pool.address)
        pool_answer = answer_in_turn([pieces, answer_with(500, has_run=True)])
        pool = FakeTarget("p1", pool_answer, "pool")
        answer = answer_in_turn([close_without_answer, answer_with(409, has_run=False)])
        entry = await self.start_entry(FakeTarget("t1", answer), FakeTarget("t2", answer), pool)
        headers = "Damsonlane-Pieces: 1\r\nDamsonlane-Material-Key: m\r\n"
        response = await entry.call("/staged-chat/a", headers=headers)
        self.assertEqual(response.status, 502)
        self.assertIn(b'"run": "unknown"', response.data)

    async def test_a_request_whose_stages_fail_is_refused_and_has_not_run(self) -> None:
        desk = FakeTarget("t1", answer_ok)
        pool = FakeTarget("p1", answer_with(500, has_run=True), "pool")
        entry = await self.start_entry(desk, pool)
        headers = "Damsonlane-Pieces: 1,1\r\nDamsonlane-Material-Key: m\r\n"
        response = await entry.call("/staged/a", headers=headers, deadline_ms=700)
        self.assertEqual(response.status, 503)
        self.assertEqual(desk.requests, [])

    async def test_an_entry_that_control_does_not_list_owns_no_pool(self) -> None:
        entry = await self.start_entry(FakeTarget("t1", answer_ok))
        self.assertEqual(entry.pools.find_owner("pool"), "127.0.0.1:9")
        entry.view.put_entries((OTHER_ENTRY,))
        self.assertEqual(entry.pools.find_owner("pool"), OTHER_ENTRY.address)
        entry.view.put_entries((replace(OTHER_ENTRY, standing="leaving"),))
        self.assertEqual(entry.pools.find_owner("pool"), "127.0.0.1:9")

    async def test_a_slow_pool_target_gets_no_calls_while_others_work(self) -> None:
        slow = FakeTarget("p1", make_piece_handler(lambda: slow.address, seconds=0.4), "pool")
        quick = FakeTarget("p2", make_piece_handler(lambda: quick.address), "pool")
        entry = await self.start_entry(FakeTarget("t1", answer_ok), slow, quick)
        headers = "Damsonlane-Pieces: 1,0\r\nDamsonlane-Material-Key: m\r\n"
        for _ in range(12):
            await entry.call("/staged/a", headers=headers)
        calls = [request for request in slow.requests if not request.path.endswith("/free")]
        self.assertLessEqual(len(calls), 1)

    # Documents.

    async def test_an_older_document_never_replaces_a_newer_one(self) -> None:
        entry = await self.start_entry(FakeTarget("t1", answer_ok))
        newer = replace(DOCUMENT, version=5, routes=())
        for document in (newer, DOCUMENT):
            text = encode_bytes(document, RoutingDocument)
            entry.view.put_document(PackedDocument.pack(document.version, text))
        self.assertEqual(entry.view.version(), 5)
        self.assertEqual((await entry.call("/ping/a")).status, 404)


if __name__ == "__main__":
    unittest.main()
