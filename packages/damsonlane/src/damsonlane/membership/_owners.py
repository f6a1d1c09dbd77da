"""Choice of the box that owns a shared resource; all boxes choose the same one."""

import functools
import hashlib
import math
from collections.abc import Collection, Mapping, Sequence
from typing import Final

from damsonlane.membership._boxes import BoxRecord
from damsonlane.membership._capacity import is_plausible_capacity

#: Fraction of the boxes that can be owners: those that joined first.  A box that has just
#: restarted owns nothing until others have left, since each change of owner disrupts
#: the requests in flight at the old one.
OWNER_FRACTION: Final = 0.5
#: Cores that the event loop of one process can use; more do not make a box a better owner.
MAX_USABLE_CORES: Final = 1.0
#: Least weight of an owner, as a fraction of the largest weight, while a larger box may own the
#: resource.  An owner of a service uses about 0.3 core besides the requests of its own callers,
#: which is most of a box with less than half of a core.
OWNER_WEIGHT_FRACTION: Final = 0.5


def choose_owner(
    subject: str,
    records: Sequence[BoxRecord],
    avoid: Collection[str] = (),
    taken: Collection[str] = (),
) -> BoxRecord | None:
    """Return the owner of a resource by weighted rendezvous hashing.

    Only boxes that joined first can be owners. The weights are the capacities; small boxes own
    nothing while a larger one may, and overloaded ones nothing while another large one may.

    Args:
        subject: name of the resource, the same at all boxes.
        records: all boxes.
        avoid: addresses of boxes that may not own it.
        taken: addresses of boxes that own it only if no other box of their size may.

    Returns:
        The owner, or None if no box may own it.
    """
    weights = _find_weights(records)
    by_seniority = sorted(records, key=lambda record: (record.place, record.box))
    is_even = len(set(weights.values())) < 2
    least = OWNER_WEIGHT_FRACTION * max(weights.values(), default=0.0)
    large = (
        by_seniority
        if is_even
        else [record for record in by_seniority if weights[record.capacity] >= least]
    )
    overloaded = [record.address for record in large if record.is_overloaded]
    # Avoiding a box must not change the owners of resources that other boxes own.
    eligible = (
        _exclude_from_seniors(large, {*avoid, *taken, *overloaded})
        or _exclude_from_seniors(large, {*avoid, *overloaded})
        or _exclude_from_seniors(large, avoid)
        or _exclude_from_seniors(by_seniority, avoid)
    )
    if is_even or len({weights[record.capacity] for record in eligible}) < 2:
        # Without a logarithm, whose rounding could change the order of two hashes.
        return max(eligible, key=lambda record: _hash_weight(subject, record.address), default=None)
    return max(
        eligible,
        key=lambda record: weights[record.capacity] / _draw(subject, record.address),
    )


def are_uneven(records: Sequence[BoxRecord]) -> bool:
    """Return whether some boxes have a larger weight than others in the choice of owners."""
    return len(set(_find_weights(records).values())) > 1


def rank_boxes(subject: str, weights: Mapping[str, float]) -> list[str]:
    """Return addresses of boxes in the order of weighted rendezvous hashing, the first one first.

    Args:
        subject: name of the resource, the same at all boxes.
        weights: weight of each box, by address; above 0.
    """
    return sorted(weights, key=lambda address: _draw(subject, address) / weights[address])


def _find_weights(records: Sequence[BoxRecord]) -> Mapping[float, float]:
    """Return the weight for each capacity; a box of unknown capacity weighs as the smallest."""
    capacities = {record.capacity for record in records}
    known = {
        capacity: min(MAX_USABLE_CORES, capacity)
        for capacity in capacities
        if capacity > 0 and is_plausible_capacity(capacity)
    }
    smallest = min(known.values(), default=MAX_USABLE_CORES)
    return {capacity: known.get(capacity, smallest) for capacity in capacities}


def _exclude_from_seniors(
    by_seniority: Sequence[BoxRecord], avoid: Collection[str]
) -> list[BoxRecord]:
    """Return the boxes that joined first without some; if none is left, the others without them."""
    seniors = by_seniority[: math.ceil(OWNER_FRACTION * len(by_seniority))]
    return _exclude(seniors, avoid) or _exclude(by_seniority, avoid)


def _exclude(records: Sequence[BoxRecord], avoid: Collection[str]) -> list[BoxRecord]:
    return [record for record in records if record.address not in avoid]


@functools.lru_cache(maxsize=32_768)
def _draw(subject: str, address: str) -> float:
    """Return the exponentially distributed variate of a pair, which depends on nothing else."""
    drawn = int.from_bytes(_hash_weight(subject, address), "big")
    return -math.log((drawn + 0.5) / 2.0**64)


@functools.lru_cache(maxsize=32_768)
def _hash_weight(subject: str, address: str) -> bytes:
    return hashlib.blake2b(f"{subject}\0{address}".encode(), digest_size=8).digest()
