"""Lookup of routes, services and keys in one routing document."""

from typing import Final

from damsonlane.routes._document import Organisation, Route, RoutingDocument, Service


class RouteTable:
    """Immutable index of a document; a request uses one table from its arrival to its completion.

    Args:
        document: a document without findings.
    """

    def __init__(self, document: RoutingDocument) -> None:
        self.document: Final = document
        self.version: Final = document.version
        self._services: Final = {service.name: service for service in document.services}
        self._organisations: Final = {
            key: organisation
            for organisation in document.organisations
            for key in organisation.keys
        }
        self._hosts: Final = _group_by_host(document)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host whose prefix is the longest that begins the path."""
        name = host.lower().partition(":")[0]
        by_prefix = self._hosts.get(name)
        if by_prefix is None:
            return None
        # Prefixes end with a slash, so only substrings up to a slash can match.
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key, or None."""
        return self._organisations.get(key)

    def needs_key(self, route: Route) -> bool:
        """Return whether a route requires a key."""
        return bool(self.document.organisations) and not route.is_public

    def service(self, name: str) -> Service | None:
        """Return a service by name, or None."""
        return self._services.get(name)


def _group_by_host(document: RoutingDocument) -> dict[str, dict[str, Route]]:
    hosts: dict[str, dict[str, Route]] = {}
    for route in document.routes:
        hosts.setdefault(route.host.lower(), {})[route.prefix] = route
    return hosts
