"""Load patterns on one pool: the outcome for each request class under overload and outages."""

import unittest
from dataclasses import replace
from unittest import mock

from damsonlane.pools import _batch
from damsonlane.pools.tests.simulation import (
    LoadPattern,
    LoadPeak,
    Outage,
    Outcome,
    Pool,
    RequestClass,
    simulate,
)

#: Number of runs of each pattern.
SEEDS = 12

#: Large results with tight objectives, and small results with loose ones, each in two ranks.
CLASSES = (
    RequestClass(
        rank=0, rate=2.2, pieces=(1, 2, 2, 3, 4), result_bytes=1_500_000, aim_seconds=0.75
    ),
    RequestClass(
        rank=4, rate=2.2, pieces=(1, 2, 2, 3, 4), result_bytes=1_500_000, aim_seconds=0.75
    ),
    RequestClass(rank=1, rate=7.0, pieces=(1,), result_bytes=8_000, aim_seconds=1.5),
    RequestClass(rank=5, rate=7.0, pieces=(1,), result_bytes=8_000, aim_seconds=1.7),
)
NORMAL_LOAD = LoadPattern(classes=CLASSES)
PEAK_OF_LARGE = replace(
    NORMAL_LOAD, peaks=tuple(LoadPeak(request_class=k, start=2, end=9, times=2.4) for k in (0, 1))
)
PEAK_OF_ALL = replace(
    NORMAL_LOAD, peaks=tuple(LoadPeak(request_class=k, start=2, end=9, times=1.7) for k in range(4))
)


def add_outage(pattern: LoadPattern) -> LoadPattern:
    return replace(pattern, outages=(Outage(target=0, start=3, end=7),))


def list_attained(outcomes: list[Outcome]) -> list[float]:
    return [round(outcome.attained, 2) for outcome in outcomes]


class PriorityTest(unittest.TestCase):
    """Priority decides what is refused, not the order of requests that can be in time."""

    def test_all_requests_are_served_under_normal_load(self) -> None:
        for outcome in simulate(NORMAL_LOAD, SEEDS):
            self.assertGreater(outcome.attained, 0.99)

    def test_tight_objectives_are_met_while_higher_ranks_have_time_to_spare(self) -> None:
        """Ordering by rank first would let requests miss tight objectives needlessly."""
        _, less_urgent, small, _ = list_attained(simulate(PEAK_OF_LARGE, SEEDS))
        self.assertGreater(less_urgent, 0.85)
        self.assertGreater(small, 0.99)

    def test_higher_priority_has_better_attainment_under_overload(self) -> None:
        for pattern in (add_outage(PEAK_OF_LARGE), add_outage(PEAK_OF_ALL)):
            first, second, third, fourth = list_attained(simulate(pattern, SEEDS))
            self.assertGreater(first, second + 0.1)
            self.assertGreater(third, fourth + 0.05)

    def test_refusals_are_sent_early(self) -> None:
        outcome = simulate(add_outage(PEAK_OF_ALL), SEEDS)[1]
        waits = sorted(outcome.refused_after)
        self.assertLess(waits[len(waits) // 2], 0.2)


class LeastUrgentTest(unittest.TestCase):
    """A load peak of one class, beside a less urgent one, at a pool short of result memory."""

    POOL = Pool(
        data_centres=("a", "b"), batch=47, piece_seconds=0.0036, result_memory_bytes=6_110_000
    )
    PEAKING = RequestClass(
        rank=5, rate=18.0, pieces=(4, 5, 6, 7, 8), result_bytes=60_000, aim_seconds=2.0
    )
    LEAST = replace(PEAKING, rank=6, rate=5.2, deadline_seconds=20.0)

    def simulate_peak(self, times: float) -> tuple[float, float]:
        peak = LoadPeak(request_class=0, start=2, end=8, times=times)
        pattern = LoadPattern(pool=self.POOL, classes=(self.PEAKING, self.LEAST), peaks=(peak,))
        peaking, least = simulate(pattern, SEEDS)
        return peaking.attained, least.attained

    def test_the_least_urgent_class_is_not_refused_while_the_peak_fits(self) -> None:
        """Guards against refusing it in favour of requests that are in time anyway."""
        peaking, least = self.simulate_peak(2.4)
        self.assertGreater(peaking, 0.99)
        self.assertGreater(least, 0.9)

    def test_both_classes_are_shed_under_overload(self) -> None:
        """Guards against shedding the least urgent class alone."""
        peaking, least = self.simulate_peak(2.8)
        self.assertGreater(peaking, 0.93)
        self.assertGreater(least, 0.8)
        self.assertGreater(peaking, least)


class RetryTest(unittest.TestCase):
    """Refused callers retry once while the load peak still lasts."""

    def test_late_retries_do_not_displace_requests_in_time(self) -> None:
        for pattern in (add_outage(PEAK_OF_LARGE), add_outage(PEAK_OF_ALL)):
            retrying = replace(pattern, retry_seconds=0.6)
            undetected = simulate(replace(retrying, detects_retries=False), SEEDS)
            detected = simulate(retrying, SEEDS)
            self.assertGreater(detected[1].attained, undetected[1].attained)


class HomeTest(unittest.TestCase):
    """Pieces with inputs in one data centre, at a pool with at least half its capacity used."""

    def test_a_wait_longer_than_one_call_keeps_pieces_with_their_inputs(self) -> None:
        """A shorter wait sends pieces away whenever a call has just begun at their inputs."""
        pool = Pool(batch=33, piece_seconds=0.0052, result_memory_bytes=10**9)
        request_class = RequestClass(
            rank=1,
            rate=14.0,
            pieces=(6, 8, 10, 12, 14),
            result_bytes=6_000,
            aim_seconds=1.4,
            has_inputs=True,
        )
        pattern = LoadPattern(pool=pool, classes=(request_class,))
        (usual,) = simulate(pattern, SEEDS)
        with mock.patch.object(_batch, "HOME_WAIT_SECONDS", 0.2):
            (short,) = simulate(pattern, SEEDS)
        self.assertLess(
            usual.computed_away / usual.computed, 0.6 * short.computed_away / short.computed
        )
        self.assertGreater(usual.attained, short.attained - 0.01)


class ThroughputTest(unittest.TestCase):
    """Scarce result memory keeps the throughput of a pool below its nominal throughput."""

    def test_requests_beyond_the_measured_throughput_are_refused_earlier(self) -> None:
        limited = replace(PEAK_OF_LARGE, pool=Pool(result_memory_bytes=6_100_000))
        nominal = simulate(replace(limited, uses_measured_throughput=False), SEEDS)
        measured = simulate(limited, SEEDS)
        self.assertLess(sum(o.late for o in measured), sum(o.late for o in nominal))
        waits = [sorted(outcomes[1].refused_after) for outcomes in (measured, nominal)]
        self.assertLess(*(seconds[len(seconds) // 2] for seconds in waits))


if __name__ == "__main__":
    unittest.main()
