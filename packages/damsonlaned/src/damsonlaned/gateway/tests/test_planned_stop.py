"""Requests at an entry that stops as planned."""

import asyncio
import os
import signal
import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

from damsonlane.lateness._durations import MIN_SAMPLES
from damsonlane.membership import _owners
from damsonlane_rpc import RpcService
from damsonlaned._process import TlsContexts
from damsonlaned.gateway import _node, _process
from damsonlaned.gateway.tests.harness import (
    TEST_TIMEOUT_SECONDS,
    AnswerHandler,
    FakeTarget,
    answer_ok,
    hang,
    make_box_record,
    make_piece_handler,
    read_id,
)
from damsonlaned.gateway.tests.stopping_box import Answer, StoppingBox, render_request
from damsonlaned.gateway.tests.test_links import serve, wait_until
from damsonlaned.http import HttpHead, HttpRequest, ResponseWriter

#: Grace time of the entries, and how long they take new requests, in seconds.
STOP_SECONDS = 3.0
ACCEPT_SECONDS = 1.0
#: Callers that send one request after the other until nobody listens.
CALLERS = 24
#: Seconds that a request of theirs runs, and until one of them comes back after a refusal.
RUN_SECONDS = 0.1
RETRY_SECONDS = 0.05
#: Seconds that a piece takes whose owner stops.
PIECE_SECONDS = 0.5

STAGED_HEADERS = "Damsonlane-Pieces: 1,1\r\nDamsonlane-Material-Key: m\r\n"


def answer_after(seconds: float) -> AnswerHandler:
    async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
        await asyncio.sleep(seconds)
        await answer_ok(request, writer)

    return answer


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


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.enterContext(mock.patch.object(_node, "DRAIN_ACCEPT_SECONDS", ACCEPT_SECONDS))

    async def start(
        self, answer: AnswerHandler, *others: FakeTarget, stop_seconds: float = STOP_SECONDS
    ) -> StoppingBox:
        self.target = FakeTarget("t1", answer)
        records = []
        for target in (self.target, *others):
            records.append(replace(await target.start(), slots=2 * CALLERS))
            self.addAsyncCleanup(target.stop)
        self.records = records
        return await self.start_box(stop_seconds)

    async def start_box(self, stop_seconds: float = STOP_SECONDS) -> StoppingBox:
        """Start an entry with the same targets."""
        box = StoppingBox(stop_seconds)
        self.addAsyncCleanup(box.stop)
        await box.start(*self.records)
        return box

    async def call_until_gone(
        self, box: StoppingBox, caller: int, statuses: dict[str, int]
    ) -> None:
        """Send one request after the other until nobody listens; record their statuses."""
        number = 0
        while True:
            try:
                reader, writer = await box.connect()
            except OSError:
                return
            is_last = False
            while not is_last:
                request_id = f"{caller}-{number}"
                number += 1
                path = "/once/a" if number % 2 else "/ping/a"
                writer.write(render_request(path, request_id))
                answer = await Answer.read(reader)
                statuses[request_id], is_last = answer.status, answer.is_last
            writer.close()
            await asyncio.sleep(RETRY_SECONDS)

    async def stop_below_crowd(self, *boxes: StoppingBox) -> dict[str, int]:
        """Stop entries one after the other, with callers at each; return the statuses."""
        statuses: dict[str, int] = {}
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS), asyncio.TaskGroup() as tasks:
            for caller in range(CALLERS):
                box = boxes[caller % len(boxes)]
                tasks.create_task(self.call_until_gone(box, caller, statuses))
            await wait_until(lambda: len(self.target.requests) > CALLERS)
            for box in boxes:
                await box.stop()
        return statuses

    def assert_truthful(self, statuses: dict[str, int]) -> None:
        """Check that all requests were answered, and that none ran that the entry refused."""
        # One that was taken for an answer in the last moment may get 504 instead.
        run = {read_id(request).decode() for request in self.target.requests}
        self.assertEqual([name for name, status in statuses.items() if not status], [])
        self.assertLessEqual(set(statuses.values()), {200, 503, 504})
        self.assertEqual({name for name, status in statuses.items() if status == 503} & run, set())

    async def test_requests_in_every_phase_of_a_stop_are_answered(self) -> None:
        """Guards against connections that are closed as the process ends, with requests on them."""
        box = await self.start(answer_after(RUN_SECONDS))
        self.assert_truthful(await self.stop_below_crowd(box))

    async def test_requests_at_two_entries_that_stop_in_series_are_answered(self) -> None:
        box = await self.start(answer_after(RUN_SECONDS))
        other = await self.start_box()
        self.assert_truthful(await self.stop_below_crowd(box, other))

    async def stop_during(
        self, box: StoppingBox, path: str, has_begun: Callable[[], bool], headers: str = ""
    ) -> Answer:
        """Stop an entry that serves a request; return the answer to that."""
        caller = asyncio.create_task(box.call(path, headers=headers))
        await wait_until(has_begun)
        await box.stop()
        return await caller

    async def test_a_request_longer_than_the_grace_is_told_that_it_may_have_run(self) -> None:
        """Guards against a connection that is closed without an answer at the end of the grace."""
        box = await self.start(hang)
        answer = await self.stop_during(box, "/once/a", lambda: bool(self.target.requests))
        self.assertEqual(answer.status, 504)
        self.assertIn(b'"run": "unknown"', answer.body)
        await wait_until(self.target.gone.is_set)

    async def test_a_stream_longer_than_the_grace_does_not_look_complete(self) -> None:
        box = await self.start(stream_without_end)
        answer = await self.stop_during(box, "/draft/a", lambda: bool(self.target.requests))
        self.assertEqual(answer.status, 200)
        self.assertIn(b"data: token", answer.body)
        self.assertFalse(answer.is_whole)

    async def test_a_request_whose_stages_outlast_the_grace_has_not_run(self) -> None:
        """Guards against a request that is not sent yet and gets no answer, or is sent later."""
        pool = FakeTarget("p1", hang, "pool")
        box = await self.start(answer_ok, pool)
        answer = await self.stop_during(
            box, "/staged/a", lambda: bool(pool.requests), STAGED_HEADERS
        )
        self.assertEqual(answer.status, 503)
        self.assertIn(b"retry-after", answer.head)
        self.assertEqual(self.target.requests, [])

    async def test_a_request_that_would_outlast_the_grace_is_refused_at_once(self) -> None:
        """Guards against requests that are taken late and can't be answered any more."""

        async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
            await asyncio.sleep(STOP_SECONDS if request.path.startswith("/once") else 0.0)
            await answer_ok(request, writer)

        box = await self.start(answer)
        calls = [box.call(f"/once/{number}", str(number)) for number in range(CALLERS)]
        statuses = [answer.status for answer in await asyncio.gather(*calls)]
        self.assertGreaterEqual(statuses.count(200), MIN_SAMPLES)
        stopping = asyncio.create_task(box.stop())
        await wait_until(lambda: not box.node.is_ready())
        refused = await box.call("/once/late")
        self.assertEqual((await box.call("/ping/late")).status, 200)
        self.assertEqual(refused.status, 503)
        self.assertIn(b"retry-after", refused.head)
        self.assertNotIn("/once/late", [request.path for request in self.target.requests])
        await stopping

    async def test_new_requests_are_refused_long_before_a_short_grace_ends(self) -> None:
        """Guards against an entry that takes requests until its very end."""
        self.enterContext(mock.patch.object(_node, "DRAIN_ACCEPT_SECONDS", 2.5))
        box = await self.start(answer_after(0.5), stop_seconds=2.0)
        statuses = await self.stop_below_crowd(box)
        self.assert_truthful(statuses)
        self.assertIn(503, statuses.values())

    async def test_pieces_of_other_entries_are_completed_before_their_owner_ends(self) -> None:
        """Guards against work that is done twice since the owner of a pool ended in between."""
        make_piece = make_piece_handler(lambda: pool.address, seconds=PIECE_SECONDS)
        is_made = asyncio.Event()

        async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
            await make_piece(request, writer)
            is_made.set()

        pool = FakeTarget("p1", answer, "pool")
        self.enterContext(mock.patch.object(_node, "DRAIN_ACCEPT_SECONDS", 0.0))
        owner = await self.start(answer_ok, pool)
        other = await self.start_box()
        # Seniority decides who may own a pool, so others make both eligible.
        addresses = (owner.address, other.address, "127.0.0.1:1", "127.0.0.1:2")
        with mock.patch.object(
            _owners, "_hash_weight", lambda _, address: b"1" if address == owner.address else b"0"
        ):
            for box in (owner, other):
                await serve(self, box.address, RpcService(dict(box.node.handlers())))
            for box in (owner, other):
                box.list_entries(*map(make_box_record, addresses))
            headers = "Damsonlane-Pieces: 1\r\nDamsonlane-Material-Key: m\r\n"
            caller = asyncio.create_task(other.call("/staged-chat/a", headers=headers))
            await wait_until(lambda: bool(pool.requests))
            await owner.stop()
            self.assertTrue(is_made.is_set())
            self.assertEqual((await caller).status, 200)
        calls = [request for request in pool.requests if not request.path.endswith("/free")]
        self.assertEqual(len(calls), 1)

    async def test_a_second_sigterm_changes_nothing(self) -> None:
        """Guards against a stop that is cut short by another one."""
        box = await self.start(answer_after(2 * ACCEPT_SECONDS))
        await box.stop()
        box = StoppingBox(STOP_SECONDS)
        with mock.patch.object(_process, "GatewayNode", lambda *_: box.node):
            run = asyncio.create_task(
                _process.run_gateway(box.settings, box.gateway, TlsContexts(box.settings), None)
            )
            await wait_until(lambda: signal.getsignal(signal.SIGTERM) is not signal.SIG_DFL)
            box.put_lists(*self.records)
            caller = asyncio.create_task(box.call("/once/a"))
            await wait_until(lambda: bool(self.target.requests))
            os.kill(os.getpid(), signal.SIGTERM)
            await wait_until(lambda: not box.node.is_ready())
            os.kill(os.getpid(), signal.SIGTERM)
            self.assertEqual((await caller).status, 200)
            await run


if __name__ == "__main__":
    unittest.main()
