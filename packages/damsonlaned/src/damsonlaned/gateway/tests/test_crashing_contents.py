"""Requests, no two alike, that share something else than a part on which targets exit."""

import asyncio
import json
import unittest
from dataclasses import replace
from unittest import mock

from damsonlane.pools import PieceOrder
from damsonlane.quarantine import (
    EXITS_TO_QUARANTINE,
    MAX_FAILED_TRIALS,
    RequestCauses,
    list_shared_causes,
)
from damsonlaned.gateway.tests.harness import (
    Control,
    FakeTarget,
    Response,
    answer_ok,
    make_piece_handler,
)
from damsonlaned.gateway.tests.test_crashing_parts import MAX_EXITS
from damsonlaned.gateway.tests.test_quarantine import Fleet
from damsonlaned.http import HttpRequest
from damsonlaned.quarantine import (
    KnownQuarantine,
    LostTarget,
    PieceQuarantine,
    Quarantine,
    RequestQuarantine,
)
from damsonlaned.quarantine._quarantine import CONFIRM_SECONDS

#: Seconds between two trials of what is quarantined.
_TRIAL_SECONDS = 0.2
_ORDER = PieceOrder(
    number=1,
    request="r",
    stage=0,
    piece=0,
    material_key="popular",
    inputs=(),
    left_seconds=5.0,
    aim_left_seconds=1.0,
    give_up_left_seconds=5.0,
    rank=0,
    result_bytes=100,
)


class CrashingMaterialTest(unittest.IsolatedAsyncioTestCase):
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
        return (await self.fleet.send(number, f"/staged/{number}", headers)).status

    async def test_requests_that_share_material_make_pool_target_after_pool_target_exit(
        self,
    ) -> None:
        statuses = [await self._send(number, "deadly") for number in range(14)]
        self.assertLessEqual(len(self.fleet.exited), MAX_EXITS)
        self.assertEqual(statuses, [503] * 14)
        others = [await self._send(number, f"m{number}") for number in range(6)]
        self.assertEqual(others, [200] * 6)


class CrashingBodyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.fleet.is_deadly = lambda request: request.body == b"deadly"
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)

    async def _send(self, number: int, body: str) -> Response:
        headers = f"Content-Length: {len(body)}\r\n\r\n{body}"
        return await self.fleet.send(number, f"/once/{number}", headers)

    async def test_requests_that_share_a_body_make_target_after_target_exit(self) -> None:
        statuses = [(await self._send(number, "deadly")).status for number in range(10)]
        self.assertLessEqual(len(self.fleet.exited), MAX_EXITS)
        self.assertEqual(set(statuses[MAX_EXITS:]), {503})
        others = [(await self._send(number, "sound")).status for number in range(6)]
        self.assertEqual(others, [200] * 6)


class CrashingCopyTest(unittest.IsolatedAsyncioTestCase):
    def _make(self, name: str) -> RequestQuarantine:
        """Return what the quarantine says about a request that is like no other one."""
        return RequestQuarantine(
            self.quarantine,
            causes=RequestCauses(request=name, shared=list_shared_causes(parts=["popular"])),
            service="llm",
            stage_causes=RequestCauses(),
            stages=(),
            list_versions=lambda: [""],
        )

    async def asyncSetUp(self) -> None:
        self.quarantine = Quarantine(KnownQuarantine(), Control().submit)
        served = self._make("served")
        served.begin_attempt("", "")
        served.record_served()

    async def test_engines_that_copy_from_one_exit_one_after_the_other(self) -> None:
        for number in range(EXITS_TO_QUARANTINE):
            request = self._make(f"f{number}")
            self.assertTrue(request.may_copy("10.0.0.1:80", ""))
            request.begin_attempt("", "10.0.0.1:80")
            lost = LostTarget(target=f"t{number}", address="", start=0)
            self.quarantine.record_exit(lost, [request.make_run(0.2)])
        await asyncio.sleep(2 * CONFIRM_SECONDS)
        another = self._make("f9")
        self.assertFalse(another.may_copy("10.0.0.1:80", ""))
        self.assertTrue(another.may_copy("10.0.0.2:80", ""))
        self.assertIsNone(another.find())


@mock.patch("damsonlane.quarantine._registry.SAME_LOSS_SECONDS", _TRIAL_SECONDS / 4)
@mock.patch("damsonlane.quarantine._trials.TRIAL_SECONDS", _TRIAL_SECONDS)
class PopularMaterialTest(unittest.IsolatedAsyncioTestCase):
    """Targets are lost for another reason while they have requests with the same material."""

    async def asyncSetUp(self) -> None:
        self.quarantine = Quarantine(KnownQuarantine(), Control().submit)
        self.count = 0

    def _make(self) -> RequestQuarantine:
        self.count += 1
        shared = list_shared_causes(material_key="popular")
        return RequestQuarantine(
            self.quarantine,
            causes=RequestCauses(request=f"f{self.count}", shared=shared),
            service="pool",
            stage_causes=RequestCauses(),
            stages=(),
            list_versions=lambda: [""],
        )

    async def _lose(self, request: RequestQuarantine) -> None:
        request.begin_attempt("", "")
        lost = LostTarget(target=f"t{self.count}", address="", start=0)
        self.quarantine.record_exit(lost, [request.make_run(0.2)])
        request.end_attempt()
        await asyncio.sleep(2 * CONFIRM_SECONDS if self.count == EXITS_TO_QUARANTINE else 0)

    async def _lose_all(self) -> None:
        for _ in range(EXITS_TO_QUARANTINE):
            await self._lose(self._make())

    async def _find_trial(self) -> RequestQuarantine | None:
        """Return the next request that is let through, or None if none is for some time."""
        for _ in range(40):
            if (request := self._make()).find() is None:
                return request
            await asyncio.sleep(_TRIAL_SECONDS / 8)
        return None

    async def test_popular_material_is_refused_for_an_hour_since_targets_were_lost(self) -> None:
        await self._lose_all()
        trial = await self._find_trial()
        assert trial is not None
        # One at a time; the others are refused until it has been served.
        self.assertIsNotNone(self._make().find())
        trial.begin_attempt("", "")
        self.assertIsNone(trial.find())
        trial.record_served()
        await asyncio.sleep(0.05)
        self.assertIsNone(self._make().find())

    async def test_a_trial_is_repeated_at_another_target(self) -> None:
        await self._lose_all()
        trial = await self._find_trial()
        assert trial is not None
        trial.begin_attempt("", "")
        self.assertTrue(trial.is_trial())
        # Whether or not it is known yet that its target exited.
        trial.end_attempt()
        self.assertIsNotNone(trial.find())

    async def test_material_that_goes_on_to_crash_targets_is_tried_a_few_times_only(self) -> None:
        await self._lose_all()
        trials = 0
        while (trial := await self._find_trial()) is not None:
            trials += 1
            trial.begin_attempt("", "")
            await self._lose(trial)
            self.assertIsNotNone(trial.find())
        self.assertEqual(trials, MAX_FAILED_TRIALS)

    async def test_a_pool_computes_all_pieces_of_the_request_that_is_tried(self) -> None:
        await self._lose_all()
        pool = PieceQuarantine(self.quarantine, "pool")
        shared = list_shared_causes(material_key="popular")
        for _ in range(40):
            first = replace(_ORDER, fingerprint="f90", shared_causes=shared)
            if not pool.is_quarantined(first):
                break
            await asyncio.sleep(_TRIAL_SECONDS / 8)
        another = replace(_ORDER, fingerprint="f91", shared_causes=shared)
        self.assertFalse(pool.is_quarantined(first))
        self.assertTrue(pool.is_quarantined(another))


if __name__ == "__main__":
    unittest.main()
