"""The pools that this entry owns or has owned."""

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Final

from damsonlane.fairness import UsageTotals, equal_weight
from damsonlane.targets import Shard
from damsonlaned.dialects import Dialect
from damsonlaned.gateway._exit_detector import ExitDetector
from damsonlaned.gateway._owner_activity import OwnerActivity
from damsonlaned.gateway._pool_metrics import PoolMetrics
from damsonlaned.gateway._pool_owner import PoolOwner
from damsonlaned.gateway._target_selector import TargetSelector
from damsonlaned.gateway._view import FleetView
from damsonlaned.metrics import Metrics
from damsonlaned.quarantine import Quarantine


class PoolOwners:
    """The owners of pools at this entry, created on first use.

    Args:
        view: lists the targets.
        targets: provides the connections to them.
        dialect: encodes and decodes their calls.
        metrics: the metrics of the process.
        exit_detector: finds out which targets have exited.
        quarantine: withholds requests under which targets exit.
        find_weight: returns the weight of an organisation's share by its name.
        is_reached: returns whether this box reaches a service.
    """

    def __init__(
        self,
        view: FleetView,
        targets: TargetSelector,
        dialect: Dialect,
        metrics: Metrics,
        exit_detector: ExitDetector,
        quarantine: Quarantine,
        find_weight: Callable[[str], float] = equal_weight,
        is_reached: Callable[[str], bool] = lambda _: True,
    ) -> None:
        self._is_reached: Final = is_reached
        self._find_weight: Final = find_weight
        self._exit_detector: Final = exit_detector
        self._quarantine: Final = quarantine
        self._view: Final = view
        self._targets: Final = targets
        self._dialect: Final = dialect
        self._metrics: Final = metrics
        self._owners: dict[Shard, PoolOwner] = {}

    def get(self, service: str, index: int = 0) -> PoolOwner:
        """Return the owner of a shard of a service's pool."""
        shard = Shard(service=service, index=index)
        if shard not in self._owners:
            self._owners[shard] = PoolOwner(
                shard,
                self._view,
                self._targets,
                self._dialect,
                PoolMetrics(service, self._metrics),
                self._exit_detector,
                self._quarantine,
                self._find_weight,
                self._is_reached,
            )
        return self._owners[shard]

    def shards(self) -> tuple[Shard, ...]:
        """Return the shards of pools that this entry owns or has owned."""
        return tuple(self._owners)

    def update_metrics(self) -> None:
        """Set the gauges of queued pieces."""
        waiting: Counter[str] = Counter()
        for shard, owner in self._owners.items():
            waiting[shard.service] += owner.count_waiting()
        for service, pieces in waiting.items():
            self._metrics.pool_waiting.set({"service": service}, pieces)

    def take_activities(self) -> dict[Shard, OwnerActivity]:
        """Return the work of each owner since the last call of this method."""
        return {shard: owner.activity.take() for shard, owner in self._owners.items()}

    def take_usage(self) -> dict[Shard, Mapping[str, UsageTotals]]:
        """Return the work of organisations at each pool since the last call of this method."""
        return {shard: owner.take_usage() for shard, owner in self._owners.items()}

    def count_waiting(self, shard: Shard) -> int:
        """Return the number of queued pieces of a shard."""
        return self._owners[shard].count_waiting() if shard in self._owners else 0

    def count_calls(self) -> int:
        """Return the number of calls to pool targets under way, for all entries."""
        return sum(owner.count_calls() for owner in self._owners.values())

    def detach(self, sender: str) -> None:
        """Unregister a sender at all pools."""
        for owner in self._owners.values():
            owner.detach(sender)
