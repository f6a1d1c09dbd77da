"""A target names how many requests a second it takes from all boxes, and gets more.

On an afternoon in December two of nine engines named a limit in their answers, about one request
a second from all boxes together.  The eight entries went on as before: they sent the first one
18 requests in four seconds and the second one 12, where 12 and 11 are borne at most.  No caller
saw anything, but the engines had asked because they were in need.

What settled it were the counts of four seconds at the two engines, 13 to 16 before they spoke and
13 to 25 after, from seven entries each, and the lines of one second in which four entries sent to
the same engine:

    10.201  sent   entry of gulberg          10.588  sent   second entry of gulberg
    10.224  sent   entry of johar            10.668  sent   entry of model town
    10.321  sent   entry of gulberg          10.677  sent   entry of model town
    10.542  sent   second entry of gulberg   10.863  sent   entry of model town

The limit was read by nobody, and what an entry might have kept by itself would have added up:
one request saved at each of eight boxes is more than the target bears.  The owner of a service
issues a permit for each request to such a target now.  So what holds is counted over all boxes:
however they share the limit, the target gets no more than it named, on whatever way the requests
come.
"""

import asyncio
import unittest
from dataclasses import replace

from damsonlane.targets import TargetRecord
from damsonlaned.gateway.tests.fleet import Fleet
from damsonlaned.gateway.tests.harness import (
    Answer,
    Entry,
    StandIn,
    answer_well,
    cut,
    make_pieces,
    read_id,
    stream_events,
)
from damsonlaned.gateway.tests.test_backoff import (
    BACKOFF_DOCUMENT,
    ONE_PIECE,
    make_maker,
    read_wait,
)
from damsonlaned.http import HttpHead, HttpRequest, HttpResponse, Reply

#: Boxes before the same targets.
BOXES = 4
#: Requests that the callers of each box send in each case, one after the other.
REQUESTS = 10
#: Requests a second that the target takes.
RATE = 0.1
#: Seconds over which requests are counted.
WINDOW = 4.0
#: Requests that a target may get in that time: one and a half times its rate, and five more.
ALLOWED = 1.5 * RATE * WINDOW + 5
NAMES = (b"Damsonlane-Rate-Limit", str(RATE).encode())


class Limited(StandIn):
    """A target that names its limit in each answer, and notes when requests come."""

    def __init__(self, name: str, answer: Answer, service: str = "desk") -> None:
        super().__init__(name, self._note_and_answer, service)
        self._tell = answer
        self.times: list[float] = []

    async def _note_and_answer(self, request: HttpRequest, reply: Reply) -> None:
        self.times.append(asyncio.get_running_loop().time())
        await self._tell(request, _Naming(reply))  # type: ignore[arg-type]

    def count_most(self) -> int:
        """Return the most requests that came in some four seconds."""
        return max(
            (sum(begin <= at < begin + WINDOW for at in self.times) for begin in self.times),
            default=0,
        )


class _Naming:
    """A reply that adds the limit to each head."""

    def __init__(self, reply: Reply) -> None:
        self._reply = reply

    def send_whole(self, response: HttpResponse) -> None:
        self._reply.send_whole(replace(response, headers=(*response.headers, NAMES)))

    def start(self, head: HttpHead) -> None:
        self._reply.start(replace(head, headers=(*head.headers, NAMES)))

    async def send(self, data: bytes) -> None:
        await self._reply.send(data)

    def finish(self) -> None:
        self._reply.finish()

    def cut(self) -> None:
        self._reply.cut()


class Case:
    """One way to a target: the one that names a limit, others, and the requests that go there."""

    def __init__(self, path: str, limited: Limited, *others: StandIn, headers: str = "") -> None:
        self.path = path
        self.limited = limited
        self.others = others
        self.headers = headers


def refuse_without_word(request_id: bytes) -> HttpResponse:
    headers = ((b"Damsonlane-Request-Id", request_id), (b"Damsonlane-Run-No", b"1"))
    return HttpResponse(status=503, headers=headers)


async def turn_away(request: HttpRequest, reply: Reply) -> None:
    reply.send_whole(refuse_without_word(read_id(request)))


def make_limited_maker(name: str) -> Limited:
    """Return a pool target that makes pieces and names its limit."""
    made: list[Limited] = []
    made.append(Limited(name, make_pieces(lambda: made[0].address), "pool"))
    return made[0]


def make_cases() -> dict[str, Case]:
    """Return the ways to a target."""
    return {
        "plain": Case("/plain/a", Limited("t1", answer_well), StandIn("t2", answer_well)),
        "once": Case("/once/a", Limited("t1", answer_well), StandIn("t2", answer_well)),
        "turned away": Case("/once/a", Limited("t1", turn_away), StandIn("t2", answer_well)),
        "prompt": Case(
            "/prompt/a",
            Limited("e1", stream_events(1, 3), "model"),
            StandIn("e2", stream_events(1, 3), "model"),
        ),
        "resumed": Case(
            "/resumed/a",
            Limited("t1", stream_events(1, 5)),
            StandIn("t2", stream_events(1, 2, is_cut=True)),
            StandIn("t3", stream_events(1, 5)),
        ),
        "repeated": Case(
            "/plain/a",
            Limited("t1", answer_well),
            StandIn("t2", cut),
            StandIn("t3", answer_well),
        ),
        "pieces": Case(
            "/pieces/a",
            make_limited_maker("p1"),
            make_maker("p2"),
            StandIn("t2", answer_well),
            headers=ONE_PIECE,
        ),
    }


class RateLimitTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *targets: StandIn) -> tuple[Fleet, dict[str, TargetRecord]]:
        """Start targets and boxes that know them."""
        records: dict[str, TargetRecord] = {}
        for target in targets:
            records[target.name] = await target.start()
            self.addAsyncCleanup(target.stop)
        fleet = Fleet(BOXES, BACKOFF_DOCUMENT)
        await fleet.start(self, list(records.values()))
        return fleet, records

    async def send_all(self, entry: Entry, case: Case) -> list[int]:
        """Send the requests of a box's callers; return the statuses of their answers."""
        statuses: list[int] = []
        for _ in range(REQUESTS):
            response = await entry.call(case.path, headers=case.headers, deadline_ms=8_000)
            statuses.append(response.status if response.is_whole() else 0)
            # Results are given up some milliseconds after the answer.
            await asyncio.sleep(0.02)
        return statuses

    async def play(self, case: Case) -> tuple[int, list[int]]:
        """Return the most that a limited target got once all boxes were told, and failures."""
        fleet, records = await self.start(case.limited, *case.others)
        first = dict(records)
        for other in case.others:
            if other.service == case.limited.service:
                del first[other.name]
        fleet.put_targets(*first.values())
        told = [entry.call(case.path, headers=case.headers) for entry in fleet.entries]
        await asyncio.gather(*told)
        fleet.put_targets(*records.values())
        case.limited.times.clear()
        sent = [self.send_all(entry, case) for entry in fleet.entries]
        statuses = [status for each in await asyncio.gather(*sent) for status in each]
        return case.limited.count_most(), [status for status in statuses if status != 200]

    async def test_a_target_gets_no_more_than_it_names_from_all_boxes_together(self) -> None:
        counts = {name: await self.play(case) for name, case in make_cases().items()}
        over = {name: most for name, (most, _) in counts.items() if most > ALLOWED}
        self.assertEqual(over, {})
        # Where another target is free nobody is refused.
        self.assertEqual({name: failed for name, (_, failed) in counts.items() if failed}, {})

    async def test_callers_are_told_at_once_when_all_targets_are_at_their_rates(self) -> None:
        targets = [Limited(f"t{number}", answer_well) for number in range(2)]
        fleet, _ = await self.start(*targets)
        case = Case("/plain/a", targets[0])
        sent = [self.send_all(entry, case) for entry in fleet.entries]
        statuses = [status for each in await asyncio.gather(*sent) for status in each]
        self.assertEqual(set(statuses) - {200, 503}, set())
        for target in targets:
            self.assertLessEqual(target.count_most(), ALLOWED)
        response = await fleet.entries[0].call("/plain/a", deadline_ms=8_000)
        self.assertEqual(response.status, 503)
        # Five seconds pass from one place to the next at each of the two.
        self.assertGreater(read_wait(response), 1.0)


if __name__ == "__main__":
    unittest.main()
