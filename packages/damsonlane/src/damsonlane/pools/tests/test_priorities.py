"""Which kind of request goes first where not all can be served."""

import unittest

from damsonlane.pools._priorities import MEMORY_SECONDS, STEP_SHARE, Claims


def order(claims: Claims, *ranks: int) -> list[int]:
    return sorted(ranks, key=claims.rate)


class ClaimsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.claims = Claims()

    def note(self, rank: int, *, taken: int, refused: int, now: float = 0.0) -> None:
        for _ in range(taken):
            self.claims.note_taken(rank, now)
        for _ in range(refused):
            self.claims.note_refused(rank, now)

    def test_while_nothing_is_refused_the_more_urgent_kind_goes_first(self) -> None:
        self.note(6, taken=5, refused=0)
        self.note(4, taken=500, refused=0)
        self.assertEqual(order(self.claims, 6, 5, 4, 2, 0), [0, 2, 4, 5, 6])

    def test_the_kind_that_gave_way_most_goes_first_within_its_organisations(self) -> None:
        self.note(5, taken=200, refused=0)
        self.note(6, taken=100, refused=40)
        self.assertEqual(order(self.claims, 4, 5, 6), [4, 6, 5])
        self.assertEqual(self.claims.list_before(5, (4, 5, 6)), [4, 6])
        # An organisation's rank comes before that.
        self.assertEqual(order(self.claims, 6, 2), [2, 6])

    def test_a_less_urgent_kind_is_refused_a_little_more(self) -> None:
        share = STEP_SHARE / 2
        self.note(6, taken=10_000, refused=int(10_000 * share))
        self.note(5, taken=10_000, refused=0)
        self.assertEqual(order(self.claims, 5, 6), [5, 6])

    def test_the_most_urgent_kind_stays_first(self) -> None:
        self.note(5, taken=0, refused=500)
        self.note(4, taken=500, refused=0)
        self.assertEqual(order(self.claims, 4, 5), [4, 5])

    def test_refusals_are_forgotten(self) -> None:
        self.note(6, taken=0, refused=10)
        self.assertEqual(order(self.claims, 5, 6), [6, 5])
        self.claims.note_taken(6, 5 * MEMORY_SECONDS)
        self.assertEqual(order(self.claims, 5, 6), [5, 6])

    def test_one_refusal_after_a_calm_time_says_little(self) -> None:
        self.claims.note_refused(6, 0.0)
        self.assertEqual(order(self.claims, 5, 6), [5, 6])


if __name__ == "__main__":
    unittest.main()
