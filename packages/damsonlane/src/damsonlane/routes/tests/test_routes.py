"""Checks of routing documents, and lookup of routes and keys."""

import unittest
from dataclasses import replace

from damsonlane.routes import (
    Organisation,
    Route,
    RouteTable,
    RoutingDocument,
    Service,
    Stage,
    WeightedService,
    check_document,
)


def make_route(prefix: str, service: str = "desk", **changes: object) -> Route:
    route = Route(
        name=prefix,
        host="shop.example",
        prefix=prefix,
        repeat="safe",
        timeout_seconds=1.0,
        aim_seconds=0.1,
        priority=0,
        services=(WeightedService(service=service, weight=1.0),),
    )
    return replace(route, **changes)  # type: ignore[arg-type]


def make_document(*routes: Route, **changes: object) -> RoutingDocument:
    document = RoutingDocument(
        version=1, routes=routes, services=(Service(name="desk", most_connections=4),)
    )
    return replace(document, **changes)  # type: ignore[arg-type]


#: A fault, a document that has it, and the path of the finding.
FAULTS = (
    ("unknown service", make_document(make_route("/a/", "nobody")), "/routes/0"),
    (
        "unknown stage service",
        make_document(make_route("/a/", stages=(Stage(service="nobody"),))),
        "/routes/0",
    ),
    ("same place", make_document(make_route("/a/"), make_route("/a/")), "/routes/1"),
    ("no time-out", make_document(make_route("/a/", timeout_seconds=0.0)), "/routes/0"),
    (
        "no weight",
        make_document(make_route("/a/", services=(WeightedService(service="desk", weight=0.0),))),
        "/routes/0",
    ),
    ("no services", make_document(make_route("/a/", services=())), "/routes/0"),
    (
        "a stage after itself",
        make_document(make_route("/a/", stages=(Stage(service="desk", after=(0,)),))),
        "/routes/0/stages/0",
    ),
    (
        "shared key",
        make_document(
            organisations=(
                Organisation(name="first", keys=("k",)),
                Organisation(name="second", keys=("k",)),
            )
        ),
        "/organisations/1",
    ),
)


class DocumentChecksTest(unittest.TestCase):
    def test_each_fault_is_found_with_its_path(self) -> None:
        for fault, document, path in FAULTS:
            with self.subTest(fault):
                self.assertEqual(
                    [finding.place.path for finding in check_document(document)], [path]
                )

    def test_all_faults_are_found_together(self) -> None:
        document = make_document(
            make_route("/a/", "nobody", timeout_seconds=0.0), make_route("/a/")
        )
        self.assertEqual(len(check_document(document)), 3)

    def test_a_correct_document_has_no_findings(self) -> None:
        document = make_document(
            make_route("/a/"),
            make_route("/a/b/"),
            organisations=(Organisation(name="first", keys=("k", "k")),),
        )
        self.assertEqual(check_document(document), ())


class RouteTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RouteTable(
            make_document(
                make_route("/a/"),
                make_route("/a/b/"),
                make_route("/c/", is_public=True),
                organisations=(Organisation(name="florists", keys=("k",)),),
            )
        )

    def test_the_longest_prefix_wins(self) -> None:
        cases = (
            ("shop.example", "/a/x", "/a/"),
            ("shop.example", "/a/b/x/y", "/a/b/"),
            ("shop.example", "/a/bx", "/a/"),
            ("SHOP.example:80", "/a/", "/a/"),
            ("shop.example", "/a", None),
            ("shop.example", "/", None),
            ("other.example", "/a/x", None),
        )
        for host, path, expected in cases:
            with self.subTest(host=host, path=path):
                route = self.table.find_route(host, path)
                self.assertEqual(route.prefix if route else None, expected)

    def test_keys_belong_to_organisations(self) -> None:
        found = self.table.find_organisation("k")
        self.assertEqual(found.name if found else None, "florists")
        self.assertIsNone(self.table.find_organisation("other"))

    def test_a_public_route_needs_no_key(self) -> None:
        needs = [self.table.needs_key(route) for route in self.table.document.routes]
        self.assertEqual(needs, [True, True, False])


if __name__ == "__main__":
    unittest.main()
