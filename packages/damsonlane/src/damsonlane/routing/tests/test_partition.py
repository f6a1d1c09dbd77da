"""Engines divided by the length of prompts."""

import unittest
from collections import Counter

from damsonlane.routing import Place, PromptSides
from damsonlane.routing._partition import LONG_PROMPT_TOKENS

_SHORT = LONG_PROMPT_TOKENS - 1
_LONG = LONG_PROMPT_TOKENS
_CENTRES = ("gulberg", "johar", "dha")
_PLACES = tuple(
    Place(target=f"engine-{number}", data_centre=_CENTRES[number % 3]) for number in range(6)
)


class PromptSidesTest(unittest.TestCase):
    def test_long_and_short_prompts_share_no_engine(self) -> None:
        sides = PromptSides()
        long, short = sides.find_side(_LONG, _PLACES), sides.find_side(_SHORT, _PLACES)
        self.assertFalse(long & short)
        self.assertEqual(long | short, {place.target for place in _PLACES})
        self.assertEqual((len(long), len(short)), (5, 1))

    def test_a_kind_that_hardly_comes_costs_the_other_no_engine(self) -> None:
        cases = (("only long ones", _LONG, _SHORT, 5), ("only short ones", _SHORT, _LONG, 1))
        for name, usual, rare, long_engines in cases:
            with self.subTest(name):
                sides = PromptSides()
                for _ in range(1_000):
                    sides.note(usual)
                self.assertEqual(len(sides.find_side(usual, _PLACES)), 6)
                rare_engines = long_engines if rare == _LONG else 6 - long_engines
                self.assertEqual(len(sides.find_side(rare, _PLACES)), rare_engines)

    def test_a_few_requests_outweigh_the_first_guess(self) -> None:
        sides = PromptSides()
        for _ in range(200):
            sides.note(_SHORT)
        self.assertEqual(len(sides.find_side(_SHORT, _PLACES)), 6)

    def test_a_prompt_of_unknown_length_goes_anywhere(self) -> None:
        self.assertEqual(len(PromptSides().find_side(0, _PLACES)), 6)

    def test_a_side_takes_the_data_centres_in_turn(self) -> None:
        side = PromptSides().find_side(_LONG, _PLACES)
        counts = Counter(place.data_centre for place in _PLACES if place.target in side)
        self.assertEqual(sorted(counts.values()), [1, 2, 2])

    def test_the_order_of_the_list_does_not_matter(self) -> None:
        sides = PromptSides()
        for tokens in (_SHORT, _LONG):
            self.assertEqual(
                sides.find_side(tokens, _PLACES), sides.find_side(tokens, _PLACES[::-1])
            )

    def test_one_engine_takes_all(self) -> None:
        cases: tuple[tuple[str, tuple[Place, ...], set[str]], ...] = (
            ("one", _PLACES[:1], {"engine-0"}),
            ("none", (), set()),
        )
        for name, places, expected in cases:
            with self.subTest(name):
                for tokens in (_SHORT, _LONG):
                    self.assertEqual(PromptSides().find_side(tokens, places), expected)


if __name__ == "__main__":
    unittest.main()
