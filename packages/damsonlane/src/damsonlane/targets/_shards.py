"""Division of the targets of a service into shards, each of which has its own owner."""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Literal

from damsonlane.records import dataclass
from damsonlane.targets._records import TargetRecord


@dataclass(frozen=True, kw_only=True)
class Shard:
    """One shard of a service."""

    #: Name of the service.
    service: str
    #: Its index; an undivided service has only shard 0.
    index: int = 0

    @property
    def subject(self) -> str:
        """Name by which boxes choose its owner."""
        return f"{self.service}#{self.index}" if self.index else self.service


@dataclass(frozen=True, kw_only=True)
class ServiceShards:
    """The number of shards of a service."""

    #: Name of the service.
    service: str
    #: Number of its shards.
    shards: int


@dataclass(frozen=True, kw_only=True)
class DivideService:
    """Command: change the number of shards of a service."""

    kind: Literal["divide-service"] = "divide-service"
    #: Name of the service.
    service: str
    #: Number of shards that the sender knows; the command has no effect if it is another one.
    expected: int
    #: New number of shards.
    shards: int


def assign_shards(records: Sequence[TargetRecord], shards: int) -> Mapping[str, int]:
    """Return the shard of each target, so that shards have as many targets, within one.

    Targets stay where they are if possible.  The targets of each data centre are spread over the
    shards, so that each shard keeps targets when a data centre is lost.

    Args:
        records: all targets of a service.
        shards: number of shards.
    """
    low, larger = divmod(len(records), shards)
    sizes: Counter[int] = Counter()
    assigned: dict[str, int] = {}
    for record in _alternate_data_centres(records):
        # As many shards as necessary get one target more than the others.
        is_full = sum(size > low for size in sizes.values()) >= larger
        limit = low if is_full else low + 1
        shard = record.shard
        if shard >= shards or sizes[shard] >= limit:
            shard = min(range(shards), key=lambda index: sizes[index])
        assigned[record.target] = shard
        sizes[shard] += 1
    return assigned


def choose_shard(records: Sequence[TargetRecord], shards: int, data_centre: str) -> int:
    """Return the shard of a new target: the smallest one, with few targets in its data centre."""
    sizes = Counter(record.shard for record in records)
    local = Counter(record.shard for record in records if record.data_centre == data_centre)
    return min(range(shards), key=lambda shard: (sizes[shard], local[shard], shard))


def _alternate_data_centres(records: Sequence[TargetRecord]) -> list[TargetRecord]:
    """Return targets by shard, alternating between data centres within each."""
    seen: Counter[tuple[int, str]] = Counter()
    positions: dict[str, int] = {}
    for record in sorted(records, key=lambda record: record.target):
        place = (record.shard, record.data_centre)
        positions[record.target] = seen[place]
        seen[place] += 1
    return sorted(
        records,
        key=lambda record: (positions[record.target], record.data_centre, record.target),
    )
