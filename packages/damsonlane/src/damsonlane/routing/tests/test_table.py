"""Choice, load and ejection of the targets of one service."""

import random
import unittest
from collections import Counter

from damsonlane.routing import POLICIES, LoadReport, Origin, TargetLocation, TargetTable

_ORIGIN = Origin(data_centre="johar")


def _make_table(count: int = 4, data_centre: str = "johar") -> TargetTable:
    table = TargetTable()
    table.update(
        {
            f"t{number}": TargetLocation(
                address=f"127.0.0.1:{9000 + number}", data_centre=data_centre
            )
            for number in range(count)
        }
    )
    return table


class TargetTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.randomness = random.Random(1)

    def _choose(self, table: TargetTable, now: float = 0.0, **options: object) -> str | None:
        policy = str(options.pop("policy", "predicted"))
        choice = table.choose(
            policy,
            _ORIGIN,
            now=now,
            randomness=self.randomness,
            **options,  # type: ignore[arg-type]
        )
        return choice.target if choice else None

    def test_load_based_policies_spread_requests_evenly(self) -> None:
        for policy in ("round-robin", "least-in-flight", "paced", "predicted"):
            with self.subTest(policy):
                table = _make_table()
                counts = Counter(self._choose(table, policy=policy) for _ in range(40))
                self.assertEqual(set(counts.values()), {10})

    def test_every_registered_policy_chooses(self) -> None:
        for policy in POLICIES:
            with self.subTest(policy):
                self.assertIsNotNone(self._choose(_make_table(), policy=policy))

    def test_a_target_that_failed_the_request_is_avoided_while_there_are_others(self) -> None:
        table = _make_table(2)
        self.assertEqual({self._choose(table, avoid=("t0",)) for _ in range(9)}, {"t1"})
        self.assertIsNotNone(self._choose(table, avoid=("t0", "t1")))

    def test_preferred_targets_are_chosen_unless_excluded(self) -> None:
        cases: tuple[tuple[str, dict[str, tuple[str, ...]], set[str]], ...] = (
            ("none excluded", {}, {"t0", "t1"}),
            ("one failed the request", {"avoid": ("t0",)}, {"t1"}),
            ("both failed the request", {"avoid": ("t0", "t1")}, {"t2", "t3"}),
            ("both silent", {"silent": ("t0", "t1")}, {"t2", "t3"}),
            ("both draining", {"leaving": ("t0", "t1")}, {"t2", "t3"}),
        )
        for name, options, expected in cases:
            with self.subTest(name):
                table = _make_table()
                chosen = {
                    self._choose(table, 0.0, prefer=("t0", "t1"), **options) for _ in range(20)
                }
                self.assertEqual(chosen, expected)

    def test_a_silent_target_is_chosen_before_one_that_failed_the_request(self) -> None:
        cases = (
            ("t0", ("t1",), {"t2"}),
            ("t0", ("t1", "t2"), {"t1", "t2"}),
            ("t0", ("t0", "t1", "t2"), {"t1", "t2"}),
        )
        for failed, silent, expected in cases:
            with self.subTest(silent=silent):
                table = _make_table(3)
                chosen = {self._choose(table, avoid=(failed,), silent=silent) for _ in range(12)}
                self.assertEqual(chosen, expected)

    def test_a_draining_target_is_never_chosen(self) -> None:
        self.assertIsNone(self._choose(_make_table(1), leaving=("t0",)))

    def test_a_load_report_counts_until_it_is_stale(self) -> None:
        table = _make_table(2)
        self._choose(table, avoid=("t1",))
        table.finish("t0", "good", 0.0, report=LoadReport(held=20, slots=2))
        self.assertEqual({self._choose(table, 0.0) for _ in range(5)}, {"t1"})
        self.assertIn("t0", {self._choose(table, 5.0) for _ in range(8)})

    def test_a_slow_target_gets_fewer_requests_until_its_slowness_decays(self) -> None:
        for policy in ("paced", "predicted"):
            with self.subTest(policy):
                table = _make_table(2)
                for _ in range(20):
                    self._choose(table, avoid=("t1",))
                    table.finish("t0", "good", 0.0, pace=10.0)
                counts = Counter(self._choose(table, 0.0, policy=policy) for _ in range(12))
                self.assertLessEqual(counts["t0"], 2)
                late = Counter(self._choose(table, 60.0, policy=policy) for _ in range(40))
                self.assertGreater(late["t0"], 10)

    def test_the_near_one_of_two_equal_targets_is_chosen(self) -> None:
        table = _make_table(1)
        table.update(
            {
                "near": TargetLocation(address="127.0.0.1:1", data_centre="johar"),
                "far": TargetLocation(address="127.0.0.1:2", data_centre="dha"),
            }
        )
        self.assertEqual(self._choose(table, policy="paced"), "near")
        self.assertEqual(self._choose(table, policy="paced"), "far")

    def test_three_failures_eject_and_a_successful_trial_ends_the_ejection(self) -> None:
        table = _make_table(4)
        self._fail(table, "t0", 3)
        others = {self._choose(table, 0.5) for _ in range(40)}
        self.assertNotIn("t0", others)
        trials = [self._choose(table, 1.5) for _ in range(40)].count("t0")
        self.assertEqual(trials, 1, "only one trial at a time")
        table.finish("t0", "good", 1.6)
        self.assertIn("t0", {self._choose(table, 1.6) for _ in range(40)})

    def test_at_most_half_of_the_targets_are_ejected(self) -> None:
        table = _make_table(4)
        for name in ("t0", "t1", "t2", "t3"):
            self._fail(table, name, 3)
        self.assertEqual(len({self._choose(table, 0.5) for _ in range(40)}), 2)

    def test_prefix_affinity_chooses_one_target_until_it_has_more_load_than_the_others(
        self,
    ) -> None:
        table = _make_table(4)
        origin = Origin(data_centre="johar", affinity="the same long prompt")
        chosen = []
        for _ in range(8):
            choice = table.choose("prefix-affinity", origin, now=0.0, randomness=self.randomness)
            assert choice is not None
            chosen.append(choice.target)
        self.assertEqual(chosen[0], chosen[1])
        self.assertLessEqual(max(Counter(chosen).values()), 4)

    def _fail(self, table: TargetTable, name: str, times: int) -> None:
        others = tuple(f"t{number}" for number in range(4) if f"t{number}" != name)
        for _ in range(times):
            self._choose(table, avoid=others)
            table.finish(name, "bad", 0.0)


if __name__ == "__main__":
    unittest.main()
