"""Targets of a pool: which of them begin a call as soon as they have it."""

import unittest
from collections.abc import Callable

from damsonlane.pools._room import UNKNOWN_SECONDS
from damsonlane.routes import PoolTraits
from damsonlane.targets import TargetRecord
from damsonlaned.gateway._makers import Maker

_RECORD = TargetRecord(
    target="p1",
    service="pool",
    address="127.0.0.1:1",
    data_centre="gulberg",
    slots=1,
    standing="live",
    sequence=1,
)
_TRAITS = PoolTraits(
    slots=1,
    queue=2,
    batch=4,
    call_seconds=0.2,
    piece_seconds=0.01,
    room_bytes=1_000,
    keep_seconds=4.0,
)


class PromptTargetTest(unittest.TestCase):
    def test_only_a_target_whose_last_call_took_its_usual_time_counts_as_prompt(self) -> None:
        cases: list[tuple[str, list[Callable[[Maker], None]], bool]] = [
            ("no call yet, another box may have sent one", [], False),
            ("as expected", [lambda maker: maker.note_pace(1.0, 0.0)], True),
            ("behind another call", [lambda maker: maker.note_pace(1.6, 0.0)], False),
            (
                "failed since",
                [lambda maker: maker.note_pace(1.0, 0.0), lambda maker: maker.note_failure(0.0)],
                False,
            ),
            (
                "full since",
                [lambda maker: maker.note_pace(1.0, 0.0), lambda maker: maker.note_full(0.0)],
                False,
            ),
        ]
        for name, notes, expected in cases:
            with self.subTest(name):
                maker = Maker(_RECORD, _TRAITS)
                for note in notes:
                    note(maker)
                self.assertEqual(maker.reads_at_once(0.1), expected)

    def test_one_that_had_no_room_lately_may_refuse_what_it_was_sent(self) -> None:
        maker = Maker(_RECORD, _TRAITS)
        maker.note_pace(1.0, 0.0)
        maker.room.note_refused(10, 10, 0.0)
        self.assertFalse(maker.reads_at_once(0.1))
        self.assertTrue(maker.reads_at_once(UNKNOWN_SECONDS))


if __name__ == "__main__":
    unittest.main()
