"""Which targets may serve a request, by the versions and models that they report."""

from collections import Counter
from collections.abc import Collection
from typing import Final, Protocol

from damsonlane.routes import Service
from damsonlane.targets import TargetRecord
from damsonlane.versions import StreamOrigin


class Targets(Protocol):
    """Lists the targets of services."""

    def targets_of(self, service: str) -> tuple[TargetRecord, ...]:
        """Return the targets of a service."""

    def open_targets_of(self, service: str) -> tuple[TargetRecord, ...]:
        """Return the targets of a service that may get new work."""


class TargetFilter:
    """Finds targets that may not serve a request, or should only if there are no others.

    Args:
        targets: lists the targets.
    """

    def __init__(self, targets: Targets) -> None:
        self._targets: Final = targets

    def list_excluded(
        self,
        service: Service,
        model: str,
        origin: StreamOrigin | None,
        excluded_versions: Collection[str] = (),
    ) -> frozenset[str]:
        """Return the targets that may not serve a request.

        Args:
            service: its service.
            model: the model that it requests, or an empty string.
            origin: where the stream began that it resumes; None for a new one.
            excluded_versions: versions whose targets may not serve it.
        """
        without_model = self._list_without_model(service, model) if model else frozenset()
        if origin is None and not excluded_versions:
            return without_model
        return without_model | {
            record.target
            for record in self._targets.targets_of(service.name)
            if record.version in excluded_versions
            or (origin is not None and record.version != origin.version)
        }

    def list_other_weights(
        self, service: Service, model: str, origin: StreamOrigin | None
    ) -> frozenset[str]:
        """Return the targets with other weights than those that began a stream.

        They are used if there are no others: engines may exchange weights within a stream.
        """
        if origin is None or origin.weights is None:
            return frozenset()
        return frozenset(
            record.target
            for record in self._targets.targets_of(service.name)
            if record.find_weights(model) != origin.weights
        )

    def count_versions(self, service: Service) -> dict[str, int]:
        """Return how many targets of each version may get new work."""
        records = self._targets.open_targets_of(service.name)
        return dict(Counter(record.version for record in records))

    def _list_without_model(self, service: Service, model: str) -> frozenset[str]:
        """Return the targets that report models without this one.

        Empty if no target that may get new work reports it: the name may be an alias.
        """
        missing = frozenset(
            record.target
            for record in self._targets.targets_of(service.name)
            if record.models and record.find_weights(model) is None
        )
        if not missing:
            return missing
        usable = self._targets.open_targets_of(service.name)
        is_reported = any(record.find_weights(model) is not None for record in usable)
        return missing if is_reported else frozenset()
