"""Choice among targets of a plain service whose speeds differ and that report their slowness."""

import hashlib
import heapq
import random
import unittest
from collections import Counter

from damsonlane.routing import LoadReport, Origin, TargetLocation, TargetTable

ENTRIES = 20
SLOTS = 6
OBJECTIVE_SECONDS = 0.165
ORIGIN = Origin(data_centre="x")
#: Digest of the choices of the release before speeds were learned, for `choose_without_reports`.
CHOICES_BEFORE = "b439a60ee278ed97"


def make_table(count: int = 3) -> TargetTable:
    table = TargetTable()
    names = [f"t{number}" for number in range(count)]
    table.update({name: TargetLocation(address=name, data_centre="x") for name in names})
    return table


def replay(
    speeds: tuple[float, ...], rate: float, *, reports: bool, seed: int = 1
) -> tuple[float, Counter[str]]:
    """Return the late share, and the choices, of requests from many entries to three targets.

    Each target is 2.5 times as slow for 0.6 s of every 3.6 s.  The first 20 s are not counted.
    """
    randomness = random.Random(seed)
    tables = [make_table() for _ in range(ENTRIES)]
    phases = [randomness.uniform(0.0, 3.6) for _ in speeds]
    busy: list[list[float]] = [[] for _ in speeds]
    finishing: list[tuple[float, float, int, str, float]] = []
    late, choices, now = 0, Counter[str](), 0.0
    while now < 60.0:
        now += randomness.expovariate(rate)
        while finishing and finishing[0][0] <= now:
            done_at, arrived_at, entry, target, held = heapq.heappop(finishing)
            index = int(target[1:])
            slowness = 2.5 if (done_at + phases[index]) % 3.6 < 0.6 else 1.0
            report = LoadReport(held=int(held), slots=SLOTS, slowness=slowness if reports else None)
            tables[entry].finish(
                target, "good", done_at, report=report, work="r", seconds=done_at - arrived_at
            )
        entry = randomness.randrange(ENTRIES)
        choice = tables[entry].choose("paced", ORIGIN, now=now, randomness=randomness)
        assert choice is not None
        index = int(choice.target[1:])
        ends = busy[index] = sorted(end for end in busy[index] if end > now)
        begins_at = ends[-SLOTS] if len(ends) >= SLOTS else now
        slowness = 2.5 if (begins_at + phases[index]) % 3.6 < 0.6 else 1.0
        seconds = 0.08 * randomness.lognormvariate(0.0, 0.3) * slowness / speeds[index]
        ends.append(begins_at + seconds)
        finished = (begins_at + seconds, now, entry, choice.target, float(len(ends)))
        heapq.heappush(finishing, finished)
        if now > 20.0:
            choices[choice.target] += 1
            late += begins_at + seconds - now > OBJECTIVE_SECONDS
    return late / sum(choices.values()), choices


def choose_without_reports() -> str:
    """Return a digest of the choices for one load on targets that report no slowness."""
    chosen = []
    for policy in ("paced", "prefix-affinity", "predicted"):
        table, randomness = make_table(5), random.Random(3)
        for number in range(300):
            origin = Origin(data_centre="xy"[number % 2], affinity=f"p{number % 7}")
            now = number * 0.05
            choice = table.choose(policy, origin, now=now, randomness=randomness)
            assert choice is not None
            chosen.append(choice.target)
            if number % 4:
                report = LoadReport(held=number % 9, slots=4)
                table.finish(choice.target, "good", now, pace=1.0 + number % 5 * 0.7, report=report)
    return hashlib.sha256(" ".join(chosen).encode()).hexdigest()[:16]


class UnevenTargetsTest(unittest.TestCase):
    def test_fast_targets_get_more_and_fewer_requests_are_late(self) -> None:
        # Guards against uneven targets being loaded alike.
        speeds = (0.7, 0.7, 1.7)
        before, _ = replay(speeds, 57.0, reports=False)
        late, choices = replay(speeds, 57.0, reports=True)
        self.assertLess(late, 0.7 * before)
        self.assertGreater(choices["t2"], 2 * choices["t0"])

    def test_the_fastest_target_is_not_overloaded(self) -> None:
        # Guards against all entries choosing the fastest target at once, near full load.
        speeds = (0.7, 0.7, 1.7)
        before, _ = replay(speeds, 130.0, reports=False)
        self.assertLess(replay(speeds, 130.0, reports=True)[0], before)

    def test_targets_of_equal_speed_get_about_as_many_requests(self) -> None:
        # Guards against noise in the learned speeds that shifts the load.
        _, choices = replay((1.0, 1.0, 1.0), 57.0, reports=True)
        self.assertLess(max(choices.values()), 1.25 * min(choices.values()))

    def test_targets_that_report_nothing_are_chosen_as_before(self) -> None:
        # Guards against any effect on services whose targets report no slowness.
        self.assertEqual(choose_without_reports(), CHOICES_BEFORE)

    def test_a_queue_is_not_taken_for_a_low_speed(self) -> None:
        # Guards against a target judged slow since its requests waited there.
        table = make_table(1)
        for number in range(20):
            held = 1 if number % 2 else 2 * SLOTS
            report = LoadReport(held=held, slots=SLOTS, slowness=1.0)
            seconds = 0.1 if held == 1 else 0.9
            table.finish("t0", "good", float(number), report=report, work="r", seconds=seconds)
        self.assertAlmostEqual(table._records["t0"].speed.time_factor, 1.0, delta=0.1)

    def test_a_new_incarnation_is_not_judged_by_its_predecessor(self) -> None:
        # Guards against speeds kept under the name of a target that was replaced.
        table = make_table(1)
        report = LoadReport(held=1, slots=SLOTS, slowness=2.5)
        table.finish("t0", "good", 1.0, report=report, work="r", seconds=0.1)
        table.update({"t0": TargetLocation(address="t0", data_centre="x", start=7)})
        self.assertFalse(table._records["t0"].speed.reports_slowness)

    def test_a_report_that_arrived_long_before_the_end_is_not_followed(self) -> None:
        # Guards against the head of a long stream counting as news when the stream ends.
        table = make_table(1)
        report = LoadReport(held=1, slots=SLOTS, slowness=2.5)
        table.finish("t0", "good", 9.0, report=report, reported_at=1.0)
        self.assertLess(table._records["t0"].speed.find_factor(9.0), 1.5)


if __name__ == "__main__":
    unittest.main()
