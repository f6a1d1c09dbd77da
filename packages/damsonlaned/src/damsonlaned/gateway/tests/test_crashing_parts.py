"""Requests that share one part of their prompts, on which targets exit, at entries of one control."""

import unittest
from collections.abc import Sequence

from damsonlaned.gateway.tests.harness import Response, stream_events
from damsonlaned.gateway.tests.test_quarantine import Fleet
from damsonlaned.http import HttpRequest

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


class CrashingPartTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet(stream_events(1, 3))
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


class CrashingPartTest(CrashingPartTestCase):
    async def test_requests_that_share_a_part_make_target_after_target_exit(self) -> None:
        self.assert_served(await self.send_all(4, "first"))
        deadly = await self.send_all(20, "first", DEADLY)
        self.assertLessEqual(len(self.fleet.exited), MAX_EXITS)
        self.assertEqual(set(deadly[MAX_EXITS:]), {503})
        self.assert_served(await self.send_all(10, "first", "other"))


if __name__ == "__main__":
    unittest.main()
