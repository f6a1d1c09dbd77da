"""Write the response to one request of a caller."""

from collections.abc import Callable
from typing import Final

import h11

from damsonlaned.http._buffer_guard import BufferMeter
from damsonlaned.http._errors import CallerDisconnectedError
from damsonlaned.http._messages import HeaderList, HttpHead, HttpResponse, remove_hop_by_hop
from damsonlaned.http._tcp_stream import TcpStream


class ResponseWriter:
    """Writes the response to one request, at once or part by part."""

    def __init__(
        self, stream: TcpStream, parser: h11.Connection, is_last: Callable[[], bool]
    ) -> None:
        self._stream: Final = stream
        self._parser: Final = parser
        self._is_last: Final = is_last
        self._has_started = False
        #: Whether the response has been written to its end.
        self.is_complete = False

    @property
    def peer_port(self) -> int:
        """Port of the other side; 0 if it is not known."""
        return self._stream.peer_port()

    @property
    def has_started(self) -> bool:
        """Whether a head has been written."""
        return self._has_started

    @property
    def meter(self) -> BufferMeter | None:
        """Counts the bytes that are buffered for the caller; None without a budget."""
        return self._stream.meter

    def send_response(self, response: HttpResponse) -> None:
        """Write a complete response."""
        length = str(len(response.body)).encode()
        headers = (*remove_hop_by_hop(response.headers), (b"Content-Length", length))
        self._start(response.status, headers)
        if response.body:
            self._write(h11.Data(data=response.body))
        self.finish()

    def start(self, head: HttpHead) -> None:
        """Write the head of a response of unknown length."""
        self._start(head.status, remove_hop_by_hop(head.headers))

    async def send(self, data: bytes) -> None:
        """Write a part of the body and wait until the caller can receive more.

        Raises:
            CallerDisconnectedError: the caller closed its connection.
        """
        self._write(h11.Data(data=data))
        try:
            await self._stream.drain()
        except ConnectionError:
            raise CallerDisconnectedError("the caller closed its connection") from None

    def finish(self) -> None:
        """Write the end of the response."""
        self._write(h11.EndOfMessage())
        self.is_complete = True

    def abort(self) -> None:
        """Break the connection, so that the response does not look complete."""
        self._stream.abort()

    def _start(self, status: int, headers: HeaderList) -> None:
        self._has_started = True
        if self._is_last():
            headers = (*headers, (b"Connection", b"close"))
        self._write(h11.Response(status_code=status, headers=list(headers)))

    def _write(self, event: h11.Event) -> None:
        data = self._parser.send(event)
        if data:
            self._stream.write(data)
