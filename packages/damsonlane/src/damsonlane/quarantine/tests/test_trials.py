"""Trials of quarantined shared causes."""

import unittest
from dataclasses import replace

from damsonlane.quarantine import (
    MAX_FAILED_TRIALS,
    TRIAL_SECONDS,
    CauseTrials,
    QuarantinedRequest,
)

ENTRIES = [f"10.0.0.{number}:80" for number in range(1, 13)]
POPULAR = QuarantinedRequest(fingerprint="material:popular", ends=3, until=3_600.0, is_common=True)


def follow(found: QuarantinedRequest, now: float, *entries: CauseTrials) -> None:
    for trials in entries:
        trials.follow((found,), now)


class CauseTrialsTest(unittest.TestCase):
    def test_one_request_of_the_fleet_is_tried_in_a_window(self) -> None:
        fleet = {entry: CauseTrials(entry) for entry in ENTRIES}
        follow(POPULAR, 0.0, *fleet.values())
        for window in range(1, 6):
            now = window * TRIAL_SECONDS + 1
            begun = [
                (entry, request)
                for request in ("r1", "r2", "r3")
                for entry, trials in fleet.items()
                if trials.try_begin(POPULAR, f"{entry}{request}", now, now, ENTRIES)
            ]
            self.assertEqual(len(begun), 1, window)

    def test_a_trial_begins_some_time_after_the_last_exit_and_later_after_each_failed_one(
        self,
    ) -> None:
        trials = CauseTrials(ENTRIES[0])
        now = 100.0
        for failed in range(MAX_FAILED_TRIALS):
            found = replace(POPULAR, ends=3 + failed)
            follow(found, now, trials)
            wait = TRIAL_SECONDS * 2**failed
            self.assertEqual(trials.find_seconds_left(found, now), wait)
            self.assertFalse(trials.try_begin(found, "r", now + wait - 0.1, now + wait - 0.1))
            now += wait
            self.assertTrue(trials.try_begin(found, f"r{failed}", now, now))

    def test_a_cause_whose_trials_failed_stays_quarantined(self) -> None:
        trials = CauseTrials(ENTRIES[0])
        follow(POPULAR, 0.0, trials)
        worst = replace(POPULAR, ends=3 + MAX_FAILED_TRIALS)
        follow(worst, 20.0, trials)
        self.assertIsNone(trials.find_seconds_left(worst, 3_000.0))
        self.assertFalse(trials.try_begin(worst, "r", 3_000.0, 3_000.0))

    def test_what_few_requests_held_is_not_tried(self) -> None:
        trials = CauseTrials(ENTRIES[0])
        found = replace(POPULAR, is_common=False)
        follow(found, 0.0, trials)
        self.assertIsNone(trials.find_seconds_left(found, 100.0))

    def test_all_pieces_of_the_request_that_is_tried_are_computed(self) -> None:
        trials = CauseTrials(ENTRIES[0])
        follow(POPULAR, 0.0, trials)
        at = 2 * TRIAL_SECONDS
        self.assertEqual(
            [trials.try_begin(POPULAR, request, at, at) for request in ("a", "a", "b", "a")],
            [True, True, False, True],
        )


if __name__ == "__main__":
    unittest.main()
