"""A stream that is passed on to another entry goes on at the version that began it."""

import asyncio
import itertools
from dataclasses import replace
from unittest import mock

from damsonlane.routes import WeightedService
from damsonlaned.gateway.tests.harness import TEST_TIMEOUT_SECONDS, Response
from damsonlaned.relay import RelayedRequest, RelayWriter
from damsonlaned.relay.tests.test_unreachable_targets import CUT_DOCUMENT, CutTestCase
from damsonlaned.versions.tests.streams import (
    EVENT_COUNT,
    VersionedTarget,
    begin,
    read_events,
    resume,
)

#: Streams in each case.
STREAM_COUNT = 6


class RelayedVersionsTest(CutTestCase):
    document = CUT_DOCUMENT

    async def start_versions(self) -> None:
        await self.start_fleet(
            *(VersionedTarget(f"t{number}", f"v{number % 2}") for number in range(4)), count=3
        )

    def check_whole(self, data: bytes) -> None:
        events = read_events(Response(status=200, data=data))
        self.assertEqual([event.number for event in events], list(range(1, EVENT_COUNT + 1)))
        self.assertEqual(len({event.version for event in events}), 1, events)

    async def test_a_stream_that_its_entry_passes_on_midway_goes_on_at_its_version(self) -> None:
        for _ in range(STREAM_COUNT):
            await self.start_versions()
            reader, writer = await self.fleet.entries[0].send("/chat/a", deadline_ms=4_000)
            data = await reader.readuntil(b"id: 2\n")
            await self.cut(0, "reset")
            self.check_whole(data + await reader.read())
            writer.close()
            await self.stop_fleet()

    async def test_a_stream_that_was_passed_on_is_resumed_at_a_third_entry(self) -> None:
        await self.start_versions()
        await self.fleet.entries[0].call("/chat/a", request_id="first")
        await self.cut(0, "refuse")
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while self.fleet.entries[0].reach.is_reached("desk"):
                await self.fleet.entries[0].call("/chat/a", deadline_ms=4_000)
        for number in range(STREAM_COUNT):
            self.assertFalse(self.fleet.entries[0].reach.is_reached("desk"))
            reader, writer = await self.fleet.entries[0].send(
                "/chat/a", request_id=f"a{number}", deadline_ms=4_000
            )
            data = await reader.readuntil(b"id: 2\n") + await reader.readuntil(b"\n\n")
            writer.close()
            events = read_events(Response(status=200, data=data))
            response = await resume(self.fleet.entries[2], f"b{number}", f"a{number}", events)
            self.check_whole(data + response.data)

    async def test_a_stream_that_began_at_two_entries_goes_on_at_the_version_of_the_first(
        self,
    ) -> None:
        """Guards against the origin of a run whose events never reached the caller."""
        old, new = VersionedTarget("t1", "v1"), VersionedTarget("t2", "v2")
        await self.start_fleet(old, new, count=3)
        caller_entry, lost, helper = self.fleet.entries
        for entry, version in ((lost, "v1"), (helper, "v2")):
            records = entry.view.targets_of("desk")
            entry.put_targets(*(record for record in records if record.version == version))
        await self.cut(0, "refuse")
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while caller_entry.reach.is_reached("desk"):
                await caller_entry.call("/chat/a", deadline_ms=4_000)
        serve = lost.relay_service._serve
        failed: list[RelayedRequest] = []

        async def begin_and_fail(relayed: RelayedRequest, _: RelayWriter) -> str:
            writer = RelayWriter()
            serving = asyncio.ensure_future(serve(relayed, writer))
            while not writer.has_started and not serving.done():
                await asyncio.sleep(0)
            serving.cancel()
            failed.append(relayed)
            raise ConnectionResetError

        with (
            mock.patch.object(lost.relay_service, "_serve", begin_and_fail),
            mock.patch.object(helper.origins._client, "tell"),
        ):
            for number in itertools.count():
                failed.clear()
                events = await begin(caller_entry, f"a{number}")
                if events and failed:
                    break
        response = await resume(lost, "b", f"a{number}", events)
        versions = {event.version for event in [*events, *read_events(response)]}
        self.assertEqual(versions, {"v2"})

    async def test_a_stream_that_was_passed_on_goes_on_at_another_service(self) -> None:
        """Guards against entries whose routes lead to different services of one version."""
        old, new = VersionedTarget("t1", "v1"), VersionedTarget("t2", "new", service="desk2")
        # Versions of different services may have the same text.
        new._version = "v1"
        await self.start_fleet(old, new)
        caller_entry, helper = self.fleet.entries
        helper.replace_document(
            replace(
                CUT_DOCUMENT,
                version=CUT_DOCUMENT.version + 1,
                routes=tuple(
                    replace(route, services=(WeightedService(service="desk2", weight=1.0),))
                    if route.name == "chat"
                    else route
                    for route in CUT_DOCUMENT.routes
                ),
                services=(
                    *CUT_DOCUMENT.services,
                    replace(CUT_DOCUMENT.services[0], name="desk2"),
                ),
            )
        )
        await self.cut(0, "refuse")
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while caller_entry.reach.is_reached("desk"):
                await caller_entry.call("/chat/a", deadline_ms=4_000)
        serve = helper.relay_service._serve

        async def begin_and_fail(relayed: RelayedRequest, writer: RelayWriter) -> str:
            serving = asyncio.ensure_future(serve(relayed, writer))
            while not writer.has_started and not serving.done():
                await asyncio.sleep(0)
            # The other entry gets the first events.
            await asyncio.sleep(0.02)
            serving.cancel()
            await self.heal(0)
            while caller_entry.reach._services["desk"].state == "unreached":
                await asyncio.sleep(0.01)
            raise ConnectionResetError

        with mock.patch.object(helper.relay_service, "_serve", begin_and_fail):
            reader, writer = await caller_entry.send("/chat/a", deadline_ms=4_000)
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                data = await reader.read()
            writer.close()
        events = read_events(Response(status=200, data=data))
        self.assertEqual({event.version for event in events}, {"new"}, events)
