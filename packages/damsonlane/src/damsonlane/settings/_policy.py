"""Values that children of the settings tree inherit from their parents."""

import dataclasses
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any, Final, Literal

from pydantic import Field

from damsonlane.settings._validation import CLOSED


class Inherit(Enum):
    """The sentinel of a value that is taken from the parent."""

    VALUE = "inherit"


#: Marks a policy value as taken from the parent.
INHERIT: Final = Inherit.VALUE

#: The lanes of admission, from the smallest work to the largest.
Lane = Literal["lookup", "standard", "bulk"]


@dataclass(frozen=True, kw_only=True)
class Policy:
    """What one level of the settings tree says; everything else is inherited."""

    __pydantic_config__ = CLOSED

    #: Longest time a request may take, in seconds.
    deadline_seconds: Annotated[float, Field(gt=0, le=3600)] | Inherit = INHERIT
    #: Most attempts at one repeatable stage, the first included.
    stage_attempts: Annotated[int, Field(ge=1, le=10)] | Inherit = INHERIT
    #: Retries allowed as a share of first attempts.
    retry_share: Annotated[float, Field(ge=0, le=1)] | Inherit = INHERIT
    #: Name of the routing policy.
    routing: str | Inherit = INHERIT
    #: Weight of the organisation in sharing capacity.
    weight: Annotated[float, Field(gt=0, le=1000)] | Inherit = INHERIT
    #: Most requests of a lane in flight at one entry.
    in_flight: Annotated[int, Field(ge=1, le=10_000)] | Inherit = INHERIT
    #: Most requests of an organisation in flight at all entries together; 0 for no limit.
    fleet_in_flight: Annotated[int, Field(ge=0, le=1_000_000)] | Inherit = INHERIT
    #: Share of requests that should be answered whole and in time.
    objective: Annotated[float, Field(gt=0, lt=1)] | Inherit = INHERIT
    #: Lane of admission.
    lane: Lane | Inherit = INHERIT


@dataclass(frozen=True, kw_only=True)
class EffectivePolicy:
    """A policy with every value decided; the defaults stand at the top of the tree."""

    #: Longest time a request may take, in seconds.
    deadline_seconds: float = 3.0
    #: Most attempts at one repeatable stage, the first included.
    stage_attempts: int = 2
    #: Retries allowed as a share of first attempts.
    retry_share: float = 0.1
    #: Name of the routing policy.
    routing: str = "paced"
    #: Weight of the organisation in sharing capacity.
    weight: float = 1.0
    #: Most requests of a lane in flight at one entry.
    in_flight: int = 64
    #: Most requests of an organisation in flight at all entries together; 0 for no limit.
    fleet_in_flight: int = 0
    #: Share of requests that should be answered whole and in time.
    objective: float = 0.99
    #: Lane of admission.
    lane: Lane = "standard"


@dataclass(frozen=True, kw_only=True)
class Level:
    """One level of inheritance: a policy and where it is written."""

    #: Path of the policy in the document; empty for the built-in defaults.
    path: str
    #: What is written there.
    policy: Policy


@dataclass(frozen=True, kw_only=True)
class Origin:
    """Where an effective value comes from."""

    #: Name of the value.
    name: str
    #: The value in force.
    value: float | int | str
    #: Path of the policy that sets it, or ``default``.
    path: str


def resolve_policy(levels: Sequence[Level]) -> EffectivePolicy:
    """Resolve levels from the root downwards into one effective policy."""
    values: dict[str, Any] = {origin.name: origin.value for origin in explain_policy(levels)}
    return EffectivePolicy(**values)


def explain_policy(levels: Sequence[Level]) -> tuple[Origin, ...]:
    """Say for each policy value which level decided it; later levels win."""
    origins = []
    defaults = EffectivePolicy()
    for field in dataclasses.fields(EffectivePolicy):
        origin = Origin(name=field.name, value=getattr(defaults, field.name), path="default")
        for level in levels:
            value = getattr(level.policy, field.name)
            if value is not INHERIT:
                origin = Origin(name=field.name, value=value, path=f"{level.path}/{field.name}")
        origins.append(origin)
    return tuple(origins)
