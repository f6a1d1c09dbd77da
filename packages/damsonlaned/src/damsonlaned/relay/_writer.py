"""Writes the response to a request that another entry passed on, part by part to that entry."""

import asyncio
from typing import Final

from grpclib.server import Stream

from damsonlane.versions import StreamOrigin
from damsonlane_rpc import RelayPart, RelayRequest
from damsonlaned.http import HttpHead, HttpResponse
from damsonlaned.relay._messages import encode_body, encode_headers

#: Seconds between messages while no part of the response is ready.
KEEPALIVE_SECONDS: Final = 0.25
#: Parts that are buffered before a writer must wait.
MAX_BUFFERED_PARTS: Final = 16


class RelayWriter:
    """Buffers the parts of one response until they are sent to the other entry."""

    #: Bytes are not counted for the caller here, but at the entry that it is connected to.
    meter: Final = None

    def __init__(self) -> None:
        self._parts: list[RelayPart] = []
        self._has_more: Final = asyncio.Event()
        self._has_space: Final = asyncio.Event()
        self._has_space.set()
        self._has_started = False
        self._is_last = False
        self._origin: StreamOrigin | None = None

    @property
    def has_started(self) -> bool:
        """Whether a head has been written."""
        return self._has_started

    def send_response(self, response: HttpResponse) -> None:
        """Write a complete response."""
        self._has_started = True
        self._add(
            RelayPart(
                status=response.status,
                headers=encode_headers(response.headers),
                body=encode_body(response.body),
                is_whole=True,
                is_last=True,
            )
        )

    def put_origin(self, origin: StreamOrigin) -> None:
        """Tell the other entry, with the head, where the stream begins."""
        self._origin = origin

    def start(self, head: HttpHead) -> None:
        """Write the head of a response of unknown length."""
        self._has_started = True
        headers = encode_headers(head.headers)
        self._add(RelayPart(status=head.status, headers=headers, origin=self._origin))

    async def send(self, data: bytes) -> None:
        """Write a part of the body and wait until more can be buffered."""
        self._add(RelayPart(body=encode_body(data)))
        await self._has_space.wait()

    def finish(self) -> None:
        """Write the end of the response."""
        self._add(RelayPart(is_last=True))

    def abort(self) -> None:
        """End the response so that it does not look complete."""
        self._add(RelayPart(is_aborted=True, is_last=True))

    def decline(self, reason: str) -> None:
        """Report that the request is not served here and has not run."""
        self._add(RelayPart(declined=reason, is_last=True))

    def end(self) -> None:
        """End a response that is not complete."""
        if not self._is_last:
            self.abort()

    async def push(self, stream: Stream[RelayRequest, RelayPart]) -> None:
        """Send the parts, and keepalives between them, until the response is complete."""
        while True:
            try:
                await asyncio.wait_for(self._has_more.wait(), KEEPALIVE_SECONDS)
            except TimeoutError:
                await stream.send_message(RelayPart())
                continue
            self._has_more.clear()
            parts, self._parts = self._parts, []
            self._has_space.set()
            for part in parts:
                await stream.send_message(part)
                if part.is_last:
                    return

    def _add(self, part: RelayPart) -> None:
        if self._is_last:
            return
        self._is_last = part.is_last
        self._parts.append(part)
        self._has_more.set()
        if len(self._parts) >= MAX_BUFFERED_PARTS:
            self._has_space.clear()
