"""Streams between boxes: following control, and orders to the owner of a pool."""

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from itertools import pairwise
from unittest import mock

from grpclib.server import Server, Stream

from damsonlane.cluster import PackedDocument
from damsonlane.codec import encode_bytes
from damsonlane.ledger import Holder
from damsonlane.membership import _owners
from damsonlane.pools import PieceOrder
from damsonlane.routes import RoutingDocument
from damsonlane.settings import BoxSettings, Capacity, Gateway
from damsonlane_rpc import (
    FOLLOW,
    POOL,
    DataclassCodec,
    FollowReport,
    FollowUpdate,
    PoolOrders,
    PoolResults,
    RpcService,
    WatchReport,
)
from damsonlaned.dialects import NativeDialect
from damsonlaned.gateway._control_follower import ControlFollower
from damsonlaned.gateway._pool_service import PoolService
from damsonlaned.gateway._prompt_placer import PromptPlacers
from damsonlaned.gateway._view import FleetView
from damsonlaned.gateway.tests.harness import (
    DOCUMENT,
    TEST_TIMEOUT_SECONDS,
    Entry,
    FakeTarget,
    answer_ok,
    hang,
    make_box_record,
    make_piece_handler,
)
from damsonlaned.tests.addresses import find_free_address


def pack_document(version: int) -> PackedDocument:
    text = encode_bytes(replace(DOCUMENT, version=version), RoutingDocument)
    return PackedDocument.pack(version, text)


async def serve(
    test: unittest.IsolatedAsyncioTestCase, address: str, service: RpcService
) -> Server:
    server = Server([service], codec=DataclassCodec())
    host, _, port = address.rpartition(":")
    await server.start(host, int(port))

    async def stop() -> None:
        server.close()
        await server.wait_closed()

    test.addAsyncCleanup(stop)
    return server


async def wait_until(holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while not holds():
            await asyncio.sleep(0.02)


class FakeControl:
    """A control replica with a scripted document version and state age."""

    def __init__(self) -> None:
        self.address = find_free_address()
        self.version = 0
        self.state_age: float | None = 0.0
        self.is_silent = False
        self.followers = 0
        self.reports: list[WatchReport] = []

    def service(self) -> RpcService:
        return RpcService({FOLLOW.path: FOLLOW.handler(self._follow)})

    async def _follow(self, stream: Stream[FollowReport, FollowUpdate]) -> None:
        report = await stream.recv_message()
        assert report is not None
        self.followers += 1
        self.reports.append(report.box)
        receiver = asyncio.create_task(self._receive(stream))
        sent_version = report.box.version
        try:
            while True:
                if not self.is_silent:
                    document = pack_document(self.version) if self.version > sent_version else None
                    sent_version = max(sent_version, self.version)
                    await stream.send_message(
                        FollowUpdate(state_age=self.state_age, document=document)
                    )
                await asyncio.sleep(0.05)
        finally:
            receiver.cancel()
            self.followers -= 1

    async def _receive(self, stream: Stream[FollowReport, FollowUpdate]) -> None:
        while (report := await stream.recv_message()) is not None:
            self.reports.append(report.box)


class FleetLinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.first, self.second = FakeControl(), FakeControl()
        for control in (self.first, self.second):
            await serve(self, control.address, control.service())
        self.settings = BoxSettings(
            name="entry-1",
            data_centre="dha",
            role="entry",
            data_folder="/tmp/none",
            internal_address="127.0.0.1:1",
            admin_address="127.0.0.1:2",
            control=(self.first.address, self.second.address),
            gateway=Gateway(dialect="damsonlane", apply_seconds=1.0),
        )
        self.view = FleetView(NativeDialect())
        self.follower = ControlFollower(
            self.settings, Holder(box="entry-1", incarnation="i"), self.view, None
        )
        self.addAsyncCleanup(self.follower.stop)

    async def test_a_follower_stops_though_a_cancellation_was_lost(self) -> None:
        lost = asyncio.Event()

        async def follow(address: str) -> None:
            try:
                await asyncio.sleep(TEST_TIMEOUT_SECONDS)
            except asyncio.CancelledError:
                lost.set()
            await asyncio.sleep(TEST_TIMEOUT_SECONDS)

        with mock.patch.object(self.follower, "_follow", follow):
            self.follower.start()
            await asyncio.sleep(0)
            await asyncio.wait_for(self.follower.stop(), TEST_TIMEOUT_SECONDS / 2)
        self.assertTrue(lost.is_set())

    def has_reported(self, cores: float, *, is_overloaded: bool = False) -> bool:
        """Return whether the newest report to either replica has these values."""
        newest = [control.reports[-1] for control in (self.first, self.second) if control.reports]
        return (cores, is_overloaded) in [
            (report.capacity, report.is_overloaded) for report in newest
        ]

    async def test_it_reports_the_capacity_after_a_reload(self) -> None:
        """Guards against a box that keeps the capacity with which it started."""
        self.follower.start()
        await wait_until(partial(self.has_reported, 0.0))
        for cores in (0.387, 1.29):
            capacity = Capacity(cores=cores, memory_bytes=2**28, link_bits=1e7)
            self.follower.apply_settings(replace(self.settings, capacity=capacity))
            await wait_until(partial(self.has_reported, cores))
        self.follower.apply_settings(self.settings)
        await wait_until(partial(self.has_reported, 0.0))

    async def test_it_reports_an_overload_while_its_capacity_is_known(self) -> None:
        """Guards against an owner that stays chosen while it is short of processor time."""
        capacity = Capacity(cores=0.516, memory_bytes=2**28, link_bits=1e7)
        self.follower.apply_settings(replace(self.settings, capacity=capacity))
        self.follower.start()
        for is_overloaded in (False, True, False, True):
            self.follower.report_overload(is_overloaded=is_overloaded)
            await wait_until(partial(self.has_reported, 0.516, is_overloaded=is_overloaded))
        self.follower.apply_settings(self.settings)
        await wait_until(partial(self.has_reported, 0.0, is_overloaded=False))

    async def test_it_leaves_a_replica_with_stale_state(self) -> None:
        self.first.state_age = None
        self.first.version = 3
        self.second.version = 2
        self.follower.start()
        await wait_until(lambda: self.second.followers == 1)
        await wait_until(lambda: self.view.version() == 2)
        # The first has fresh state now, and the second becomes stale.
        self.first.state_age = 0.0
        self.second.state_age = 9.0
        await wait_until(lambda: self.first.followers == 1)
        await wait_until(lambda: self.view.version() == 3)

    async def test_it_leaves_a_replica_that_sends_nothing(self) -> None:
        self.first.version = self.second.version = 2
        self.follower.start()
        await wait_until(lambda: self.view.version() == 2)
        followed, other = (
            (self.first, self.second) if self.first.followers else (self.second, self.first)
        )
        followed.is_silent = True
        other.version = 3
        await wait_until(lambda: self.view.version() == 3)

    async def test_a_starting_entry_accepts_no_stale_state(self) -> None:
        for control in (self.first, self.second):
            control.version = 2
            control.state_age = 5.0
        self.follower.start()
        await asyncio.sleep(0.6)
        self.assertIsNone(self.view.table)
        self.second.state_age = 0.0
        await wait_until(lambda: self.view.version() == 2)

    async def test_an_older_version_is_ignored(self) -> None:
        self.first.version = self.second.version = 5
        self.follower.start()
        await wait_until(lambda: self.view.version() == 5)
        self.first.version = self.second.version = 4
        self.first.is_silent = self.second.is_silent = True
        await asyncio.sleep(0.6)
        self.first.is_silent = self.second.is_silent = False
        await asyncio.sleep(0.3)
        self.assertEqual(self.view.version(), 5)


ORDER = PieceOrder(
    number=0,
    request="r1",
    stage=0,
    piece=0,
    material_key="m",
    inputs=(),
    left_seconds=15.0,
    aim_left_seconds=10.0,
    give_up_left_seconds=1.0,
    rank=0,
    result_bytes=10,
)


class PoolLinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.pool = FakeTarget("p1", make_piece_handler(lambda: self.pool.address), "pool")
        record = await self.pool.start()
        self.addAsyncCleanup(self.pool.stop)
        desk = FakeTarget("t1", answer_ok)
        desk_record = await desk.start()
        self.addAsyncCleanup(desk.stop)
        self.orderer, self.owner = Entry(), Entry()
        for entry in (self.orderer, self.owner):
            await entry.start(record, desk_record)
            self.addAsyncCleanup(entry.stop)
            self.addAsyncCleanup(entry.pools.stop)
        self.address = find_free_address()

    def order(self, count: int) -> "list[asyncio.Future[object]]":
        orders = [replace(ORDER, piece=piece) for piece in range(count)]
        return list(self.orderer.pools.order("pool", orders))  # type: ignore[arg-type]

    async def test_the_owner_computes_pieces_of_another_entry(self) -> None:
        service = PoolService(
            self.owner.owners, PromptPlacers(self.owner.view), self.owner.view.limits
        )
        await serve(self, self.address, RpcService(dict(service.handlers())))
        self.orderer.view.put_entries((make_box_record(self.address),))
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            results = await asyncio.gather(*self.order(6))
        self.assertEqual(len({result.handle for result in results}), 6)  # type: ignore[attr-defined]
        # A call has up to four pieces, so six pieces need two calls.
        self.assertEqual(len(self.pool.requests), 2)

    def has_metric(self, line: str) -> bool:
        self.orderer.owners.update_metrics()
        return line in self.orderer.metrics.render().decode().splitlines()

    async def test_an_owner_counts_the_outcomes_of_pieces(self) -> None:
        self.orderer.view.put_entries(())
        late = replace(ORDER, request="r2", left_seconds=0.0)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await asyncio.gather(*self.order(6), *self.orderer.pools.order("pool", [late]))
        for line in (
            'damsonlane_pool_pieces_total{outcome="late",service="pool"} 1',
            'damsonlane_pool_pieces_total{outcome="made",service="pool"} 6',
            'damsonlane_pool_call_seconds_count{service="pool"} 2.0',
            'damsonlane_pool_waiting{service="pool"} 0',
        ):
            with self.subTest(line):
                await wait_until(partial(self.has_metric, line))

    async def test_pieces_are_ordered_again_if_their_owner_is_unreachable(self) -> None:
        self.orderer.view.put_entries(
            (make_box_record(self.address), make_box_record("127.0.0.1:9"))
        )
        with mock.patch.object(self.orderer.pools, "find_owner", self._find_gone_owner_first()):
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                results = await asyncio.gather(*self.order(2))
        self.assertTrue(all(result.handle for result in results))  # type: ignore[attr-defined]

    async def test_pieces_are_ordered_again_if_their_owner_does_not_respond(self) -> None:
        async def swallow(stream: Stream[PoolOrders, PoolResults]) -> None:
            async for _ in stream:
                pass

        await serve(self, self.address, RpcService({POOL.path: POOL.handler(swallow)}))
        self.orderer.view.put_entries(
            (make_box_record(self.address), make_box_record("127.0.0.1:9"))
        )
        with mock.patch.object(self.orderer.pools, "find_owner", self._find_gone_owner_first()):
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                results = await asyncio.gather(*self.order(2))
        self.assertTrue(all(result.handle for result in results))  # type: ignore[attr-defined]

    async def test_a_restarted_owner_is_used_again(self) -> None:
        other = make_box_record("127.0.0.1:9")
        first = make_box_record(self.address)
        cases = (
            ("it is still listed", (first, other), (first, other), "127.0.0.1:9"),
            ("it restarted", (first, other), (replace(first, incarnation="j"), other), None),
            ("it was listed again", (other,), (replace(first, incarnation="j"), other), None),
        )
        for name, before, after, owner in cases:
            with self.subTest(name):
                entry = Entry()
                pools = entry.pools
                entry.view.put_entries(before)
                link = pools._links[self.address] = mock.Mock(owner=self.address)
                with mock.patch.object(_owners, "_hash_weight", self._weigh_owner_most):
                    pools.handle_lost_link(link, (), "the stream ended")
                    entry.view.put_entries(after)
                    self.assertEqual(pools.find_owner("pool"), owner or self.address)

    async def test_overloaded_owners_are_not_replaced_one_after_another(self) -> None:
        addresses = [f"127.0.0.1:{port}" for port in range(1, 5)]
        self.orderer.view.put_entries(tuple(map(make_box_record, addresses)))
        pools = self.orderer.pools
        timeouts = []
        for address in addresses:
            timeouts.append(pools._choice.find_silence_seconds())
            link = pools._links[address] = mock.Mock(owner=address, stop=mock.AsyncMock())
            pools.handle_silent_link(link, ())
        self.assertEqual([after / before for before, after in pairwise(timeouts)], [2.0, 2.0, 2.0])

    def _weigh_owner_most(self, _service: str, address: str) -> bytes:
        return b"1" if address == self.address else b"0"

    async def test_an_entry_that_stops_being_owner_hands_over_its_queue(self) -> None:
        service = PoolService(
            self.owner.owners, PromptPlacers(self.owner.view), self.owner.view.limits
        )
        await serve(self, self.address, RpcService(dict(service.handlers())))
        self.owner.view.put_entries((make_box_record(self.address),))
        self.orderer.view.put_entries((make_box_record(self.address),))
        self.pool._answer = make_piece_handler(lambda: self.pool.address, seconds=0.3)
        # A call has up to four pieces, so eight of them are queued at the owner.
        futures = self.order(12)
        await wait_until(lambda: len(self.pool.requests) == 1)
        # The orderer itself owns the pool now.
        own_address = self.orderer.pools._address
        with mock.patch.object(self.orderer.pools, "find_owner", return_value=own_address):
            self.owner.owners.get("pool").return_waiting()
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                results = await asyncio.gather(*futures)
        self.assertEqual(len({result.handle for result in results}), 12)  # type: ignore[attr-defined]

    async def test_a_late_piece_is_answered_while_all_targets_are_busy(self) -> None:
        self.pool._answer = hang
        self.orderer.view.put_entries(())
        self.order(4)
        await wait_until(lambda: len(self.pool.requests) == 1)
        order = replace(ORDER, request="r2", left_seconds=0.2)
        waiting = self.orderer.pools.order("pool", [order])
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            result = await waiting[0]
        self.assertEqual(result.fault, "late")
        # The call of the other pieces is still in progress.
        self.assertFalse(self.pool.gone.is_set())

    async def test_an_owner_hands_over_if_the_list_names_another_one(self) -> None:
        cases = (("another owner", "127.0.0.1:7", 1), ("same owner", "", 0))
        for name, owner, expected in cases:
            with self.subTest(name):
                pools = self.orderer.pools
                handed_over = mock.Mock()
                pools._owners.get("pool").return_waiting = handed_over  # type: ignore[method-assign]
                address = owner or pools._address
                self.orderer.view.put_entries((make_box_record(address),))
                self.assertEqual(handed_over.call_count, expected)

    async def test_a_cancelled_piece_is_not_computed(self) -> None:
        self.orderer.view.put_entries(())
        futures = self.order(1)
        busy = self.order(1)
        for future in busy:
            future.cancel()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await asyncio.gather(*futures)
            await asyncio.sleep(0.3)
        self.assertEqual(len(self.pool.requests), 1)

    def _find_gone_owner_first(self) -> Callable[..., str]:
        """Return a choice of owners that returns the one under test until it is suspected."""

        def find(service: str, index: int = 0) -> str:
            is_suspect = self.address in self.orderer.pools._choice._suspects
            return "127.0.0.1:9" if is_suspect else self.address

        return find


if __name__ == "__main__":
    unittest.main()
