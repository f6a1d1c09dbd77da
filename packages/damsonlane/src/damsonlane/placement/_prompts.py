"""Messages by which one box asks another to place its prompts."""

import operator
from typing import Annotated

from pydantic import Field

from damsonlane.hints import NumberHint, OptionalNumberHint
from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class PromptSegment:
    """A segment of a prompt that other requests share."""

    #: Identity of the segment.
    identity: str
    #: Its length, in tokens.
    tokens: int


@dataclass(frozen=True, kw_only=True)
class InputLocation:
    """Location of stage results that the engine must fetch before it prefills the prompt."""

    #: Data centre in which they are stored.
    data_centre: str
    #: Their size, in bytes.
    size: int


@dataclass(frozen=True, kw_only=True)
class PlacementRequest:
    """A request to place a prompt at an engine."""

    #: Number chosen by the sender; the placement repeats it.
    number: int
    #: Leading segments that other requests share, in order.
    shared: tuple[PromptSegment, ...]
    #: Length of the whole prompt, in tokens.
    tokens: int
    #: Seconds left until its first event misses the latency objective; may be negative.
    aim_left_seconds: float
    #: Names of engines that the sender can't use.
    avoid: tuple[str, ...] = ()
    #: Locations of its inputs.
    inputs: tuple[InputLocation, ...] = ()
    #: Organisation of the caller where organisations share the engines fairly; empty otherwise.
    #: Messages omit an empty one, so that those of deployments without shares stay as they are.
    organisation: Annotated[str, Field(exclude_if=operator.not_)] = ""

    @property
    def shared_tokens(self) -> int:
        """Number of tokens in the shared segments."""
        return sum(part.tokens for part in self.shared)


@dataclass(frozen=True, kw_only=True)
class Placement:
    """The engine chosen for a prompt."""

    #: Number of the request.
    number: int
    #: Name of the engine; empty if none can be used.
    target: str
    #: Name of an engine that has cached more of the prompt, from which its segments should be
    #: fetched; empty for none.
    source: str = ""
    #: Whether the prompt is beyond the share of its organisation, so that others go first.
    #: Messages omit it otherwise, so that those of deployments without shares stay as they are.
    is_beyond_share: Annotated[bool, Field(exclude_if=operator.not_)] = False


@dataclass(frozen=True, kw_only=True)
class PromptOutcome:
    """Outcome of a placed prompt."""

    #: Number of the request.
    number: int
    #: Seconds from sending the request to the first event of its answer; None if the engine
    #: did not accept it.
    seconds: float | None
    #: Factor by which work takes longer at the engine than usual, as it reported with the head of
    #: its response; None if it reports none.
    slowness: Annotated[OptionalNumberHint, Field(exclude_if=operator.not_)] = None
    #: Seconds from the arrival of that report to the sending of this outcome.
    slowness_age_seconds: Annotated[NumberHint, Field(exclude_if=operator.not_)] = 0.0
