"""Choice of the box that owns a shared resource; all boxes choose the same one."""

import functools
import hashlib
import math
from collections.abc import Collection, Sequence
from typing import Final

from damsonlane.membership._boxes import BoxRecord

#: Fraction of the boxes that can be owners: those that joined first.  A box that has just
#: restarted owns nothing until others have left, since each change of owner disrupts
#: the requests in flight at the old one.
OWNER_FRACTION: Final = 0.5


def choose_owner(
    subject: str, records: Sequence[BoxRecord], avoid: Collection[str] = ()
) -> BoxRecord | None:
    """Return the owner of a resource by rendezvous hashing over the boxes that joined first.

    Args:
        subject: name of the resource, the same at all boxes.
        records: all boxes.
        avoid: addresses of boxes that may not own it.

    Returns:
        The owner, or None if no box may own it.
    """
    by_seniority = sorted(records, key=lambda record: (record.place, record.box))
    seniors = by_seniority[: math.ceil(OWNER_FRACTION * len(by_seniority))]
    # Avoiding a box must not change the owners of resources that other boxes own.
    eligible = _exclude(seniors, avoid) or _exclude(by_seniority, avoid)
    return max(eligible, key=lambda record: _hash_weight(subject, record.address), default=None)


def _exclude(records: Sequence[BoxRecord], avoid: Collection[str]) -> list[BoxRecord]:
    return [record for record in records if record.address not in avoid]


@functools.lru_cache(maxsize=32_768)
def _hash_weight(subject: str, address: str) -> bytes:
    return hashlib.blake2b(f"{subject}\0{address}".encode(), digest_size=8).digest()
