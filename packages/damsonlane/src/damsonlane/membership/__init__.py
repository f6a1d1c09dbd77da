"""Membership of boxes: live or draining; an earlier incarnation never replaces a later one."""

from damsonlane.membership._boxes import (
    BoxRecord,
    BoxStanding,
    BoxUpdated,
    Membership,
    RemoveBox,
    UpdateBox,
)
from damsonlane.membership._owners import choose_owner

__all__ = [
    "BoxUpdated",
    "BoxRecord",
    "BoxStanding",
    "RemoveBox",
    "Membership",
    "UpdateBox",
    "choose_owner",
]
