"""Typed requests, responses and control calls, to and from which dialects translate."""

from dataclasses import replace
from typing import Final, Literal

from damsonlane.errors import DamsonlaneError
from damsonlane.records import dataclass
from damsonlane.routing import LoadReport
from damsonlane.targets import TargetRecord
from damsonlaned.http import HttpRequest

#: Statuses of our refusals that promise that the request has not run.
PROMISE_STATUSES: Final = frozenset({408, 421, 429, 503})


class BadRequestError(DamsonlaneError):
    """A request or reply is malformed; the message says how."""


class ResultCountError(BadRequestError):
    """A pool reply has another number of pieces than its call."""


@dataclass(frozen=True, kw_only=True)
class PrefixSegment:
    """A segment of a prompt that other requests may share."""

    #: Identity of its content.
    identity: str
    #: Its length, in tokens.
    tokens: int


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A caller's request."""

    #: The request as it was received.
    http: HttpRequest
    #: Id that the caller gave it; responses carry it.
    request_id: str
    #: Its ``Host`` header, or an empty string.
    host: str
    #: Key of the caller's organisation, or an empty string.
    key: str
    #: Seconds until its deadline, or None if it has none.
    deadline_seconds: float | None = None
    #: Shareable segments of its prompt, in order.
    prefix_segments: tuple[PrefixSegment, ...] = ()
    #: Length of its prompt, in tokens.
    prompt_tokens: int = 0
    #: Model that it requests, or an empty string.
    model: str = ""
    #: Most tokens that the caller wants in return.
    max_output_tokens: int = 0
    #: Number of pieces of each stage.
    pieces: tuple[int, ...] = ()
    #: Key of the input material of its first stages, or an empty string.
    material_key: str = ""
    #: Id of the last event that its caller has, where it resumes an event stream; else None.
    last_event_id: str | None = None
    #: Id of the caller's attempt that brought the first event of that stream; empty if not named.
    first_attempt: str = ""


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """One call to one target for one request."""

    #: Name of the target.
    target: str
    #: Seconds until the deadline.
    remaining_seconds: float
    #: Name of the caller's organisation, or an empty string.
    organisation: str
    #: Start of the target's incarnation, in Unix milliseconds; 0 where it is not reported.
    start: int = 0
    #: Urgency at the target, 0 (first) to 9, or None.
    urgency: int | None = None
    #: Handles of the stage results that it needs.
    inputs: tuple[str, ...] = ()
    #: Id of the last event that the caller received, where an event stream is resumed; else None.
    last_event_id: str | None = None
    #: Address of an engine from which the target should copy cached prompt segments, or an empty
    #: string.
    cache_source: str = ""


@dataclass(frozen=True, kw_only=True)
class ResponseSignals:
    """What the head of a target's response says besides its status."""

    #: Id of the request that the response belongs to, or None.
    request_id: str | None
    #: Whether the target guarantees that the request has not run.
    has_not_run: bool
    #: Load of the target, or None if it reports none.
    load: LoadReport | None
    #: Whether the body is an event stream.
    is_stream: bool
    #: Seconds of back-off that the target requests from this box.
    backoff_seconds: float = 0.0
    #: Whether the target announces that it is draining.
    is_draining: bool = False
    #: Rate limit that the target announces, in requests per second from all boxes together; None
    #: if it announces none.
    rate_limit: float | None = None
    #: Rejections a second of all boxes together with which it fails; None if it announces none.
    rejection_limit: float | None = None
    #: Whether it was overloaded.
    is_overloaded: bool = False

    def is_announced_rejection(self) -> bool:
        """Return whether the target rejected the request by a back-off or rate limit of its own."""
        return self.backoff_seconds > 0 or (self.has_not_run and self.rate_limit is not None)


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """An error response of our own."""

    #: HTTP status.
    status: int
    #: What went wrong, in words.
    detail: str
    #: Whether the request may have run; False guarantees that it has not.
    may_have_run: bool = False
    #: Seconds after which the caller may retry, or None.
    retry_after_seconds: float | None = None

    def without_promise(self) -> "Refusal":
        """Return the refusal of a request that may have run before."""
        status = 502 if self.status in PROMISE_STATUSES else self.status
        return replace(self, status=status, may_have_run=True, retry_after_seconds=None)


@dataclass(frozen=True, kw_only=True)
class ComputedPiece:
    """The result of one piece, as its pool target reports it."""

    #: Handle of the stored result, or an empty string.
    handle: str = ""
    #: Why there is no result.
    fault: Literal["", "late", "lost-input", "no-room", "error"] = ""


@dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """A heartbeat of a target."""

    #: The state that the target reports.
    record: TargetRecord


@dataclass(frozen=True, kw_only=True)
class Deregistration:
    """A target deregisters: it has shut down."""

    #: Its name.
    target: str
    #: Start time of its incarnation, in Unix milliseconds; 0 if unknown.
    start: int = 0


@dataclass(frozen=True, kw_only=True)
class Evacuate:
    """An operator wants no new requests sent to the targets of a data centre."""

    #: Name of the data centre.
    data_centre: str


@dataclass(frozen=True, kw_only=True)
class Restore:
    """An operator ends the evacuation of a data centre."""

    #: Name of the data centre.
    data_centre: str


@dataclass(frozen=True, kw_only=True)
class PutDocument:
    """An operator submits a routing document."""

    #: The text as it was received.
    text: bytes


@dataclass(frozen=True, kw_only=True)
class ReadDocument:
    """An operator asks for the routing document in force."""


ControlCall = Heartbeat | Deregistration | PutDocument | ReadDocument | Evacuate | Restore
