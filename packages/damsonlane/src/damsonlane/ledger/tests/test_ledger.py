"""Expiry of records after the horizon."""

import unittest

from damsonlane.ledger import (
    HORIZON_SECONDS,
    ClaimJob,
    FinishJob,
    JobKey,
    Ledger,
    StartJob,
    read_key_time,
)

#: A UUID of version 7, created 1,000 seconds after 1970.
_TIMESTAMP_KEY = "0000000f-4240-7000-8000-000000000000"


def _claim(key: str, at: float, token: str = "t") -> ClaimJob:
    return ClaimJob(name=JobKey(organisation="o", key=key), digest="d", token=token, at=at)


def _run(ledger: Ledger, key: str, at: float) -> None:
    name = JobKey(organisation="o", key=key)
    ledger.claim(_claim(key, at))
    ledger.start(StartJob(name=name, token="t"))
    ledger.finish(FinishJob(name=name, token="t", answer="done"))


class HorizonTest(unittest.TestCase):
    def test_a_key_of_version_7_has_a_timestamp(self) -> None:
        self.assertEqual(read_key_time(_TIMESTAMP_KEY), 1000.0)
        self.assertIsNone(read_key_time("dispute-2231"))

    def test_no_key_runs_again_after_the_horizon(self) -> None:
        for key, stored in ((_TIMESTAMP_KEY, 1), ("dispute-2231", 2)):
            with self.subTest(key=key):
                ledger = Ledger()
                _run(ledger, key, 1000.0)
                ledger.claim(_claim("later", 1001.0 + HORIZON_SECONDS))
                reply = ledger.claim(_claim(key, 1001.0 + HORIZON_SECONDS, token="u"))
                self.assertEqual(reply.verdict, "too-old")
                self.assertEqual(len(ledger.jobs()), stored)

    def test_an_answer_is_stored_until_the_horizon(self) -> None:
        ledger = Ledger()
        _run(ledger, _TIMESTAMP_KEY, 1000.0)
        reply = ledger.claim(_claim(_TIMESTAMP_KEY, 999.0 + HORIZON_SECONDS, token="u"))
        self.assertEqual((reply.verdict, reply.answer), ("busy", "done"))

    def test_a_restored_ledger_expires_the_same_records(self) -> None:
        ledger = Ledger()
        _run(ledger, "dispute-2231", 1000.0)
        restored = Ledger(ledger.jobs(), ledger.clock)
        for each in (ledger, restored):
            each.claim(_claim("later", 1001.0 + HORIZON_SECONDS))
        self.assertEqual(ledger.jobs(), restored.jobs())


if __name__ == "__main__":
    unittest.main()
