"""Requests that end targets, at entries that share one control."""

import asyncio
import json
import unittest
from collections.abc import Callable
from unittest import mock

from damsonlane.quarantine import (
    ENDS_TO_HOLD,
    ENDS_TO_HOLD_ALIKE,
    BrokenRun,
    ReleaseRequest,
)
from damsonlane.targets import TargetRecord
from damsonlaned.gateway._pool_owner import PoolOwner
from damsonlaned.gateway.tests.harness import (
    PATIENCE,
    Answer,
    Control,
    Entry,
    Response,
    StandIn,
    answer_well,
    hang,
    make_pieces,
    stream_events,
)
from damsonlaned.http import HttpRequest, Reply
from damsonlaned.quarantine import LostTarget

#: What no target survives.
DEADLY = "/once/deadly"


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0.005)


class Fleet:
    """Two entries with one control, and targets that end and start again."""

    def __init__(self, others: Answer = answer_well) -> None:
        self.control = Control()
        self.entries = [Entry(control=self.control) for _ in range(2)]
        self.targets: dict[str, StandIn] = {}
        self.records: dict[str, TargetRecord] = {}
        #: Targets that ended.
        self.ended: list[str] = []
        #: Whether a request ends its target.
        self.is_deadly: Callable[[HttpRequest], bool] = lambda request: "deadly" in request.path
        #: Events of a stream that are sent before its target ends.
        self.events = 0
        self._others = others
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, count: int = 4, service: str = "desk") -> None:
        for _ in range(count):
            await self.add(service)
        for entry in self.entries:
            await entry.start(*self.records.values())

    async def stop(self) -> None:
        for entry in self.entries:
            await entry.stop()
            await entry.quarantine.stop()
        for target in self.targets.values():
            await target.stop()

    async def add(self, service: str) -> None:
        name = f"{service}-{len(self.targets)}"

        async def answer(request: HttpRequest, reply: Reply) -> None:
            if not self.is_deadly(request):
                await self._others(request, reply)
                return
            if self.events:
                with mock.patch.object(reply, "finish"):
                    await stream_events(1, self.events)(request, reply)
            self._end(name)
            await hang(request, reply)

        self.targets[name] = StandIn(name, answer, service)
        self.records[name] = await self.targets[name].start()

    def _end(self, name: str) -> None:
        if name not in self.ended:
            self.ended.append(name)
            task = asyncio.get_running_loop().create_task(self.targets[name].stop())
            self._tasks.add(task)

    async def replace_ended(self) -> None:
        """Start new targets for those that ended, and have all entries know."""
        for name in self.ended:
            if self.records.pop(name, None) is not None:
                await self.add(self.targets[name].service)
        for entry in self.entries:
            entry.put_targets(*self.records.values())

    async def send(self, number: int, path: str = DEADLY, headers: str = "") -> Response:
        response = await self.entries[number % 2].call(path, headers=headers)
        await self.replace_ended()
        return response

    async def end_three(self) -> None:
        for number in range(ENDS_TO_HOLD):
            await self.send(number)


class HeldRequestTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)

    async def test_a_caller_that_returns_at_any_entry_ends_three_targets_and_no_more(self) -> None:
        responses = [await self.fleet.send(number) for number in range(8)]
        self.assertEqual(len(self.fleet.ended), ENDS_TO_HOLD)
        self.assertEqual([response.status for response in responses], [502] * 3 + [503] * 5)
        for response in responses[ENDS_TO_HOLD:]:
            self.assertIn(b"retry-after", response.data.lower())

    async def test_tries_of_one_request_at_two_targets_each_count(self) -> None:
        for number in range(4):
            await self.fleet.send(number, "/ping/deadly")
        self.assertEqual(len(self.fleet.ended), ENDS_TO_HOLD)

    async def test_other_requests_of_that_caller_and_path_are_served(self) -> None:
        await self.fleet.end_three()
        for number, headers in enumerate(("Content-Length: 0\r\n", "")):
            self.assertEqual((await self.fleet.send(number, "/once/a", headers)).status, 200)
        query = await self.fleet.send(0, "/once/a?about=deadly")
        self.assertEqual(query.status, 200)

    async def test_one_that_waits_when_it_becomes_known_is_told_at_once(self) -> None:
        """It waits for an answer at another target, which drops it and lives."""
        await self.fleet.send(0)
        await self.fleet.send(1)
        self.fleet.is_deadly = lambda request: False
        self.fleet._others = hang
        waiting = asyncio.ensure_future(self.fleet.entries[0].call(DEADLY))
        await wait_until(lambda: any(self._is_at_target(name) for name in self.fleet.records))
        self.fleet.is_deadly = lambda request: True
        await self.fleet.send(1)
        response = await waiting
        self.assertEqual(response.status, 502)
        self.assertEqual(len(self.fleet.ended), ENDS_TO_HOLD)

    def _is_at_target(self, name: str) -> bool:
        return bool(self.fleet.targets[name].requests)

    async def test_a_stream_is_not_taken_up_where_it_would_end_one_more(self) -> None:
        self.fleet.events = 2
        responses = [await self.fleet.send(number, "/chat/deadly") for number in range(6)]
        self.assertEqual(len(self.fleet.ended), ENDS_TO_HOLD)
        self.assertFalse(responses[1].is_whole())
        self.assertEqual({response.status for response in responses[2:]}, {503})

    async def test_while_control_cannot_be_reached_an_entry_counts_by_itself(self) -> None:
        self.fleet.control.is_reachable = False
        for _ in range(6):
            await self.fleet.send(0)
        self.assertEqual(len(self.fleet.ended), ENDS_TO_HOLD)
        self.fleet.control.is_reachable = True
        await wait_until(lambda: bool(self.fleet.entries[1].view.quarantine.newest.held))
        self.assertEqual((await self.fleet.send(1)).status, 503)

    async def test_what_control_released_is_not_held_by_an_entry_that_saw_it(self) -> None:
        for _ in range(ENDS_TO_HOLD):
            await self.fleet.send(0)
        held = self.fleet.control.state.quarantine.list_for_entries().held
        release = ReleaseRequest(fingerprint=held[0].fingerprint, operator="o", at=0.0)
        self.fleet.control.release(release)
        self.fleet.control.is_reachable = False
        await self.fleet.send(0, "/once/another-deadly")
        ended = len(self.fleet.ended)
        await self.fleet.send(0)
        self.assertEqual(len(self.fleet.ended), ended + 1)

    async def test_a_request_that_is_served_after_all_is_not_held(self) -> None:
        await self.fleet.send(0)
        await self.fleet.send(1)
        self.fleet.is_deadly = lambda request: False
        self.assertEqual((await self.fleet.send(0)).status, 200)
        self.fleet.is_deadly = lambda request: True
        for number in range(3):
            await self.fleet.send(number)
        # The entry that served it says so for a minute, so only word of the other one counts.
        held = self.fleet.control.state.quarantine.list_for_entries().held
        self.assertEqual(held, ())

    async def test_the_loss_of_many_targets_holds_nothing_that_was_served_before(
        self,
    ) -> None:
        entry = self.fleet.entries[0]
        self.assertEqual((await self.fleet.send(0, "/once/a")).status, 200)
        served = next(iter(entry.quarantine._served._served_at))
        for name in list(self.fleet.records):
            lost = LostTarget(target=name, address="", start=0)
            entry.quarantine.take_end(lost, (BrokenRun(fingerprint=served, seconds=1.0),))
        await asyncio.sleep(0)
        self.assertEqual(self.fleet.control.state.quarantine.snapshot().ends, ())

    async def test_a_target_that_only_breaks_connections_is_word_against_nobody(self) -> None:
        async def cut(request: HttpRequest, reply: Reply) -> None:
            reply.cut()

        self.fleet._others = cut
        for number in range(8):
            await self.fleet.send(number, "/once/a")
        self.fleet._others = answer_well
        self.assertEqual((await self.fleet.send(0, "/once/a")).status, 200)

    async def test_an_older_list_changes_nothing(self) -> None:
        view = self.fleet.entries[0].view
        older = view.quarantine.newest
        await self.fleet.end_three()
        view.quarantine.put(older)
        self.assertEqual((await self.fleet.send(0)).status, 503)


class HeldPieceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet(make_pieces(lambda: "127.0.0.1:1"))
        self.fleet.is_deadly = self._has_deadly_piece
        await self.fleet.start(4, "pool")
        desk = StandIn("desk-1", answer_well)
        self.fleet.targets["desk-1"] = desk
        self.fleet.records["desk-1"] = await desk.start()
        await self.fleet.replace_ended()
        self.addAsyncCleanup(self.fleet.stop)

    def _has_deadly_piece(self, request: HttpRequest) -> bool:
        if request.path.endswith("/free"):
            return False
        return any(
            piece["material_key"] == "deadly" for piece in json.loads(request.body)["pieces"]
        )

    async def _send(self, number: int, key: str) -> int:
        headers = f"Damsonlane-Pieces: 1,0\r\nDamsonlane-Material-Key: {key}\r\n"
        return (await self.fleet.send(number, f"/staged/{key}", headers)).status

    async def test_pieces_of_a_request_end_three_targets_and_no_more(self) -> None:
        statuses = [await self._send(number, "deadly") for number in range(6)]
        self.assertEqual(len(self.fleet.ended), ENDS_TO_HOLD)
        self.assertEqual(statuses, [503] * 6)
        self.assertEqual(await self._send(0, "other"), 200)

    async def test_what_came_in_the_same_calls_is_served_in_the_end(self) -> None:
        for number in range(ENDS_TO_HOLD_ALIKE):
            mate = asyncio.ensure_future(self._send(0, "mate"))
            await asyncio.gather(self._send(number, "deadly"), mate)
        self.assertLessEqual(len(self.fleet.ended), ENDS_TO_HOLD_ALIKE)
        self.assertEqual(await self._send(0, "mate"), 200)
        self.assertEqual(await self._send(0, "deadly"), 503)

    async def test_an_owner_takes_no_pieces_of_a_held_request(self) -> None:
        for number in range(4):
            await self._send(number, "deadly")
        owner: PoolOwner = self.fleet.entries[0].owners.get("pool")
        self.assertEqual(owner.count_waiting(), 0)


if __name__ == "__main__":
    unittest.main()
