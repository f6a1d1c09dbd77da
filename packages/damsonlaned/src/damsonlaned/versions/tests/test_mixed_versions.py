"""An event stream goes on only at targets of the software version that began it."""

import unittest
from dataclasses import replace

from damsonlane.routes import EngineProperties
from damsonlane.targets import TargetRecord
from damsonlaned.gateway.tests.fleet import Fleet
from damsonlaned.gateway.tests.harness import DOCUMENT
from damsonlaned.versions.tests.streams import (
    EVENT_COUNT,
    Event,
    VersionedTarget,
    begin,
    read_events,
    resume,
)

#: Streams in each case.
STREAM_COUNT = 12
#: Fleets whose targets break off one stream of each version.
FLEET_COUNT = 4


class MixedVersionsTest(unittest.IsolatedAsyncioTestCase):
    #: Routing document of the fleet.
    document = DOCUMENT

    async def start_fleet(self, count: int = 3, *, cut_after: int = 0) -> None:
        """Start entries, and two targets of each of two versions.

        Args:
            count: number of entries.
            cut_after: events after which the first stream of one target of each version breaks.
        """
        self.records: list[TargetRecord] = []
        for version in ("v1", "v2"):
            for index in range(2):
                target = VersionedTarget(
                    f"{version}-{index}", version, cut_after=cut_after if index == 0 else 0
                )
                self.addAsyncCleanup(target.stop)
                self.records.append(await target.start())
        self.fleet = Fleet(count, self.document)
        await self.fleet.start(self, self.records)

    def check_whole(self, events: list[Event]) -> None:
        """Check that a stream is whole and that one version made it."""
        self.assertEqual([event.number for event in events], list(range(1, EVENT_COUNT + 1)))
        self.assertEqual(len({event.version for event in events}), 1, events)

    async def test_a_stream_that_a_target_broke_off_holds_events_of_two_versions(self) -> None:
        for _ in range(FLEET_COUNT):
            await self.start_fleet(1, cut_after=2)
            responses = [
                await self.fleet.entries[0].call("/chat/a", request_id=f"a{number}")
                for number in range(4)
            ]
            for response in responses:
                self.check_whole(read_events(response))

    async def test_a_stream_resumed_at_another_entry_holds_events_of_two_versions(self) -> None:
        await self.start_fleet()
        for number in range(STREAM_COUNT):
            first, second = (self.fleet.entries[(number + step) % 3] for step in range(2))
            events = await begin(first, f"a{number}")
            response = await resume(second, f"b{number}", f"a{number}", events)
            self.check_whole([*events, *read_events(response)])

    async def test_a_stream_whose_entry_was_lost_holds_events_of_two_versions(self) -> None:
        await self.start_fleet(4)
        begun = [await begin(self.fleet.entries[0], f"a{number}") for number in range(STREAM_COUNT)]
        await self.fleet.entries[0].stop()
        await self.fleet.stop_serving(0)
        for number, events in enumerate(begun):
            response = await resume(
                self.fleet.entries[1 + number % 3], f"b{number}", f"a{number}", events
            )
            self.check_whole([*events, *read_events(response)])


class MixedEngineVersionsTest(MixedVersionsTest):
    """The same with engines, whose prompts one entry places for all."""

    document = replace(
        DOCUMENT,
        services=(
            replace(
                DOCUMENT.services[0],
                engine=EngineProperties(
                    slots=4, cache_tokens=100_000, token_bytes=1, link_speed=1e9
                ),
            ),
            *DOCUMENT.services[1:],
        ),
    )


if __name__ == "__main__":
    unittest.main()
