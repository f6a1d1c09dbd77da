"""The entry role: accepts requests from callers and sends them to targets."""

from damsonlaned.entry._node import EntryNode

__all__ = ["EntryNode"]
