"""Membership of boxes: live or draining; an earlier incarnation never replaces a later one."""

from damsonlane.membership._boxes import (
    BoxRecord,
    BoxStanding,
    BoxUpdated,
    Membership,
    RemoveBox,
    UpdateBox,
)
from damsonlane.membership._capacity import MAX_CORES, is_plausible_capacity
from damsonlane.membership._overload import OverloadDetector
from damsonlane.membership._owners import are_uneven, choose_owner, rank_boxes
from damsonlane.membership._shares import CapacityShares
from damsonlane.membership._silence import CHECK_SECONDS, SILENCE_SECONDS, SilenceDetector

__all__ = [
    "CHECK_SECONDS",
    "MAX_CORES",
    "SILENCE_SECONDS",
    "BoxUpdated",
    "CapacityShares",
    "BoxRecord",
    "BoxStanding",
    "RemoveBox",
    "Membership",
    "OverloadDetector",
    "SilenceDetector",
    "UpdateBox",
    "are_uneven",
    "choose_owner",
    "is_plausible_capacity",
    "rank_boxes",
]
