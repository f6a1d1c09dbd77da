"""Requests under which targets exit, at entries that share one control."""

import asyncio
import json
import unittest
from collections.abc import Callable
from unittest import mock

from damsonlane.quarantine import (
    EXITS_TO_QUARANTINE,
    EXITS_TO_QUARANTINE_TIED,
    InterruptedRequest,
    ReleaseRequest,
)
from damsonlane.targets import TargetRecord
from damsonlaned.gateway._pool_owner import PoolOwner
from damsonlaned.gateway.tests.harness import (
    TEST_TIMEOUT_SECONDS,
    AnswerHandler,
    Control,
    Entry,
    FakeTarget,
    Response,
    answer_ok,
    hang,
    make_piece_handler,
    stream_events,
)
from damsonlaned.http import HttpRequest, ResponseWriter
from damsonlaned.quarantine import LostTarget

#: Path of requests under which every target exits.
DEADLY_PATH = "/once/deadly"


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.005)


class Fleet:
    """Two entries with one control, and targets that exit and are replaced."""

    def __init__(self, default_answer: AnswerHandler = answer_ok) -> None:
        self.control = Control()
        self.entries = [Entry(control=self.control) for _ in range(2)]
        self.targets: dict[str, FakeTarget] = {}
        self.records: dict[str, TargetRecord] = {}
        #: Targets that exited.
        self.exited: list[str] = []
        #: Returns whether a target exits under a request.
        self.is_deadly: Callable[[HttpRequest], bool] = lambda request: "deadly" in request.path
        #: Number of events that a stream sends before its target exits.
        self.events = 0
        self._default_answer = default_answer
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

        async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
            if not self.is_deadly(request):
                await self._default_answer(request, writer)
                return
            if self.events:
                with mock.patch.object(writer, "finish"):
                    await stream_events(1, self.events)(request, writer)
            self._exit(name)
            await hang(request, writer)

        self.targets[name] = FakeTarget(name, answer, service)
        self.records[name] = await self.targets[name].start()

    def _exit(self, name: str) -> None:
        if name not in self.exited:
            self.exited.append(name)
            task = asyncio.get_running_loop().create_task(self.targets[name].stop())
            self._tasks.add(task)

    async def replace_exited(self) -> None:
        """Start new targets for those that exited, and list them to all entries."""
        for name in self.exited:
            if self.records.pop(name, None) is not None:
                await self.add(self.targets[name].service)
        for entry in self.entries:
            entry.put_targets(*self.records.values())

    async def send(self, number: int, path: str = DEADLY_PATH, headers: str = "") -> Response:
        response = await self.entries[number % 2].call(path, headers=headers)
        await self.replace_exited()
        return response

    async def exit_until_quarantined(self) -> None:
        for number in range(EXITS_TO_QUARANTINE):
            await self.send(number)


class QuarantinedRequestTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)

    async def test_a_caller_that_retries_at_any_entry_costs_three_targets_and_no_more(self) -> None:
        responses = [await self.fleet.send(number) for number in range(8)]
        self.assertEqual(len(self.fleet.exited), EXITS_TO_QUARANTINE)
        self.assertEqual([response.status for response in responses], [502] * 3 + [503] * 5)
        for response in responses[EXITS_TO_QUARANTINE:]:
            self.assertIn(b"retry-after", response.data.lower())

    async def test_attempts_of_one_request_at_two_targets_each_count(self) -> None:
        for number in range(4):
            await self.fleet.send(number, "/ping/deadly")
        self.assertEqual(len(self.fleet.exited), EXITS_TO_QUARANTINE)

    async def test_other_requests_of_that_caller_and_path_are_served(self) -> None:
        await self.fleet.exit_until_quarantined()
        for number, headers in enumerate(("Content-Length: 0\r\n", "")):
            self.assertEqual((await self.fleet.send(number, "/once/a", headers)).status, 200)
        query = await self.fleet.send(0, "/once/a?about=deadly")
        self.assertEqual(query.status, 200)

    async def test_a_request_in_progress_is_refused_when_it_is_quarantined(self) -> None:
        """Its target drops it and does not exit."""
        await self.fleet.send(0)
        await self.fleet.send(1)
        self.fleet.is_deadly = lambda request: False
        self.fleet._default_answer = hang
        waiting = asyncio.ensure_future(self.fleet.entries[0].call(DEADLY_PATH))
        await wait_until(lambda: any(self._is_at_target(name) for name in self.fleet.records))
        self.fleet.is_deadly = lambda request: True
        await self.fleet.send(1)
        response = await waiting
        self.assertEqual(response.status, 502)
        self.assertEqual(len(self.fleet.exited), EXITS_TO_QUARANTINE)

    def _is_at_target(self, name: str) -> bool:
        return bool(self.fleet.targets[name].requests)

    async def test_a_quarantined_stream_is_not_resumed(self) -> None:
        self.fleet.events = 2
        responses = [await self.fleet.send(number, "/chat/deadly") for number in range(6)]
        self.assertEqual(len(self.fleet.exited), EXITS_TO_QUARANTINE)
        self.assertFalse(responses[1].is_whole())
        self.assertEqual({response.status for response in responses[2:]}, {503})

    async def test_an_entry_counts_exits_itself_while_control_is_unreachable(self) -> None:
        self.fleet.control.is_reachable = False
        for _ in range(6):
            await self.fleet.send(0)
        self.assertEqual(len(self.fleet.exited), EXITS_TO_QUARANTINE)
        self.fleet.control.is_reachable = True
        await wait_until(lambda: bool(self.fleet.entries[1].view.quarantine.newest.held))
        self.assertEqual((await self.fleet.send(1)).status, 503)

    async def test_a_released_request_is_not_quarantined_by_an_entry_that_saw_its_exits(
        self,
    ) -> None:
        for _ in range(EXITS_TO_QUARANTINE):
            await self.fleet.send(0)
        quarantined = self.fleet.control.state.quarantine.list_for_entries().held
        release = ReleaseRequest(fingerprint=quarantined[0].fingerprint, operator="o", at=0.0)
        self.fleet.control.release(release)
        self.fleet.control.is_reachable = False
        await self.fleet.send(0, "/once/another-deadly")
        exited = len(self.fleet.exited)
        await self.fleet.send(0)
        self.assertEqual(len(self.fleet.exited), exited + 1)

    async def test_a_request_that_was_served_is_not_quarantined(self) -> None:
        await self.fleet.send(0)
        await self.fleet.send(1)
        self.fleet.is_deadly = lambda request: False
        self.assertEqual((await self.fleet.send(0)).status, 200)
        self.fleet.is_deadly = lambda request: True
        for number in range(3):
            await self.fleet.send(number)
        # The entry that served it vouches for it for a minute, so only exits at the other count.
        quarantined = self.fleet.control.state.quarantine.list_for_entries().held
        self.assertEqual(quarantined, ())

    async def test_the_loss_of_many_targets_does_not_quarantine_a_served_request(self) -> None:
        entry = self.fleet.entries[0]
        self.assertEqual((await self.fleet.send(0, "/once/a")).status, 200)
        served = next(iter(entry.quarantine._served._served_at))
        for name in list(self.fleet.records):
            lost = LostTarget(target=name, address="", start=0)
            entry.quarantine.record_exit(
                lost, (InterruptedRequest(fingerprint=served, seconds=1.0),)
            )
        await asyncio.sleep(0)
        self.assertEqual(self.fleet.control.state.quarantine.snapshot().ends, ())

    async def test_broken_connections_alone_count_against_no_request(self) -> None:
        async def cut(request: HttpRequest, writer: ResponseWriter) -> None:
            writer.abort()

        self.fleet._default_answer = cut
        for number in range(8):
            await self.fleet.send(number, "/once/a")
        self.fleet._default_answer = answer_ok
        self.assertEqual((await self.fleet.send(0, "/once/a")).status, 200)

    async def test_an_older_list_is_ignored(self) -> None:
        view = self.fleet.entries[0].view
        older = view.quarantine.newest
        await self.fleet.exit_until_quarantined()
        view.quarantine.put(older)
        self.assertEqual((await self.fleet.send(0)).status, 503)


class QuarantinedPieceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet(make_piece_handler(lambda: "127.0.0.1:1"))
        self.fleet.is_deadly = self._has_deadly_piece
        await self.fleet.start(4, "pool")
        desk = FakeTarget("desk-1", answer_ok)
        self.fleet.targets["desk-1"] = desk
        self.fleet.records["desk-1"] = await desk.start()
        await self.fleet.replace_exited()
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

    async def test_pieces_of_a_request_cost_three_targets_and_no_more(self) -> None:
        statuses = [await self._send(number, "deadly") for number in range(6)]
        self.assertEqual(len(self.fleet.exited), EXITS_TO_QUARANTINE)
        self.assertEqual(statuses, [503] * 6)
        self.assertEqual(await self._send(0, "other"), 200)

    async def test_pieces_in_the_same_calls_are_served_eventually(self) -> None:
        for number in range(EXITS_TO_QUARANTINE_TIED):
            same_call = asyncio.ensure_future(self._send(0, "mate"))
            await asyncio.gather(self._send(number, "deadly"), same_call)
        self.assertLessEqual(len(self.fleet.exited), EXITS_TO_QUARANTINE_TIED)
        self.assertEqual(await self._send(0, "mate"), 200)
        self.assertEqual(await self._send(0, "deadly"), 503)

    async def test_an_owner_accepts_no_pieces_of_a_quarantined_request(self) -> None:
        for number in range(4):
            await self._send(number, "deadly")
        owner: PoolOwner = self.fleet.entries[0].owners.get("pool")
        self.assertEqual(owner.count_waiting(), 0)


if __name__ == "__main__":
    unittest.main()
