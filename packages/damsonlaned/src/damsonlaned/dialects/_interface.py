"""The interface of a dialect and the registry of dialects."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import Final

from damsonlane.pools import PieceOrder
from damsonlane.routes import RoutingDocument
from damsonlaned.dialects._types import (
    Attempt,
    CallerRequest,
    ComputedPiece,
    ControlCall,
    Refusal,
    ResponseSignals,
)
from damsonlaned.http import HttpHead, HttpRequest, HttpResponse


class Dialect(ABC):
    """Translates between HTTP and the types of this package; is stateless and applies no policy."""

    # Callers.

    @abstractmethod
    def read_caller(self, request: HttpRequest) -> CallerRequest:
        """Decode a caller's request.

        Raises:
            BadRequestError: a header is missing or malformed.
        """

    @abstractmethod
    def render_refusal(self, refusal: Refusal, request_id: str) -> HttpResponse:
        """Return an error response of our own; ``request_id`` may be empty."""

    @abstractmethod
    def is_readiness_check(self, request: HttpRequest) -> bool:
        """Return whether a request is a readiness check of this entry."""

    # Targets.

    @abstractmethod
    def make_request(self, request: CallerRequest, attempt: Attempt) -> HttpRequest:
        """Return the request that is sent to a target for an attempt."""

    @abstractmethod
    def read_signals(self, head: HttpHead) -> ResponseSignals:
        """Return the signals in the head of a target's response."""

    # Stage pools.

    @abstractmethod
    def make_pool_call(self, target: str, orders: Sequence[PieceOrder]) -> HttpRequest:
        """Return the call that has a pool target compute pieces."""

    @abstractmethod
    def read_pool_reply(self, body: bytes, count: int) -> tuple[ComputedPiece, ...]:
        """Return the result of each piece, in the order of the call.

        Args:
            body: the body of the reply.
            count: pieces in the call.

        Raises:
            BadRequestError: the reply is malformed or has another number of pieces.
        """

    @abstractmethod
    def make_release_call(self, handles: Sequence[str]) -> HttpRequest:
        """Return the call that has a pool target release results."""

    @abstractmethod
    def add_request_id(self, request: HttpRequest, request_id: str) -> HttpRequest:
        """Return a call with an id, which its answer must repeat."""

    @abstractmethod
    def read_result_address(self, handle: str) -> str:
        """Return the address of the pool target that stores a result."""

    # Calls to control replicas.

    @abstractmethod
    def read_control_call(self, request: HttpRequest) -> ControlCall | None:
        """Decode a call to a control replica; None if its path or method is unknown.

        Raises:
            BadRequestError: the body is malformed or names another target than the path.
        """

    @abstractmethod
    def render_heartbeat_reply(self, address: str) -> HttpResponse:
        """Return the acknowledgement of a heartbeat.

        Args:
            address: where the target should send its next heartbeats, or an empty string.
        """

    @abstractmethod
    def read_document(self, text: bytes) -> RoutingDocument:
        """Decode a routing document without checking its content.

        Raises:
            SettingsError: the text can't be decoded; carries all findings.
        """


#: All dialects by name.
DIALECTS: Final[dict[str, Dialect]] = {}


def dialect(name: str) -> Callable[[type[Dialect]], type[Dialect]]:
    """Register a dialect under the name that settings use."""

    def register(dialect_class: type[Dialect]) -> type[Dialect]:
        DIALECTS[name] = dialect_class()
        return dialect_class

    return register
