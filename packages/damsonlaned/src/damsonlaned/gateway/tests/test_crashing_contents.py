"""Requests, no two alike, that share something else than a part on which targets exit."""

import asyncio
import json
import unittest

from damsonlane.quarantine import EXITS_TO_QUARANTINE, RequestCauses, list_shared_causes
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
from damsonlaned.quarantine import KnownQuarantine, LostTarget, Quarantine, RequestQuarantine
from damsonlaned.quarantine._quarantine import CONFIRM_SECONDS


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


if __name__ == "__main__":
    unittest.main()
