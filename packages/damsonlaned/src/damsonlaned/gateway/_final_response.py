"""The one final answer to a request, and how it ended."""

from typing import Final

from damsonlaned.dialects import Dialect, Refusal
from damsonlaned.http import HttpHead, HttpResponse, Reply


class FinalAnswer:
    """Writes an answer whole, as a stream, or as a refusal of our own.

    Args:
        request_id: id of the request.
        reply: where the answer goes.
        dialect: writes refusals.
    """

    def __init__(self, request_id: str, reply: Reply, dialect: Dialect) -> None:
        self._request_id: Final = request_id
        self._reply: Final = reply
        self._dialect: Final = dialect
        #: How it ended, for logs and metrics.
        self.outcome = "gone"
        #: Why it ended so, for logs; empty for an answer of a target.
        self.detail = ""

    def has_begun(self) -> bool:
        """Tell whether the caller has a part of it."""
        return self._reply.has_begun

    def send_whole(self, response: HttpResponse) -> None:
        """Send what a target answered."""
        self._reply.send_whole(response)
        self.outcome = "answered"

    def send_failure(self, response: HttpResponse) -> None:
        """Send the failure that a target answered."""
        self.outcome = "target-failed"
        self._reply.send_whole(response)

    def start(self, head: HttpHead) -> None:
        """Begin a stream."""
        self._reply.start(head)

    async def send(self, data: bytes) -> None:
        """Send a part of a stream.

        Raises:
            CallerGoneError: the caller closed its connection.
        """
        await self._reply.send(data)

    def finish(self) -> None:
        """End a stream."""
        self._reply.finish()
        self.outcome = "answered"

    def cut(self, detail: str) -> None:
        """Break off a stream whose rest won't come."""
        self.outcome = "cut"
        self.detail = detail
        self._reply.cut()

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal of our own, or break off a stream that has begun."""
        if self._reply.has_begun:
            self.cut(refusal.detail)
            return
        self.outcome = f"refused-{refusal.status}"
        self.detail = refusal.detail
        self._reply.send_whole(self._dialect.render_refusal(refusal, self._request_id))
