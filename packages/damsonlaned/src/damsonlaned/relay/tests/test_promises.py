"""What a refusal promises holds for every entry and target that the request was sent to before."""

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from damsonlane_rpc import RelayRequest
from damsonlaned.gateway.tests.harness import AnswerHandler, answer_with, close_without_answer
from damsonlaned.http import HttpRequest, ResponseWriter
from damsonlaned.relay._messages import RelayedRequest
from damsonlaned.relay.tests.test_relay import RelayTestCase, count_runs
from damsonlaned.relay.tests.test_unreachable_targets import make_targets

DEADLINE_MS = 1_500
REJECT = answer_with(503, has_run=False)


class PromiseTest(RelayTestCase):
    """The first entry sends a request to a target, and then loses its path to all of them."""

    async def lose_path(self, path: str, *, is_broken: bool, rest: AnswerHandler = REJECT) -> bytes:
        """Return the response to a request whose entry is cut off while a target has it.

        Args:
            path: path of the request.
            rest: what targets do when it is passed on.
            is_broken: whether the connection to the target breaks after the cut; it is silent
                otherwise.
        """
        is_cut = asyncio.Event()

        async def keep(request: HttpRequest, writer: ResponseWriter) -> None:
            await (is_cut.wait() if is_broken else asyncio.Event().wait())
            writer.abort()

        answers: list[AnswerHandler] = [keep]

        async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
            await (answers.pop() if answers else rest)(request, writer)

        self.targets = targets = make_targets(answer, count=2)
        await self.start_fleet(*targets, count=2)
        caller = asyncio.create_task(self.call(path, deadline_ms=DEADLINE_MS))
        await self.wait_for(lambda: count_runs(targets) == 1)
        await self.cut_off(0)
        is_cut.set()
        response = await caller
        await self.stop_fleet()
        self.assertGreater(count_runs(targets), 1)
        self.assertIn(response.status, (502, 504))
        return response.data

    async def test_a_request_that_may_have_run_is_refused_by_the_other_entry_without_a_promise(
        self,
    ) -> None:
        for path in ("/ping/a", "/chat/a"):
            for is_broken in (False, True):
                with self.subTest(path, is_broken=is_broken):
                    refusal = await self.lose_path(path, is_broken=is_broken)
                    self.assertIn(b'"run": "unknown"', refusal)

    async def test_a_request_that_is_passed_on_runs_at_as_many_targets_as_its_route_allows(
        self,
    ) -> None:
        for path in ("/ping/a", "/chat/a"):
            with self.subTest(path):
                await self.lose_path(path, is_broken=False, rest=close_without_answer)
                self.assertEqual(count_runs(self.targets), 2)

    async def test_a_promise_of_the_other_entry_is_not_passed_on_for_a_request_that_may_have_run(
        self,
    ) -> None:
        """The other entry may be of an earlier version, which isn't told of earlier runs."""
        encode = RelayedRequest.encode

        def encode_without_runs(request: RelayedRequest) -> RelayRequest:
            return replace(encode(request), earlier_runs=0)

        with mock.patch.object(RelayedRequest, "encode", encode_without_runs):
            refusal = await self.lose_path("/ping/a", is_broken=True)
            self.assertIn(b'"run": "unknown"', refusal)


if __name__ == "__main__":
    unittest.main()
