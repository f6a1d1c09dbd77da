"""What an entry learns of the speed of targets from their responses."""

import unittest

from damsonlaned.gateway.tests.harness import AnswerHandler, Entry, FakeTarget, read_id
from damsonlaned.http import HttpRequest, HttpResponse, ResponseWriter


def answer_with_load(load: bytes) -> AnswerHandler:
    async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
        headers = ((b"Damsonlane-Request-Id", read_id(request)), (b"Damsonlane-Load", load))
        writer.send_response(HttpResponse(status=200, headers=headers, body=b"done"))

    return answer


class TargetSpeedTest(unittest.IsolatedAsyncioTestCase):
    async def call(self, load: bytes, calls: int) -> Entry:
        """Return an entry after some calls to one target that reports a load."""
        target = FakeTarget("t1", answer_with_load(load))
        entry = Entry()
        await entry.start(await target.start())
        self.addAsyncCleanup(target.stop)
        self.addAsyncCleanup(entry.stop)
        for _ in range(calls):
            self.assertEqual((await entry.call("/ping/a")).status, 200)
        return entry

    async def test_reported_slowness_and_durations_reach_the_table(self) -> None:
        # Guards against a slowness or a duration that is lost between response and choice.
        entry = await self.call(b"1,0,4,250", 6)
        speed = entry.attempts._targets._tables["desk"]._records["t1"].speed
        self.assertTrue(speed.reports_slowness)
        self.assertTrue(speed.is_known)

    async def test_three_numbers_turn_nothing_on(self) -> None:
        # Guards against any effect on services whose targets report no slowness.
        entry = await self.call(b"1,0,4", 6)
        record = entry.attempts._targets._tables["desk"]._records["t1"]
        self.assertFalse(record.speed.reports_slowness)
        self.assertFalse(record.speed.is_known)
        self.assertEqual((record.slots, record.crowding), (4, 0.0))

    async def test_implausible_slowness_leaves_the_load_valid(self) -> None:
        # Guards against a response, or its load, that is lost by a broken fourth number.
        with self.assertLogs("damsonlaned.gateway._target_selector", "WARNING") as logs:
            entry = await self.call(b"1,0,4,0", 3)
        record = entry.attempts._targets._tables["desk"]._records["t1"]
        self.assertEqual(record.slots, 4)
        self.assertFalse(record.speed.reports_slowness)
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(entry.attempts._targets.implausible_slowness, 3)

    async def test_counts_of_many_digits_fail_no_request(self) -> None:
        # Guards against a response that is lost since its load is no float, or no int, any more.
        for digits in (400, 5_000):
            for load in (b"%s,0,4,100", b"1,0,%s,100", b"%s,0,4"):
                with self.subTest(load, digits=digits):
                    entry = await self.call(load % (b"9" * digits), 2)
                    record = entry.attempts._targets._tables["desk"]._records["t1"]
                    self.assertEqual(record.in_flight, 0)


if __name__ == "__main__":
    unittest.main()
