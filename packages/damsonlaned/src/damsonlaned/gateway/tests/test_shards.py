"""Pools that are divided into shards with an owner each."""

import asyncio
import unittest
from collections.abc import Sequence
from dataclasses import replace
from typing import cast
from unittest import mock

from damsonlane.errors import UnavailableError
from damsonlane.membership import _owners
from damsonlane.pools import OwnedWork, PieceResult
from damsonlane.targets import DivideService, Shard, TargetRecord
from damsonlane_rpc import ControlClient, RpcService
from damsonlaned.gateway._pool_service import PoolService
from damsonlaned.gateway._shard_division import ShardDivision
from damsonlaned.gateway.tests.harness import (
    TEST_TIMEOUT_SECONDS,
    Entry,
    FakeTarget,
    answer_ok,
    make_box_record,
    make_piece_handler,
)
from damsonlaned.gateway.tests.test_links import ORDER, serve, wait_until
from damsonlaned.tests.addresses import find_free_address

#: Requests of the tests; each has one piece.
REQUESTS = 40


def make_pool_target(name: str, *, seconds: float = 0.0) -> FakeTarget:
    created: list[FakeTarget] = []
    created.append(
        FakeTarget(name, make_piece_handler(lambda: created[0].address, seconds=seconds), "pool")
    )
    return created[0]


def count_calls(target: FakeTarget, *, freed: bool = False) -> int:
    """Return the calls that computed pieces, or those that freed results."""
    return sum(request.path.endswith("/free") == freed for request in target.requests)


class ShardsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.targets = [make_pool_target(f"p{number}", seconds=0.02) for number in range(4)]
        self.records: list[TargetRecord] = []
        for target in self.targets:
            self.records.append(await target.start())
            self.addAsyncCleanup(target.stop)
        desk = FakeTarget("t1", answer_ok)
        self.desk_record = await desk.start()
        self.addAsyncCleanup(desk.stop)
        self.addresses = [find_free_address(), find_free_address()]
        self.entries = [Entry(address=address) for address in self.addresses]
        # Owner of shard 0 is the first entry, that of shard 1 the second one.
        weights = mock.patch.object(_owners, "_hash_weight", self._weigh)
        weights.start()
        self.addCleanup(weights.stop)
        for entry in self.entries:
            await entry.start(*self.records, self.desk_record)
            self.addAsyncCleanup(entry.stop)
            self.addAsyncCleanup(entry.pools.stop)
            service = PoolService(entry.owners, entry.placers, entry.view.limits)
            await serve(self, entry.address, RpcService(dict(service.handlers())))
            # Seniority decides who may own a shard, so a third one makes both eligible.
            entry.view.put_entries(
                tuple(map(make_box_record, (*self.addresses, "127.0.0.1:1", "127.0.0.1:2")))
            )

    def _weigh(self, subject: str, address: str) -> bytes:
        owner = self.addresses[1] if subject.endswith("#1") else self.addresses[0]
        return b"1" if address == owner else b"0"

    def divide(self) -> None:
        records = [replace(record, shard=number % 2) for number, record in enumerate(self.records)]
        for entry in self.entries:
            entry.put_targets(*records, self.desk_record)

    async def order(self, requests: int = REQUESTS) -> "list[PieceResult]":
        futures = [
            future
            for number in range(requests)
            for future in self.entries[0].pools.order(
                "pool", [replace(ORDER, request=f"r{number}")]
            )
        ]
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            return await asyncio.gather(*futures)

    async def test_a_stage_with_large_inputs_runs_in_a_shard_beside_them(self) -> None:
        records = [
            replace(record, shard=number % 2, data_centre=("near", "far")[number % 2])
            for number, record in enumerate(self.records)
        ]
        for entry in self.entries:
            entry.put_targets(*records, self.desk_record)
        pools = self.entries[0].pools
        cases = (("near", {0}), ("far", {1}), ("", {0, 1}), ("elsewhere", {0, 1}))
        for home, expected in cases:
            with self.subTest(home):
                order = replace(ORDER, home=home)
                chosen = {pools._choose_shard("pool", order).index for _ in range(REQUESTS)}
                self.assertEqual(chosen, expected)

    async def test_a_box_owns_one_shard_while_others_own_none(self) -> None:
        # By its hash weights the first entry would own every shard.
        records = [replace(record, shard=number) for number, record in enumerate(self.records)]
        addresses = [f"127.0.0.1:{port}" for port in range(1, 13)]
        with mock.patch.object(
            _owners, "_hash_weight", lambda _, address: address.rjust(20).encode()
        ):
            for entry in self.entries:
                entry.put_targets(*records, self.desk_record)
                entry.view.put_entries(tuple(map(make_box_record, addresses)))
            owners = [
                [entry.pools.find_owner("pool", index) for index in range(4)]
                for entry in self.entries
            ]
        self.assertEqual(owners[0], owners[1])
        self.assertEqual(len(set(owners[0])), 4)

    async def test_each_owner_calls_the_targets_of_its_shard(self) -> None:
        self.divide()
        results = await self.order()
        self.assertTrue(all(result.handle for result in results))
        for shard, entry in enumerate(self.entries):
            pools = entry.owners._owners
            self.assertEqual([owned.index for owned in pools], [shard])
            owned_targets = {
                target.name for target in pools[_shard(shard)]._pool_targets.list_all()
            }
            self.assertEqual(owned_targets, {f"p{shard}", f"p{shard + 2}"})
        self.assertTrue(all(count_calls(target) for target in self.targets))

    async def test_results_are_freed_at_their_targets_by_the_owner_of_each(self) -> None:
        self.divide()
        results = await self.order()
        self.entries[0].pools.free("pool", [result.handle for result in results])
        await wait_until(lambda: all(count_calls(target, freed=True) for target in self.targets))

    async def test_queued_pieces_survive_a_division(self) -> None:
        ordering = asyncio.create_task(self.order())
        await wait_until(lambda: any(count_calls(target) for target in self.targets))
        self.divide()
        results = await ordering
        self.assertEqual(len({result.handle for result in results}), REQUESTS)
        self.assertIn(_shard(1), self.entries[1].owners._owners)

    async def test_queued_pieces_survive_a_merge(self) -> None:
        self.divide()
        ordering = asyncio.create_task(self.order())
        await wait_until(lambda: any(count_calls(target) for target in self.targets))
        for entry in self.entries:
            entry.put_targets(*self.records, self.desk_record)
        results = await ordering
        self.assertEqual(len({result.handle for result in results}), REQUESTS)

    async def test_a_pool_keeps_working_if_a_shard_loses_its_targets(self) -> None:
        self.divide()
        records = [replace(record, shard=number % 2) for number, record in enumerate(self.records)]
        for entry in self.entries:
            entry.put_targets(*records[::2], self.desk_record)
        results = await self.order()
        self.assertTrue(all(result.handle for result in results))


class FakeControl:
    """Records the divisions that are requested."""

    def __init__(self, fault: Exception | None = None) -> None:
        self.commands: list[object] = []
        self._fault = fault

    async def submit(self, commands: Sequence[object], seconds: float) -> tuple[object, ...]:
        self.commands.extend(commands)
        if self._fault is not None:
            raise self._fault
        return ()


class ShardDivisionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.work = OwnedWork(shard=_shard(0), pieces_per_second=500.0, shards=1, targets=21)

    def make_division(self, control: FakeControl) -> ShardDivision:
        return ShardDivision(cast(ControlClient, control), lambda: self.now)

    async def test_a_busy_entry_has_its_pool_divided(self) -> None:
        control = FakeControl()
        division = self.make_division(control)
        division.consider(0.1, [self.work])
        division.consider(0.5, [self.work])
        division.consider(0.5, [self.work])
        await wait_until(lambda: bool(control.commands))
        self.assertEqual(control.commands, [DivideService(service="pool", expected=1, shards=2)])

    async def test_a_division_without_a_quorum_is_requested_again(self) -> None:
        control = FakeControl(UnavailableError("no quorum"))
        division = self.make_division(control)
        for _ in range(2):
            division.consider(0.5, [self.work])
            self.now += 3.0
        await wait_until(lambda: len(control.commands) == 2)
        await division.stop()


def _shard(index: int) -> Shard:
    return Shard(service="pool", index=index)


if __name__ == "__main__":
    unittest.main()
