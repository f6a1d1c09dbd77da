"""Partition of engines by the length of prompts."""

import unittest
from collections import Counter

from damsonlane.routing import EngineLocation, PromptPartition
from damsonlane.routing._partition import LONG_PROMPT_TOKENS

_SHORT = LONG_PROMPT_TOKENS - 1
_LONG = LONG_PROMPT_TOKENS
_DATA_CENTRES = ("gulberg", "johar", "dha")
_ENGINES = tuple(
    EngineLocation(target=f"engine-{number}", data_centre=_DATA_CENTRES[number % 3])
    for number in range(6)
)


class PromptPartitionTest(unittest.TestCase):
    def test_long_and_short_prompts_share_no_engine(self) -> None:
        partition = PromptPartition()
        long, short = (
            partition.find_engines(_LONG, _ENGINES),
            partition.find_engines(_SHORT, _ENGINES),
        )
        self.assertFalse(long & short)
        self.assertEqual(long | short, {engine.target for engine in _ENGINES})
        self.assertEqual((len(long), len(short)), (5, 1))

    def test_a_rare_class_of_prompts_takes_no_engine_from_the_other(self) -> None:
        cases = (("only long ones", _LONG, _SHORT, 5), ("only short ones", _SHORT, _LONG, 1))
        for name, common, rare, long_engines in cases:
            with self.subTest(name):
                partition = PromptPartition()
                for _ in range(1_000):
                    partition.record(common)
                self.assertEqual(len(partition.find_engines(common, _ENGINES)), 6)
                rare_engines = long_engines if rare == _LONG else 6 - long_engines
                self.assertEqual(len(partition.find_engines(rare, _ENGINES)), rare_engines)

    def test_a_few_requests_outweigh_the_initial_assumption(self) -> None:
        partition = PromptPartition()
        for _ in range(200):
            partition.record(_SHORT)
        self.assertEqual(len(partition.find_engines(_SHORT, _ENGINES)), 6)

    def test_a_prompt_of_unknown_length_may_use_all_engines(self) -> None:
        self.assertEqual(len(PromptPartition().find_engines(0, _ENGINES)), 6)

    def test_a_part_alternates_between_data_centres(self) -> None:
        engines = PromptPartition().find_engines(_LONG, _ENGINES)
        counts = Counter(engine.data_centre for engine in _ENGINES if engine.target in engines)
        self.assertEqual(sorted(counts.values()), [1, 2, 2])

    def test_the_order_of_the_list_does_not_matter(self) -> None:
        partition = PromptPartition()
        for tokens in (_SHORT, _LONG):
            self.assertEqual(
                partition.find_engines(tokens, _ENGINES),
                partition.find_engines(tokens, _ENGINES[::-1]),
            )

    def test_a_single_engine_serves_all_prompts(self) -> None:
        cases: tuple[tuple[str, tuple[EngineLocation, ...], set[str]], ...] = (
            ("one", _ENGINES[:1], {"engine-0"}),
            ("none", (), set()),
        )
        for name, engines, expected in cases:
            with self.subTest(name):
                for tokens in (_SHORT, _LONG):
                    self.assertEqual(PromptPartition().find_engines(tokens, engines), expected)


if __name__ == "__main__":
    unittest.main()
