"""The share that one entry has of what cold targets may get without an owner's word."""

import hashlib
from collections.abc import Collection


def find_entry_share(target: str, entry: str, entries: Collection[str], limit: int) -> int:
    """Return the requests a second that one entry may send to a cold target by itself.

    A target belongs to as many entries as it bears requests, by rendezvous hashing, so that
    hundreds of entries that know nothing of each other stay within its bound together.

    Args:
        target: name of the target.
        entry: address of the entry.
        entries: addresses of all entries.
        limit: requests a second that all entries may send there.
    """
    if entry not in entries:
        return 0
    if len(entries) <= limit:
        return limit // len(entries)
    ranked = sorted(entries, key=lambda other: _weigh(target, other))
    return 1 if entry in ranked[:limit] else 0


def _weigh(target: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{target}\0{entry}".encode(), digest_size=8).digest()
