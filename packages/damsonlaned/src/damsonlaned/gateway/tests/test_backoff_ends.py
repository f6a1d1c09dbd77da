"""Back-off of targets: when it ends, for whom it holds, and what becomes of what waits."""

import asyncio
import json
import time
import unittest
from collections.abc import Sequence
from dataclasses import replace
from unittest import mock

from damsonlane.backoff import TargetStart
from damsonlane.targets import TargetRecord
from damsonlaned import clock
from damsonlaned.dialects import AnswerSigns
from damsonlaned.gateway.tests.harness import (
    PATIENCE,
    Answer,
    Entry,
    StandIn,
    answer_well,
    make_pieces,
    read_id,
)
from damsonlaned.gateway.tests.test_backoff import (
    ASKS,
    BACKOFF_DOCUMENT,
    LEAVES,
    ONE_PIECE,
    make_maker,
    read_wait,
    refuse,
    start_entry,
)
from damsonlaned.http import HttpRequest, HttpResponse, Reply

#: What a target adds to a refusal that asks for a short rest.
ASKS_BRIEFLY = ((b"Retry-After", b"0.3"), (b"Damsonlane-Run-No", b"1"))
#: Seconds for which a box is suspended, longer than any rest that is asked for here.
SUSPENDED = 3_600.0


def in_turn(*answers: Answer) -> Answer:
    """Return answers given one after the other; the last one stays."""
    left = list(answers)

    async def answer(request: HttpRequest, reply: Reply) -> None:
        await (left.pop(0) if len(left) > 1 else left[0])(request, reply)

    return answer


async def answer_another_first(request: HttpRequest, reply: Reply) -> None:
    """Answer a request of long ago that was turned away, and only then the one that came."""
    late = b"HTTP/1.1 503 Busy\r\nDamsonlane-Request-Id: old\r\nRetry-After: 600\r\n"
    own = b"HTTP/1.1 200 OK\r\nDamsonlane-Request-Id: " + read_id(request) + b"\r\n"
    reply._wire.write(late + b"Content-Length: 0\r\n\r\n" + own + b"Content-Length: 2\r\n\r\nok")


def make_word(record: TargetRecord, seconds: float) -> tuple[TargetStart, AnswerSigns]:
    """Return the start of a target, and a head by which it asks for rest."""
    signs = AnswerSigns(
        request_id=None, has_not_run=False, load=None, is_stream=False, backoff_seconds=seconds
    )
    return TargetStart.of(record), signs


class BackoffEndsTest(unittest.IsolatedAsyncioTestCase):
    async def call(self, entry: Entry, path: str = "/plain/a", headers: str = "") -> int:
        return (await entry.call(path, headers=headers, deadline_ms=8_000)).status

    async def wait_for(self, holds: Sequence[object]) -> None:
        """Wait until a list has something in it."""
        async with asyncio.timeout(PATIENCE):
            while not holds:
                await asyncio.sleep(0.01)

    async def test_a_target_is_used_again_as_soon_as_its_time_is_over(self) -> None:
        """Three refusals in a row would eject one that is ill for a second."""
        target = StandIn("t1", in_turn(*[refuse(ASKS_BRIEFLY)] * 3, answer_well))
        entry, _ = await start_entry(self, target)
        for _ in range(3):
            response = await entry.call("/plain/a")
            self.assertEqual(response.status, 503)
            await asyncio.sleep(read_wait(response))
        self.assertEqual(await self.call(entry), 200)
        self.assertEqual(len(target.requests), 4)

    async def test_a_request_that_many_targets_turn_away_goes_on_to_the_next(self) -> None:
        """Five ask for rest one after the other, before the entry's own data centre is left."""
        resting = [StandIn(f"t{number}", refuse(ASKS)) for number in range(5)]
        working = StandIn("far", answer_well)
        entry, records = await start_entry(self, *resting, working)
        far = replace(records[-1], data_centre="dha")
        entry.put_targets(*records[:-1], far)
        self.assertEqual(await self.call(entry), 200)
        self.assertEqual([len(target.requests) for target in resting], [1] * 5)

    async def test_the_next_start_is_free_of_it(self) -> None:
        for word in (ASKS, LEAVES):
            target = StandIn("t1", in_turn(refuse((*word, *ASKS[1:])), answer_well))
            entry, records = await start_entry(self, target)
            self.assertEqual([await self.call(entry) for _ in range(3)], [503] * 3)
            self.assertEqual(len(target.requests), 1)
            entry.put_targets(replace(records[0], start=7))
            self.assertEqual(await self.call(entry), 200)

    async def test_another_box_goes_on(self) -> None:
        target = StandIn("t1", in_turn(refuse(ASKS), answer_well))
        entry, records = await start_entry(self, target)
        other = Entry(BACKOFF_DOCUMENT)
        await other.start(*records)
        self.addAsyncCleanup(other.stop)
        self.assertEqual(await self.call(entry), 503)
        self.assertEqual(await self.call(other), 200)
        self.assertEqual(await self.call(entry), 503)

    async def test_an_answer_to_another_request_says_it_as_well(self) -> None:
        target = StandIn("t1", answer_another_first)
        entry, _ = await start_entry(self, target)
        self.assertEqual([await self.call(entry) for _ in range(3)], [200, 503, 503])
        self.assertEqual(len(target.requests), 1)

    async def test_what_a_target_asked_as_a_pool_holds_for_its_plain_requests(self) -> None:
        maker = StandIn("p1", refuse(ASKS), "pool")
        routes = tuple(
            replace(route, services=(replace(route.services[0], service="pool"),))
            if route.name == "plain"
            else route
            for route in BACKOFF_DOCUMENT.routes
        )
        document = replace(BACKOFF_DOCUMENT, routes=routes)
        working = StandIn("t1", answer_well)
        entry, _ = await start_entry(self, maker, working, document=document)
        self.assertEqual(await self.call(entry, "/pieces/a", ONE_PIECE), 503)
        self.assertEqual(await self.call(entry), 503)
        self.assertEqual(len(maker.requests), 1)

    # Stages.

    async def test_a_request_is_refused_before_its_stages_are_made(self) -> None:
        maker, target = make_maker("p1"), StandIn("t1", refuse(ASKS))
        entry, _ = await start_entry(self, maker, target)
        self.assertEqual(await self.call(entry), 503)
        self.assertEqual(await self.call(entry, "/pieces/a", ONE_PIECE), 503)
        self.assertEqual(maker.requests, [])

    async def test_a_request_whose_stages_are_made_waits_for_its_target(self) -> None:
        maker = make_maker("p1")
        target = StandIn("t1", in_turn(refuse(ASKS_BRIEFLY), answer_well))
        entry, _ = await start_entry(self, maker, target)
        self.assertEqual(await self.call(entry, "/pieces/a", ONE_PIECE), 200)
        made = [request for request in maker.requests if not request.path.endswith("/free")]
        self.assertEqual(len(made), 1)

    async def test_one_whose_target_returns_too_late_is_refused_with_the_time(self) -> None:
        maker, target = make_maker("p1"), StandIn("t1", refuse(ASKS))
        entry, _ = await start_entry(self, maker, target)
        response = await entry.call("/pieces/a", headers=ONE_PIECE, deadline_ms=8_000)
        self.assertEqual(response.status, 503)
        self.assertGreater(read_wait(response), 500.0)

    async def test_pieces_are_told_at_once_when_all_targets_of_a_pool_rest(self) -> None:
        maker = StandIn("p1", refuse(ASKS), "pool")
        entry, _ = await start_entry(self, maker, StandIn("t1", answer_well))
        for _ in range(3):
            response = await entry.call("/pieces/a", headers=ONE_PIECE, deadline_ms=8_000)
            self.assertEqual(response.status, 503)
            self.assertGreater(read_wait(response), 500.0)
        self.assertEqual(len(maker.requests), 1)

    async def test_results_are_given_up_once_their_maker_takes_calls_again(self) -> None:
        freed: list[str] = []
        makers: list[StandIn] = []
        make = make_pieces(lambda: makers[0].address)

        async def answer(request: HttpRequest, reply: Reply) -> None:
            if not request.path.endswith("/free"):
                entry.view.notices.take(named, signs)
                await make(request, reply)
                return
            freed.extend(json.loads(request.body).get("handles", ["?"]))
            reply.send_whole(HttpResponse(status=200))

        makers.append(StandIn("p1", answer, "pool"))
        entry, records = await start_entry(self, makers[0], StandIn("t1", answer_well))
        named, signs = make_word(records[0], 0.5)
        self.assertEqual(await self.call(entry, "/pieces/a", ONE_PIECE), 200)
        self.assertEqual(freed, [])
        await self.wait_for(freed)
        self.assertEqual(entry.view.notices.seconds_left(named), 0.0)


class SuspendedTest(unittest.TestCase):
    def test_time_for_which_the_box_was_suspended_counts(self) -> None:
        read = time.clock_gettime
        passed = [0.0]

        def read_moved(which: int) -> float:
            return read(which) + (passed[0] if which == time.CLOCK_BOOTTIME else 0.0)

        with mock.patch("time.clock_gettime", read_moved):
            statuses = clock.run(self._call_around(passed))
        self.assertEqual(statuses, [503, 503, 200])

    async def _call_around(self, passed: list[float]) -> list[int]:
        target = StandIn("t1", in_turn(refuse(ASKS), answer_well))
        entry = Entry(BACKOFF_DOCUMENT)
        await entry.start(await target.start())
        statuses = [(await entry.call("/plain/a")).status for _ in range(2)]
        passed[0] += SUSPENDED
        statuses.append((await entry.call("/plain/a")).status)
        await entry.stop()
        await target.stop()
        return statuses


if __name__ == "__main__":
    unittest.main()
