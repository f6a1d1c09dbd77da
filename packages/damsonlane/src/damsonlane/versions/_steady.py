"""For how long a single version has served each service."""

from collections.abc import Iterable, Sequence
from typing import Final

from damsonlane.records import dataclass
from damsonlane.targets import TargetRecord


@dataclass(frozen=True, kw_only=True)
class SteadyVersion:
    """The only version that has served a service for some time."""

    #: Name of the service.
    service: str
    #: The version; empty where its targets report none.
    version: str
    #: Seconds for which no other version has served, at least.
    seconds: float


@dataclass(frozen=True, kw_only=True)
class _Period:
    """The time in which a version alone has served."""

    version: str
    since: float


class VersionHistory:
    """Tracks, where the registry of targets is applied, which versions have served.

    It covers the time since it was created: what served before is not known.
    """

    def __init__(self) -> None:
        self._periods: dict[str, _Period] = {}

    def observe(self, records: Iterable[TargetRecord], now: float) -> None:
        """Record the registered targets after a change.

        Args:
            records: all of them.
            now: the clock, in seconds.
        """
        versions: dict[str, set[str]] = {}
        for record in records:
            versions.setdefault(record.service, set()).add(record.version)
        for service, serving in versions.items():
            known = self._periods.get(service)
            if len(serving) > 1:
                self._periods.pop(service, None)
            elif known is None or known.version not in serving:
                self._periods[service] = _Period(version=next(iter(serving)), since=now)

    def restart(self) -> None:
        """Forget all, after a time in which changes may have been missed."""
        self._periods.clear()

    def list_steady(self, now: float) -> tuple[SteadyVersion, ...]:
        """Return the services that a single version has served, and for how long."""
        return tuple(
            SteadyVersion(service=service, version=period.version, seconds=now - period.since)
            for service, period in sorted(self._periods.items())
        )


class SteadyVersions:
    """What control last reported of services that a single version has served.

    Args:
        max_age: seconds since the last confirmation of the reporter's state after which a newer
            version may serve at other boxes.
    """

    def __init__(self, max_age: float) -> None:
        self._max_age: Final = max_age
        self._periods: dict[str, _Period] = {}
        self._confirmed_at = float("-inf")

    def replace(self, steady: Sequence[SteadyVersion], now: float) -> None:
        """Replace the report."""
        self._periods = {
            item.service: _Period(version=item.version, since=now - item.seconds) for item in steady
        }

    def confirm(self, confirmed_at: float) -> None:
        """Record a time as of which a quorum confirmed the state behind the report."""
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def find_sole(self, service: str, seconds: float, now: float) -> str | None:
        """Return the only version that has served a service; None if others may have.

        Args:
            service: name of the service.
            seconds: the time that is asked about, up to now.
            now: the clock, in seconds.
        """
        period = self._periods.get(service)
        if period is None or now - self._confirmed_at > self._max_age:
            return None
        return period.version if now - period.since >= seconds else None
