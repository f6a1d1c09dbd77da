"""Tests of reads of versions at the leader of control."""

import asyncio
import unittest

from damsonlane.errors import UnavailableError
from damsonlane.targets import ServiceVersion
from damsonlane_rpc import ControlClient, VersionsView
from damsonlaned.versions import VersionReader

#: Reads that are requested at once.
READ_COUNT = 20


def make_view(revision: int) -> VersionsView:
    version = ServiceVersion(service="desk", version="v1", revision=revision)
    return VersionsView(versions=(version,))


class Leader(ControlClient):
    """A leader that answers each query, when it is let, with the number of queries so far."""

    def __init__(self) -> None:
        super().__init__([])
        self.query_count = 0
        self.may_answer = asyncio.Event()
        self.is_reachable = True

    async def read_versions(self, seconds: float, *, attempt_seconds: float) -> VersionsView:
        self.query_count += 1
        view = make_view(self.query_count)
        await self.may_answer.wait()
        if not self.is_reachable:
            raise UnavailableError("no leader")
        return view


class VersionReaderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.leader = Leader()
        self.reader = VersionReader(self.leader)
        self.addAsyncCleanup(self.reader.stop)

    async def test_a_read_is_not_answered_by_a_query_from_before_it(self) -> None:
        first = asyncio.create_task(self.reader.read())
        while not self.leader.query_count:
            await asyncio.sleep(0)
        later = [asyncio.create_task(self.reader.read()) for _ in range(READ_COUNT)]
        await asyncio.sleep(0)
        self.leader.may_answer.set()
        self.assertEqual(await first, make_view(1))
        for read in later:
            self.assertEqual(await read, make_view(2))
        self.assertEqual(self.leader.query_count, 2)

    async def test_a_read_without_a_leader_confirms_nothing(self) -> None:
        self.leader.is_reachable = False
        self.leader.may_answer.set()
        self.assertIsNone(await self.reader.read())

    async def test_a_caller_that_leaves_ends_no_read_of_others(self) -> None:
        leaving, staying = (asyncio.create_task(self.reader.read()) for _ in range(2))
        while not self.leader.query_count:
            await asyncio.sleep(0)
        leaving.cancel()
        self.leader.may_answer.set()
        self.assertIsNotNone(await staying)


if __name__ == "__main__":
    unittest.main()
