"""Which engine a prompt goes to, one by one and under load patterns."""

import unittest
from dataclasses import replace

from damsonlane.placing import (
    EngineBook,
    InputPlace,
    Placement,
    PromptOrder,
    PromptPart,
    PromptRead,
)
from damsonlane.placing._prefix_cache import KEPT_SHARE, KeptParts
from damsonlane.placing.tests.simulation import Prompts, play_apart, play_together
from damsonlane.routing import Place

ENGINES = ("a", "b", "c")
#: Seconds in which an engine takes a token from another one: 160 KB over 260 Gbit/s.
MOVE_PACE = 5e-6
#: Plays of each pattern.
SEEDS = 10


def make_order(
    number: int,
    *,
    subject: str = "s",
    tokens: int = 9_000,
    aim: float = 1.0,
    avoid: tuple[str, ...] = (),
) -> PromptOrder:
    shared = (PromptPart(identity="all", tokens=2_500), PromptPart(identity=subject, tokens=3_800))
    return PromptOrder(
        number=number, shared=shared, tokens=tokens, aim_left_seconds=aim, avoid=avoid
    )


class EngineBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.book = EngineBook(300_000)
        self.book.update([Place(target=name, data_centre="") for name in ENGINES])

    def place(self, order: PromptOrder, now: float = 0.0) -> str:
        return self.book.place("e", order, ENGINES, now).target

    def test_prompts_of_one_subject_go_to_one_engine_while_it_is_not_busy(self) -> None:
        chosen = {self.place(make_order(number), now=float(number)) for number in range(5)}
        self.assertEqual(len(chosen), 1)

    def test_a_busy_engine_gives_way(self) -> None:
        chosen = [self.place(make_order(number, tokens=20_000)) for number in range(6)]
        self.assertGreater(len(set(chosen)), 1)

    def test_engines_that_the_sender_cannot_use_are_left_out(self) -> None:
        first = self.place(make_order(1))
        self.assertNotEqual(self.place(make_order(2, avoid=(first,))), first)
        self.assertEqual(self.place(make_order(3, avoid=ENGINES)), "")

    def test_an_engine_that_did_not_take_a_prompt_rests(self) -> None:
        first = self.place(make_order(1))
        self.book.note_read("e", PromptRead(number=1, seconds=None), 0.1)
        self.assertNotEqual(self.place(make_order(2), now=0.2), first)

    def test_a_slow_engine_gets_less(self) -> None:
        first = self.place(make_order(0), now=0.0)
        for number in range(1, 9):
            self.book.note_read("e", PromptRead(number=number - 1, seconds=4.0), float(number))
            if self.place(make_order(number), now=float(number)) != first:
                return
        self.fail("a slow engine went on getting all prompts of a subject")

    def test_engines_for_other_lengths_take_what_would_wait_long(self) -> None:
        orders = [make_order(number, tokens=20_000) for number in range(4)]
        chosen = [self.book.place("e", order, ("a",), 0.0).target for order in orders]
        self.assertEqual(chosen[0], "a")
        self.assertGreater(len(set(chosen)), 1)

    def test_without_engines_nothing_is_chosen(self) -> None:
        self.book.update(())
        self.assertEqual(self.place(make_order(1)), "")

    def test_word_of_an_unknown_prompt_changes_nothing(self) -> None:
        self.book.note_read("e", PromptRead(number=99, seconds=0.1), 0.0)
        self.assertIn(self.place(make_order(1)), ENGINES)


class MoveTest(unittest.TestCase):
    """Engines that take from each other what one of them keeps."""

    def setUp(self) -> None:
        self.book = EngineBook(300_000, MOVE_PACE)
        self.book.update([Place(target=name, data_centre=name) for name in ENGINES])

    def place(self, order: PromptOrder, now: float = 0.0) -> Placement:
        return self.book.place("e", order, ENGINES, now)

    def test_another_engine_takes_shared_parts_from_the_one_that_keeps_them(self) -> None:
        first = self.place(make_order(1)).target
        other = next(name for name in ENGINES if name != first)
        inputs = (InputPlace(data_centre=other, size=40_000_000),)
        second = self.place(replace(make_order(2), inputs=inputs), now=5.0)
        self.assertEqual((second.target, second.source), (other, first))

    def test_nothing_is_taken_that_is_not_read_yet(self) -> None:
        first = self.place(make_order(1)).target
        other = next(name for name in ENGINES if name != first)
        inputs = (InputPlace(data_centre=other, size=40_000_000),)
        self.assertEqual(self.place(replace(make_order(2), inputs=inputs)).source, "")

    def test_nothing_is_taken_by_the_engine_that_keeps_all(self) -> None:
        first = self.place(make_order(1)).target
        again = self.place(make_order(2), now=5.0)
        self.assertEqual((again.target, again.source), (first, ""))

    def test_nothing_is_taken_where_engines_cannot(self) -> None:
        book = EngineBook(300_000)
        book.update([Place(target=name, data_centre=name) for name in ENGINES])
        first = book.place("e", make_order(1), ENGINES, 0.0).target
        self.assertEqual(book.place("e", make_order(2, avoid=(first,)), ENGINES, 5.0).source, "")

    def test_of_several_that_keep_parts_the_one_that_has_read_most_gives_them(self) -> None:
        half = replace(make_order(1), shared=make_order(1).shared[:1])
        some = self.place(half).target
        most = next(name for name in ENGINES if name != some)
        other = next(name for name in ENGINES if name not in (some, most))
        for number, target in ((2, most), (3, other)):
            inputs = (InputPlace(data_centre=target, size=40_000_000),)
            placed = self.place(replace(make_order(number), inputs=inputs), now=5.0 * number)
        self.assertEqual((placed.target, placed.source), (other, most))

    def test_a_forgetful_engine_gives_nothing(self) -> None:
        first = self.place(make_order(1)).target
        self.book.note_read("e", PromptRead(number=1, seconds=None), 1.0)
        self.assertEqual(self.place(make_order(2, avoid=(first,)), now=5.0).source, "")

    def test_the_engine_beside_large_inputs_reads_the_prompt(self) -> None:
        for home in ENGINES:
            with self.subTest(home=home):
                inputs = (InputPlace(data_centre=home, size=4_000_000),)
                order = replace(make_order(9, subject=f"of {home}"), inputs=inputs)
                self.assertEqual(self.place(order, now=20.0).target, home)

    def test_a_wave_reads_less_again_and_starts_sooner_with_moves(self) -> None:
        """Six engines, ten seeds: figures stand beside the constants of the book."""
        late, again = play_together(Prompts(hot_share=0.3), 6)
        late_moved, again_moved = play_together(Prompts(hot_share=0.3), 6, MOVE_PACE)
        self.assertLess(again_moved, 0.7 * again)
        self.assertLessEqual(late_moved, late)


class KeptPartsTest(unittest.TestCase):
    def test_a_part_counts_only_after_all_before_it(self) -> None:
        kept = KeptParts(100_000)
        one, two = (PromptPart(identity=name, tokens=10) for name in ("one", "two"))
        kept.note((two,))
        self.assertEqual(kept.count_kept((one, two)), 0)
        kept.note((one,))
        self.assertEqual(kept.count_kept((one, two)), 20)

    def test_what_is_unused_for_longest_gives_way(self) -> None:
        kept = KeptParts(int(30 / KEPT_SHARE) + 1)
        parts = [PromptPart(identity=f"{n}", tokens=10) for n in range(4)]
        for part in (*parts[:3], parts[0], parts[3]):
            kept.note((part,))
        self.assertEqual([kept.count_kept((part,)) for part in parts], [10, 0, 10, 10])


class LoadPatternTest(unittest.TestCase):
    """One entry that places all prompts, against entries that each choose by themselves."""

    def test_a_wave_of_long_prompts(self) -> None:
        self._compare(Prompts())

    def test_a_wave_while_engines_are_lost(self) -> None:
        self._compare(Prompts(lost=(("a", 2.0), ("b", 4.0))))

    def test_a_wave_of_one_subject(self) -> None:
        self._compare(Prompts(hot_share=0.4))

    def test_shared_parts_are_not_read_first_where_few_prompts_may_follow(self) -> None:
        """Two of six engines take one prompt in two seconds each, and others read it all again."""
        prompts = Prompts(limited=(("a", 0.5), ("b", 0.5)))
        for move_pace in (None, 3e-6):
            late, again = play_together(prompts, SEEDS, move_pace)
            late_before, again_before = play_together(
                prompts, SEEDS, move_pace, weighs_limits=False
            )
            self.assertLess(again, 0.75 * again_before)
            self.assertLessEqual(late, late_before + 0.005)

    def _compare(self, prompts: Prompts) -> None:
        late_apart, _ = play_apart(prompts, SEEDS)
        late, _ = play_together(prompts, SEEDS)
        self.assertLess(late, 0.6 * late_apart)


if __name__ == "__main__":
    unittest.main()
