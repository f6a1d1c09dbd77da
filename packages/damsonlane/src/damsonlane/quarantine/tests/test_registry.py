"""Which requests are kept from targets, by what ended under them."""

import random
import unittest
from collections.abc import Sequence
from dataclasses import replace
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from damsonlane.codec import decode_bytes, encode_text
from damsonlane.quarantine import (
    COUNTED_SECONDS,
    ENDS_TO_HOLD_ALIKE,
    MOST_ENDS,
    SERVED_SECONDS,
    BrokenRun,
    ForgetTargetEnds,
    NoteSurvived,
    NoteTargetEnd,
    QuarantineBook,
    QuarantineSnapshot,
    ReleaseRequest,
    ServedLately,
)
from damsonlane.quarantine._served import MOST_SERVED


def make_end(number: int, *requests: str, seconds: float = 0.2, at: float = 0.0) -> NoteTargetEnd:
    runs = tuple(BrokenRun(fingerprint=name, seconds=seconds) for name in requests)
    return NoteTargetEnd(target=f"t{number}", start=number, runs=runs, at=at)


def list_held(book: QuarantineBook) -> list[str]:
    return [request.fingerprint for request in book.list_for_entries().held]


def make_book(*ends: Sequence[str]) -> QuarantineBook:
    book = QuarantineBook()
    for number, requests in enumerate(ends):
        book.apply(make_end(number, *requests))
    return book


class HoldTest(unittest.TestCase):
    def test_a_request_is_held_from_the_third_target_on(self) -> None:
        self.assertEqual(list_held(make_book(["bad", "a"], ["bad", "b"])), [])
        self.assertEqual(list_held(make_book(["bad", "a"], ["bad", "b"], ["bad"])), ["bad"])

    def test_one_target_counts_once_however_many_boxes_tell_of_it(self) -> None:
        book = QuarantineBook()
        for _ in range(5):
            book.apply(make_end(1, "a"))
        self.assertEqual(list_held(book), [])

    def test_a_target_that_started_again_counts_anew(self) -> None:
        book = QuarantineBook()
        for start in range(3):
            runs = (BrokenRun(fingerprint="bad", seconds=0.1),)
            book.apply(NoteTargetEnd(target="t", start=start, runs=runs))
        self.assertEqual(list_held(book), ["bad"])

    def test_ends_of_a_target_with_a_fixed_name_are_told_apart_by_their_time(self) -> None:
        book = QuarantineBook()
        for at in (10.0, 10.1, 20.0, 20.1):
            book.apply(replace(make_end(0, "bad", at=at), is_name_kept=True))
        self.assertEqual(list_held(book), [])
        book.apply(replace(make_end(0, "bad", at=30.0), is_name_kept=True))
        self.assertEqual(list_held(book), ["bad"])

    def test_bystanders_of_one_that_is_held_are_not(self) -> None:
        book = make_book(
            ["bad", "a", "b"], ["bad", "a"], ["bad", "a", "c"], ["bad", "c", "b"], ["bad", "b"]
        )
        self.assertEqual(list_held(book), ["bad"])

    def test_two_deadly_requests_are_both_held(self) -> None:
        book = make_book(["x", "a"], ["x"], ["x", "y"], ["x"], ["y"], ["y", "a"], ["y"])
        self.assertEqual(list_held(book), ["x", "y"])

    def test_word_that_comes_in_another_order_ends_with_the_same(self) -> None:
        """For a moment the bystander stands in more ends than the one that did it."""
        book = make_book(["bad", "a"], ["bad", "a"], ["a"])
        self.assertEqual(list_held(book), ["a"])
        for number in (2, 3):
            book.apply(make_end(number, "bad"))
        self.assertEqual(list_held(book), ["bad"])

    def test_two_that_always_come_together_are_held_late(self) -> None:
        together = [["x", "y"]] * ENDS_TO_HOLD_ALIKE
        self.assertEqual(list_held(make_book(*together[:-1])), [])
        self.assertEqual(list_held(make_book(*together)), ["x", "y"])
        self.assertEqual(list_held(make_book(*together[:3], ["x"])), ["x"])

    def test_two_that_come_together_hide_no_third(self) -> None:
        book = make_book(["x", "y"], ["x", "y"], ["x", "y"], ["z"], ["z"], ["z"])
        self.assertEqual(list_held(book), ["z"])


class ReleaseTest(unittest.TestCase):
    def test_a_request_that_was_served_is_not_held(self) -> None:
        book = make_book(["popular"], ["popular"])
        self.assertEqual(book.list_for_entries().suspects, ("popular",))
        book.apply(NoteSurvived(fingerprints=("popular",)))
        book.apply(make_end(9, "popular"))
        self.assertEqual(list_held(book), [])

    def test_an_operator_releases_a_request(self) -> None:
        book = make_book(["bad"], ["bad"], ["bad"])
        before = book.revision
        book.apply(ReleaseRequest(fingerprint="bad", operator="o", at=1.0))
        self.assertEqual(list_held(book), [])
        self.assertGreater(book.revision, before)

    def test_ends_of_long_ago_are_forgotten(self) -> None:
        book = QuarantineBook()
        for number in range(4):
            book.apply(make_end(number, "bad", at=100.0 * number))
        self.assertEqual(book.list_for_entries().held[0].until, 100.0 + COUNTED_SECONDS)
        self.assertFalse(book.is_forgetful_at(COUNTED_SECONDS))
        self.assertTrue(book.is_forgetful_at(COUNTED_SECONDS + 1.0))
        book.apply(ForgetTargetEnds(before=99.0))
        self.assertEqual(list_held(book), ["bad"])
        book.apply(ForgetTargetEnds(before=101.0))
        self.assertEqual(list_held(book), [])

    def test_many_ends_of_others_do_not_release_it(self) -> None:
        book = make_book(["bad"], ["bad"], ["bad"])
        for number in range(3, 2 * MOST_ENDS):
            book.apply(make_end(number, f"other-{number}"))
        self.assertEqual(list_held(book), ["bad"])
        self.assertEqual(len(book.snapshot().ends), MOST_ENDS)

    def test_an_end_with_hundreds_of_requests_keeps_the_shortest_runs(self) -> None:
        book = QuarantineBook()
        for number in range(3):
            book.apply(make_end(number, *(f"{number}-{other}" for other in range(300)), seconds=2))
            book.apply(make_end(number, "bad", seconds=0.1))
        self.assertEqual(list_held(book), ["bad"])


class ServedLatelyTest(unittest.TestCase):
    def test_a_good_end_speaks_for_a_request_for_a_minute(self) -> None:
        served = ServedLately()
        self.assertFalse(served.has("a", 0.0))
        served.note("a", 10.0)
        self.assertTrue(served.has("a", 9.9 + SERVED_SECONDS))
        self.assertFalse(served.has("a", 10.0 + SERVED_SECONDS))

    def test_the_oldest_are_forgotten(self) -> None:
        served = ServedLately()
        for number in range(MOST_SERVED + 1):
            served.note(f"r{number % MOST_SERVED}", 0.0)
        self.assertTrue(served.has("r0", 1.0))
        served.note("new", 0.0)
        self.assertFalse(served.has("r1", 1.0))
        self.assertTrue(served.has("r0", 1.0))


class StateTest(unittest.TestCase):
    def test_a_snapshot_holds_everything(self) -> None:
        book = make_book(["bad", "a"], ["bad"], ["bad"])
        text = encode_text(book.snapshot(), QuarantineSnapshot)
        again = QuarantineBook(decode_bytes(text, QuarantineSnapshot))
        self.assertEqual(again.list_for_entries(), book.list_for_entries())
        self.assertEqual(again.snapshot(), book.snapshot())

    def test_the_revision_rises_only_with_the_list(self) -> None:
        book = make_book(["a"], ["b"])
        self.assertEqual(book.revision, 0)
        book.apply(make_end(2, "a"))
        self.assertEqual(book.revision, 1)

    @given(
        st.lists(st.sets(st.sampled_from("abcdef"), min_size=1), max_size=8),
        st.randoms(use_true_random=False),
    )
    def test_the_order_of_word_does_not_matter(
        self, ends: list[set[str]], randomness: random.Random
    ) -> None:
        """Each box tells its own part of an end; whatever comes first, the list is the same."""
        told = [(number, name) for number, names in enumerate(ends) for name in sorted(names)]
        books = []
        for _ in range(2):
            book = QuarantineBook()
            for number, name in told:
                book.apply(make_end(number, name))
            books.append(book)
            randomness.shuffle(told)
        first, second = (book.list_for_entries() for book in books)
        self.assertEqual(first.held, second.held)
        self.assertEqual(first.suspects, second.suspects)

    def test_reports_of_a_lost_rack_do_not_have_the_list_made_anew(self) -> None:
        """200 reports took 9.48 s of a processor when they did, and 0.02 s since."""
        book = QuarantineBook()
        for number in range(MOST_ENDS):
            book.apply(make_end(number, *(f"{number}-{other}" for other in range(40))))
        with mock.patch.object(book, "_make_list") as make:
            for number in range(200):
                book.apply(make_end(1_000 + number % 10, *(f"r{number}-{n}" for n in range(24))))
        make.assert_not_called()

    @given(
        st.lists(st.sets(st.sampled_from("abcd"), max_size=3), min_size=3, max_size=10),
    )
    def test_one_in_every_end_and_no_other_so_is_the_one(self, others: list[set[str]]) -> None:
        book = make_book(*([*sorted(names), "bad"] for names in others))
        is_alone = all(any(name not in names for names in others) for name in "abcd")
        if is_alone:
            self.assertEqual(list_held(book), ["bad"])


if __name__ == "__main__":
    unittest.main()
