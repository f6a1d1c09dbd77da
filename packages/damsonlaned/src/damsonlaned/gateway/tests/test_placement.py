"""Tests prompts that another entry places, over the stream to it."""

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from grpclib.server import Stream

from damsonlane.placement import Placement, PlacementRequest, PromptOutcome, PromptSegment
from damsonlane.routes import EngineProperties
from damsonlane.routes import Service as RouteService
from damsonlane.routing import LoadReport
from damsonlane.targets import TargetRecord
from damsonlane_rpc import POOL, PoolOrders, PoolResults, RpcService
from damsonlaned.dialects import ResponseSignals
from damsonlaned.gateway import _placement_client
from damsonlaned.gateway._call import Prompt
from damsonlaned.gateway._placement_client import PlacedPrompt, PlacementClient
from damsonlaned.gateway._pool_service import PoolService
from damsonlaned.gateway._prompt_placer import PromptPlacers
from damsonlaned.gateway.tests.harness import DOCUMENT, TEST_TIMEOUT_SECONDS, Entry, make_box_record
from damsonlaned.gateway.tests.test_links import serve, wait_until
from damsonlaned.tests.addresses import find_free_address

ENGINES = RouteService(
    name="engines", most_connections=20, engine=EngineProperties(slots=4, cache_tokens=100_000)
)
WITH_ENGINES = replace(DOCUMENT, services=(*DOCUMENT.services, ENGINES))
ORDER = PlacementRequest(
    number=0,
    shared=(PromptSegment(identity="s", tokens=3_000),),
    tokens=9_000,
    aim_left_seconds=1.0,
)


def make_engine(name: str, standing: str = "live") -> TargetRecord:
    record = TargetRecord(
        target=name,
        service="engines",
        address=f"127.0.0.{len(name)}:9",
        data_centre="dha",
        slots=4,
        standing="live",
        sequence=1,
    )
    return record.with_standing("leaving") if standing == "leaving" else record


class PlacementTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.asker, self.owner = Entry(WITH_ENGINES), Entry(WITH_ENGINES)
        for entry in (self.asker, self.owner):
            await entry.start(make_engine("one"), make_engine("three", "leaving"))
            self.addAsyncCleanup(entry.stop)
            self.addAsyncCleanup(entry.pools.stop)
        self.address = find_free_address()
        self.placers = PromptPlacers(self.owner.view)
        self.client = PlacementClient(
            PromptPlacers(self.asker.view), self.asker.pools, "127.0.0.1:9"
        )
        self.asker.pools.on_placements = self.client.receive
        self.asker.view.put_entries((make_box_record(self.address),))

    async def serve(self) -> None:
        service = PoolService(self.owner.owners, self.placers, self.owner.view.limits)
        await serve(self, self.address, RpcService(dict(service.handlers())))

    async def test_another_entry_chooses_a_live_engine(self) -> None:
        await self.serve()
        with mock.patch.object(_placement_client, "ANSWER_SECONDS", TEST_TIMEOUT_SECONDS):
            placed = await self.client.place("engines", ORDER)
            none = await self.client.place("engines", replace(ORDER, avoid=("one",)))
        assert placed is not None
        self.assertEqual(placed.target, "one")
        self.assertIsNone(none)

    async def test_source_engine_is_resolved_to_its_address(self) -> None:
        targets = self.asker.attempts._targets
        for source, address in (("one", "127.0.0.3:9"), ("gone", ""), ("", "")):
            with self.subTest(source=source):
                placement = Placement(number=1, target="three", source=source)
                placed = PlacedPrompt(self.client, self.address, "engines", placement)
                chosen = targets.choose_placed(ENGINES, placed)
                assert chosen is not None
                self.assertEqual(chosen.source_address, address)

    async def test_outcome_of_a_prompt_is_reported_to_the_owner_once(self) -> None:
        await self.serve()
        placer = self.placers.find("engines")
        assert placer is not None
        with (
            mock.patch.object(_placement_client, "ANSWER_SECONDS", TEST_TIMEOUT_SECONDS),
            mock.patch.object(placer, "record_reads") as record_reads,
        ):
            placed = await self.client.place("engines", ORDER)
            assert placed is not None
            placed.report_read(0.2)
            placed.report_read(None)
            await wait_until(lambda: any(call.args[1] for call in record_reads.mock_calls))
        reads = [read for call in record_reads.mock_calls for read in call.args[1]]
        self.assertEqual([read.seconds for read in reads], [0.2])

    async def test_reported_slowness_reaches_the_owner_with_its_age(self) -> None:
        # Guards against a slowness that is lost on the way, or taken for newer than it is.
        await self.serve()
        placer = self.placers.find("engines")
        assert placer is not None
        with mock.patch.object(_placement_client, "ANSWER_SECONDS", TEST_TIMEOUT_SECONDS):
            placed = await self.client.place("engines", ORDER)
        assert placed is not None
        self.assertIsNone(placer.summarise_speeds())
        with mock.patch.object(placer._engine_table, "record_outcome") as record_outcome:
            placed.report_read(0.2, 2.5, asyncio.get_running_loop().time() - 1.0)
            await wait_until(lambda: record_outcome.called)
        outcome = record_outcome.call_args.args[1]
        self.assertEqual(outcome.slowness, 2.5)
        self.assertGreaterEqual(outcome.slowness_age_seconds, 1.0)
        placer.record_reads("e", (replace(outcome, number=99),))
        self.assertIsNone(placer.summarise_speeds())

    async def test_a_slowness_does_not_wait_for_outcomes_without_one(self) -> None:
        # Guards against a report that arrives late, and as newer than it is, since it joined a
        # batch that was begun by a failed prompt.
        links = mock.Mock()
        client = PlacementClient(self.placers, links, "127.0.0.1:9")
        with (
            mock.patch.object(_placement_client, "BATCH_SECONDS", 3_600.0),
            mock.patch.object(_placement_client, "SLOWNESS_BATCH_SECONDS", 0.1),
        ):
            client.report_read("owner", "engines", PromptOutcome(number=1, seconds=None))
            for number in (2, 3):
                outcome = PromptOutcome(number=number, seconds=0.2, slowness=2.5)
                client.report_read("owner", "engines", outcome)
            await wait_until(lambda: links.send.called)
        links.send.assert_called_once()
        reads = links.send.call_args.args[1].reads
        self.assertEqual([read.number for read in reads], [1, 2, 3])
        self.assertEqual(reads[0].slowness_age_seconds, 0.0)
        self.assertGreater(reads[1].slowness_age_seconds, 0.05)

    async def test_learned_speeds_are_logged_once_per_interval(self) -> None:
        # Guards against a log line for each of many thousand outcomes.
        placer = self.placers.find("engines")
        assert placer is not None
        with self.assertLogs("damsonlaned.gateway._prompt_placer", "INFO") as logs:
            for number in range(1, 6):
                placer.place("e", (replace(ORDER, number=number),))
                outcome = PromptOutcome(number=number, seconds=0.2, slowness=2.5)
                placer.record_reads("e", (outcome,))
        self.assertEqual([record.getMessage() for record in logs.records], ["engine speeds"])
        summary = placer.summarise_speeds()
        assert summary is not None
        self.assertEqual((summary.engines, summary.slow), (1, 1))

    async def test_implausible_slowness_is_logged_once_per_target(self) -> None:
        # Guards against broken reports that go unnoticed, or fill the log.
        targets = self.asker.attempts._targets
        chosen = targets.choose(ENGINES, Prompt(), ())
        assert chosen is not None
        load = LoadReport(held=1, slots=4, has_implausible_slowness=True)
        signals = ResponseSignals(request_id="r", has_not_run=False, load=load, is_stream=False)
        with self.assertLogs("damsonlaned.gateway._target_selector", "WARNING") as logs:
            for _ in range(3):
                targets.record_signals(chosen, signals, is_own=True)
        self.assertEqual((len(logs.records), targets.implausible_slowness), (1, 3))

    async def test_owner_that_timed_out_is_not_asked_again_immediately(self) -> None:
        asked: list[PoolOrders] = []

        async def ignore(stream: Stream[PoolOrders, PoolResults]) -> None:
            async for message in stream:
                asked.append(message)

        await serve(self, self.address, RpcService({POOL.path: POOL.handler(ignore)}))
        self.assertIsNone(await self.client.place("engines", ORDER))
        await wait_until(lambda: bool(asked))
        self.assertIsNone(await self.client.place("engines", ORDER))
        self.assertEqual(len(asked), 1)

    async def test_entry_that_owns_the_engines_places_prompts_locally(self) -> None:
        self.asker.view.put_entries((make_box_record("127.0.0.1:9"),))
        placed = await self.client.place("engines", ORDER)
        assert placed is not None
        self.assertEqual(placed.target, "one")

    async def test_prompts_of_services_without_engines_are_not_placed(self) -> None:
        self.asker.view.put_entries((make_box_record("127.0.0.1:9"),))
        self.assertIsNone(await self.client.place("desk", ORDER))


if __name__ == "__main__":
    unittest.main()
