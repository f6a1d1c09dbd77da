"""Max-min division of a capacity among organisations."""

import math
from collections.abc import Mapping
from typing import Final

from damsonlane.records import dataclass

#: Least part of its demand that an organisation gets, as a multiple of the part of all demand that
#: is served.  Without it, an organisation that sends ten times its share would be served a tenth
#: as often as the others.
FLOOR_SHARE: Final = 0.25


@dataclass(frozen=True, kw_only=True)
class Demand:
    """What one organisation asks of a capacity."""

    #: Work that it asks for, in units of the capacity.
    amount: float
    #: Weight of its share; larger than 0.
    weight: float = 1.0


def divide_capacity(capacity: float, demands: Mapping[str, Demand]) -> Mapping[str, float]:
    """Return the part of a capacity that each organisation is entitled to.

    The parts are max-min fair by weight: what an organisation leaves unused is divided among
    those that ask for more.  An organisation that asks for less than its part is entitled to the
    same part as the others, so it may increase its demand at any time.  If all demands fit, each
    part is infinite.

    Args:
        capacity: the capacity.
        demands: the demands by name of the organisation.
    """
    total = sum(demand.amount for demand in demands.values())
    if total <= capacity:
        return dict.fromkeys(demands, math.inf)
    floor = FLOOR_SHARE * max(0.0, capacity) / total
    level = _find_level(capacity, list(demands.values()), floor)
    return {
        name: max(demand.weight * level, demand.amount * floor) for name, demand in demands.items()
    }


def _find_level(capacity: float, demands: list[Demand], floor: float) -> float:
    """Return the part for each unit of weight at which the granted demands fill a capacity.

    What is granted rises with the level: for each organisation from its floor to its demand.
    """
    # The slope of the granted sum changes where an organisation leaves its floor and where its
    # demand is met.
    changes: list[tuple[float, float]] = []
    granted = 0.0
    for demand in demands:
        granted += demand.amount * floor
        changes.append((demand.amount * floor / demand.weight, demand.weight))
        changes.append((demand.amount / demand.weight, -demand.weight))
    changes.sort()
    level = slope = 0.0
    for at, change in changes:
        if granted + slope * (at - level) >= capacity:
            break
        granted += slope * (at - level)
        level = at
        slope += change
    return level + (capacity - granted) / slope if slope > 1e-12 else level
