"""Tests that a target with a rate limit gets no more requests than it announced.

Guards against entries that each keep the limit by themselves: requests are counted over all boxes,
on every path on which they reach a target.
"""

import asyncio
import unittest
from dataclasses import replace

from damsonlane.targets import TargetRecord
from damsonlaned.gateway.tests.fleet import Fleet
from damsonlaned.gateway.tests.harness import (
    AnswerHandler,
    Entry,
    FakeTarget,
    answer_ok,
    close_without_answer,
    make_piece_handler,
    read_id,
    stream_events,
)
from damsonlaned.gateway.tests.test_backoff import (
    BACKOFF_DOCUMENT,
    ONE_PIECE,
    make_pool_target,
    read_retry_after,
)
from damsonlaned.http import HttpHead, HttpRequest, HttpResponse, ResponseWriter

#: Boxes that send to the same targets.
BOXES = 4
#: Requests that each box's caller sends in each case, one after the other.
REQUESTS = 10
#: Rate limit of the target in requests per second.
RATE = 0.1
#: Length of the window in which requests are counted, in seconds.
WINDOW = 4.0
#: Most requests that a target may get in the window: one and a half times its rate, plus five.
ALLOWED = 1.5 * RATE * WINDOW + 5
RATE_LIMIT_HEADER = (b"Damsonlane-Rate-Limit", str(RATE).encode())


class Limited(FakeTarget):
    """A target that announces its rate limit in each answer and records arrival times."""

    def __init__(self, name: str, answer: AnswerHandler, service: str = "desk") -> None:
        super().__init__(name, self._record_and_answer, service)
        self._inner_answer = answer
        self.times: list[float] = []

    async def _record_and_answer(self, request: HttpRequest, writer: ResponseWriter) -> None:
        self.times.append(asyncio.get_running_loop().time())
        await self._inner_answer(request, _WriterWithLimit(writer))  # type: ignore[arg-type]

    def count_most(self) -> int:
        """Return the most requests that arrived within any window."""
        return max(
            (sum(begin <= at < begin + WINDOW for at in self.times) for begin in self.times),
            default=0,
        )


class _WriterWithLimit:
    """A response writer that adds the rate limit header to each head."""

    def __init__(self, writer: ResponseWriter) -> None:
        self._writer = writer

    def send_response(self, response: HttpResponse) -> None:
        self._writer.send_response(
            replace(response, headers=(*response.headers, RATE_LIMIT_HEADER))
        )

    def start(self, head: HttpHead) -> None:
        self._writer.start(replace(head, headers=(*head.headers, RATE_LIMIT_HEADER)))

    async def send(self, data: bytes) -> None:
        await self._writer.send(data)

    def finish(self) -> None:
        self._writer.finish()

    def abort(self) -> None:
        self._writer.abort()


class Case:
    """A request path to targets, of which one announces a rate limit."""

    def __init__(self, path: str, limited: Limited, *others: FakeTarget, headers: str = "") -> None:
        self.path = path
        self.limited = limited
        self.others = others
        self.headers = headers


def make_rejection(request_id: bytes) -> HttpResponse:
    headers = ((b"Damsonlane-Request-Id", request_id), (b"Damsonlane-Run-No", b"1"))
    return HttpResponse(status=503, headers=headers)


async def reject(request: HttpRequest, writer: ResponseWriter) -> None:
    writer.send_response(make_rejection(read_id(request)))


def make_limited_pool_target(name: str) -> Limited:
    """Return a pool target that computes pieces and announces its rate limit."""
    created: list[Limited] = []
    created.append(Limited(name, make_piece_handler(lambda: created[0].address), "pool"))
    return created[0]


def make_cases() -> dict[str, Case]:
    """Return a case for each request path to a target."""
    return {
        "plain": Case("/plain/a", Limited("t1", answer_ok), FakeTarget("t2", answer_ok)),
        "once": Case("/once/a", Limited("t1", answer_ok), FakeTarget("t2", answer_ok)),
        "turned away": Case("/once/a", Limited("t1", reject), FakeTarget("t2", answer_ok)),
        "prompt": Case(
            "/prompt/a",
            Limited("e1", stream_events(1, 3), "model"),
            FakeTarget("e2", stream_events(1, 3), "model"),
        ),
        "resumed": Case(
            "/resumed/a",
            Limited("t1", stream_events(1, 5)),
            FakeTarget("t2", stream_events(1, 2, is_cut=True)),
            FakeTarget("t3", stream_events(1, 5)),
        ),
        "repeated": Case(
            "/plain/a",
            Limited("t1", answer_ok),
            FakeTarget("t2", close_without_answer),
            FakeTarget("t3", answer_ok),
        ),
        "pieces": Case(
            "/pieces/a",
            make_limited_pool_target("p1"),
            make_pool_target("p2"),
            FakeTarget("t2", answer_ok),
            headers=ONE_PIECE,
        ),
    }


class RateLimitTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *targets: FakeTarget) -> tuple[Fleet, dict[str, TargetRecord]]:
        """Start targets and a fleet that lists them."""
        records: dict[str, TargetRecord] = {}
        for target in targets:
            records[target.name] = await target.start()
            self.addAsyncCleanup(target.stop)
        fleet = Fleet(BOXES, BACKOFF_DOCUMENT)
        await fleet.start(self, list(records.values()))
        return fleet, records

    async def send_all(self, entry: Entry, case: Case) -> list[int]:
        """Send the requests of a box's caller; return the answers' statuses, 0 if broken."""
        statuses: list[int] = []
        for _ in range(REQUESTS):
            response = await entry.call(case.path, headers=case.headers, deadline_ms=8_000)
            statuses.append(response.status if response.is_whole() else 0)
            # Results are freed some milliseconds after the answer.
            await asyncio.sleep(0.02)
        return statuses

    async def run_case(self, case: Case) -> tuple[int, list[int]]:
        """Return the most requests in a window once all boxes know the limit, and failures."""
        fleet, records = await self.start(case.limited, *case.others)
        first = dict(records)
        for other in case.others:
            if other.service == case.limited.service:
                del first[other.name]
        fleet.put_targets(*first.values())
        announcing = [entry.call(case.path, headers=case.headers) for entry in fleet.entries]
        await asyncio.gather(*announcing)
        fleet.put_targets(*records.values())
        case.limited.times.clear()
        sent = [self.send_all(entry, case) for entry in fleet.entries]
        statuses = [status for each in await asyncio.gather(*sent) for status in each]
        return case.limited.count_most(), [status for status in statuses if status != 200]

    async def test_requests_of_all_boxes_together_stay_within_the_rate_limit(self) -> None:
        counts = {name: await self.run_case(case) for name, case in make_cases().items()}
        over = {name: most for name, (most, _) in counts.items() if most > ALLOWED}
        self.assertEqual(over, {})
        # No request is refused while another target is free.
        self.assertEqual({name: failed for name, (_, failed) in counts.items() if failed}, {})

    async def test_callers_are_refused_immediately_if_all_targets_are_at_their_rate_limits(
        self,
    ) -> None:
        targets = [Limited(f"t{number}", answer_ok) for number in range(2)]
        fleet, _ = await self.start(*targets)
        case = Case("/plain/a", targets[0])
        sent = [self.send_all(entry, case) for entry in fleet.entries]
        statuses = [status for each in await asyncio.gather(*sent) for status in each]
        self.assertEqual(set(statuses) - {200, 503}, set())
        for target in targets:
            self.assertLessEqual(target.count_most(), ALLOWED)
        response = await fleet.entries[0].call("/plain/a", deadline_ms=8_000)
        self.assertEqual(response.status, 503)
        # Each of the two targets takes one request in five seconds.
        self.assertGreater(read_retry_after(response), 1.0)


if __name__ == "__main__":
    unittest.main()
