"""Targets that close in the middle of the head of their answer, or of its body.

Guards against answers that are empty or short and look whole to their callers.
"""

import asyncio
import contextlib
import unittest
from collections.abc import Iterator

from damsonlaned.gateway.tests.harness import (
    AnswerHandler,
    FakeTarget,
    Response,
    make_piece_handler,
    read_id,
)
from damsonlaned.http import HttpRequest, ResponseWriter
from damsonlaned.relay.tests.test_relay import RelayTestCase, count_runs
from damsonlaned.relay.tests.test_unreachable_targets import make_targets

BODY = b"the whole body of the answer"
EVENTS = b"".join(b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(1, 4))
PATHS = ("/ping/a", "/once/a", "/chat/a", "/draft/a")
#: Informational heads that may come first.
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
DEADLINE_MS = 1_500
#: A length beyond that of any answer, which is then whole.
WHOLE = 10_000


def render(request: HttpRequest, *, is_framed: bool) -> tuple[bytes, bytes]:
    """Return the head and the body of a whole answer."""
    is_stream = request.path.startswith(("/chat/", "/draft/"))
    body = EVENTS if is_stream else BODY
    kind = b"text/event-stream" if is_stream else b"text/plain"
    length = b"Content-Length: %d\r\n" % len(body) if is_framed else b"Connection: close\r\n"
    head = b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\n%sDamsonlane-Request-Id: %s\r\n\r\n" % (
        kind,
        length,
        read_id(request),
    )
    return head, body


def list_cuts(size: int) -> Iterator[int]:
    """Return the lengths after which an answer is cut: all near its ends, and some between."""
    yield from (cut for cut in range(size) if cut < 20 or cut % 7 == 0 or cut >= size - 8)
    yield WHOLE


def is_whole_answer(response: Response) -> bool:
    """Return whether a response has all that the target would have sent."""
    return response.status == 200 and (BODY in response.data or response.data.count(b"token") == 3)


class CutHeadsTest(RelayTestCase):
    def cut_always(self, cut: int, *, hints: bytes = b"", is_framed: bool = True) -> AnswerHandler:
        """Return a handler that closes after some bytes of each answer."""

        async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
            data = hints + b"".join(render(request, is_framed=is_framed))
            writer._stream.write(data[:cut])
            writer._stream.close()
            await asyncio.sleep(0)

        return answer

    async def check(self, targets: list[FakeTarget], answer: AnswerHandler, cut: int) -> None:
        for target in targets:
            target._answer = answer
        for path in PATHS:
            entry = self.fleet.entries[0]
            # Failures of the earlier answers must not keep this request from its target.
            for each in self.fleet.entries:
                each.targets.reset_health("desk")
            with contextlib.suppress(ConnectionResetError):
                response = await entry.call(path, deadline_ms=DEADLINE_MS, request_id=f"r{cut}")
                is_complete = response.status == 200 and response.is_whole()
                self.assertEqual(is_complete, is_whole_answer(response), (path, response))
                self.assertTrue(is_complete or cut < WHOLE, (path, response))

    async def test_an_answer_cut_in_its_head_or_body_is_not_delivered_as_whole(self) -> None:
        targets = make_targets(self.cut_always(0), count=2)
        await self.start_fleet(*targets, count=2)
        for hints in (b"", HINTS):
            for cut in list_cuts(len(hints) + 110):
                with self.subTest(cut=cut, hints=hints):
                    await self.check(targets, self.cut_always(cut, hints=hints), cut)

    async def test_an_answer_that_another_entry_passes_back_is_not_delivered_as_whole(self) -> None:
        for path in PATHS:
            for cut in (1, 16, 17, 60, 95, 110, WHOLE):
                with self.subTest(path, cut=cut):
                    targets = await self.start_cut_fleet(self.cut_always(cut))
                    response = await self.call(path, deadline_ms=DEADLINE_MS)
                    self.assertGreater(count_runs(targets), 0)
                    is_complete = response.status == 200 and response.is_whole()
                    self.assertEqual(is_complete, cut == WHOLE, response)
                    self.assertEqual(is_complete, is_whole_answer(response), response)
                    await self.stop_fleet()

    async def test_a_head_without_a_length_is_cut(self) -> None:
        """Only the head: a body that ends with its connection is whole wherever it ends."""
        targets = make_targets(self.cut_always(0), count=2)
        await self.start_fleet(*targets, count=2)
        for cut in list_cuts(80):
            with self.subTest(cut=cut):
                await self.check(targets, self.cut_always(cut, is_framed=False), cut)

    async def test_a_cut_head_of_a_pool_target_is_no_result(self) -> None:
        pool = FakeTarget("p0", make_piece_handler(lambda: pool.address), service="pool")
        desk = make_targets(self.cut_always(WHOLE), count=1)
        await self.start_fleet(*desk, pool, count=1)
        whole = pool._answer
        headers = "Damsonlane-Pieces: 1\r\nDamsonlane-Material-Key: m\r\n"
        for cut in (1, 12, 16, 40, 60):

            async def answer(request: HttpRequest, writer: ResponseWriter, cut: int = cut) -> None:
                writer._stream.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"[:cut]
                )
                writer._stream.close()

            pool._answer = answer
            response = await self.call("/staged-chat/a", headers=headers, deadline_ms=DEADLINE_MS)
            self.assertIn(response.status, (502, 503, 504))
        pool._answer = whole
        self.fleet.entries[0].targets.reset_health("pool")
        response = await self.call("/staged-chat/a", headers=headers, deadline_ms=DEADLINE_MS)
        self.assertEqual(response.status, 200)


if __name__ == "__main__":
    unittest.main()
