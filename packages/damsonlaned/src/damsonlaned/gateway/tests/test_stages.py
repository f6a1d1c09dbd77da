"""Tests when the results of a request's stages are freed, with a scripted pool target."""

import asyncio
import json
import unittest
from collections.abc import Callable
from dataclasses import dataclass, replace
from unittest import mock

from damsonlane.routes import RoutingDocument
from damsonlaned.gateway import _input_read_timer
from damsonlaned.gateway._pool_client import PoolClient
from damsonlaned.gateway.tests.harness import (
    DOCUMENT,
    TEST_TIMEOUT_SECONDS,
    AnswerHandler,
    Entry,
    FakeTarget,
    answer_ok,
    close_without_answer,
    make_piece_handler,
)
from damsonlaned.http import HttpRequest, HttpResponse, ResponseWriter

#: Headers of every request in these tests: two stages of one piece each.
HEADERS = "Damsonlane-Pieces: 1,1\r\nDamsonlane-Material-Key: m\r\n"


def make_document() -> RoutingDocument:
    """Return the default document with long timeouts for pool calls and requests."""
    services = tuple(
        replace(service, pool=replace(service.pool, call_seconds=TEST_TIMEOUT_SECONDS / 4))
        if service.pool is not None
        else service
        for service in DOCUMENT.services
    )
    routes = tuple(
        replace(
            route, timeout_seconds=4 * TEST_TIMEOUT_SECONDS, aim_seconds=4 * TEST_TIMEOUT_SECONDS
        )
        for route in DOCUMENT.routes
    )
    return replace(DOCUMENT, services=services, routes=routes)


@dataclass(frozen=True, kw_only=True)
class ReceivedCall:
    """A call that the pool target received."""

    #: The stage that it computes, or None for a call that frees results.
    stage: int | None
    #: Handles of the results that it frees.
    freed: tuple[str, ...] = ()


async def lose_inputs(request: HttpRequest, writer: ResponseWriter) -> None:
    """Answer that the inputs of every piece are lost."""
    pieces = [{"fault": "lost-input"} for _ in json.loads(request.body)["pieces"]]
    writer.send_response(HttpResponse(status=200, body=json.dumps({"pieces": pieces}).encode()))


class Pool:
    """A pool target that records its calls and computes pieces, or answers as scripted."""

    def __init__(self) -> None:
        self._second: list[AnswerHandler] = []
        self.calls: list[ReceivedCall] = []
        self.freed = asyncio.Event()
        self.target = FakeTarget("p1", self._answer, "pool")
        self.make = make_piece_handler(lambda: self.target.address)

    def answer_second_stage(self, *answers: AnswerHandler) -> None:
        """Set the answers to calls of the second stage, in turn; the last one repeats."""
        self._second = list(answers)

    def has_freed(self, name: str) -> bool:
        """Return whether a result was freed, by the end of its handle."""
        return any(handle.endswith(name) for call in self.calls for handle in call.freed)

    def stages(self) -> list[int]:
        """Return the stages of the calls that compute pieces."""
        return [call.stage for call in self.calls if call.stage is not None]

    async def make_once_freed(self, request: HttpRequest, writer: ResponseWriter) -> None:
        """Compute the pieces once results were freed."""
        await self.freed.wait()
        await self.make(request, writer)

    async def cut_once_freed(self, request: HttpRequest, writer: ResponseWriter) -> None:
        """Abort the answer once results were freed."""
        await self.freed.wait()
        await close_without_answer(request, writer)

    async def _answer(self, request: HttpRequest, writer: ResponseWriter) -> None:
        body = json.loads(request.body)
        if request.path.endswith("/free"):
            self.calls.append(ReceivedCall(stage=None, freed=tuple(body["handles"])))
            self.freed.set()
            await self.make(request, writer)
            return
        stage = body["pieces"][0]["stage"]
        self.calls.append(ReceivedCall(stage=stage))
        answer = self.make if stage == 0 else self._next_answer()
        await answer(request, writer)

    def _next_answer(self) -> AnswerHandler:
        """Return the answer to the next call of the second stage."""
        return self._second.pop(0) if len(self._second) > 1 else self._second[0]


class EarlyFreeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        patch = mock.patch.object(_input_read_timer, "READ_SECONDS", 0.0)
        patch.start()
        self.addCleanup(patch.stop)
        self.desk = FakeTarget("t1", answer_ok)

    async def call(self, pool: Pool, *, has_queue: bool = True) -> int:
        patch = mock.patch.object(PoolClient, "has_queue", return_value=has_queue)
        patch.start()
        self.addCleanup(patch.stop)
        records = [await self.desk.start(), await pool.target.start()]
        entry = Entry(make_document())
        await entry.start(*records)
        for stop in (self.desk.stop, pool.target.stop, entry.stop):
            self.addAsyncCleanup(stop)
        deadline = int(4_000 * TEST_TIMEOUT_SECONDS)
        return (await entry.call("/staged/a", headers=HEADERS, deadline_ms=deadline)).status

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_inputs_are_freed_while_the_pieces_that_read_them_run(self) -> None:
        pool = Pool()
        pool.answer_second_stage(pool.make_once_freed)
        self.assertEqual(await self.call(pool), 200)
        self.assertEqual([call.stage for call in pool.calls[:3]], [0, 1, None])
        self.assertTrue(pool.calls[2].freed[0].endswith("r1-0-0"))
        # The result of the second stage is the input of the last step, and is freed after it.
        await self.wait_for(lambda: len(pool.calls) == 4)
        self.assertTrue(pool.calls[3].freed[0].endswith("r1-1-0"))

    async def test_stages_rerun_if_a_call_fails_after_its_inputs_were_freed(self) -> None:
        pool = Pool()
        pool.answer_second_stage(pool.cut_once_freed, lose_inputs, pool.make)
        self.assertEqual(await self.call(pool), 200)
        self.assertEqual(pool.stages(), [0, 1, 1, 0, 1])
        self.assertEqual(len(self.desk.requests), 1)

    async def test_inputs_are_kept_for_a_retry_if_no_piece_waits_for_memory(self) -> None:
        pool = Pool()
        pool.answer_second_stage(close_without_answer, pool.make)
        self.assertEqual(await self.call(pool, has_queue=False), 200)
        self.assertEqual(pool.stages(), [0, 1, 1])
        self.assertEqual(len(self.desk.requests), 1)

    async def test_results_are_freed_while_the_last_step_reads_its_prompt(self) -> None:
        pool = Pool()
        pool.answer_second_stage(pool.make)

        async def answer_once_freed(request: HttpRequest, writer: ResponseWriter) -> None:
            await self.wait_for(lambda: pool.has_freed("r1-1-0"))
            await answer_ok(request, writer)

        self.desk = FakeTarget("t1", answer_once_freed)
        self.assertEqual(await self.call(pool), 200)
        self.assertEqual(pool.stages(), [0, 1])

    async def test_stages_rerun_if_the_last_step_fails_after_its_inputs_were_freed(self) -> None:
        pool = Pool()
        pool.answer_second_stage(pool.make)

        async def cut_once_freed(request: HttpRequest, writer: ResponseWriter) -> None:
            await self.wait_for(lambda: pool.has_freed("r1-1-0"))
            await (close_without_answer if len(self.desk.requests) == 1 else answer_ok)(
                request, writer
            )

        self.desk = FakeTarget("t1", cut_once_freed)
        self.assertEqual(await self.call(pool), 200)
        self.assertEqual(pool.stages(), [0, 1, 0, 1])
        self.assertEqual(len(self.desk.requests), 2)

    async def test_results_are_kept_for_another_target_if_no_piece_waits(self) -> None:
        pool = Pool()
        pool.answer_second_stage(pool.make)

        async def cut_first(request: HttpRequest, writer: ResponseWriter) -> None:
            await (close_without_answer if len(self.desk.requests) == 1 else answer_ok)(
                request, writer
            )

        self.desk = FakeTarget("t1", cut_first)
        self.assertEqual(await self.call(pool, has_queue=False), 200)
        self.assertEqual(pool.stages(), [0, 1])
        self.assertEqual(len(self.desk.requests), 2)


if __name__ == "__main__":
    unittest.main()
