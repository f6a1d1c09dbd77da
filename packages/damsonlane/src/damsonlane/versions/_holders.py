"""Which boxes are told of the origin of a stream, and are asked for it."""

import hashlib
from collections.abc import Sequence
from typing import Final

from damsonlane.membership import BoxRecord, rank_boxes

#: Most boxes that hold origins for others.  Each box connects to these alone, so that connections
#: don't grow with the square of the number of boxes.
MAX_HOLDERS: Final = 24
#: Subject by which they are chosen.
_SUBJECT: Final = "stream origins"


class HolderRanking:
    """Ranks the boxes that hold the origin of a stream, the same way at all boxes.

    Args:
        own_address: internal address of this box, which is left out.
    """

    def __init__(self, own_address: str) -> None:
        self._own_address: Final = own_address
        self._holders: tuple[str, ...] = ()

    def update(self, records: Sequence[BoxRecord]) -> None:
        """Choose the boxes that hold origins among all boxes."""
        weights = {record.address: _find_weight(record) for record in records}
        chosen = rank_boxes(_SUBJECT, weights)[:MAX_HOLDERS]
        self._holders = tuple(address for address in chosen if address != self._own_address)

    def count(self) -> int:
        """Return the number of other boxes that hold origins."""
        return len(self._holders)

    def rank(self, attempt: str) -> list[str]:
        """Return the addresses of other boxes that hold origins, in the order for an attempt."""
        return sorted(self._holders, key=lambda address: _hash(attempt, address))


def _find_weight(record: BoxRecord) -> float:
    """Return the capacity of a box, at most 1; 1 if it is unknown."""
    return min(1.0, record.capacity) if record.capacity > 0 else 1.0


def _hash(attempt: str, address: str) -> bytes:
    return hashlib.blake2b(f"{attempt}\0{address}".encode(), digest_size=8).digest()
