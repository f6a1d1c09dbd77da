"""When routes last began to lead to other services, as far as one box has seen."""

from collections.abc import Iterable

from damsonlane.records import dataclass
from damsonlane.routes._document import Route


@dataclass(frozen=True, kw_only=True)
class _Change:
    """A host and prefix whose services have changed."""

    host: str
    prefix: str
    services: frozenset[str]
    at: float


class RouteChanges:
    """Records the changes of routes from one document to the next.

    Nothing is known of the time before the first document.
    """

    def __init__(self) -> None:
        self._services: dict[tuple[str, str], frozenset[str]] | None = None
        self._changes: dict[tuple[str, str], _Change] = {}

    def observe(self, routes: Iterable[Route], now: float, retention_seconds: float) -> None:
        """Record the routes of a document that is in force from now on.

        Args:
            routes: its routes.
            now: the clock, in seconds.
            retention_seconds: age at which changes are forgotten, in seconds.
        """
        before = self._services
        self._services = {
            (route.host, route.prefix): frozenset(share.service for share in route.services)
            for route in routes
        }
        self._changes = {
            key: change
            for key, change in self._changes.items()
            if now - change.at < retention_seconds
        }
        if before is None:
            return
        for key in before.keys() | self._services.keys():
            old, new = before.get(key, frozenset()), self._services.get(key, frozenset())
            if old != new:
                host, prefix = key
                change = _Change(host=host, prefix=prefix, services=old | new, at=now)
                self._changes[key] = change

    def is_steady(self, route: Route, seconds: float, now: float) -> bool:
        """Return whether no change has affected the requests of a route.

        Args:
            route: the route.
            seconds: the time that is asked about, up to now.
            now: the clock, in seconds.
        """
        return not any(
            change.host == route.host
            and (change.prefix.startswith(route.prefix) or route.prefix.startswith(change.prefix))
            and now - change.at < seconds
            for change in self._changes.values()
        )

    def has_moved(self, service: str, seconds: float, now: float) -> bool:
        """Return whether a route has begun or ceased to lead to a service.

        Args:
            service: name of the service.
            seconds: the time that is asked about, up to now.
            now: the clock, in seconds.
        """
        return any(
            service in change.services and now - change.at < seconds
            for change in self._changes.values()
        )
