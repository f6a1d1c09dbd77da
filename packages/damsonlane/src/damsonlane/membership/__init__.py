"""Membership of boxes: live or draining; an earlier incarnation never replaces a later one."""

from damsonlane.membership._boxes import (
    BoxNoted,
    BoxRecord,
    BoxStanding,
    LoseBox,
    Membership,
    NoteBox,
)
from damsonlane.membership._owners import choose_owner

__all__ = [
    "BoxNoted",
    "BoxRecord",
    "BoxStanding",
    "LoseBox",
    "Membership",
    "NoteBox",
    "choose_owner",
]
