"""Membership: incarnations, draining and silent boxes."""

import unittest
from dataclasses import replace

from damsonlane.membership import BoxRecord, Membership, RemoveBox, UpdateBox

_REPORTED = BoxRecord(
    box="entry-1",
    incarnation="one",
    started_at=10.0,
    data_centre="johar",
    address="127.0.0.1:1",
    standing="live",
    via="control-1",
)
_FIRST = replace(_REPORTED, place=1)
_SECOND = replace(_FIRST, incarnation="two", started_at=20.0)
#: The second incarnation, when it replaces the first one.
_SECOND_AFTER_FIRST = replace(_SECOND, place=2)
_LEAVING = replace(_FIRST, standing="leaving")
_MOVED = replace(_FIRST, via="control-2")


def _lose(record: BoxRecord) -> RemoveBox:
    return RemoveBox(box=record.box, incarnation=record.incarnation, via=record.via)


class MembershipTest(unittest.TestCase):
    def test_records_after_each_series_of_commands(self) -> None:
        cases: list[tuple[str, list[UpdateBox | RemoveBox], list[BoxRecord]]] = [
            ("new box", [UpdateBox(record=_FIRST)], [_FIRST]),
            (
                "restarted",
                [UpdateBox(record=_FIRST), UpdateBox(record=_SECOND)],
                [_SECOND_AFTER_FIRST],
            ),
            (
                "delayed report of the earlier incarnation",
                [UpdateBox(record=_SECOND), UpdateBox(record=_FIRST)],
                [_SECOND],
            ),
            (
                "repeated report",
                [UpdateBox(record=_REPORTED), UpdateBox(record=_REPORTED)],
                [_FIRST],
            ),
            ("leaving", [UpdateBox(record=_FIRST), UpdateBox(record=_LEAVING)], [_LEAVING]),
            (
                "delayed report from before draining",
                [UpdateBox(record=_LEAVING), UpdateBox(record=_FIRST)],
                [_LEAVING],
            ),
            ("silent", [UpdateBox(record=_FIRST), _lose(_FIRST)], []),
            (
                "silent at a control replica that it left",
                [UpdateBox(record=_FIRST), UpdateBox(record=_MOVED), _lose(_FIRST)],
                [_MOVED],
            ),
            (
                "the earlier incarnation fell silent",
                [UpdateBox(record=_FIRST), UpdateBox(record=_SECOND), _lose(_FIRST)],
                [_SECOND_AFTER_FIRST],
            ),
        ]
        for name, commands, expected in cases:
            with self.subTest(name):
                membership = Membership()
                for command in commands:
                    if isinstance(command, UpdateBox):
                        membership.update(command)
                    else:
                        membership.remove(command)
                self.assertEqual(list(membership.records()), expected)


if __name__ == "__main__":
    unittest.main()
