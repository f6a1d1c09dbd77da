"""Checks of a routing document, which return all findings together."""

from collections.abc import Iterator

from damsonlane.findings import Finding, Place
from damsonlane.routes._document import Route, RoutingDocument


def check_document(document: RoutingDocument) -> tuple[Finding, ...]:
    """Return all faults of a document, each with its path."""
    return (*_check_routes(document), *_check_organisations(document))


def _check_routes(document: RoutingDocument) -> Iterator[Finding]:
    known = {service.name for service in document.services}
    indexes: dict[tuple[str, str], int] = {}
    for index, route in enumerate(document.routes):
        path = f"/routes/{index}"
        yield from _check_route(route, path, known)
        first = indexes.setdefault((route.host, route.prefix), index)
        if first != index:
            yield _make_finding(
                path, f"has the host and prefix of route {first}; change one of them"
            )


def _check_route(route: Route, path: str, known: set[str]) -> Iterator[Finding]:
    for name in (*(weighted.service for weighted in route.services), *_list_stage_services(route)):
        if name not in known:
            yield _make_finding(
                path, f"names the service '{name}', which the document does not hold"
            )
    weights = [weighted.weight for weighted in route.services]
    if not weights or min(weights) < 0 or sum(weights) <= 0:
        yield _make_finding(path, "needs weights of 0 or more whose sum is above 0")
    if route.timeout_seconds <= 0:
        yield _make_finding(path, "needs a time-out above 0")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield _make_finding(path, "needs a prefix that begins and ends with a slash")
    for number, stage in enumerate(route.stages):
        if any(not 0 <= dependency < number for dependency in stage.after):
            yield _make_finding(f"{path}/stages/{number}", "may only come after earlier stages")


def _list_stage_services(route: Route) -> Iterator[str]:
    return (stage.service for stage in route.stages)


def _check_organisations(document: RoutingDocument) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for index, organisation in enumerate(document.organisations):
        for key in organisation.keys:
            first = owners.setdefault(key, organisation.name)
            if first != organisation.name:
                yield _make_finding(
                    f"/organisations/{index}", f"shares a key with '{first}'; give it another"
                )


def _make_finding(path: str, message: str) -> Finding:
    return Finding(place=Place(path=path), message=message)
