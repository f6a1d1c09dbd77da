"""A target that asks an entry for rest, and gets its requests all the same.

On an afternoon in December a target that had more to do than it could answered 503 and said
for how many seconds it wanted nothing from the box that had asked it.  The box went on
sending to it, once or twice a second: a refusal was one of three failures in a row to it, and
beside fellows at work a target without requests looked like the best choice.  Callers lost
nothing, since the next target served them some milliseconds later, but the target got work
from all boxes while it asked for none, and each request took one offer of three and a part
of the fleet's budget of repeats.  One request met three such targets in 17 ms and was refused.

What settled it were the lines "not served" of one entry, with the same target each time, and
after the lines of what targets ask for were added, that none of its ways to a target ever
looked at them:

    68.792  not served  the target turned it away with 503
    70.266  not served  the same target, the next request, 1.47 s later
    72.788  not served  2.52 s later
    74.996  not served  2.21 s later

So whatever answer says it (to a request, a placed prompt, a call to a pool, results given up,
a stream taken up elsewhere), nothing of this box goes to that start of the target any more
until its time is over; what says that it leaves holds for good.
"""

import asyncio
import unittest
from collections.abc import Sequence
from dataclasses import replace

from damsonlane.routes import EngineTraits, Route, RoutingDocument, Service, Stage, WeightedService
from damsonlane.targets import TargetRecord
from damsonlaned.gateway.tests.harness import (
    DOCUMENT,
    ROUTE,
    Answer,
    Entry,
    Response,
    StandIn,
    answer_well,
    make_pieces,
    read_id,
    stream_events,
)
from damsonlaned.http import HeaderList, HttpHead, HttpRequest, HttpResponse, Reply

#: Seconds for which targets ask for rest: longer than any test takes.
REST = b"600"
#: Requests of a caller in each case, one after the other.
REQUESTS = 10
#: Of a request with one stage of one piece.
ONE_PIECE = "Damsonlane-Pieces: 1\r\nDamsonlane-Material-Key: m\r\n"


def make_route(name: str, service: str, repeat: str = "safe", *stages: Stage) -> Route:
    return replace(
        ROUTE,
        name=name,
        prefix=f"/{name}/",
        repeat=repeat,  # type: ignore[arg-type]
        is_resumable=repeat == "stream",
        services=(WeightedService(service=service, weight=1.0),),
        stages=stages,
        timeout_seconds=10.0,
        aim_seconds=5.0,
    )


MODEL = Service(
    name="model", most_connections=20, engine=EngineTraits(slots=4, cache_tokens=100_000)
)
ROUTES = (
    make_route("plain", "desk"),
    make_route("once", "desk", "once"),
    make_route("resumed", "desk", "stream"),
    make_route("prompt", "model", "stream"),
    make_route("pieces", "desk", "safe", Stage(service="pool")),
)
BACKOFF_DOCUMENT: RoutingDocument = replace(
    DOCUMENT, routes=ROUTES, services=(*DOCUMENT.services, MODEL)
)
#: What a target adds to a refusal that asks for rest, and to any answer once it leaves.
ASKS: HeaderList = ((b"Retry-After", REST), (b"Damsonlane-Run-No", b"1"))
LEAVES: HeaderList = ((b"Damsonlane-Leaving", b"1"),)


class Telling(StandIn):
    """A target that says something of itself, and counts what comes once it has.

    Args:
        name: its name.
        answer: its answers, which say it.
        service: its service.
        says_at: end of the paths whose answers say it; empty for all.
    """

    def __init__(self, name: str, answer: Answer, service: str, says_at: str = "") -> None:
        super().__init__(name, self._answer_and_count, service)
        self._tell = answer
        self._says_at = says_at
        self._has_told = False
        #: Requests that came after the first answer that said it.
        self.after = 0

    async def _answer_and_count(self, request: HttpRequest, reply: Reply) -> None:
        self.after += self._has_told
        await self._tell(request, reply)
        self._has_told |= request.path.endswith(self._says_at)


class Case:
    """One way to a target: the targets of an entry, and the requests that go there."""

    def __init__(self, path: str, telling: Telling, *others: StandIn, headers: str = "") -> None:
        self.path = path
        self.telling = telling
        self.others = others
        self.headers = headers


def refuse(headers: HeaderList) -> Answer:
    """Return an answer that turns any request away and says something."""

    async def answer(request: HttpRequest, reply: Reply) -> None:
        named = (b"Damsonlane-Request-Id", read_id(request))
        reply.send_whole(HttpResponse(status=503, headers=(named, *headers)))

    return answer


def work(headers: HeaderList) -> Answer:
    """Return an answer that serves a request and says something beside."""

    async def answer(request: HttpRequest, reply: Reply) -> None:
        named = (b"Damsonlane-Request-Id", read_id(request))
        reply.send_whole(HttpResponse(status=200, headers=(named, *headers), body=b"done"))

    return answer


def stream_and_tell(headers: HeaderList) -> Answer:
    """Return a whole stream whose head says something."""

    async def answer(request: HttpRequest, reply: Reply) -> None:
        kind = (b"Content-Type", b"text/event-stream")
        named = (b"Damsonlane-Request-Id", read_id(request))
        reply.start(HttpHead(status=200, headers=(named, kind, *headers)))
        for number in range(1, 4):
            await reply.send(f"id: {number}\ndata: token {number}\n\n".encode())
        reply.finish()

    return answer


def make_and_refuse_to_free(target: Sequence[StandIn], headers: HeaderList) -> Answer:
    """Return answers of a pool target that makes pieces, and says something where it frees."""
    make = make_pieces(lambda: target[0].address)

    async def answer(request: HttpRequest, reply: Reply) -> None:
        if request.path.endswith("/free"):
            await refuse(headers)(request, reply)
        else:
            await make(request, reply)

    return answer


def make_maker(name: str) -> StandIn:
    """Return a pool target that makes pieces."""
    made: list[StandIn] = []
    made.append(StandIn(name, make_pieces(lambda: made[0].address), "pool"))
    return made[0]


async def start_entry(
    test: unittest.IsolatedAsyncioTestCase,
    *targets: StandIn,
    document: RoutingDocument = BACKOFF_DOCUMENT,
) -> tuple[Entry, list[TargetRecord]]:
    """Start targets and an entry that knows them; the test ends them."""
    entry = Entry(document)
    records: list[TargetRecord] = []
    for target in targets:
        records.append(await target.start())
        test.addAsyncCleanup(target.stop)
    await entry.start(*records)
    test.addAsyncCleanup(entry.stop)
    test.addAsyncCleanup(entry.pools.stop)
    return entry, records


class BackoffTest(unittest.IsolatedAsyncioTestCase):
    async def send_all(self, case: Case) -> list[int]:
        """Send the requests of a case; return the statuses of their answers."""
        entry, _ = await start_entry(self, case.telling, *case.others)
        statuses: list[int] = []
        for _ in range(REQUESTS):
            response = await entry.call(case.path, headers=case.headers, deadline_ms=8_000)
            statuses.append(response.status if response.is_whole() else 0)
            # Results are given up some milliseconds after the answer.
            await asyncio.sleep(0.02)
        return statuses

    async def count_after(self, cases: dict[str, Case]) -> dict[str, tuple[int, list[int]]]:
        """Return what came to the telling target of each case, and the failures of callers."""
        counts: dict[str, tuple[int, list[int]]] = {}
        for name, case in cases.items():
            statuses = await self.send_all(case)
            failed = [status for status in statuses if status != 200]
            counts[name] = (case.telling.after, failed)
        return counts

    async def test_a_target_that_asks_for_rest_gets_nothing_more(self) -> None:
        counts = await self.count_after(make_cases(ASKS))
        self.assertEqual(counts, dict.fromkeys(counts, (0, [])))

    async def test_a_target_that_says_it_leaves_gets_nothing_more(self) -> None:
        counts = await self.count_after({**make_cases(LEAVES), **make_serving_cases(LEAVES)})
        self.assertEqual(counts, dict.fromkeys(counts, (0, [])))

    async def test_callers_are_told_at_once_when_all_targets_rest(self) -> None:
        targets = [Telling(f"t{number}", refuse(ASKS), "desk") for number in range(3)]
        entry, _ = await start_entry(self, *targets)
        responses = [await entry.call("/plain/a", deadline_ms=8_000) for _ in range(REQUESTS)]
        self.assertEqual({response.status for response in responses}, {503})
        # Once each target has told the entry, no caller reaches one.
        self.assertEqual(sum(target.after for target in targets), 0)
        waits = [read_wait(response) for response in responses]
        self.assertGreater(min(waits), 500.0)


def read_wait(response: Response) -> float:
    """Return the seconds after which a caller is told to come back."""
    _, _, rest = response.data.partition(b"Retry-After: ")
    return float(rest.partition(b"\r\n")[0])


def make_cases(headers: HeaderList) -> dict[str, Case]:
    """Return the ways on which a target turns away and says something."""
    freeing: list[Telling] = []
    make_all = make_and_refuse_to_free(freeing, headers)
    freeing.append(Telling("f1", make_all, "pool", says_at="/free"))
    promising = _with_promise(headers)
    return {
        "plain": Case(
            "/plain/a", Telling("t1", refuse(headers), "desk"), StandIn("t2", answer_well)
        ),
        "once": Case("/once/a", Telling("t1", refuse(promising), "desk"), _make_worker("t2")),
        "resumed": Case(
            "/resumed/a",
            Telling("t1", refuse(promising), "desk"),
            StandIn("t2", stream_events(1, 2, is_cut=True)),
            StandIn("t3", stream_events(1, 5)),
        ),
        "prompt": Case(
            "/prompt/a",
            Telling("e1", refuse(promising), "model"),
            StandIn("e2", stream_events(1, 3), "model"),
        ),
        "pieces": Case(
            "/pieces/a",
            Telling("p1", refuse(promising), "pool"),
            make_maker("p2"),
            _make_worker("t2"),
            headers=ONE_PIECE,
        ),
        "freed": Case(
            "/pieces/a", freeing[0], make_maker("f2"), _make_worker("t2"), headers=ONE_PIECE
        ),
    }


def make_serving_cases(headers: HeaderList) -> dict[str, Case]:
    """Return the ways on which a target serves and says something beside."""
    return {
        "whole": Case("/once/a", Telling("t1", work(headers), "desk"), _make_worker("t2")),
        "stream": Case(
            "/prompt/a",
            Telling("e1", stream_and_tell(headers), "model"),
            StandIn("e2", stream_events(1, 3), "model"),
        ),
    }


def _make_worker(name: str) -> StandIn:
    return StandIn(name, answer_well)


def _with_promise(headers: HeaderList) -> HeaderList:
    """Return headers that promise besides that the request has not run."""
    promise = (b"Damsonlane-Run-No", b"1")
    return headers if promise in headers else (*headers, promise)


if __name__ == "__main__":
    unittest.main()
