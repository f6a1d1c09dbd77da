"""Sound targets that fall silent for a while: what they have begun is not given up for nothing.

Guards against requests that are abandoned because of a silence before another target has them.
"""

import asyncio
import json
import unittest
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial
from typing import Final

from damsonlane.routes import RoutingDocument
from damsonlane.targets import TargetRecord
from damsonlaned.gateway.tests.harness import (
    DOCUMENT,
    AnswerHandler,
    Entry,
    FakeTarget,
    Response,
    answer_ok,
    answer_with,
    hang,
    make_piece_handler,
    read_id,
)
from damsonlaned.http import HttpHead, HttpRequest, HttpResponse, ResponseWriter
from damsonlaned.versions.tests.streams import read_events

#: Longest pause that the routes' objective allows, in seconds: an entry looks for another target
#: after three of them.
PAUSE_SECONDS: Final = 0.05
#: Length of a silence of a target, in seconds.
SILENT_SECONDS: Final = 0.5
#: Seconds after which another target rejects a request.
LATE_SECONDS: Final = 0.4
#: Events of a whole stream.
EVENT_COUNT: Final = 6
#: Events after which a target falls silent.
EVENTS_BEFORE: Final = 2
DEADLINE_MS: Final = 4_000

#: Changes what an entry knows, given the targets that are silent, and the others.
Change = Callable[[Entry, Sequence[TargetRecord], Sequence[TargetRecord]], None]


def make_document() -> RoutingDocument:
    """Return the routing document with short pauses."""
    routes = tuple(
        replace(route, pause_seconds=PAUSE_SECONDS, timeout_seconds=4.0)
        for route in DOCUMENT.routes
    )
    return replace(DOCUMENT, routes=routes)


def stream_with_silence(
    name: str, seconds: float = SILENT_SECONDS, *, before: int = EVENTS_BEFORE
) -> AnswerHandler:
    """Return a handler that streams events with a name; its first stream falls silent once.

    Args:
        name: the name.
        seconds: length of the silence, in seconds.
        before: number of events before it; at 0 not even the head comes before.
    """
    silences = [seconds]

    async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
        headers = (
            (b"Damsonlane-Request-Id", read_id(request)),
            (b"Content-Type", b"text/event-stream"),
        )
        silence = silences.pop() if silences else 0.0
        first = int(request.find(b"last-event-id") or 0) + 1
        if not before:
            await asyncio.sleep(silence)
        writer.start(HttpHead(status=200, headers=headers))
        for number in range(first, EVENT_COUNT + 1):
            await writer.send(f"id: {number}\ndata: {name}\n\n".encode())
            if number == before:
                await asyncio.sleep(silence)
        writer.finish()

    return answer


def answer_after(seconds: float) -> AnswerHandler:
    """Return a handler that answers late."""

    async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
        await asyncio.sleep(seconds)
        await answer_ok(request, writer)

    return answer


class SilentTargetTestCase(unittest.IsolatedAsyncioTestCase):
    """One entry, and targets of which the first one that is tried falls silent."""

    async def start(
        self, *targets: FakeTarget, slack: float = 20.0, document: RoutingDocument | None = None
    ) -> Entry:
        entry = Entry(document or make_document(), slack=slack)
        await entry.start(*[await target.start() for target in targets])
        self.addAsyncCleanup(entry.stop)
        for target in targets:
            self.addAsyncCleanup(target.stop)
        return entry

    def assert_whole(self, response: Response) -> None:
        """Assert that a caller got each event once, in order, and the end."""
        numbers = [event.number for event in read_events(response)]
        self.assertEqual((response.status, numbers), (200, [*range(1, EVENT_COUNT + 1)]))
        self.assertTrue(response.is_whole())


def make_pair(make: Callable[[str], AnswerHandler]) -> tuple[FakeTarget, FakeTarget]:
    """Return two targets whose handlers are made with their names."""
    return FakeTarget("t0", make("t0")), FakeTarget("t1", make("t1"))


def count_requests(*targets: FakeTarget) -> int:
    return sum(len(target.requests) for target in targets)


class HeldStreamTest(SilentTargetTestCase):
    async def test_a_stream_of_a_silent_target_is_not_cut_where_no_retry_is_allowed(self) -> None:
        targets = make_pair(stream_with_silence)
        entry = await self.start(*targets, slack=0.0)
        self.assert_whole(await entry.call("/chat/a", deadline_ms=DEADLINE_MS))
        self.assertEqual(count_requests(*targets), 1)

    async def test_a_stream_is_not_cut_for_a_target_that_rejects_it_late(self) -> None:
        """Guards against a silent target that is given up for one that has not accepted."""
        begin = stream_with_silence("t0", LATE_SECONDS + SILENT_SECONDS)

        async def reject(request: HttpRequest, writer: ResponseWriter) -> None:
            await asyncio.sleep(LATE_SECONDS)
            await answer_with(409, has_run=False)(request, writer)

        async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
            await (reject if request.find(b"last-event-id") else begin)(request, writer)

        targets = make_pair(lambda _: answer)
        entry = await self.start(*targets)
        self.assert_whole(await entry.call("/chat/a", deadline_ms=DEADLINE_MS))
        self.assertGreater(count_requests(*targets), 1)

    async def test_a_stream_of_a_silent_target_is_not_cut_where_its_stages_fail_again(self) -> None:
        target = FakeTarget("t0", stream_with_silence("t0"))
        other = FakeTarget("t1", stream_with_silence("t1"))
        calls: list[HttpRequest] = []
        make_piece = make_piece_handler(lambda: pool.address)

        async def compute_once(request: HttpRequest, writer: ResponseWriter) -> None:
            if not request.path.endswith("/free"):
                calls.append(request)
                if len(calls) > 1:
                    failed = [{"fault": "failed"} for _ in json.loads(request.body)["pieces"]]
                    body = json.dumps({"pieces": failed}).encode()
                    writer.send_response(HttpResponse(status=200, body=body))
                    return
            await make_piece(request, writer)

        pool = FakeTarget("p0", compute_once, "pool")
        entry = await self.start(target, other, pool)
        headers = "Damsonlane-Pieces: 1\r\n"
        path = "/staged-chat/a"
        self.assert_whole(await entry.call(path, headers=headers, deadline_ms=DEADLINE_MS))
        self.assertEqual(count_requests(target, other), 1)

    async def test_a_request_whose_target_is_late_is_not_failed_where_no_retry_is_allowed(
        self,
    ) -> None:
        targets = make_pair(lambda _: answer_after(1.3))
        entry = await self.start(*targets, slack=0.0)
        response = await entry.call("/ping/a", deadline_ms=2_000)
        self.assertEqual((response.status, count_requests(*targets)), (200, 1))

    async def test_the_head_of_a_stream_that_is_late_is_read_where_no_retry_is_allowed(
        self,
    ) -> None:
        targets = make_pair(lambda name: stream_with_silence(name, 1.3, before=0))
        entry = await self.start(*targets, slack=0.0)
        self.assert_whole(await entry.call("/chat/a", deadline_ms=2_000))
        self.assertEqual(count_requests(*targets), 1)

    async def test_a_stream_goes_on_where_the_other_target_rejects_it(self) -> None:
        first = FakeTarget("t0", stream_with_silence("t0"))
        entry = await self.start(first)
        reader, writer = await entry.send("/chat/a", deadline_ms=DEADLINE_MS)
        while not first.requests:
            await asyncio.sleep(0.01)
        full = FakeTarget("t1", answer_with(503, has_run=False))
        self.addAsyncCleanup(full.stop)
        entry.put_targets(await full.start(), *entry.view.open_targets_of("desk"))
        data = await reader.read()
        writer.close()
        self.assert_whole(Response(status=int(data[9:12]), data=data))
        self.assertTrue(full.requests)


class ReplacedStreamTest(SilentTargetTestCase):
    async def test_a_stream_goes_on_at_another_target_and_the_silent_one_stops(self) -> None:
        first = FakeTarget("t0", stream_with_silence("t0", 10.0))
        entry = await self.start(first)
        reader, writer = await entry.send("/chat/a", deadline_ms=DEADLINE_MS)
        while not first.requests:
            await asyncio.sleep(0.01)
        second = FakeTarget("t1", stream_with_silence("t1", 0.0))
        self.addAsyncCleanup(second.stop)
        entry.put_targets(await second.start(), *entry.view.open_targets_of("desk"))
        data = await reader.read()
        writer.close()
        response = Response(status=int(data[9:12]), data=data)
        self.assert_whole(response)
        makers = [event.version for event in read_events(response)]
        self.assertEqual(makers, ["t0"] * EVENTS_BEFORE + ["t1"] * (EVENT_COUNT - EVENTS_BEFORE))
        async with asyncio.timeout(1.0):
            await first.gone.wait()


class HeldStageCallTest(SilentTargetTestCase):
    """Calls to the targets of a pool are silent after 0.65 s or a little more."""

    async def call_staged(self, entry: Entry) -> Response:
        return await entry.call(
            "/staged-chat/a", headers="Damsonlane-Pieces: 1\r\n", deadline_ms=DEADLINE_MS
        )

    async def test_a_stage_call_of_a_silent_target_is_read_where_no_other_target_has_its_pieces(
        self,
    ) -> None:
        target = FakeTarget("t0", stream_with_silence("t0", 0.0))
        pool = FakeTarget("p0", make_piece_handler(lambda: pool.address, seconds=2.5), "pool")
        entry = await self.start(target, pool)
        self.assert_whole(await self.call_staged(entry))
        calls = [request for request in pool.requests if not request.path.endswith("/free")]
        self.assertEqual(len(calls), 1)

    async def test_stage_calls_are_read_where_all_targets_are_silent(self) -> None:
        target = FakeTarget("t0", stream_with_silence("t0", 0.0))
        pools: list[FakeTarget] = []

        def find_address(index: int) -> str:
            return pools[index].address

        for index in range(4):
            handler = make_piece_handler(partial(find_address, index), seconds=2.8)
            pools.append(FakeTarget(f"p{index}", handler, "pool"))
        entry = await self.start(target, *pools)
        self.assert_whole(await self.call_staged(entry))

    async def test_a_silent_stage_call_ends_once_another_target_has_computed_its_pieces(
        self,
    ) -> None:
        target = FakeTarget("t0", stream_with_silence("t0", 0.0))
        first = FakeTarget("p0", hang, "pool")
        entry = await self.start(target, first)
        caller = asyncio.create_task(self.call_staged(entry))
        while not first.requests:
            await asyncio.sleep(0.01)
        second = FakeTarget("p1", make_piece_handler(lambda: second.address), "pool")
        self.addAsyncCleanup(second.stop)
        entry.put_targets(
            await second.start(),
            *entry.view.open_targets_of("desk"),
            *entry.view.open_targets_of("pool"),
        )
        self.assert_whole(await caller)
        async with asyncio.timeout(1.0):
            await first.gone.wait()


class ChangesTest(SilentTargetTestCase):
    """What changes while a target is silent does not end what it has begun."""

    async def check(self, change: Change) -> None:
        """Change something during the silences of a stream, of a late head and of a stage call.

        Args:
            change: is given the entry, the targets that are silent, and the others.
        """
        pool = FakeTarget("p0", make_piece_handler(lambda: pool.address, seconds=1.0), "pool")
        cases = (
            (stream_with_silence("t0"), "/chat/a"),
            (stream_with_silence("t0", 1.3, before=0), "/chat/a"),
            (stream_with_silence("t0", 0.0), "/staged-chat/a"),
        )
        for answer, path in cases:
            with self.subTest(path):
                target = FakeTarget("t0", answer)
                entry = await self.start(target, pool)
                headers = "Damsonlane-Pieces: 1\r\n" if "staged" in path else ""
                call = entry.call(path, headers=headers, deadline_ms=2_500)
                caller = asyncio.create_task(call)
                while not (target.requests or pool.requests):
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.7 * SILENT_SECONDS)
                desk, pools = (entry.view.open_targets_of(name) for name in ("desk", "pool"))
                change(entry, *((pools, desk) if "staged" in path else (desk, pools)))
                self.assert_whole(await caller)
                await pool.stop()
                pool.requests.clear()

    async def test_time_out_and_idle_limit_change(self) -> None:
        def change(entry: Entry, *_: Sequence[TargetRecord]) -> None:
            document = make_document()
            routes = tuple(replace(route, timeout_seconds=0.5) for route in document.routes)
            limits = replace(document.limits, idle_seconds=0.1)
            entry.replace_document(replace(document, version=2, routes=routes, limits=limits))

        await self.check(change)

    async def test_the_routes_are_removed(self) -> None:
        await self.check(
            lambda entry, *_: entry.replace_document(
                replace(make_document(), version=2, routes=DOCUMENT.routes[:1])
            )
        )

    async def test_heartbeats_of_the_targets_lapse(self) -> None:
        await self.check(
            lambda entry, silent, others: entry.put_targets(
                *others, *(replace(record, standing="silent", sequence=9) for record in silent)
            )
        )

    async def test_a_core_that_has_just_started_does_not_list_the_targets(self) -> None:
        await self.check(lambda entry, _, others: entry.put_targets(*others))

    async def test_another_version_of_the_targets_is_rolled_out(self) -> None:
        def change(
            entry: Entry, silent: Sequence[TargetRecord], others: Sequence[TargetRecord]
        ) -> None:
            newer = [
                replace(record, target=f"new-{record.target}", version="v2", address="127.0.0.1:9")
                for record in silent
            ]
            leaving = [replace(record, standing="leaving", sequence=9) for record in silent]
            entry.put_targets(*others, *newer, *leaving)

        await self.check(change)
