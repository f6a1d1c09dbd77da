"""What a dialect translates between: typed requests, answers and control calls."""

from dataclasses import dataclass
from typing import Literal

from damsonlane.errors import DamsonlaneError
from damsonlane.routing import LoadReport
from damsonlane.targets import TargetRecord
from damsonlaned.http import HttpRequest


class BadRequestError(DamsonlaneError):
    """A request that can't be understood; its text says why."""


@dataclass(frozen=True, kw_only=True)
class PrefixPart:
    """A part of a prompt that other requests may share."""

    #: Identity of the part.
    identity: str
    #: Its length, in tokens.
    tokens: int


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A caller's request."""

    #: The request as it came.
    http: HttpRequest
    #: Id that the caller gave it; answers carry it back.
    request_id: str
    #: Host that it names.
    host: str
    #: Key of the caller's organisation, or an empty string.
    key: str
    #: Seconds for which the caller waits, or None when it does not say.
    deadline_seconds: float | None = None
    #: Parts of its prompt, in order.
    prefix_segments: tuple[PrefixPart, ...] = ()
    #: Tokens of its prompt.
    prompt_tokens: int = 0
    #: Most tokens that it wants.
    max_output_tokens: int = 0
    #: Number of pieces of each stage.
    pieces: tuple[int, ...] = ()
    #: Key of its material for the stages, or an empty string.
    material_key: str = ""


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """One sending of a request to a target."""

    #: Name of the target that is meant.
    target: str
    #: Seconds that the target has.
    remaining_seconds: float
    #: Organisation of the caller, or an empty string.
    organisation: str
    #: Urgency at the target, 0 (first) to 9, or None.
    urgency: int | None = None
    #: Handles of the stage results that it needs.
    inputs: tuple[str, ...] = ()
    #: Id of the last event that the caller has, where an event stream is taken up.
    last_event_id: str | None = None
    #: Address of an engine from which the target should take what it keeps of the prompt,
    #: or an empty string.
    cache_source: str = ""


@dataclass(frozen=True, kw_only=True)
class ResponseSignals:
    """What the head of a target's answer says besides its status."""

    #: Id of the request that it answers, or None.
    request_id: str | None
    #: Whether the target promises that the request has not run.
    has_not_run: bool
    #: Its load, or None.
    load: LoadReport | None
    #: Whether it is an event stream.
    is_stream: bool
    #: Seconds for which the target wants nothing from this box.
    backoff_seconds: float = 0.0
    #: Whether the target says that it leaves.
    is_draining: bool = False
    #: Requests a second that the target takes from all boxes together; None where it names no
    #: limit.
    rate_limit: float | None = None

    def is_announced_rejection(self) -> bool:
        """Tell whether the target turned the request away by what it says that it takes."""
        return self.backoff_seconds > 0 or (self.has_not_run and self.rate_limit is not None)


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """An answer of our own that is not what the caller wanted."""

    #: The status.
    status: int
    #: What went wrong, for a person.
    detail: str
    #: Whether the request may have run; a refusal that says no is a promise.
    may_have_run: bool = False
    #: Seconds after which the caller should come back, or None.
    retry_after_seconds: float | None = None


@dataclass(frozen=True, kw_only=True)
class ComputedPiece:
    """What a target says of one piece."""

    #: Handle of its result, or an empty string.
    handle: str = ""
    #: Why there is none.
    fault: Literal["", "late", "lost-input", "no-room", "error"] = ""


@dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """A target says that it is there."""

    #: What it says of itself.
    record: TargetRecord


@dataclass(frozen=True, kw_only=True)
class Deregistration:
    """A target says that it is gone."""

    #: Its name.
    target: str
    #: Its start, in Unix milliseconds; 0 where it does not say.
    start: int = 0


@dataclass(frozen=True, kw_only=True)
class Evacuate:
    """An operator wants nothing new sent to the targets of a data centre."""

    #: The data centre.
    data_centre: str


@dataclass(frozen=True, kw_only=True)
class Restore:
    """An operator wants the targets of a data centre used again."""

    #: The data centre.
    data_centre: str


@dataclass(frozen=True, kw_only=True)
class PutDocument:
    """An operator sends a routing document."""

    #: The text as it was sent.
    text: bytes


@dataclass(frozen=True, kw_only=True)
class ReadDocument:
    """An operator asks for the routing document in force."""


ControlCall = Heartbeat | Deregistration | PutDocument | ReadDocument | Evacuate | Restore
