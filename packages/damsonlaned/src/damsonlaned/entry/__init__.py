"""The entry role: between callers and targets."""

from damsonlaned.entry._node import EntryNode

__all__ = ["EntryNode"]
