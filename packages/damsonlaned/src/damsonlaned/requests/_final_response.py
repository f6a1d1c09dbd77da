"""The final response to a request, and its outcome."""

from typing import Final

from damsonlaned.dialects import Dialect, Refusal
from damsonlaned.http import BufferMeter, HttpHead, HttpResponse, ResponseSink


class FinalResponse:
    """Writes the response to the caller: whole, as a stream, or as a refusal of this entry.

    Args:
        request_id: id of the request.
        writer: where the response is written.
        dialect: renders refusals.
    """

    def __init__(self, request_id: str, writer: ResponseSink, dialect: Dialect) -> None:
        self._request_id: Final = request_id
        self._writer: Final = writer
        self._dialect: Final = dialect
        #: Outcome of the request, for logs and metrics.
        self.outcome = "gone"
        #: Reason of the outcome, for logs; empty for a response of a target.
        self.detail = ""

    @property
    def meter(self) -> BufferMeter | None:
        """Counts the bytes that are buffered for the caller; None without a budget."""
        return self._writer.meter

    def has_started(self) -> bool:
        """Return whether the caller has a part of the response."""
        return self._writer.has_started

    def send_response(self, response: HttpResponse) -> None:
        """Send the response of a target."""
        self._writer.send_response(response)
        self.outcome = "answered"

    def send_failure(self, response: HttpResponse) -> None:
        """Send the failure response of a target."""
        self.outcome = "target-failed"
        self._writer.send_response(response)

    def start(self, head: HttpHead) -> None:
        """Begin a stream."""
        self._writer.start(head)

    async def send(self, data: bytes) -> None:
        """Send a part of a stream.

        Raises:
            CallerDisconnectedError: the caller closed its connection.
        """
        await self._writer.send(data)

    def finish(self) -> None:
        """End a stream."""
        self._writer.finish()
        self.outcome = "answered"

    def abort(self, detail: str) -> None:
        """Abort a stream whose remainder is lost."""
        self.outcome = "cut"
        self.detail = detail
        self._writer.abort()

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal of this entry, or abort a stream that has begun."""
        if self._writer.has_started:
            self.abort(refusal.detail)
            return
        self.outcome = f"refused-{refusal.status}"
        self.detail = refusal.detail
        self._writer.send_response(self._dialect.render_refusal(refusal, self._request_id))
