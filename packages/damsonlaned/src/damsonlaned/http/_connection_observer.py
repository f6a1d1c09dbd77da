"""What the connections to a target show about the path to it."""

from typing import TYPE_CHECKING, Final, Protocol

if TYPE_CHECKING:
    from damsonlane.reach import FailureKind

#: Seconds between looks at a request without any byte of a response.
SILENCE_SECONDS: Final = 0.5


class ConnectionObserver(Protocol):
    """Learns from all connections to one target whether it is reached."""

    def record_reached(self, *, is_new: bool) -> None:
        """Record that bytes arrived; ``is_new`` if they are the first ones on a connection."""

    def record_failed(self, kind: "FailureKind") -> None:
        """Record that no connection was established, or that one broke before a response."""

    def record_response(self, seconds: float) -> None:
        """Record after how many seconds the head of a response came."""

    def record_silent(self, sent_at: float) -> None:
        """Record that no byte of a response arrived for a multiple of SILENCE_SECONDS.

        Args:
            sent_at: when the request was sent, by the loop's clock.
        """

    def record_extra_bytes(self) -> None:
        """Record bytes after a whole response, which belong to no request."""


class NoObserver:
    """Ignores what it is told."""

    def record_reached(self, *, is_new: bool) -> None:
        """Ignore bytes."""

    def record_failed(self, kind: "FailureKind") -> None:
        """Ignore a failure."""

    def record_response(self, seconds: float) -> None:
        """Ignore a response."""

    def record_silent(self, sent_at: float) -> None:
        """Ignore a silence."""

    def record_extra_bytes(self) -> None:
        """Ignore bytes."""
