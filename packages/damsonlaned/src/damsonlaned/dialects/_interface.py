"""The interface of a dialect, and the registry that a decorator fills."""

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
    """Translates between HTTP and the types of this package; decides and remembers nothing."""

    # Callers.

    @abstractmethod
    def read_caller(self, request: HttpRequest) -> CallerRequest:
        """Return a caller's request.

        Raises:
            BadRequestError: it can't be understood.
        """

    @abstractmethod
    def render_refusal(self, refusal: Refusal, request_id: str) -> HttpResponse:
        """Return an answer of our own; ``request_id`` may be empty."""

    @abstractmethod
    def is_readiness_check(self, request: HttpRequest) -> bool:
        """Tell whether a request asks if this entry takes requests."""

    # Targets.

    @abstractmethod
    def make_request(self, request: CallerRequest, attempt: Attempt) -> HttpRequest:
        """Return what is sent to a target."""

    @abstractmethod
    def read_signals(self, head: HttpHead) -> ResponseSignals:
        """Return what the head of a target's answer says."""

    # Stage pools.

    @abstractmethod
    def make_pool_call(self, target: str, orders: Sequence[PieceOrder]) -> HttpRequest:
        """Return the call that makes pieces."""

    @abstractmethod
    def read_pool_reply(self, body: bytes, count: int) -> tuple[ComputedPiece, ...]:
        """Return what became of each piece, in the order of the call.

        Raises:
            BadRequestError: the body is no such reply.
        """

    @abstractmethod
    def make_release_call(self, handles: Sequence[str]) -> HttpRequest:
        """Return the call that gives results up."""

    @abstractmethod
    def read_result_address(self, handle: str) -> str:
        """Return the address of the target that holds a result."""

    # Control.

    @abstractmethod
    def read_control_call(self, request: HttpRequest) -> ControlCall | None:
        """Return a call to control, or None when there is no such call.

        Raises:
            BadRequestError: it can't be understood.
        """

    @abstractmethod
    def render_heartbeat_reply(self, address: str) -> HttpResponse:
        """Return the acknowledgement of a heartbeat; ``address`` takes the next ones."""

    @abstractmethod
    def read_document(self, text: bytes) -> RoutingDocument:
        """Return the routing document in a text, unchecked.

        Raises:
            SettingsError: it can't be read; carries all findings.
        """


#: All dialects by name.
DIALECTS: Final[dict[str, Dialect]] = {}


def dialect(name: str) -> Callable[[type[Dialect]], type[Dialect]]:
    """Register a dialect under the name that settings use."""

    def register(kind: type[Dialect]) -> type[Dialect]:
        DIALECTS[name] = kind()
        return kind

    return register
