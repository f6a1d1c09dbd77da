"""Membership: incarnations, leaving and loss."""

import unittest
from dataclasses import replace

from damsonlane.membership import BoxRecord, LoseBox, Membership, NoteBox

_SAID = BoxRecord(
    box="entry-1",
    incarnation="one",
    started_at=10.0,
    data_centre="johar",
    address="127.0.0.1:1",
    standing="live",
    via="control-1",
)
_FIRST = replace(_SAID, place=1)
_SECOND = replace(_FIRST, incarnation="two", started_at=20.0)
#: The second incarnation where the first was there before.
_SECOND_IN_PLACE = replace(_SECOND, place=2)
_LEAVING = replace(_FIRST, standing="leaving")
_MOVED = replace(_FIRST, via="control-2")


def _lose(record: BoxRecord) -> LoseBox:
    return LoseBox(box=record.box, incarnation=record.incarnation, via=record.via)


class MembershipTest(unittest.TestCase):
    def test_what_follows_each_series_of_commands(self) -> None:
        cases: list[tuple[str, list[NoteBox | LoseBox], list[BoxRecord]]] = [
            ("first seen", [NoteBox(record=_FIRST)], [_FIRST]),
            ("restarted", [NoteBox(record=_FIRST), NoteBox(record=_SECOND)], [_SECOND_IN_PLACE]),
            ("late old one", [NoteBox(record=_SECOND), NoteBox(record=_FIRST)], [_SECOND]),
            ("said again", [NoteBox(record=_SAID), NoteBox(record=_SAID)], [_FIRST]),
            ("leaving", [NoteBox(record=_FIRST), NoteBox(record=_LEAVING)], [_LEAVING]),
            ("late live", [NoteBox(record=_LEAVING), NoteBox(record=_FIRST)], [_LEAVING]),
            ("silent", [NoteBox(record=_FIRST), _lose(_FIRST)], []),
            (
                "silent where it was heard before",
                [NoteBox(record=_FIRST), NoteBox(record=_MOVED), _lose(_FIRST)],
                [_MOVED],
            ),
            (
                "the old one fell silent",
                [NoteBox(record=_FIRST), NoteBox(record=_SECOND), _lose(_FIRST)],
                [_SECOND_IN_PLACE],
            ),
        ]
        for name, commands, expected in cases:
            with self.subTest(name):
                membership = Membership()
                for command in commands:
                    if isinstance(command, NoteBox):
                        membership.note(command)
                    else:
                        membership.lose(command)
                self.assertEqual(list(membership.records()), expected)


if __name__ == "__main__":
    unittest.main()
