"""Order of request classes while not all can be served."""

import unittest

from damsonlane.pools._priorities import DECAY_SECONDS, STEP_SHARE, ClassPriorities


def order(priorities: ClassPriorities, *ranks: int) -> list[int]:
    return sorted(ranks, key=priorities.sort_key)


class ClassPrioritiesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.priorities = ClassPriorities()

    def record(self, rank: int, *, served: int, refused: int, now: float = 0.0) -> None:
        for _ in range(served):
            self.priorities.record_served(rank, now)
        for _ in range(refused):
            self.priorities.record_refused(rank, now)

    def test_the_more_urgent_class_goes_first_while_nothing_is_refused(self) -> None:
        self.record(6, served=5, refused=0)
        self.record(4, served=500, refused=0)
        self.assertEqual(order(self.priorities, 6, 5, 4, 2, 0), [0, 2, 4, 5, 6])

    def test_the_class_refused_most_goes_first_within_one_organisation_rank(self) -> None:
        self.record(5, served=200, refused=0)
        self.record(6, served=100, refused=40)
        self.assertEqual(order(self.priorities, 4, 5, 6), [4, 6, 5])
        self.assertEqual(self.priorities.list_before(5, (4, 5, 6)), [4, 6])
        # The organisation's rank takes precedence.
        self.assertEqual(order(self.priorities, 6, 2), [2, 6])

    def test_a_less_urgent_class_is_allowed_a_larger_share_of_refusals(self) -> None:
        share = STEP_SHARE / 2
        self.record(6, served=10_000, refused=int(10_000 * share))
        self.record(5, served=10_000, refused=0)
        self.assertEqual(order(self.priorities, 5, 6), [5, 6])

    def test_the_most_urgent_class_stays_first(self) -> None:
        self.record(5, served=0, refused=500)
        self.record(4, served=500, refused=0)
        self.assertEqual(order(self.priorities, 4, 5), [4, 5])

    def test_refusals_decay(self) -> None:
        self.record(6, served=0, refused=10)
        self.assertEqual(order(self.priorities, 5, 6), [6, 5])
        self.priorities.record_served(6, 5 * DECAY_SECONDS)
        self.assertEqual(order(self.priorities, 5, 6), [5, 6])

    def test_a_single_refusal_has_little_weight(self) -> None:
        self.priorities.record_refused(6, 0.0)
        self.assertEqual(order(self.priorities, 5, 6), [5, 6])


if __name__ == "__main__":
    unittest.main()
