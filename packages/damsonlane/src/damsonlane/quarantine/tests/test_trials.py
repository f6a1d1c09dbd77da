"""Trials of quarantined shared causes."""

import unittest
from dataclasses import replace

from damsonlane.quarantine import (
    EXITS_TO_QUARANTINE,
    MAX_FAILED_TRIALS,
    TRIAL_SECONDS,
    CauseTrials,
    InterruptedRequest,
    QuarantinedRequest,
    QuarantineRegistry,
    RecordTargetExit,
)

ENTRIES = [f"10.0.0.{number}:80" for number in range(1, 13)]
POPULAR = QuarantinedRequest(
    fingerprint="material:popular", ends=3, until=3_600.0, trials_left=MAX_FAILED_TRIALS
)


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
            left = MAX_FAILED_TRIALS - failed
            found = replace(POPULAR, ends=3 + failed, trials_left=left)
            follow(found, now, trials)
            wait = TRIAL_SECONDS * 2**failed
            self.assertEqual(trials.find_seconds_left(found, now), wait)
            self.assertFalse(trials.try_begin(found, "r", now + wait - 0.1, now + wait - 0.1))
            now += wait
            self.assertTrue(trials.try_begin(found, f"r{failed}", now, now))

    def test_a_cause_whose_trials_failed_stays_quarantined(self) -> None:
        trials = CauseTrials(ENTRIES[0])
        follow(POPULAR, 0.0, trials)
        worst = replace(POPULAR, ends=3 + MAX_FAILED_TRIALS, trials_left=0)
        follow(worst, 20.0, trials)
        self.assertIsNone(trials.find_seconds_left(worst, 3_000.0))
        self.assertFalse(trials.try_begin(worst, "r", 3_000.0, 3_000.0))

    def test_all_pieces_of_the_request_that_is_tried_are_computed(self) -> None:
        trials = CauseTrials(ENTRIES[0])
        follow(POPULAR, 0.0, trials)
        at = 2 * TRIAL_SECONDS
        self.assertEqual(
            [trials.try_begin(POPULAR, request, at, at) for request in ("a", "a", "b", "a")],
            [True, True, False, True],
        )


def record_exits(*exits: tuple[float, tuple[str, ...]]) -> QuarantinedRequest:
    """Return what is quarantined after exits, each at a time under some requests."""
    registry = QuarantineRegistry()
    for number, (at, requests) in enumerate(exits):
        runs = tuple(
            InterruptedRequest(fingerprint=name, seconds=0.2, shared=("material:popular",))
            for name in requests
        )
        command = RecordTargetExit(target=f"t{number}", start=0, runs=runs, at=at)
        held = registry.apply(command).quarantine.held
    return next(found for found in held if "material:popular" in found.names)


class TrialsLeftTest(unittest.TestCase):
    def test_what_different_requests_held_may_be_popular_only(self) -> None:
        found = record_exits((1.0, ("a",)), (1.2, ("b",)), (1.4, ("c",)), (2.0, ("d",)))
        self.assertEqual(found.trials_left, MAX_FAILED_TRIALS)

    def test_a_request_that_is_sent_again_and_again_is_not_tried(self) -> None:
        same = record_exits((1.0, ("a",)), (1.2, ("a",)), (1.4, ("a",)))
        two = record_exits((1.0, ("a",)), (1.2, ("a",)), (1.4, ("a",)), (2.0, ("b",)))
        self.assertEqual((same.trials_left, two.trials_left), (0, 0))

    def test_an_entry_that_restarts_grants_no_further_trials(self) -> None:
        exits = [(number / 5, (f"r{number}",)) for number in range(EXITS_TO_QUARANTINE)]
        left = []
        for number in range(MAX_FAILED_TRIALS + 1):
            exits.append((100.0 + 20 * number, (f"t{number}",)))
            left.append(record_exits(*exits).trials_left)
        self.assertEqual(left, [2, 1, 0, 0])


if __name__ == "__main__":
    unittest.main()
