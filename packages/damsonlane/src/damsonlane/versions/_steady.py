"""For how long a single version has served each service."""

from collections.abc import Iterable, Sequence
from typing import Final

from damsonlane.records import dataclass
from damsonlane.targets import ServiceVersion

#: Seconds that stand for a version that has served alone since the first target of its service.
ALWAYS_SECONDS: Final = 1e9


@dataclass(frozen=True, kw_only=True)
class SteadyVersion:
    """The only version that has served a service for some time."""

    #: Name of the service.
    service: str
    #: The version; empty where its targets report none.
    version: str
    #: Seconds for which no other version has served, at least.
    seconds: float
    #: Revision of the registry since which no target had another one; 0 if none ever had.
    revision: int = 0


@dataclass(frozen=True, kw_only=True)
class _Period:
    """The time in which a version alone has served."""

    listed: ServiceVersion
    since: float


class VersionHistory:
    """Tracks at one replica since when each service has had a single version.

    The registry counts changes; this adds when this process applied them.
    """

    def __init__(self) -> None:
        self._versions: dict[str, ServiceVersion] = {}
        self._since: dict[str, float] = {}

    def observe(self, versions: Iterable[ServiceVersion], now: float) -> None:
        """Record the versions of services after a change of the registry.

        Args:
            versions: those of all services.
            now: the clock, in seconds.
        """
        for item in versions:
            if self._versions.get(item.service) != item:
                self._versions[item.service] = item
                self._since[item.service] = now

    def restart(self) -> None:
        """Forget all times, after changes that this process did not apply one by one."""
        self._versions.clear()
        self._since.clear()

    def list_steady(self, now: float) -> tuple[SteadyVersion, ...]:
        """Return the services that a single version has served, and for how long."""
        return tuple(
            SteadyVersion(
                service=service,
                version=item.version,
                seconds=now - self._since[service] if item.revision else ALWAYS_SECONDS,
                revision=item.revision,
            )
            for service, item in sorted(self._versions.items())
            if item.version is not None
        )


class SteadyVersions:
    """What control last reported of services that a single version has served.

    A newer version may serve at other boxes at any moment, however recent the report is.

    Args:
        max_age: seconds since the last confirmation of the reporter's state up to which no newer
            version is expected.
    """

    def __init__(self, max_age: float) -> None:
        self._max_age: Final = max_age
        self._periods: dict[str, _Period] = {}
        self._confirmed_at = float("-inf")

    def replace(self, steady: Sequence[SteadyVersion], now: float) -> None:
        """Replace the report."""
        self._periods = {
            item.service: _Period(
                listed=ServiceVersion(
                    service=item.service, version=item.version, revision=item.revision
                ),
                since=now - item.seconds,
            )
            for item in steady
        }

    def confirm(self, confirmed_at: float) -> None:
        """Record a time as of which a quorum confirmed the state behind the report."""
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def find_age(self, now: float) -> float:
        """Return the age of the last confirmation, in seconds; infinite before the first one."""
        return now - self._confirmed_at

    def is_expected_sole(self, service: str, seconds: float, now: float) -> bool:
        """Return whether no other version is expected to have served a service.

        Args:
            service: name of the service.
            seconds: the time that is asked about, up to now.
            now: the clock, in seconds.
        """
        return self.find_age(now) <= self._max_age and bool(self.find_sole(service, seconds, now))

    def find_sole(self, service: str, seconds: float, now: float) -> ServiceVersion | None:
        """Return the only version that has served a service by the last report, or None.

        It is certain only once the leader of control confirms that it is still in force.

        Args:
            service: name of the service.
            seconds: the time that is asked about, up to now.
            now: the clock, in seconds.
        """
        period = self._periods.get(service)
        return period.listed if period is not None and now - period.since >= seconds else None
