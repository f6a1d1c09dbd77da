"""Targets that send bytes without end: callers get true responses, and memory stays bounded."""

import asyncio
import unittest
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Final
from unittest import mock

from damsonlane.reach import ProbeResult
from damsonlane.routes import RoutingDocument
from damsonlaned.gateway.tests.endless_target import (
    ENDLESS_BODIES,
    ENDLESS_EVENTS,
    ENDLESS_HEADS,
    ENDLESS_STREAMS,
    EndlessForm,
    EndlessTarget,
)
from damsonlaned.gateway.tests.harness import (
    DOCUMENT,
    TEST_TIMEOUT_SECONDS,
    AnswerHandler,
    Entry,
    FakeTarget,
    answer_ok,
    make_piece_handler,
    read_id,
    stream_events,
)
from damsonlaned.http import CollectionBudget, HttpHead, HttpRequest, ResponseWriter
from damsonlaned.relay._probe import probe_target
from damsonlaned.requests._events import EventSplitter

#: Headers of a request with two stages.
_STAGE_HEADERS: Final = "Damsonlane-Pieces: 1,1\r\nDamsonlane-Material-Key: m\r\n"
#: Requests that are sent at once, and how often.
_CALLERS: Final = 10
_ROUNDS: Final = 3
#: Bytes that a target may send on a connection: the largest body and what the kernel buffers.
_MOST_SENT_BYTES: Final = 32 * 2**20
#: Routes whose time-outs are longer than a busy machine takes to read the endless responses.
_PATIENT_DOCUMENT: Final = replace(
    DOCUMENT,
    routes=tuple(replace(route, timeout_seconds=TEST_TIMEOUT_SECONDS) for route in DOCUMENT.routes),
)
#: Size of an event that does not end, in bytes, and how many of them a budget holds.
_UNFINISHED_BYTES: Final = 400_000
_UNFINISHED_KEPT: Final = 3
#: Connections that an endless target may get: those of the first callers, and a few more.
_MOST_CONNECTIONS: Final = 2 * _CALLERS


class EndlessCase(unittest.IsolatedAsyncioTestCase):
    async def start(
        self,
        endless: EndlessTarget,
        targets: Sequence[FakeTarget],
        others: Sequence[FakeTarget],
        document: RoutingDocument = DOCUMENT,
    ) -> Entry:
        """Start an entry with an endless target, sound ones of its service, and others."""
        records = [endless.start()]
        self.addCleanup(endless.stop)
        for target in (*targets, *others):
            records.append(await target.start())
            self.addAsyncCleanup(target.stop)
        entry = Entry(document)
        await entry.start(*records)
        self.addAsyncCleanup(entry.stop)
        return entry

    async def call_all(self, entry: Entry, prefix: str) -> list[int]:
        """Send some rounds of requests; return the statuses of whole responses, 0 for others."""
        statuses = []
        for number in range(_ROUNDS):
            paths = [f"{prefix}{number}-{caller}" for caller in range(_CALLERS)]
            responses = await asyncio.gather(
                *(entry.call(path, deadline_ms=int(1_000 * TEST_TIMEOUT_SECONDS)) for path in paths)
            )
            statuses += [each.status if each.is_whole() else 0 for each in responses]
        return statuses

    async def assert_closed(self, endless: EndlessTarget) -> None:
        """Check that the entry closes all connections to the target."""
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while endless.count_open():
                await asyncio.sleep(0.01)

    async def assert_given_up(self, endless: EndlessTarget) -> None:
        """Check that the entry closed all connections to the target, early, and avoids it."""
        await self.assert_closed(endless)
        self.assertLessEqual(max(endless.sent, default=0), _MOST_SENT_BYTES)
        self.assertLessEqual(endless.accepted, _MOST_CONNECTIONS)


class EndlessResponsesTest(EndlessCase):
    async def check_served(
        self, forms: Mapping[str, EndlessForm], prefix: str, answer: AnswerHandler
    ) -> None:
        """Check that sound targets beside an endless one serve all requests."""
        for name, form in forms.items():
            with self.subTest(name):
                endless = EndlessTarget("t1", form)
                sound = [FakeTarget(f"t{number}", answer) for number in (2, 3)]
                entry = await self.start(endless, sound, (), _PATIENT_DOCUMENT)
                statuses = await self.call_all(entry, prefix)
                self.assertEqual(statuses, [200] * _CALLERS * _ROUNDS)
                await self.assert_given_up(endless)

    async def test_heads_of_responses_to_safe_requests(self) -> None:
        """Guards against informational responses that keep the event loop busy."""
        await self.check_served(ENDLESS_HEADS, "/ping/", answer_ok)

    async def test_bodies_of_responses_to_safe_requests(self) -> None:
        """Guards against bodies that fill the memory of an entry until it ends."""
        await self.check_served(ENDLESS_BODIES, "/ping/", answer_ok)

    async def test_heads_of_streams(self) -> None:
        """The same as with safe requests, where a stream is awaited."""
        await self.check_served(ENDLESS_HEADS, "/chat/", stream_events(1, 5))

    async def test_event_streams(self) -> None:
        """Guards against blank events and small parts that keep the event loop busy."""
        await self.check_served(ENDLESS_STREAMS, "/chat/", stream_events(1, 5))

    async def test_events_without_end_are_cut_at_the_deadline(self) -> None:
        """The caller has what came until then, and the response never looks complete."""
        endless = EndlessTarget("t1", ENDLESS_EVENTS)
        entry = await self.start(endless, (), ())
        response = await entry.call("/draft/a")
        self.assertEqual(response.status, 200)
        self.assertFalse(response.is_whole())
        await self.assert_closed(endless)

    async def test_a_request_that_must_run_once_ends_with_a_failure(self) -> None:
        """Without another target there is nothing to serve, and nothing may be sent twice."""
        endless = EndlessTarget("t1", ENDLESS_BODIES["no length"])
        entry = await self.start(endless, (), ())
        response = await entry.call("/once/a")
        self.assertEqual(response.status, 502)
        self.assertTrue(response.is_whole())
        await self.assert_given_up(endless)

    async def test_stage_calls_are_repeated_at_other_targets(self) -> None:
        forms = {
            **{f"head: {name}": form for name, form in ENDLESS_HEADS.items()},
            **{name: _answer_pool_call(form) for name, form in ENDLESS_BODIES.items()},
        }
        for name, form in forms.items():
            with self.subTest(name):
                endless = EndlessTarget("p1", form, "pool")
                pool = FakeTarget("p2", make_piece_handler(lambda: "p2"), "pool")
                entry = await self.start(endless, (pool,), (FakeTarget("t1", answer_ok),))
                response = await entry.call("/staged/a", headers=_STAGE_HEADERS)
                self.assertEqual(response.status, 200)
                await self.assert_given_up(endless)


class EndlessProbeTest(EndlessCase):
    async def test_a_probe_of_the_health_ends_with_the_first_byte(self) -> None:
        """A target that sends anything is reached; whether it is sound, requests show."""
        for name, form in {**ENDLESS_HEADS, **ENDLESS_BODIES}.items():
            with self.subTest(name):
                endless = EndlessTarget("t1", form, health_path="/other")
                address = endless.start().address
                self.addCleanup(endless.stop)
                result = await probe_target(address, "/endless")
                self.assertEqual(result, ProbeResult.ANSWERED)
                await self.assert_given_up(endless)


class UnfinishedEventsTest(EndlessCase):
    async def test_the_sum_of_unfinished_events_is_limited(self) -> None:
        """Guards against many streams that each hold an event below the limit of one."""

        async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
            headers = (
                (b"Damsonlane-Request-Id", read_id(request)),
                (b"Content-Type", b"text/event-stream"),
            )
            writer.start(HttpHead(status=200, headers=headers))
            await writer.send(b"data: " + b"x" * _UNFINISHED_BYTES)
            await asyncio.sleep(TEST_TIMEOUT_SECONDS)

        target = FakeTarget("t1", answer)
        record = replace(await target.start(), slots=2 * _CALLERS)
        self.addAsyncCleanup(target.stop)
        entry = Entry(_PATIENT_DOCUMENT)
        self.addAsyncCleanup(entry.stop)
        budget = CollectionBudget(_UNFINISHED_KEPT * _UNFINISHED_BYTES + _UNFINISHED_BYTES // 2)
        with mock.patch.object(entry.connections, "_budget", budget):
            await entry.start(record)
            calls = [
                entry.call("/draft/a", request_id=f"r{n}", deadline_ms=6_000)
                for n in range(_CALLERS)
            ]
            responses = await asyncio.gather(*calls)
        # Those that are kept have no event by their deadline.
        statuses = [response.status for response in responses]
        self.assertEqual(statuses.count(504), _UNFINISHED_KEPT)
        self.assertEqual(statuses.count(502), _CALLERS - _UNFINISHED_KEPT)


class EventSplitterTest(unittest.TestCase):
    def test_events_are_found_however_their_bytes_arrive(self) -> None:
        data = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\rdata: c\r\rdata: rest"
        for size in range(1, len(data) + 1):
            splitter = EventSplitter()
            parts = (data[begin : begin + size] for begin in range(0, len(data), size))
            events = [event for part in parts for event in splitter.feed(part)]
            self.assertEqual([event.event_id for event in events], ["1", "2", "3"])
            self.assertEqual(splitter.pending_bytes, len(b"data: rest"))
            self.assertEqual(b"".join(event.data for event in events), data[: -len(b"data: rest")])


class CollectionBudgetTest(unittest.TestCase):
    def test_the_largest_body_is_given_up_first(self) -> None:
        budget = CollectionBudget(100)
        given_up: list[str] = []

        def give_up_small() -> None:
            given_up.append("small")

        def give_up_large() -> None:
            given_up.append("large")

        budget.record(give_up_large, 70)
        budget.record(give_up_small, 30)
        self.assertEqual(given_up, [])
        budget.record(give_up_small, 31)
        self.assertEqual(given_up, ["large"])
        budget.record(give_up_large, 0)
        budget.record(give_up_small, 100)
        self.assertEqual(given_up, ["large"])

    def test_a_box_with_little_memory_collects_less(self) -> None:
        self.assertEqual(CollectionBudget.for_memory(160 * 2**20).body_bytes, 16 * 2**20)
        self.assertEqual(CollectionBudget.for_memory(64 * 2**20).body_bytes, 8 * 2**20)


def _answer_pool_call(form: EndlessForm) -> EndlessForm:
    """Return a form for the calls of stages, which have no id in their head."""
    beginning = form.beginning.replace(b"Damsonlane-Request-Id: {id}\r\n", b"")
    return EndlessForm(beginning=beginning, repeated=form.repeated)


if __name__ == "__main__":
    unittest.main()
