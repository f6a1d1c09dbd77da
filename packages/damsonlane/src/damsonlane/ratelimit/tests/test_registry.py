"""The limits that control tells all boxes."""

import unittest

from damsonlane.backoff import TargetStart
from damsonlane.cluster import ClusterState, decode_command, encode_command
from damsonlane.ratelimit import (
    NoteRateLimits,
    RateLimitBook,
    RateLimitRegistry,
    RateWord,
    list_untold,
)
from damsonlane.targets import RegisterTarget, RemoveTarget, TargetRecord

DESK = TargetStart(target="d1", address="127.0.0.1:1", start=5)
PIPELINE = TargetStart(target="encode/d1", address="127.0.0.1:1")
RECORD = TargetRecord(
    target="d1",
    service="desk",
    address="127.0.0.1:1",
    data_centre="dha",
    slots=4,
    standing="live",
    sequence=1,
    start=5,
)


def note(*words: tuple[TargetStart, float | None]) -> NoteRateLimits:
    return NoteRateLimits(words=tuple(RateWord(named=named, rate=rate) for named, rate in words))


class RateLimitRegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = RateLimitRegistry()

    def test_only_changes_are_told(self) -> None:
        self.assertTrue(self.registry.apply(note((DESK, 1.0))).is_changed)
        self.assertFalse(self.registry.apply(note((DESK, 1.0))).is_changed)
        self.assertTrue(self.registry.apply(note((DESK, 2.0))).is_changed)
        self.assertTrue(self.registry.apply(note((DESK, None))).is_changed)
        self.assertFalse(self.registry.apply(note((DESK, None))).is_changed)
        self.assertEqual(self.registry.list_all().revision, 3)

    def test_a_start_that_is_gone_is_forgotten(self) -> None:
        self.registry.apply(note((DESK, 1.0)))
        self.registry.forget("d1", 5)
        self.assertEqual(len(self.registry.list_all().words), 1)
        self.registry.forget("d1", 6)
        self.assertEqual(self.registry.list_all().words, ())

    def test_what_boxes_must_be_told(self) -> None:
        book = RateLimitBook()
        told = self.registry.list_all()
        self.assertEqual(list_untold(book, told, 0.0), ())
        book.note(RateWord(named=DESK, rate=1.0), 0.0)
        self.assertEqual([word.rate for word in list_untold(book, told, 0.0)], [1.0])
        self.registry.apply(note((DESK, 1.0), (PIPELINE, 3.0)))
        told = self.registry.list_all()
        # A little more or less is nothing that another box must know, and of what is not known
        # here nothing is said.
        book.note(RateWord(named=DESK, rate=1.4), 1.0)
        self.assertEqual(list_untold(book, told, 1.0), ())
        book.note(RateWord(named=DESK, rate=0.5), 2.0)
        self.assertEqual([word.rate for word in list_untold(book, told, 2.0)], [0.5])
        book.note(RateWord(named=DESK, rate=None), 3.0)
        self.assertEqual(list_untold(book, told, 3.0), (RateWord(named=DESK, rate=None),))


class ReplicatedLimitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = ClusterState()
        self.state.apply(RegisterTarget(record=RECORD))
        self.state.apply(decode_command(encode_command(note((DESK, 1.0), (PIPELINE, 2.0)))))

    def rates(self) -> dict[str, float | None]:
        restored = ClusterState.from_text(self.state.to_text())
        return {word.named.target: word.rate for word in restored.rate_limits.list_all().words}

    def test_they_outlast_a_snapshot(self) -> None:
        self.assertEqual(self.rates(), {"d1": 1.0, "encode/d1": 2.0})

    def test_the_next_start_of_a_target_is_free(self) -> None:
        later = RECORD.__class__(**{**RECORD.__dict__, "sequence": 1, "start": 9})
        self.state.apply(RegisterTarget(record=later))
        self.assertEqual(self.rates(), {"encode/d1": 2.0})

    def test_a_target_that_is_gone_has_none(self) -> None:
        self.state.apply(RemoveTarget(target="d1", start=5))
        self.assertEqual(self.rates(), {"encode/d1": 2.0})

    def test_heartbeats_of_the_same_start_change_nothing(self) -> None:
        again = RECORD.__class__(**{**RECORD.__dict__, "sequence": 2})
        self.state.apply(RegisterTarget(record=again))
        self.assertEqual(self.rates(), {"d1": 1.0, "encode/d1": 2.0})


if __name__ == "__main__":
    unittest.main()
