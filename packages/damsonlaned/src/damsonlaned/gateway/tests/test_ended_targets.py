"""Telling targets that ended from single connections that broke."""

import asyncio
import json
import logging
import unittest
from dataclasses import replace

from damsonlane.backoff import TargetStart
from damsonlane.quarantine import BrokenRun
from damsonlaned.dialects import AnswerSigns
from damsonlaned.gateway._ended_targets import EndedTargets
from damsonlaned.gateway.tests.harness import (
    PATIENCE,
    Entry,
    StandIn,
    answer_well,
    cut,
    hang,
)
from damsonlaned.http import HttpRequest, Reply
from damsonlaned.quarantine import LostTarget

RUN = BrokenRun(fingerprint="f", seconds=0.1)


class EndedTargetsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.entry = Entry()
        self.target = StandIn("desk-1", cut)
        self.record = await self.target.start()
        await self.entry.start(self.record)
        self.lost = LostTarget(target="desk-1", address=self.record.address, start=0)
        self.ended: EndedTargets = self.entry.ended

    async def asyncTearDown(self) -> None:
        await self.target.stop()
        await self.entry.stop()

    async def test_a_target_that_listens_has_not_ended(self) -> None:
        self.assertFalse(await self.ended.note_broken(self.lost, (RUN,)))
        self.assertEqual(self.entry.ends, [])

    async def test_a_target_that_refuses_connections_has_ended(self) -> None:
        await self.target.stop()
        self.assertTrue(await self.ended.note_broken(self.lost, (RUN,)))
        self.assertEqual(self.entry.ends, [(self.lost, [RUN])])

    async def test_a_target_that_still_listens_for_a_moment_has_ended(self) -> None:
        """A process that ends closes its connections one by one, the listening one not first."""
        self.assertFalse(await self.ended.note_broken(self.lost, (RUN,)))
        await self.target.stop()
        async with asyncio.timeout(PATIENCE):
            while not self.entry.ends:
                await asyncio.sleep(0.01)
        self.assertEqual(self.entry.ends, [(self.lost, [RUN])])

    async def test_all_that_broke_off_at_once_is_told(self) -> None:
        await self.target.stop()
        others = [replace(RUN, fingerprint=name) for name in ("g", "h")]
        runs = (RUN, *others)
        await asyncio.gather(*(self.ended.note_broken(self.lost, (run,)) for run in runs))
        told = [run for _, told in self.entry.ends for run in told]
        self.assertCountEqual(told, runs)

    async def test_a_new_start_or_another_target_in_its_place_says_that_it_ended(self) -> None:
        again = replace(self.record, start=7)
        other = replace(self.record, target="desk-9")
        for record in (again, other):
            self.entry.ends.clear()
            self.entry.put_targets(self.record)
            self.ended.note_silent(self.lost, (RUN,))
            self.entry.put_targets(replace(self.record, sequence=2))
            self.assertEqual(self.entry.ends, [])
            self.entry.put_targets(record)
            self.assertEqual(self.entry.ends, [(self.lost, [RUN])], record)

    async def test_a_start_that_is_there_already_says_that_the_older_one_ended(self) -> None:
        self.entry.put_targets(replace(self.record, start=7))
        self.assertTrue(await self.ended.note_broken(self.lost, (RUN,)))

    async def test_silence_is_no_end(self) -> None:
        """A cut leaves requests without answer at many targets, and word of all comes at once."""
        self.ended.note_silent(self.lost, (RUN,))
        self.entry.put_targets(replace(self.record, standing="silent"))
        self.entry.put_targets()
        self.assertEqual(self.entry.ends, [])

    async def test_the_planned_end_of_a_target_is_word_against_nobody(self) -> None:
        await self.target.stop()
        self.entry.put_targets(self.record.with_standing("leaving"))
        self.assertFalse(await self.ended.note_broken(self.lost, (RUN,)))
        self.entry.put_targets()
        self.assertFalse(await self.ended.note_broken(self.lost, (RUN,)))
        self.assertEqual(self.entry.ends, [])

    async def test_the_end_of_a_target_that_said_so_in_an_answer_is_word_against_nobody(
        self,
    ) -> None:
        """It may be gone before control hears of its leaving."""
        signs = AnswerSigns(
            request_id=None, has_not_run=False, load=None, is_stream=False, is_leaving=True
        )
        self.entry.view.notices.take(TargetStart.of(self.record), signs)
        await self.target.stop()
        self.assertFalse(await self.ended.note_broken(self.lost, (RUN,)))
        self.assertEqual(self.entry.ends, [])


class LogTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_log_names_what_ended_which_target(self) -> None:
        targets: list[StandIn] = []

        async def end(request: HttpRequest, reply: Reply) -> None:
            asyncio.get_running_loop().create_task(targets[0].stop())
            await hang(request, reply)

        entry = Entry()
        targets.append(StandIn("desk-1", end))
        other = StandIn("desk-2", answer_well)
        records = [await targets[0].start(), await other.start()]
        await entry.start(records[0])
        with self.assertLogs(level=logging.INFO) as logs:
            await entry.call("/once/a")
            entry.put_targets(records[1])
            await entry.call("/once/a")
        lines = [json.loads(json.dumps(record.__dict__, default=str)) for record in logs.records]
        accepted = [line["fingerprint"] for line in lines if line["message"] == "accepted"]
        ended = [line for line in lines if line["message"] == "target ended"]
        unserved = [line["target"] for line in lines if line["message"] == "not served"]
        self.assertEqual(len(set(accepted)), 1)
        self.assertEqual([line["fingerprints"] for line in ended], [accepted[:1]])
        self.assertEqual(unserved, ["desk-1"])
        await other.stop()
        await entry.stop()


if __name__ == "__main__":
    unittest.main()
