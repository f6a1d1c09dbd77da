"""Routing policies and the registry of them."""

import hashlib
import math
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import Final, final

from damsonlane.routing._views import Origin, TargetView

#: Cost of a target in another data centre, as a share of one request's time at a target.
DISTANCE_SHARE: Final = 0.25
#: Slowness at and above which a target counts as slow; smaller differences are noise.
SLOW_THRESHOLD: Final = 2.0
#: Power of the expected work to which the probability of a target is inversely proportional.  With
#: 1 the slow targets get too much; without randomness the fast ones are overloaded.
SPEED_EXPONENT: Final = 3
#: Length of the prompt prefix that determines affinity, in characters.
AFFINITY_LENGTH: Final = 256
#: Ratio of a target's load to the mean load above which affinity is ignored.
AFFINITY_BOUND: Final = 1.25


class RoutingPolicy(ABC):
    """Chooses one of the usable targets of a service."""

    @abstractmethod
    def choose(
        self, views: Sequence[TargetView], origin: Origin, randomness: random.Random
    ) -> TargetView:
        """Return the target to use; ``views`` is never empty."""


#: All policies by name.
POLICIES: Final[dict[str, RoutingPolicy]] = {}


def routing_policy(name: str) -> Callable[[type[RoutingPolicy]], type[RoutingPolicy]]:
    """Register a policy under a name that settings may use."""

    def register(policy: type[RoutingPolicy]) -> type[RoutingPolicy]:
        POLICIES[name] = policy()
        return policy

    return register


@final
@routing_policy("random")
class RandomChoice(RoutingPolicy):
    """Any target, with equal probability."""

    def choose(
        self, views: Sequence[TargetView], origin: Origin, randomness: random.Random
    ) -> TargetView:
        """Return any target."""
        return randomness.choice(views)


@final
@routing_policy("round-robin")
class RoundRobin(RoutingPolicy):
    """Each target in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, views: Sequence[TargetView], origin: Origin, randomness: random.Random
    ) -> TargetView:
        """Return the next target."""
        self._turn += 1
        return views[self._turn % len(views)]


@final
@routing_policy("least-in-flight")
class LeastInFlight(RoutingPolicy):
    """The target with the fewest requests of this entry."""

    def choose(
        self, views: Sequence[TargetView], origin: Origin, randomness: random.Random
    ) -> TargetView:
        """Return a target with the fewest requests in flight, ties broken at random."""
        return min(views, key=lambda view: (view.in_flight, randomness.random()))


@final
@routing_policy("predicted")
class Predicted(RoutingPolicy):
    """The target with the shortest predicted time, by load reports and distance."""

    def choose(
        self, views: Sequence[TargetView], origin: Origin, randomness: random.Random
    ) -> TargetView:
        """Return the target with the shortest predicted time, ties broken at random."""
        return min(views, key=lambda view: (predict_time(view, origin), randomness.random()))


@final
@routing_policy("paced")
class Paced(RoutingPolicy):
    """The target with the fewest requests of this entry, weighted by slowness if it is slow.

    Targets that report their slowness are chosen at random, the more likely the less time a
    request is expected to take there.  Each entry has few requests in flight, so if all entries
    chose the fastest target, that one would be overloaded.
    """

    def choose(
        self, views: Sequence[TargetView], origin: Origin, randomness: random.Random
    ) -> TargetView:
        """Return the target with the least estimated work, ties broken at random."""
        if any(view.time_factor is not None for view in views):
            return _choose_by_speed(views, origin, randomness)

        def estimate_work(view: TargetView) -> float:
            pace = view.slowness if view.slowness >= SLOW_THRESHOLD else 1.0
            distance = 0.0 if view.data_centre == origin.data_centre else DISTANCE_SHARE
            return (view.in_flight + 1) * pace + distance

        return min(views, key=lambda view: (estimate_work(view), randomness.random()))


@final
@routing_policy("prefix-affinity")
class PrefixAffinity(RoutingPolicy):
    """The target that a prompt's prefix hashes to, unless it is clearly busier than the rest."""

    def choose(
        self, views: Sequence[TargetView], origin: Origin, randomness: random.Random
    ) -> TargetView:
        """Return the first target by rendezvous hashing whose load and slowness are acceptable."""
        if not origin.affinity:
            return POLICIES["paced"].choose(views, origin, randomness)
        prefix = origin.affinity[:AFFINITY_LENGTH]
        by_rank = sorted(views, key=lambda view: rank_target(view.name, prefix))
        mean = sum(view.load() + 1 for view in views) / len(views)
        for view in by_rank:
            slowness = max(view.slowness, view.time_factor or 1.0)
            if view.load() + 1 <= math.ceil(AFFINITY_BOUND * mean) and slowness < SLOW_THRESHOLD:
                return view
        return POLICIES["paced"].choose(views, origin, randomness)


def _choose_by_speed(
    views: Sequence[TargetView], origin: Origin, randomness: random.Random
) -> TargetView:
    """Return a target at random, the more likely the less work is expected there."""

    def draw(view: TargetView) -> float:
        distance = 0.0 if view.data_centre == origin.data_centre else DISTANCE_SHARE
        pace = (view.time_factor or 1.0) * (1.0 + view.crowding)
        work = (view.in_flight + 1) * pace + distance
        # The least of exponential variables is each with a probability inversely proportional to
        # its mean.
        return float(work**SPEED_EXPONENT) * randomness.expovariate(1.0)

    return min(views, key=draw)


def predict_time(view: TargetView, origin: Origin) -> float:
    """Return the predicted time at a target, in units of one request's usual time."""
    crowding = view.load() / view.slots
    distance = 0.0 if view.data_centre == origin.data_centre else DISTANCE_SHARE
    return view.slowness * (1.0 + crowding) + distance


def rank_target(name: str, prefix: str) -> bytes:
    """Return the rendezvous hash of a target and a prefix; the target with the lowest owns it."""
    return hashlib.blake2b(f"{name}\0{prefix}".encode(), digest_size=8).digest()
