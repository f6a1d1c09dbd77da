"""Which box owns something that all boxes share, chosen alike by each of them."""

import hashlib
import math
from collections.abc import Collection, Sequence
from typing import Final

from damsonlane.membership._boxes import BoxRecord

#: Share of the boxes that own things: those that joined first.  A box that has
#: just started again owns nothing until others have left, since each change of
#: an owner costs the requests that are under way there.
OWNING_SHARE: Final = 0.5


def choose_owner(
    subject: str, records: Sequence[BoxRecord], avoid: Collection[str] = ()
) -> BoxRecord | None:
    """Return the owner of a subject by rendezvous hashing over the boxes that joined first.

    Args:
        subject: what is owned, by a name that all boxes use.
        records: all boxes.
        avoid: addresses of those that may not own it.

    Returns:
        The owner, or None where no box may own it.
    """
    ranked = sorted(records, key=lambda record: (record.place, record.box))
    seniors = ranked[: math.ceil(OWNING_SHARE * len(ranked))]
    # Whoever avoids a box must not choose anew what others own.
    sound = _leave_out(seniors, avoid) or _leave_out(ranked, avoid)
    return max(sound, key=lambda record: _weigh(subject, record.address), default=None)


def _leave_out(records: Sequence[BoxRecord], avoid: Collection[str]) -> list[BoxRecord]:
    return [record for record in records if record.address not in avoid]


def _weigh(subject: str, address: str) -> bytes:
    return hashlib.blake2b(f"{subject}\0{address}".encode(), digest_size=8).digest()
