"""The share of one entry in what entries may send to targets that are warming up."""

import hashlib
from collections.abc import Collection


def find_entry_share(target: str, entry: str, entries: Collection[str], limit: int) -> int:
    """Return the requests a second that one entry may send to a target that is warming up.

    If there are more entries than requests, rendezvous hashing selects the entries that may send
    one each.  So entries stay within the limit together without exchanging messages.

    Args:
        target: name of the target.
        entry: address of the entry.
        entries: addresses of all entries.
        limit: requests a second that all entries together may send there.
    """
    if entry not in entries:
        return 0
    if len(entries) <= limit:
        return limit // len(entries)
    ranked = sorted(entries, key=lambda other: _hash(target, other))
    return 1 if entry in ranked[:limit] else 0


def _hash(target: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{target}\0{entry}".encode(), digest_size=8).digest()
