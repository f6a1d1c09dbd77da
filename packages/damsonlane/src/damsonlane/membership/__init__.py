"""Membership of boxes: live, leaving, gone; an old incarnation never comes back."""

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
