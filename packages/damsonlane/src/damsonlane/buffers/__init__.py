"""Budget of the bytes that a box buffers for callers and targets."""

from damsonlane.buffers._account import BufferAccount, RoomRequest
from damsonlane.buffers._budget import (
    MEMORY_SHARE,
    BufferBudget,
    Eviction,
    EvictionReason,
)

__all__ = [
    "MEMORY_SHARE",
    "BufferAccount",
    "BufferBudget",
    "Eviction",
    "EvictionReason",
    "RoomRequest",
]
