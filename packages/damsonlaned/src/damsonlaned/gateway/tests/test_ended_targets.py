"""Distinguish targets that exited from single connections that broke."""

import asyncio
import json
import logging
import unittest
from dataclasses import replace

from damsonlane.backoff import TargetIncarnation
from damsonlane.quarantine import InterruptedRequest
from damsonlaned.dialects import ResponseSignals
from damsonlaned.gateway._exit_detector import ExitDetector
from damsonlaned.gateway.tests.harness import (
    TEST_TIMEOUT_SECONDS,
    Entry,
    FakeTarget,
    answer_ok,
    close_without_answer,
    hang,
)
from damsonlaned.http import HttpRequest, ResponseWriter
from damsonlaned.quarantine import LostTarget

RUN = InterruptedRequest(fingerprint="f", seconds=0.1)


class EndedTargetsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.entry = Entry()
        self.target = FakeTarget("desk-1", close_without_answer)
        self.record = await self.target.start()
        await self.entry.start(self.record)
        self.lost = LostTarget(target="desk-1", address=self.record.address, start=0)
        self.detector: ExitDetector = self.entry.exit_detector

    async def asyncTearDown(self) -> None:
        await self.target.stop()
        await self.entry.stop()

    async def test_a_target_that_listens_has_not_exited(self) -> None:
        self.assertFalse(await self.detector.report_broken(self.lost, (RUN,)))
        self.assertEqual(self.entry.exits, [])

    async def test_a_target_that_refuses_connections_has_exited(self) -> None:
        await self.target.stop()
        self.assertTrue(await self.detector.report_broken(self.lost, (RUN,)))
        self.assertEqual(self.entry.exits, [(self.lost, [RUN])])

    async def test_a_target_that_still_listens_for_a_moment_has_exited(self) -> None:
        """An exiting process may close its listening socket after its connections."""
        self.assertFalse(await self.detector.report_broken(self.lost, (RUN,)))
        await self.target.stop()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not self.entry.exits:
                await asyncio.sleep(0.01)
        self.assertEqual(self.entry.exits, [(self.lost, [RUN])])

    async def test_all_responses_lost_at_once_are_reported(self) -> None:
        await self.target.stop()
        others = [replace(RUN, fingerprint=name) for name in ("g", "h")]
        runs = (RUN, *others)
        await asyncio.gather(*(self.detector.report_broken(self.lost, (run,)) for run in runs))
        reported = [run for _, reported in self.entry.exits for run in reported]
        self.assertCountEqual(reported, runs)

    async def test_a_restart_or_another_target_at_its_address_shows_an_exit(self) -> None:
        again = replace(self.record, start=7)
        other = replace(self.record, target="desk-9")
        for record in (again, other):
            self.entry.exits.clear()
            self.entry.put_targets(self.record)
            self.detector.report_silent(self.lost, (RUN,))
            self.entry.put_targets(replace(self.record, sequence=2))
            self.assertEqual(self.entry.exits, [])
            self.entry.put_targets(record)
            self.assertEqual(self.entry.exits, [(self.lost, [RUN])], record)

    async def test_a_restart_that_is_already_listed_shows_an_exit(self) -> None:
        self.entry.put_targets(replace(self.record, start=7))
        self.assertTrue(await self.detector.report_broken(self.lost, (RUN,)))

    async def test_a_time_out_is_no_exit(self) -> None:
        """In a network partition, requests time out at many targets that have not exited."""
        self.detector.report_silent(self.lost, (RUN,))
        self.entry.put_targets(replace(self.record, standing="silent"))
        self.entry.put_targets()
        self.assertEqual(self.entry.exits, [])

    async def test_the_exit_of_a_draining_target_counts_against_no_request(self) -> None:
        await self.target.stop()
        self.entry.put_targets(self.record.with_standing("leaving"))
        self.assertFalse(await self.detector.report_broken(self.lost, (RUN,)))
        self.entry.put_targets()
        self.assertFalse(await self.detector.report_broken(self.lost, (RUN,)))
        self.assertEqual(self.entry.exits, [])

    async def test_the_exit_after_draining_in_a_response_counts_against_no_request(self) -> None:
        """The target may have exited before control learns that it is draining."""
        signals = ResponseSignals(
            request_id=None, has_not_run=False, load=None, is_stream=False, is_draining=True
        )
        self.entry.view.announcements.record(TargetIncarnation.of(self.record), signals)
        await self.target.stop()
        self.assertFalse(await self.detector.report_broken(self.lost, (RUN,)))
        self.assertEqual(self.entry.exits, [])


class LogTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_log_names_the_requests_under_which_a_target_exited(self) -> None:
        targets: list[FakeTarget] = []

        async def exit_under_request(request: HttpRequest, writer: ResponseWriter) -> None:
            asyncio.get_running_loop().create_task(targets[0].stop())
            await hang(request, writer)

        entry = Entry()
        targets.append(FakeTarget("desk-1", exit_under_request))
        other = FakeTarget("desk-2", answer_ok)
        records = [await targets[0].start(), await other.start()]
        await entry.start(records[0])
        with self.assertLogs(level=logging.INFO) as logs:
            await entry.call("/once/a")
            entry.put_targets(records[1])
            await entry.call("/once/a")
        lines = [json.loads(json.dumps(record.__dict__, default=str)) for record in logs.records]
        accepted = [line["fingerprint"] for line in lines if line["message"] == "accepted"]
        exits = [line for line in lines if line["message"] == "target exited"]
        failed = [line["target"] for line in lines if line["message"] == "attempt failed"]
        self.assertEqual(len(set(accepted)), 1)
        self.assertEqual([line["fingerprints"] for line in exits], [accepted[:1]])
        self.assertEqual(failed, ["desk-1"])
        await other.stop()
        await entry.stop()


if __name__ == "__main__":
    unittest.main()
