"""Tests that orders name the organisation of the caller only where shares are fair."""

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from damsonlane.placement import EngineShares, EngineTable, Placement, PlacementRequest
from damsonlane.pools import PieceOrder, PieceQueue
from damsonlane.routes import EngineProperties
from damsonlaned.gateway._pool_client import PoolClient
from damsonlaned.gateway.tests.harness import (
    DOCUMENT,
    TEST_TIMEOUT_SECONDS,
    Entry,
    FakeTarget,
    answer_ok,
    make_piece_handler,
)

#: Two stages of two pieces and one piece.
HEADERS = "Damsonlane-Pieces: 2,1\r\nDamsonlane-Material-Key: m\r\n"
#: The default document, with engines as the last step.
WITH_ENGINES = replace(
    DOCUMENT,
    services=tuple(
        replace(service, engine=EngineProperties(slots=4, cache_tokens=100_000))
        if service.name == "desk"
        else service
        for service in DOCUMENT.services
    ),
)


class NamesTest(unittest.IsolatedAsyncioTestCase):
    async def call(self, *, fair_shares: bool) -> tuple[set[str], set[str], Entry]:
        """Return the organisations that the orders for pieces and prompts name."""
        pool = FakeTarget("p1", lambda request, writer: handler(request, writer), "pool")
        handler = make_piece_handler(lambda: pool.address)
        desk = FakeTarget("t1", answer_ok)
        self.desk = desk
        records = [await desk.start(), await pool.start()]
        entry = Entry(WITH_ENGINES, fair_shares=fair_shares)
        await entry.start(*records)
        for stop in (desk.stop, pool.stop, entry.stop, entry.pools.stop):
            self.addAsyncCleanup(stop)
        pieces: list[PieceOrder] = []
        prompts: list[PlacementRequest] = []
        add, place = PieceQueue.add, EngineTable.place

        def record_piece(queue: PieceQueue, piece: object) -> None:
            pieces.append(piece.order)  # type: ignore[attr-defined]
            add(queue, piece)  # type: ignore[arg-type]

        def record_prompt(
            table: EngineTable, sender: str, order: PlacementRequest, *rest: object
        ) -> Placement:
            prompts.append(order)
            return place(table, sender, order, *rest)  # type: ignore[arg-type]

        with (
            mock.patch.object(PieceQueue, "add", record_piece),
            mock.patch.object(EngineTable, "place", record_prompt),
            mock.patch.object(PoolClient, "find_owner", return_value=entry.address),
        ):
            deadline = int(1_000 * TEST_TIMEOUT_SECONDS)
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                response = await entry.call("/staged/a", headers=HEADERS, deadline_ms=deadline)
        self.assertEqual(response.status, 200)
        self.assertEqual(len(pieces), 3)
        names = {order.organisation for order in pieces}, {order.organisation for order in prompts}
        return (*names, entry)

    async def test_orders_name_no_organisation_without_the_setting(self) -> None:
        """Guards against messages that differ in deployments without fair shares."""
        pieces, prompts, entry = await self.call(fair_shares=False)
        self.assertEqual((pieces, prompts), ({""}, {""}))
        self.assertEqual([dict(usage) for usage in entry.owners.take_usage().values()], [{}])

    async def test_orders_name_the_organisation_with_the_setting(self) -> None:
        pieces, prompts, entry = await self.call(fair_shares=True)
        self.assertEqual((pieces, prompts), ({"florists"}, {"florists"}))
        (usage,) = entry.owners.take_usage().values()
        self.assertEqual(usage["florists"].started, 3)

    async def test_a_prompt_beyond_the_share_is_sent_as_less_urgent(self) -> None:
        """Guards against a wave that engines process before the prompts of other organisations."""
        for is_beyond, urgency in ((False, "0"), (True, "3")):
            with (
                self.subTest(is_beyond=is_beyond),
                mock.patch.object(EngineShares, "is_beyond_share", return_value=is_beyond),
            ):
                *_, entry = await self.call(fair_shares=True)
                (request,) = self.desk.requests
                self.assertEqual(request.find(b"damsonlane-urgency"), urgency)
                (usage,) = entry.placers.take_usage().values()
                self.assertEqual(usage["florists"].excess, int(is_beyond))


if __name__ == "__main__":
    unittest.main()
