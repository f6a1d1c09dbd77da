"""A target that requests back-off or drains gets no more requests from the box it notified.

Guards against a path to a target that ignores what the target announced: whichever response
says it (to a request, a placed prompt, a pool call, a call that releases results, a resumed
stream), this box sends nothing to that incarnation until the back-off ends, and nothing at all
once it drains.
"""

import asyncio
import unittest
from collections.abc import Sequence
from dataclasses import replace

from damsonlane.routes import (
    EngineProperties,
    Route,
    RoutingDocument,
    Service,
    Stage,
    WeightedService,
)
from damsonlane.targets import TargetRecord
from damsonlaned.gateway.tests.harness import (
    DOCUMENT,
    ROUTE,
    AnswerHandler,
    Entry,
    FakeTarget,
    Response,
    answer_ok,
    make_piece_handler,
    read_id,
    stream_events,
)
from damsonlaned.http import HeaderList, HttpHead, HttpRequest, HttpResponse, ResponseWriter

#: Back-off that targets request, in seconds: longer than any test takes.
RETRY_AFTER = b"600"
#: Requests of a caller in each case, sent one after the other.
REQUEST_COUNT = 10
#: Headers of a request with one stage of one piece.
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


ENGINE_SERVICE = Service(
    name="model", most_connections=20, engine=EngineProperties(slots=4, cache_tokens=100_000)
)
ROUTES = (
    make_route("plain", "desk"),
    make_route("once", "desk", "once"),
    make_route("resumed", "desk", "stream"),
    make_route("prompt", "model", "stream"),
    make_route("pieces", "desk", "safe", Stage(service="pool")),
)
BACKOFF_DOCUMENT: RoutingDocument = replace(
    DOCUMENT, routes=ROUTES, services=(*DOCUMENT.services, ENGINE_SERVICE)
)
#: Headers of a rejection that requests back-off, and of any response of a draining target.
BACKOFF_HEADERS: HeaderList = ((b"Retry-After", RETRY_AFTER), (b"Damsonlane-Run-No", b"1"))
DRAINING_HEADERS: HeaderList = ((b"Damsonlane-Leaving", b"1"),)


class AnnouncingTarget(FakeTarget):
    """A target that announces back-off or draining, and counts the requests after that.

    Args:
        name: its name.
        answer: handler whose responses announce it.
        service: its service.
        announces_at: suffix of the paths whose responses announce it; empty for all.
    """

    def __init__(
        self, name: str, answer: AnswerHandler, service: str, announces_at: str = ""
    ) -> None:
        super().__init__(name, self._answer_and_count, service)
        self._handler = answer
        self._announces_at = announces_at
        self._has_announced = False
        #: Requests after the first response that announced it.
        self.later_requests = 0

    async def _answer_and_count(self, request: HttpRequest, writer: ResponseWriter) -> None:
        self.later_requests += self._has_announced
        await self._handler(request, writer)
        self._has_announced |= request.path.endswith(self._announces_at)


class Case:
    """One path to a target: the targets of an entry, and the requests that reach them."""

    def __init__(
        self, path: str, announcing: AnnouncingTarget, *others: FakeTarget, headers: str = ""
    ) -> None:
        self.path = path
        self.announcing = announcing
        self.others = others
        self.headers = headers


def reject_with(headers: HeaderList) -> AnswerHandler:
    """Return a handler that rejects every request with some headers."""

    async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
        request_id = (b"Damsonlane-Request-Id", read_id(request))
        writer.send_response(HttpResponse(status=503, headers=(request_id, *headers)))

    return answer


def answer_ok_with(headers: HeaderList) -> AnswerHandler:
    """Return a handler that serves every request with some headers."""

    async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
        request_id = (b"Damsonlane-Request-Id", read_id(request))
        writer.send_response(HttpResponse(status=200, headers=(request_id, *headers), body=b"done"))

    return answer


def stream_with(headers: HeaderList) -> AnswerHandler:
    """Return a handler that sends a complete stream with some headers."""

    async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
        content_type = (b"Content-Type", b"text/event-stream")
        request_id = (b"Damsonlane-Request-Id", read_id(request))
        writer.start(HttpHead(status=200, headers=(request_id, content_type, *headers)))
        for number in range(1, 4):
            await writer.send(f"id: {number}\ndata: token {number}\n\n".encode())
        writer.finish()

    return answer


def reject_release_calls(target: Sequence[FakeTarget], headers: HeaderList) -> AnswerHandler:
    """Return the handler of a pool target that computes pieces and rejects release calls."""
    answer_pieces = make_piece_handler(lambda: target[0].address)

    async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
        if request.path.endswith("/free"):
            await reject_with(headers)(request, writer)
        else:
            await answer_pieces(request, writer)

    return answer


def make_pool_target(name: str) -> FakeTarget:
    """Return a pool target that computes pieces."""
    pool_targets: list[FakeTarget] = []
    pool_targets.append(
        FakeTarget(name, make_piece_handler(lambda: pool_targets[0].address), "pool")
    )
    return pool_targets[0]


async def start_entry(
    test: unittest.IsolatedAsyncioTestCase,
    *targets: FakeTarget,
    document: RoutingDocument = BACKOFF_DOCUMENT,
) -> tuple[Entry, list[TargetRecord]]:
    """Start targets and an entry that lists them; the test stops them."""
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
        """Send the requests of a case; return the statuses of the responses."""
        entry, _ = await start_entry(self, case.announcing, *case.others)
        statuses: list[int] = []
        for _ in range(REQUEST_COUNT):
            response = await entry.call(case.path, headers=case.headers, deadline_ms=8_000)
            statuses.append(response.status if response.is_whole() else 0)
            # Results are released some milliseconds after the response.
            await asyncio.sleep(0.02)
        return statuses

    async def count_later_requests(
        self, cases: dict[str, Case]
    ) -> dict[str, tuple[int, list[int]]]:
        """Return the later requests at the announcing target and the failures, per case."""
        counts: dict[str, tuple[int, list[int]]] = {}
        for name, case in cases.items():
            statuses = await self.send_all(case)
            failed = [status for status in statuses if status != 200]
            counts[name] = (case.announcing.later_requests, failed)
        return counts

    async def test_a_target_that_requests_backoff_gets_no_more_requests(self) -> None:
        counts = await self.count_later_requests(make_rejecting_cases(BACKOFF_HEADERS))
        self.assertEqual(counts, dict.fromkeys(counts, (0, [])))

    async def test_a_target_that_announces_draining_gets_no_more_requests(self) -> None:
        counts = await self.count_later_requests(
            {**make_rejecting_cases(DRAINING_HEADERS), **make_accepting_cases(DRAINING_HEADERS)}
        )
        self.assertEqual(counts, dict.fromkeys(counts, (0, [])))

    async def test_requests_are_refused_at_once_while_all_targets_back_off(self) -> None:
        targets = [
            AnnouncingTarget(f"t{number}", reject_with(BACKOFF_HEADERS), "desk")
            for number in range(3)
        ]
        entry, _ = await start_entry(self, *targets)
        responses = [await entry.call("/plain/a", deadline_ms=8_000) for _ in range(REQUEST_COUNT)]
        self.assertEqual({response.status for response in responses}, {503})
        # Once each target has requested back-off, no request reaches one.
        self.assertEqual(sum(target.later_requests for target in targets), 0)
        retry_after = [read_retry_after(response) for response in responses]
        self.assertGreater(min(retry_after), 500.0)


def read_retry_after(response: Response) -> float:
    """Return the seconds in the Retry-After header of a response."""
    _, _, remainder = response.data.partition(b"Retry-After: ")
    return float(remainder.partition(b"\r\n")[0])


def make_rejecting_cases(headers: HeaderList) -> dict[str, Case]:
    """Return the paths on which a target rejects requests with some headers."""
    releasing: list[AnnouncingTarget] = []
    answer_release = reject_release_calls(releasing, headers)
    releasing.append(AnnouncingTarget("f1", answer_release, "pool", announces_at="/free"))
    not_run_headers = _with_not_run_header(headers)
    return {
        "plain": Case(
            "/plain/a",
            AnnouncingTarget("t1", reject_with(headers), "desk"),
            FakeTarget("t2", answer_ok),
        ),
        "once": Case(
            "/once/a",
            AnnouncingTarget("t1", reject_with(not_run_headers), "desk"),
            _make_working_target("t2"),
        ),
        "resumed": Case(
            "/resumed/a",
            AnnouncingTarget("t1", reject_with(not_run_headers), "desk"),
            FakeTarget("t2", stream_events(1, 2, is_cut=True)),
            FakeTarget("t3", stream_events(1, 5)),
        ),
        "prompt": Case(
            "/prompt/a",
            AnnouncingTarget("e1", reject_with(not_run_headers), "model"),
            FakeTarget("e2", stream_events(1, 3), "model"),
        ),
        "pieces": Case(
            "/pieces/a",
            AnnouncingTarget("p1", reject_with(not_run_headers), "pool"),
            make_pool_target("p2"),
            _make_working_target("t2"),
            headers=ONE_PIECE,
        ),
        "freed": Case(
            "/pieces/a",
            releasing[0],
            make_pool_target("f2"),
            _make_working_target("t2"),
            headers=ONE_PIECE,
        ),
    }


def make_accepting_cases(headers: HeaderList) -> dict[str, Case]:
    """Return the paths on which a target serves requests with some headers."""
    return {
        "whole": Case(
            "/once/a",
            AnnouncingTarget("t1", answer_ok_with(headers), "desk"),
            _make_working_target("t2"),
        ),
        "stream": Case(
            "/prompt/a",
            AnnouncingTarget("e1", stream_with(headers), "model"),
            FakeTarget("e2", stream_events(1, 3), "model"),
        ),
    }


def _make_working_target(name: str) -> FakeTarget:
    return FakeTarget(name, answer_ok)


def _with_not_run_header(headers: HeaderList) -> HeaderList:
    """Return headers with the one that guarantees that the request has not run."""
    not_run_header = (b"Damsonlane-Run-No", b"1")
    return headers if not_run_header in headers else (*headers, not_run_header)


if __name__ == "__main__":
    unittest.main()
