"""Tests of the changes of routes that a box has seen."""

import unittest
from collections.abc import Sequence

from damsonlane.routes import Route, RouteChanges, WeightedService

#: Time in which changes count, and after which they are forgotten, in seconds.
SECONDS = 30.0


def make_route(prefix: str, *services: str, host: str = "shop.example") -> Route:
    return Route(
        name=f"route {prefix}",
        host=host,
        prefix=prefix,
        repeat="stream",
        timeout_seconds=10.0,
        aim_seconds=1.0,
        priority=0,
        services=tuple(WeightedService(service=name, weight=1.0) for name in services),
    )


CHAT = make_route("/chat/", "model")


class RouteChangesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.changes = RouteChanges()
        self.observe([CHAT], 10.0)

    def observe(self, routes: Sequence[Route], now: float) -> None:
        self.changes.observe(routes, now, SECONDS)

    def is_steady(self, route: Route, now: float) -> bool:
        return self.changes.is_steady(route, SECONDS, now)

    def test_the_first_document_changes_nothing(self) -> None:
        self.assertTrue(self.is_steady(CHAT, 10.0))
        self.assertFalse(self.changes.has_moved("model", SECONDS, 10.0))

    def test_a_route_that_has_moved_is_not_steady_for_a_time(self) -> None:
        moved = make_route("/chat/", "model-2")
        self.observe([moved], 20.0)
        self.assertFalse(self.is_steady(moved, 49.9))
        self.assertTrue(self.is_steady(moved, 50.0))
        self.assertTrue(self.changes.has_moved("model", SECONDS, 49.9))
        self.assertTrue(self.changes.has_moved("model-2", SECONDS, 49.9))

    def test_a_route_that_is_the_same_in_a_new_document_is_steady(self) -> None:
        self.observe([CHAT, make_route("/ping/", "desk")], 20.0)
        self.assertTrue(self.is_steady(CHAT, 21.0))

    def test_a_longer_prefix_that_comes_or_goes_changes_the_shorter_one(self) -> None:
        self.observe([CHAT, make_route("/chat/a/", "desk")], 20.0)
        self.assertFalse(self.is_steady(CHAT, 21.0))
        self.observe([CHAT], 60.0)
        self.assertFalse(self.is_steady(CHAT, 61.0))

    def test_another_host_changes_nothing(self) -> None:
        self.observe([CHAT, make_route("/chat/", "desk", host="other.example")], 20.0)
        self.assertTrue(self.is_steady(CHAT, 21.0))


if __name__ == "__main__":
    unittest.main()
