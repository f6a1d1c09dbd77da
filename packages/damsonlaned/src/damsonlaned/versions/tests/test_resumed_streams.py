"""Streams that callers resume: where they go on, and when they are refused."""

import asyncio
import json
import unittest
from dataclasses import replace
from unittest import mock

from damsonlane.placement import PlacementRequest
from damsonlane.routes import EngineProperties, RoutingDocument, Service, WeightedService
from damsonlane.targets import ServiceVersion, TargetRecord
from damsonlane.versions import SteadyVersion, StreamOrigin
from damsonlaned.gateway.tests.fleet import Fleet
from damsonlaned.gateway.tests.harness import DOCUMENT, TEST_TIMEOUT_SECONDS, Entry, Response
from damsonlaned.versions.tests.streams import (
    EVENT_COUNT,
    Event,
    VersionedTarget,
    begin,
    read_events,
    resume,
)

#: A stream that broke off after its second event.
BROKEN = [Event(number=1, version="v1"), Event(number=2, version="v1")]
#: Time for which a version must have served alone, in seconds.
LONG = 1_000.0


WITH_ENGINES = replace(
    DOCUMENT,
    services=(
        replace(DOCUMENT.services[0], engine=EngineProperties(slots=4, cache_tokens=100_000)),
        *DOCUMENT.services[1:],
    ),
)


def split_chat(version: int, *names: str) -> RoutingDocument:
    """Return a document whose resumable route leads to these services."""
    shares = tuple(WeightedService(service=name, weight=1.0) for name in names)
    return replace(
        DOCUMENT,
        version=version,
        routes=tuple(
            replace(route, services=shares) if route.name == "chat" else route
            for route in DOCUMENT.routes
        ),
        services=(*DOCUMENT.services, Service(name="desk2", most_connections=20)),
    )


class ResumedStreamsTest(unittest.IsolatedAsyncioTestCase):
    async def start_fleet(
        self, *targets: VersionedTarget, count: int = 3, document: RoutingDocument = DOCUMENT
    ) -> None:
        self.targets = targets
        records: list[TargetRecord] = []
        for target in targets:
            self.addAsyncCleanup(target.stop)
            records.append(await target.start())
        self.records = records
        self.fleet = Fleet(count, document)
        await self.fleet.start(self, records)
        self.entry = self.fleet.entries[0]

    async def begin_both(self) -> list[list[Event]]:
        """Begin streams until some began at each of two versions."""
        begun: list[list[Event]] = []
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while len({events[0].version for events in begun}) < 2:
                begun.append(await begin(self.entry, f"a{len(begun)}"))
        return begun

    def report_steady(self, entry: Entry, *, seconds: float = LONG, service: str = "desk") -> None:
        """Let control report that v1 alone has served at an entry."""
        steady = SteadyVersion(service=service, version="v1", seconds=seconds)
        entry.view.put_steady_versions([steady])
        entry.versions.confirmed = [ServiceVersion(service=service, version="v1", revision=0)]
        entry.view.steady_versions.confirm(asyncio.get_running_loop().time())

    def check_refused(self, response: Response) -> None:
        """Check that a request was refused, not run, with a time to return."""
        self.assertEqual(response.status, 503)
        head, _, body = response.data.partition(b"\r\n\r\n")
        self.assertIn(b"retry-after:", head.lower())
        self.assertEqual(json.loads(body)["run"], "no")

    def check_went_on(self, events: list[Event], response: Response) -> None:
        events = [*events, *read_events(response)]
        self.assertEqual([event.number for event in events], list(range(1, EVENT_COUNT + 1)))
        self.assertEqual(len({event.version for event in events}), 1, events)

    def count_runs(self) -> int:
        return sum(len(target.requests) for target in self.targets)

    def find_outcomes(self, entry: Entry) -> dict[str, float]:
        """Return the counts of resumed streams by outcome."""
        values = entry.metrics.resumed_streams.values
        return {
            labels["outcome"]: values[labels]
            for labels in (
                {"outcome": name}
                for name in ("here", "told", "certain", "unknown", "no-target", "other-service")
            )
            if labels in values
        }

    async def test_a_stream_of_unknown_version_is_refused_at_once(self) -> None:
        await self.start_fleet(VersionedTarget("t1", "v1"), VersionedTarget("t2", "v2"))
        self.check_refused(await resume(self.entry, "b", "a", BROKEN))
        self.assertEqual(self.count_runs(), 0)

    async def test_a_stream_that_began_before_the_second_version_goes_on(self) -> None:
        await self.start_fleet(VersionedTarget("t1", "v1"), VersionedTarget("t2", "v1"))
        for entry in self.fleet.entries:
            self.report_steady(entry)
        with mock.patch.object(self.entry.origins._client, "tell") as tell:
            events = await begin(self.entry, "a")
            tell.assert_not_called()
        third = VersionedTarget("t3", "v2")
        self.addAsyncCleanup(third.stop)
        for entry in self.fleet.entries:
            entry.view.put_steady_versions([])
        self.fleet.put_targets(*self.records, await third.start())
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not any(entry.origins.find_here("a") for entry in self.fleet.entries[1:]):
                await asyncio.sleep(0.01)
        await self.entry.stop()
        await self.fleet.stop_serving(0)
        self.check_went_on(events, await resume(self.fleet.entries[1], "b", "a", events))

    async def start_late_entry(self) -> list[Event]:
        """Start a fleet whose last entry has missed a version, and begin a stream of that version.

        That entry reaches none of the others.
        """
        old, new = VersionedTarget("t1", "v1"), VersionedTarget("t2", "v2")
        await self.start_fleet(old, new)
        self.late = self.fleet.entries[-1]
        self.late.put_targets(self.records[0])
        self.report_steady(self.late)
        self.late.versions.confirmed = None
        self.entry.put_targets(self.records[1])
        with mock.patch.object(self.entry.origins._client, "tell"):
            events = await begin(self.entry, "a")
        for index in range(len(self.fleet.entries) - 1):
            await self.fleet.stop_serving(index)
        return events

    async def test_an_entry_cut_off_from_all_others_joins_two_versions(self) -> None:
        """Guards against a list of versions that counts after a newer version has joined."""
        events = await self.start_late_entry()
        self.check_refused(await resume(self.late, "b", "a", events))
        self.assertEqual(len(self.targets[0].requests), 0)

    async def test_a_version_that_joins_while_others_are_asked_is_missed(self) -> None:
        """Guards against a list of versions that is read before a wait and used after it."""
        events = await self.start_late_entry()
        find = self.late.origins._client.find

        async def find_meanwhile(attempt: str, **options: bool) -> object:
            self.late.view.put_steady_versions([])
            self.late.put_targets(*self.records)
            self.late.versions.confirmed = []
            return await find(attempt, **options)

        with mock.patch.object(self.late.origins._client, "find", find_meanwhile):
            self.check_refused(await resume(self.late, "b", "a", events))
        self.assertEqual(len(self.targets[0].requests), 0)

    async def test_a_stream_without_a_first_attempt_is_refused_among_versions(self) -> None:
        await self.start_fleet(VersionedTarget("t1", "v1"), VersionedTarget("t2", "v2"))
        self.check_refused(await resume(self.entry, "b", "", BROKEN))

    async def test_a_stream_goes_on_where_one_version_alone_has_served(self) -> None:
        for first_attempt in ("a", ""):
            await self.start_fleet(VersionedTarget("t1", "v1"))
            self.report_steady(self.entry)
            self.check_went_on(BROKEN, await resume(self.entry, "b", first_attempt, BROKEN))

    async def test_a_version_that_has_served_alone_since_a_later_revision_is_not_certain(
        self,
    ) -> None:
        """Guards against a list from before another version joined and left."""
        await self.start_fleet(VersionedTarget("t1", "v1"))
        self.report_steady(self.entry)
        self.entry.versions.confirmed = [ServiceVersion(service="desk", version="v1", revision=7)]
        self.check_refused(await resume(self.entry, "b", "a", BROKEN))

    async def test_a_version_that_has_served_alone_for_too_short_a_time_is_not_certain(
        self,
    ) -> None:
        await self.start_fleet(VersionedTarget("t1", "v1"))
        self.report_steady(self.entry, seconds=5.0)
        self.check_refused(await resume(self.entry, "b", "a", BROKEN))

    async def test_a_single_version_is_not_certain_on_a_split_route(self) -> None:
        await self.start_fleet(
            VersionedTarget("t1", "v1"), document=split_chat(1, "desk", "desk2"), count=1
        )
        self.report_steady(self.entry)
        self.check_refused(await resume(self.entry, "b", "a", BROKEN))

    async def test_a_stream_on_a_split_route_goes_on_at_its_service(self) -> None:
        await self.start_fleet(
            VersionedTarget("t1", "desk"),
            VersionedTarget("t2", "desk2", service="desk2"),
            document=split_chat(1, "desk", "desk2"),
        )
        for number in range(8):
            events = await begin(self.entry, f"a{number}")
            response = await resume(self.fleet.entries[1], f"b{number}", f"a{number}", events)
            self.check_went_on(events, response)

    async def test_a_stream_is_refused_if_its_route_has_left_its_service(self) -> None:
        await self.start_fleet(
            VersionedTarget("t1", "v1"), VersionedTarget("t2", "v1", service="desk2")
        )
        events = await begin(self.entry, "a")
        for entry in self.fleet.entries:
            entry.replace_document(split_chat(2, "desk2"))
        self.check_refused(await resume(self.fleet.entries[1], "b", "a", events))

    async def start_moved_route(self) -> list[Event]:
        """Begin a stream at a service, and then move its route to another one.

        A single version has always served each of them, so that nobody is told of the stream.
        """
        await self.start_fleet(
            VersionedTarget("t1", "v1"), VersionedTarget("t2", "other", service="desk2")
        )
        steady = [
            SteadyVersion(service="desk", version="v1", seconds=LONG),
            SteadyVersion(service="desk2", version="other", seconds=LONG),
        ]
        for entry in self.fleet.entries:
            entry.view.put_steady_versions(steady)
            entry.view.steady_versions.confirm(asyncio.get_running_loop().time())
            entry.versions.confirmed = [
                ServiceVersion(service=item.service, version=item.version, revision=0)
                for item in steady
            ]
        events = await begin(self.entry, "a")
        for entry in self.fleet.entries:
            entry.replace_document(split_chat(2, "desk2"))
        return events

    async def test_a_stream_whose_route_has_moved_goes_on_at_another_service(self) -> None:
        """Guards against a route that counts as the one by which a stream began."""
        events = await self.start_moved_route()
        await self.fleet.stop_serving(0)
        self.check_refused(await resume(self.fleet.entries[1], "b", "a", events))
        self.assertEqual(len(self.targets[1].requests), 0)

    async def test_an_entry_that_missed_a_document_joins_two_services(self) -> None:
        """Guards against an old list of routes that counts as the present."""
        await self.start_moved_route()
        late = self.fleet.entries[-1]
        late.view.table = None
        late.replace_document(split_chat(1, "desk"))
        late.versions.document_version = 2
        events = await begin(self.entry, "c")
        self.assertEqual({event.version for event in events}, {"other"})
        await self.fleet.stop_serving(0)
        before = len(self.targets[0].requests)
        self.check_refused(await resume(late, "d", "c", events))
        self.assertEqual(len(self.targets[0].requests), before)

    async def test_a_stream_whose_version_has_left_is_refused(self) -> None:
        await self.start_fleet(VersionedTarget("t1", "v1"), VersionedTarget("t2", "v2"))
        begun = await self.begin_both()
        self.fleet.put_targets(self.records[0].with_standing("leaving"), self.records[1])
        for number, events in enumerate(begun):
            response = await resume(self.fleet.entries[1], f"b{number}", f"a{number}", events)
            if events[0].version == "v1":
                self.check_refused(response)
            else:
                self.check_went_on(events, response)

    async def test_a_broken_stream_whose_version_has_left_is_cut_at_a_whole_event(self) -> None:
        await self.start_fleet(VersionedTarget("t1", "v1", cut_after=2), count=1)
        target = VersionedTarget("t2", "v2")
        self.addAsyncCleanup(target.stop)
        other = await target.start()
        reader, writer = await self.entry.send("/chat/a")
        await reader.readuntil(b"id: 1\n")
        self.entry.put_targets(self.records[0].with_standing("leaving"), other)
        with self.assertRaises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readuntil(b"id: 6\n")
        writer.close()
        self.assertEqual(target.requests, [])

    async def test_a_target_that_registers_during_the_choice_is_not_chosen(self) -> None:
        await self.start_fleet(VersionedTarget("t1", "v1"), count=1, document=WITH_ENGINES)
        later = VersionedTarget("t2", "v2")
        self.addAsyncCleanup(later.stop)
        record = await later.start()
        origin = StreamOrigin(attempt="a", service="desk", version="v1")
        self.entry.origins.record_told([origin], LONG)
        placed = mock.Mock(target="t2", source="")

        async def place(service: str, order: PlacementRequest) -> mock.Mock | None:
            if "t2" in order.avoid:
                return None
            self.entry.put_targets(*self.records, record)
            return placed

        with mock.patch.object(self.entry.attempts._placements, "place", place):
            self.check_went_on(BROKEN, await resume(self.entry, "b", "a", BROKEN))
        self.assertEqual(later.requests, [])

    async def test_two_tries_of_a_stream_at_once_go_on_at_one_version(self) -> None:
        await self.start_fleet(
            *(VersionedTarget(f"t{number}", f"v{number % 2}") for number in range(4))
        )
        for number in range(6):
            events = await begin(self.entry, f"a{number}")
            responses = await asyncio.gather(
                *(
                    resume(entry, f"{entry.address}-{number}", f"a{number}", events)
                    for entry in self.fleet.entries[1:]
                )
            )
            for response in responses:
                self.check_went_on(events, response)

    async def test_three_tries_at_three_entries_name_the_first_one(self) -> None:
        await self.start_fleet(
            *(VersionedTarget(f"t{number}", f"v{number % 2}") for number in range(4))
        )
        for number in range(6):
            events = await begin(self.entry, f"a{number}", 1)
            reader, writer = await self.fleet.entries[1].send(
                "/chat/a",
                request_id=f"b{number}",
                headers=f"Last-Event-Id: 1\r\nDamsonlane-Resumes: a{number}\r\n",
            )
            data = await reader.readuntil(b"id: 3\n")
            writer.close()
            events += read_events(Response(status=200, data=data))
            response = await resume(self.fleet.entries[2], f"c{number}", f"a{number}", events)
            self.check_went_on(events, response)

    async def test_a_lost_holder_is_replaced_by_the_next_one(self) -> None:
        await self.start_fleet(VersionedTarget("t1", "v1"), VersionedTarget("t2", "v2"), count=6)
        for index in (1, 2):
            await self.fleet.stop_serving(index)
        for number in range(12):
            events = await begin(self.entry, f"a{number}")
            response = await resume(
                self.fleet.entries[3 + number % 3], f"b{number}", f"a{number}", events
            )
            self.check_went_on(events, response)

    async def test_a_target_that_restarted_with_another_version_is_another_one(self) -> None:
        await self.start_fleet(VersionedTarget("t1", "v1"), VersionedTarget("t2", "v2"))
        begun = await self.begin_both()
        restarted = replace(self.records[0], start=5, version="v2")
        self.fleet.put_targets(restarted, self.records[1])
        for number, events in enumerate(begun):
            response = await resume(self.fleet.entries[1], f"b{number}", f"a{number}", events)
            if events[0].version == "v1":
                self.check_refused(response)

    async def test_a_request_names_the_incarnation_that_it_is_for(self) -> None:
        await self.start_fleet(VersionedTarget("t1", "v1"), count=1)
        self.entry.put_targets(replace(self.records[0], start=1_700_000_000_000))
        await begin(self.entry, "a")
        start = self.targets[0].requests[0].find(b"damsonlane-target-start")
        self.assertEqual(start, "1700000000000")

    async def test_the_outcome_of_resumed_streams_is_counted(self) -> None:
        await self.start_fleet(VersionedTarget("t1", "v1"), VersionedTarget("t2", "v2"))
        events = await begin(self.entry, "a")
        await resume(self.entry, "b", "a", events)
        await resume(self.entry, "c", "unheard of", events)
        origin = StreamOrigin(attempt="d", service="desk", version="v3")
        self.entry.origins.record_told([origin], LONG)
        self.check_refused(await resume(self.entry, "e", "d", events))
        outcomes = self.find_outcomes(self.entry)
        self.assertEqual(outcomes, {"here": 2, "unknown": 1, "no-target": 1})


if __name__ == "__main__":
    unittest.main()
