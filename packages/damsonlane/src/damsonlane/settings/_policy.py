"""Policy values, which each level of the settings tree inherits from its parent."""

import dataclasses
from collections.abc import Sequence
from enum import Enum
from typing import Annotated, Any, Final, Literal

from pydantic import Field

from damsonlane.records import dataclass
from damsonlane.settings._validation import FORBID_UNKNOWN_KEYS


class Inherit(Enum):
    """Type of the sentinel for an inherited value."""

    VALUE = "inherit"


#: Marks a policy value as inherited.
INHERIT: Final = Inherit.VALUE

#: Lanes of admission, from the smallest requests to the largest.
Lane = Literal["lookup", "standard", "bulk"]


@dataclass(frozen=True, kw_only=True)
class Policy:
    """Policy values set at one level of the settings tree; the others are inherited."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS

    #: Maximum duration of a request, in seconds.
    deadline_seconds: Annotated[float, Field(gt=0, le=3600)] | Inherit = INHERIT
    #: Maximum attempts at one repeatable stage, including the first.
    stage_attempts: Annotated[int, Field(ge=1, le=10)] | Inherit = INHERIT
    #: Retry budget, as a fraction of first attempts.
    retry_share: Annotated[float, Field(ge=0, le=1)] | Inherit = INHERIT
    #: Name of the routing policy.
    routing: str | Inherit = INHERIT
    #: Weight of the organisation's share of capacity.
    weight: Annotated[float, Field(gt=0, le=1000)] | Inherit = INHERIT
    #: Maximum requests of a lane in flight at one entry.
    in_flight: Annotated[int, Field(ge=1, le=10_000)] | Inherit = INHERIT
    #: Maximum requests of an organisation in flight at all entries together; 0 for no limit.
    fleet_in_flight: Annotated[int, Field(ge=0, le=1_000_000)] | Inherit = INHERIT
    #: Objective: fraction of requests to be answered completely and in time.
    objective: Annotated[float, Field(gt=0, lt=1)] | Inherit = INHERIT
    #: Lane of admission.
    lane: Lane | Inherit = INHERIT


@dataclass(frozen=True, kw_only=True)
class EffectivePolicy:
    """A policy with every value resolved; the field defaults are the built-in defaults."""

    #: Maximum duration of a request, in seconds.
    deadline_seconds: float = 3.0
    #: Maximum attempts at one repeatable stage, including the first.
    stage_attempts: int = 2
    #: Retry budget, as a fraction of first attempts.
    retry_share: float = 0.1
    #: Name of the routing policy.
    routing: str = "paced"
    #: Weight of the organisation's share of capacity.
    weight: float = 1.0
    #: Maximum requests of a lane in flight at one entry.
    in_flight: int = 64
    #: Maximum requests of an organisation in flight at all entries together; 0 for no limit.
    fleet_in_flight: int = 0
    #: Objective: fraction of requests to be answered completely and in time.
    objective: float = 0.99
    #: Lane of admission.
    lane: Lane = "standard"


@dataclass(frozen=True, kw_only=True)
class Level:
    """One level of inheritance: a policy and its path in the document."""

    #: Path of the policy in the document; empty for the built-in defaults.
    path: str
    #: The policy at that path.
    policy: Policy


@dataclass(frozen=True, kw_only=True)
class Origin:
    """An effective value and the level that sets it."""

    #: Name of the value.
    name: str
    #: The value in force.
    value: float | int | str
    #: Path of the policy that sets it, or ``default``.
    path: str


def resolve_policy(levels: Sequence[Level]) -> EffectivePolicy:
    """Return the effective policy of levels, ordered from the root downwards."""
    values: dict[str, Any] = {origin.name: origin.value for origin in explain_policy(levels)}
    return EffectivePolicy(**values)


def explain_policy(levels: Sequence[Level]) -> tuple[Origin, ...]:
    """Return for each policy value the level that sets it; later levels override earlier ones."""
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
