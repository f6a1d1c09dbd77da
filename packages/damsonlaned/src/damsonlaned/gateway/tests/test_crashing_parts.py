"""Requests that share one part of their prompts, on which targets exit."""

import asyncio
import unittest
from collections.abc import Sequence
from dataclasses import replace

from damsonlane.quarantine import RequestCauses, list_shared_causes
from damsonlaned.gateway.tests.harness import Entry, Response, stream_events
from damsonlaned.gateway.tests.test_quarantine import Fleet
from damsonlaned.http import HttpRequest
from damsonlaned.quarantine import LostTarget, RequestQuarantine
from damsonlaned.quarantine._quarantine import CONFIRM_SECONDS

#: Exits after which no further target may exit on a part, but under requests already there.
MAX_EXITS = 5
DEADLY = "dead0001"


def list_parts(request: HttpRequest) -> list[str]:
    """Return the identities of the parts of a prompt."""
    header = request.find(b"damsonlane-prefix") or ""
    return [part.partition(":")[0] for part in header.split(",")]


def is_deadly(request: HttpRequest) -> bool:
    return DEADLY in list_parts(request)[:-1]


def make_prefix(*shared: str, own: str) -> str:
    parts = ",".join(f"{part}:100" for part in (*shared, own))
    return f"Damsonlane-Prefix: {parts}\r\n"


class VersionedFleet(Fleet):
    """A fleet whose targets have one of two versions by turns."""

    async def add(self, service: str) -> None:
        await super().add(service)
        name = list(self.records)[-1]
        version = f"v{int(name.rpartition('-')[2]) % 2}"
        self.records[name] = replace(self.records[name], version=version)


class CrashingPartTestCase(unittest.IsolatedAsyncioTestCase):
    #: Makes the fleet.
    make_fleet: type[Fleet] = Fleet

    async def asyncSetUp(self) -> None:
        self.fleet = self.make_fleet(stream_events(1, 3))
        self.fleet.is_deadly = is_deadly
        self.sent = 0
        await self.fleet.start(10)
        self.addAsyncCleanup(self.fleet.stop)

    async def send(self, *shared: str, path: str = "/chat") -> Response:
        """Send a request that is like no other one, at each entry by turns."""
        self.sent += 1
        headers = make_prefix(*shared, own=f"own{self.sent}")
        return await self.fleet.send(self.sent, f"{path}/{self.sent}", headers)

    async def send_all(self, count: int, *shared: str) -> list[int]:
        return [(await self.send(*shared)).status for _ in range(count)]

    def assert_served(self, statuses: Sequence[int]) -> None:
        self.assertEqual(list(statuses), [200] * len(statuses))

    def list_held(self) -> list[tuple[str, ...]]:
        held = self.fleet.control.state.quarantine.list_for_entries().held
        return [request.names for request in held]


class CrashingPartTest(CrashingPartTestCase):
    async def test_requests_that_share_a_part_make_target_after_target_exit(self) -> None:
        self.assert_served(await self.send_all(4, "first"))
        deadly = await self.send_all(20, "first", DEADLY)
        self.assertLessEqual(len(self.fleet.exited), MAX_EXITS)
        self.assertEqual(set(deadly[MAX_EXITS:]), {503})
        self.assert_served(await self.send_all(10, "first", "other"))

    async def test_a_deadly_first_part_leaves_requests_with_the_second_one_alone(self) -> None:
        await self.send_all(10, DEADLY, "second")
        self.assertLessEqual(len(self.fleet.exited), MAX_EXITS)
        self.assert_served(await self.send_all(10, "first", "second"))

    async def test_an_innocent_part_that_nearly_always_comes_with_it_is_served(self) -> None:
        for number in range(20):
            await self.send(DEADLY, *(("mate",) if number % 10 else ()))
        self.assertLessEqual(len(self.fleet.exited), MAX_EXITS)
        self.assert_served(await self.send_all(10, "mate"))

    async def test_two_deadly_parts_cost_no_more_than_the_bound_for_each(self) -> None:
        self.fleet.is_deadly = lambda request: any(
            part.startswith("dead") for part in list_parts(request)[:-1]
        )
        for number in range(24):
            await self.send(*(("dead1",), ("dead2",), ("dead1", "dead2"))[number % 3])
        self.assertLessEqual(len(self.fleet.exited), 2 * MAX_EXITS)
        exited = len(self.fleet.exited)
        await self.send_all(6, "dead1", "other")
        await self.send_all(6, "dead2", "other")
        self.assertEqual(len(self.fleet.exited), exited)

    async def test_entries_that_start_again_send_none_of_them(self) -> None:
        await self.send_all(6, "first", DEADLY)
        exited = len(self.fleet.exited)
        for number, entry in enumerate(self.fleet.entries):
            await entry.stop()
            self.fleet.control.views.remove(entry.view)
            self.fleet.entries[number] = Entry(control=self.fleet.control)
            await self.fleet.entries[number].start(*self.fleet.records.values())
            self.fleet.entries[number].view.quarantine.put(
                self.fleet.control.state.quarantine.list_for_entries()
            )
        await asyncio.sleep(CONFIRM_SECONDS)
        self.assertEqual(set(await self.send_all(10, "first", DEADLY)), {503})
        self.assertEqual(len(self.fleet.exited), exited)

    async def test_an_entry_counts_parts_itself_while_control_is_unreachable(self) -> None:
        self.fleet.control.is_reachable = False
        for _ in range(10):
            self.sent += 1
            headers = make_prefix("first", DEADLY, own=f"own{self.sent}")
            await self.fleet.entries[0].call(f"/chat/{self.sent}", headers=headers)
            await self.fleet.replace_exited()
        self.assertLessEqual(len(self.fleet.exited), MAX_EXITS)

    async def test_the_last_part_of_a_prompt_is_no_shared_one(self) -> None:
        await self.send_all(6, "first", DEADLY)
        own = await self.fleet.send(0, "/chat/own", make_prefix("first", own=DEADLY))
        self.assertEqual(own.status, 200)

    async def test_a_popular_part_under_a_lost_rack_is_not_quarantined(self) -> None:
        """One entry has served it, the other one has only lost requests with it."""
        served, quarantine = (
            RequestQuarantine(
                entry.quarantine,
                causes=RequestCauses(shared=list_shared_causes(parts=["popular"])),
                service="desk",
                stage_causes=RequestCauses(),
                stages=(),
                list_versions=lambda: [""],
            )
            for entry in self.fleet.entries
        )
        served.record_served()
        for number in range(8):
            self.fleet.entries[1].quarantine.record_exit(
                LostTarget(target=f"t{number}", address="", start=0), (quarantine.make_run(0.1),)
            )
            self.assertIsNone(quarantine.find())
        await asyncio.sleep(2 * CONFIRM_SECONDS)
        self.assertNotIn("part:popular", [name for names in self.list_held() for name in names])
        self.assertIsNone(quarantine.find())


class CrashingVersionTest(CrashingPartTestCase):
    make_fleet = VersionedFleet

    async def test_a_part_that_one_version_does_not_bear_is_served_by_the_other(self) -> None:
        def is_deadly_at_v1(request: HttpRequest) -> bool:
            name = request.find(b"damsonlane-target") or ""
            return is_deadly(request) and self.fleet.records[name].version == "v1"

        self.fleet.is_deadly = is_deadly_at_v1
        await self.send_all(30, "first", DEADLY)
        self.assertLessEqual(len(self.fleet.exited), MAX_EXITS)
        self.assert_served(await self.send_all(10, "first", DEADLY))
        self.assertLessEqual(len(self.fleet.exited), MAX_EXITS)


if __name__ == "__main__":
    unittest.main()
