"""Prompts as one box asks another where to send them."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class PromptPart:
    """A part of a prompt that other requests share."""

    #: Identity of the part.
    identity: str
    #: Its length, in tokens.
    tokens: int


@dataclass(frozen=True, kw_only=True)
class InputPlace:
    """Results of stages that the engine must fetch before it reads the prompt."""

    #: Data centre in which they lie.
    data_centre: str
    #: Their size, in bytes.
    size: int


@dataclass(frozen=True, kw_only=True)
class PromptOrder:
    """A prompt that is to be placed at an engine."""

    #: Chosen by the sender; the placement carries it back.
    number: int
    #: Parts that other requests share, in order.
    shared: tuple[PromptPart, ...]
    #: Length of the whole prompt, in tokens.
    tokens: int
    #: Seconds within which its first event keeps the request in aim; may be negative.
    aim_left_seconds: float
    #: Names of engines that the sender can't use.
    avoid: tuple[str, ...] = ()
    #: Where its inputs lie.
    inputs: tuple[InputPlace, ...] = ()

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests share."""
        return sum(part.tokens for part in self.shared)


@dataclass(frozen=True, kw_only=True)
class Placement:
    """The engine for a prompt."""

    #: Number of its order.
    number: int
    #: Name of the engine; empty when none may be used.
    target: str
    #: Name of an engine that keeps more of the prompt, from which it should be taken;
    #: empty for none.
    source: str = ""


@dataclass(frozen=True, kw_only=True)
class PromptRead:
    """What became of a prompt at the engine that it was placed at."""

    #: Number of its order.
    number: int
    #: Seconds from the sending of the request to the first event of its answer; None if
    #: the engine did not take it.
    seconds: float | None
