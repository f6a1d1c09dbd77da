"""Where the response to a request is written."""

from typing import Protocol

from damsonlaned.http._buffer_guard import BufferMeter
from damsonlaned.http._messages import HttpHead, HttpResponse


class ResponseSink(Protocol):
    """Takes one response, at once or part by part."""

    @property
    def has_started(self) -> bool:
        """Whether a head has been written."""

    @property
    def meter(self) -> BufferMeter | None:
        """Counts the bytes that are buffered for the caller; None without a budget."""

    def send_response(self, response: HttpResponse) -> None:
        """Write a complete response."""

    def start(self, head: HttpHead) -> None:
        """Write the head of a response of unknown length."""

    async def send(self, data: bytes) -> None:
        """Write a part of the body and wait until more can be received.

        Raises:
            CallerDisconnectedError: the caller closed its connection.
        """

    def finish(self) -> None:
        """Write the end of the response."""

    def abort(self) -> None:
        """End the response so that it does not look complete."""
