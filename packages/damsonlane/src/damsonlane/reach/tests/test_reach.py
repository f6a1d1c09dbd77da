"""Evidence and states: whether a box reaches the targets of a service."""

import random
import unittest

from damsonlane.reach import (
    HelperCandidate,
    HelperChoice,
    ProbeResult,
    ServiceReach,
    is_reached_better,
)
from damsonlane.reach._service import RELAPSE_SECONDS

TARGETS = ("a", "b", "c")


class RelapseTest(unittest.TestCase):
    def test_each_relapse_doubles_the_rounds_until_targets_are_tried_again(self) -> None:
        reach = ServiceReach()
        now = 100.0
        factors = []
        for _ in range(7):
            reach.confirm(now)
            factors.append(reach.recovery_factor)
            reach.end_outage(now + 3.0)
            now += 4.0
        self.assertEqual(factors, [1, 2, 4, 8, 16, 16, 16])
        reach.confirm(now + RELAPSE_SECONDS)
        self.assertEqual(reach.recovery_factor, 1)


class ServiceReachTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reach = ServiceReach()

    def test_one_failure_beside_responses_is_not_checked(self) -> None:
        self.reach.record_failed("a", "broken", 9.8)
        self.reach.record_reached(9.9, is_new=False)
        self.reach.record_failed("b", "broken", 10.0)
        self.assertFalse(self.reach.needs_check(TARGETS, 10.0))

    def test_failures_of_two_targets_in_a_row_are_checked(self) -> None:
        self.reach.record_reached(10.0, is_new=True)
        self.reach.record_failed("a", "broken", 10.0)
        self.assertFalse(self.reach.needs_check(TARGETS, 10.0))
        self.reach.record_failed("b", "connect", 10.0)
        self.assertTrue(self.reach.needs_check(TARGETS, 10.0))

    def test_one_failure_without_responses_since_is_checked(self) -> None:
        self.reach.record_failed("a", "silent", 10.0)
        self.assertTrue(self.reach.needs_check(TARGETS, 10.0))

    def test_responses_on_open_connections_do_not_hide_that_new_ones_fail(self) -> None:
        self.reach.record_failed("a", "connect", 10.0)
        self.reach.record_reached(10.1, is_new=False)
        self.reach.record_failed("b", "connect", 10.1)
        self.assertTrue(self.reach.needs_check(TARGETS, 10.1))
        self.reach.record_reached(10.2, is_new=True)
        self.assertFalse(self.reach.needs_check(TARGETS, 10.2))

    def test_targets_that_are_gone_and_old_failures_do_not_count(self) -> None:
        self.reach.record_failed("gone", "connect", 10.0)
        self.assertFalse(self.reach.needs_check(TARGETS, 10.0))
        self.reach.record_failed("a", "connect", 10.0)
        self.assertFalse(self.reach.needs_check(TARGETS, 60.0))

    def test_failures_that_others_see_too_are_checked_less_and_less_often(self) -> None:
        checks = []
        now = 0.0
        while now < 30.0:
            self.reach.record_failed("a", "connect", now)
            if self.reach.needs_check(TARGETS, now):
                checks.append(now)
                self.reach.dismiss(TARGETS, now)
            now += 0.1
        intervals = [
            round(later - earlier) for earlier, later in zip(checks, checks[1:], strict=False)
        ]
        self.assertLess(len(checks), 12)
        self.assertEqual(intervals, sorted(intervals))

    def test_failures_of_another_kind_are_checked_at_once(self) -> None:
        self.reach.record_failed("a", "silent", 10.0)
        self.reach.dismiss(TARGETS, 10.0)
        self.reach.record_failed("a", "silent", 10.1)
        self.assertFalse(self.reach.needs_check(TARGETS, 10.1))
        self.reach.record_failed("a", "connect", 10.2)
        self.assertTrue(self.reach.needs_check(TARGETS, 10.2))

    def test_failures_of_more_targets_are_checked_at_once(self) -> None:
        self.reach.record_failed("a", "silent", 10.0)
        self.reach.dismiss(TARGETS, 10.0)
        self.reach.record_failed("b", "silent", 10.1)
        self.assertTrue(self.reach.needs_check(TARGETS, 10.1))

    def test_a_silence_is_unusual_only_for_services_that_respond_sooner(self) -> None:
        evidence = self.reach.evidence
        self.assertTrue(evidence.record_unanswered("a", 1.0, 1.5))
        evidence.record_reached(2.0, is_new=False)
        evidence.record_response(0.6, 2.0)
        self.assertFalse(evidence.record_unanswered("a", 2.1, 3.1))
        self.assertTrue(evidence.record_unanswered("a", 2.1, 3.4))
        evidence.record_reached(120.0, is_new=False)
        self.assertTrue(evidence.record_unanswered("a", 121.0, 121.5))

    def test_requests_that_were_given_up_one_after_another_count_together(self) -> None:
        evidence = self.reach.evidence
        evidence.record_reached(1.0, is_new=False)
        evidence.record_response(0.35, 1.0)
        self.assertFalse(evidence.record_unanswered("a", 1.1, 1.5))
        self.assertTrue(evidence.record_unanswered("a", 1.6, 2.0))

    def test_several_silent_targets_count_sooner(self) -> None:
        evidence = self.reach.evidence
        evidence.record_response(0.5, 1.0)
        self.assertFalse(evidence.record_unanswered("a", 1.1, 1.8))
        self.assertTrue(evidence.record_unanswered("b", 1.1, 1.8))

    def test_requests_with_a_pause_between_them_do_not_count_together(self) -> None:
        evidence = self.reach.evidence
        self.assertFalse(evidence.record_unanswered("a", 1.0, 1.1))
        self.assertFalse(evidence.record_unanswered("a", 9.0, 9.1))

    def test_a_byte_of_any_target_ends_the_silence(self) -> None:
        evidence = self.reach.evidence
        evidence.record_unanswered("a", 1.0, 1.4)
        evidence.record_reached(1.45, is_new=False)
        self.assertFalse(evidence.record_unanswered("a", 1.4, 2.0))
        self.assertFalse(evidence.record_unanswered("a", 1.6, 2.0))

    def test_a_trial_admits_one_request_until_a_response_ends_it(self) -> None:
        self.reach.confirm(1.0)
        self.assertFalse(self.reach.admit_trial(1.0))
        self.assertTrue(self.reach.begin_trial(2.0))
        self.assertTrue(self.reach.admit_trial(2.0))
        self.assertFalse(self.reach.admit_trial(2.1))
        self.assertTrue(self.reach.record_reached(2.2, is_new=True))
        self.assertEqual(self.reach.state, "reached")

    def test_a_trial_that_fails_ends(self) -> None:
        self.reach.confirm(1.0)
        self.reach.begin_trial(2.0)
        self.assertTrue(self.reach.record_failed("a", "silent", 2.5))
        self.assertEqual(self.reach.state, "unreached")

    def test_late_bytes_do_not_end_an_outage(self) -> None:
        self.reach.confirm(1.0)
        self.assertFalse(self.reach.record_reached(1.1, is_new=False))
        self.assertEqual(self.reach.state, "unreached")


class ProbeResultTest(unittest.TestCase):
    def test_boxes_are_compared_target_by_target(self) -> None:
        failed, connected, answered = ProbeResult
        self.assertTrue(is_reached_better({"a": failed, "b": answered}, {"b": connected}))
        self.assertFalse(is_reached_better({"a": answered}, {"b": failed}))
        self.assertFalse(is_reached_better({"a": failed}, {"a": failed}))
        self.assertFalse(is_reached_better({"a": connected}, {"a": answered}))
        self.assertFalse(is_reached_better({}, {"a": failed}))


class HelperChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.choice = HelperChoice("gulberg", random.Random(1))
        self.near = [HelperCandidate(address=f"n{i}", data_centre="gulberg") for i in range(3)]
        self.far = [HelperCandidate(address=f"f{i}", data_centre="johar") for i in range(3)]

    def choose(self, now: float = 0.0) -> str:
        chosen = self.choice.choose([*self.far, *self.near], now)
        return chosen.address if chosen is not None else ""

    def test_boxes_of_the_same_data_centre_come_first(self) -> None:
        self.assertEqual({self.choose()[0] for _ in range(20)}, {"n"})

    def test_a_box_that_declined_gets_nothing_for_a_while(self) -> None:
        for candidate in self.near:
            self.choice.record_declined(candidate.address, 0.0)
        self.assertEqual(self.choose(0.5)[0], "f")
        self.assertEqual(self.choose(1.5)[0], "n")

    def test_requests_spread_by_capacity(self) -> None:
        large = HelperCandidate(address="large", data_centre="gulberg", capacity=3.0)
        small = HelperCandidate(address="small", data_centre="gulberg", capacity=1.0)
        counts = {"large": 0, "small": 0}
        for _ in range(40):
            chosen = self.choice.choose([large, small], 0.0)
            assert chosen is not None
            self.choice.begin(chosen.address)
            counts[chosen.address] += 1
        self.assertEqual(counts, {"large": 30, "small": 10})

    def test_no_box_gets_more_than_it_may(self) -> None:
        sent = 0
        while chosen := self.choice.choose(self.near, 0.0):
            self.choice.begin(chosen.address)
            sent += 1
            self.assertLess(sent, 1_000)
        self.choice.end("n1")
        chosen = self.choice.choose(self.near, 0.0)
        self.assertEqual(chosen, self.near[1])

    def test_nobody_is_asked_in_a_fleet_of_one(self) -> None:
        self.assertEqual(self.choice.sample([], 0), [])

    def test_a_box_of_another_data_centre_is_asked_as_well(self) -> None:
        for _ in range(20):
            asked = self.choice.sample([*self.near, *self.far[:1]], 2)
            self.assertIn("f0", [candidate.address for candidate in asked])
        self.assertEqual(self.choice.sample([], 3), [])
        self.assertEqual(len(self.choice.sample(self.near[:2], 3)), 2)


if __name__ == "__main__":
    unittest.main()
