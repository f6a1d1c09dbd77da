"""What an entry does with the targets of one service."""

import random
import unittest
from collections import Counter

from damsonlane.routing import POLICIES, LoadReport, Origin, Standing, TargetBook

_ORIGIN = Origin(data_centre="johar")


def _book(count: int = 4, data_centre: str = "johar") -> TargetBook:
    book = TargetBook()
    book.update(
        {
            f"t{number}": Standing(address=f"127.0.0.1:{9000 + number}", data_centre=data_centre)
            for number in range(count)
        }
    )
    return book


class BookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.randomness = random.Random(1)

    def _choose(self, book: TargetBook, now: float = 0.0, **options: object) -> str | None:
        policy = str(options.pop("policy", "predicted"))
        choice = book.choose(
            policy,
            _ORIGIN,
            now=now,
            randomness=self.randomness,
            **options,  # type: ignore[arg-type]
        )
        return choice.target if choice else None

    def test_every_policy_spreads_what_is_in_flight(self) -> None:
        for policy in ("round-robin", "least-in-flight", "paced", "predicted"):
            with self.subTest(policy):
                book = _book()
                counts = Counter(self._choose(book, policy=policy) for _ in range(40))
                self.assertEqual(set(counts.values()), {10})

    def test_every_registered_policy_chooses(self) -> None:
        for policy in POLICIES:
            with self.subTest(policy):
                self.assertIsNotNone(self._choose(_book(), policy=policy))

    def test_a_target_that_failed_the_request_is_avoided_while_others_are_left(self) -> None:
        book = _book(2)
        self.assertEqual({self._choose(book, avoid=("t0",)) for _ in range(9)}, {"t1"})
        self.assertIsNotNone(self._choose(book, avoid=("t0", "t1")))

    def test_preferred_targets_are_taken_where_they_are_as_good_as_the_others(self) -> None:
        cases: tuple[tuple[str, dict[str, tuple[str, ...]], set[str]], ...] = (
            ("as good", {}, {"t0", "t1"}),
            ("one failed the request", {"avoid": ("t0",)}, {"t1"}),
            ("both failed the request", {"avoid": ("t0", "t1")}, {"t2", "t3"}),
            ("both silent", {"silent": ("t0", "t1")}, {"t2", "t3"}),
            ("both leave", {"leaving": ("t0", "t1")}, {"t2", "t3"}),
        )
        for name, options, expected in cases:
            with self.subTest(name):
                book = _book()
                chosen = {
                    self._choose(book, 0.0, prefer=("t0", "t1"), **options) for _ in range(20)
                }
                self.assertEqual(chosen, expected)

    def test_a_silent_target_comes_before_one_that_failed_the_request(self) -> None:
        cases = (
            ("t0", ("t1",), {"t2"}),
            ("t0", ("t1", "t2"), {"t1", "t2"}),
            ("t0", ("t0", "t1", "t2"), {"t1", "t2"}),
        )
        for failed, silent, expected in cases:
            with self.subTest(silent=silent):
                book = _book(3)
                chosen = {self._choose(book, avoid=(failed,), silent=silent) for _ in range(12)}
                self.assertEqual(chosen, expected)

    def test_a_leaving_target_gets_nothing_whatever_is_left(self) -> None:
        self.assertIsNone(self._choose(_book(1), leaving=("t0",)))

    def test_other_entries_load_counts_until_its_report_is_old(self) -> None:
        book = _book(2)
        self._choose(book, avoid=("t1",))
        book.finish("t0", "good", 0.0, report=LoadReport(held=20, slots=2))
        self.assertEqual({self._choose(book, 0.0) for _ in range(5)}, {"t1"})
        self.assertIn("t0", {self._choose(book, 5.0) for _ in range(8)})

    def test_a_slow_target_gets_less_and_is_tried_again_later(self) -> None:
        for policy in ("paced", "predicted"):
            with self.subTest(policy):
                book = _book(2)
                for _ in range(20):
                    self._choose(book, avoid=("t1",))
                    book.finish("t0", "good", 0.0, pace=10.0)
                counts = Counter(self._choose(book, 0.0, policy=policy) for _ in range(12))
                self.assertLessEqual(counts["t0"], 2)
                late = Counter(self._choose(book, 60.0, policy=policy) for _ in range(40))
                self.assertGreater(late["t0"], 10)

    def test_distance_decides_between_equals(self) -> None:
        book = _book(1)
        book.update(
            {
                "near": Standing(address="127.0.0.1:1", data_centre="johar"),
                "far": Standing(address="127.0.0.1:2", data_centre="dha"),
            }
        )
        self.assertEqual(self._choose(book, policy="paced"), "near")
        self.assertEqual(self._choose(book, policy="paced"), "far")

    def test_three_failures_eject_and_a_trial_takes_back(self) -> None:
        book = _book(4)
        self._fail(book, "t0", 3)
        others = {self._choose(book, 0.5) for _ in range(40)}
        self.assertNotIn("t0", others)
        trial = [self._choose(book, 1.5) for _ in range(40)].count("t0")
        self.assertEqual(trial, 1, "only one trial at a time")
        book.finish("t0", "good", 1.6)
        self.assertIn("t0", {self._choose(book, 1.6) for _ in range(40)})

    def test_half_of_the_targets_stay_usable_whatever_fails(self) -> None:
        book = _book(4)
        for name in ("t0", "t1", "t2", "t3"):
            self._fail(book, name, 3)
        self.assertEqual(len({self._choose(book, 0.5) for _ in range(40)}), 2)

    def test_prefix_affinity_keeps_to_a_target_until_it_is_busier_than_the_rest(self) -> None:
        book = _book(4)
        origin = Origin(data_centre="johar", affinity="the same long prompt")
        chosen = []
        for _ in range(8):
            choice = book.choose("prefix-affinity", origin, now=0.0, randomness=self.randomness)
            assert choice is not None
            chosen.append(choice.target)
        self.assertEqual(chosen[0], chosen[1])
        self.assertLessEqual(max(Counter(chosen).values()), 4)

    def _fail(self, book: TargetBook, name: str, times: int) -> None:
        others = tuple(f"t{number}" for number in range(4) if f"t{number}" != name)
        for _ in range(times):
            self._choose(book, avoid=others)
            book.finish(name, "bad", 0.0)


if __name__ == "__main__":
    unittest.main()
