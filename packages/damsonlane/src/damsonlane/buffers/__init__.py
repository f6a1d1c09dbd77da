"""Budget of the bytes that a box buffers for callers and targets."""

from damsonlane.buffers._account import BufferAccount
from damsonlane.buffers._budget import BufferBudget, Eviction, EvictionReason

__all__ = ["BufferAccount", "BufferBudget", "Eviction", "EvictionReason"]
