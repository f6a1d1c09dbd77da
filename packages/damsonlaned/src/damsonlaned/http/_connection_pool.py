"""The targets' side: connections that are kept, one request at a time on each."""

import asyncio
import socket
from collections import deque
from typing import Final

from damsonlane_rpc import Endpoint
from damsonlaned.http._errors import NotSentError
from damsonlaned.http._messages import HttpHead, HttpRequest
from damsonlaned.http._target_connection import AnswerBody, TargetConnection
from damsonlaned.http._tcp_stream import Wire

#: Milliseconds after which bytes that a target does not take count as lost.
_SILENCE_MS: Final = 2_000
#: Idle connections kept to one target.
_IDLE_KEPT: Final = 16


class SentExchange:
    """A request that was sent, until its answer is whole or given up."""

    def __init__(self, pool: "ConnectionPool", connection: TargetConnection) -> None:
        self._pool: Final = pool
        self._connection: Final = connection
        self.body: Final = AnswerBody(connection)

    async def read_head(self) -> HttpHead:
        """Return the head of the answer.

        Raises:
            BrokenAnswerError: none came.
        """
        return await self._connection.read_head()

    async def skip_answer(self) -> None:
        """Pass over an answer that belongs to another request.

        Raises:
            BrokenAnswerError: the connection ends with it.
        """
        await self._connection.skip_answer()

    def finish(self) -> None:
        """Give the connection back if the answer was whole, or close it at once."""
        self._pool.give_back(self._connection, is_whole=self.body.is_whole)


class ConnectionPool:
    """Connections to one target.

    Args:
        address: address of the target.
        most: connections that may be open at once.
    """

    def __init__(self, address: str, most: int) -> None:
        self._endpoint: Final = Endpoint.parse(address)
        self.most = most
        self._idle: deque[TargetConnection] = deque()
        self._is_closed = False
        self._open = 0

    def open_connections(self) -> int:
        """Return the connections that are open, idle ones included."""
        return self._open

    async def send(self, request: HttpRequest, connect_seconds: float) -> SentExchange:
        """Send a request on a kept connection, or on a new one.

        Raises:
            NotSentError: no connection could be had.
        """
        connection = self._take_idle() or await self._connect(connect_seconds)
        connection.send(request)
        return SentExchange(self, connection)

    def give_back(self, connection: TargetConnection, *, is_whole: bool) -> None:
        """Keep a connection after a whole answer; close it at once otherwise."""
        now = asyncio.get_running_loop().time()
        may_keep = is_whole and not self._is_closed and len(self._idle) < _IDLE_KEPT
        if may_keep and connection.settle(now, lambda: self._forget(connection)):
            self._idle.append(connection)
            return
        self._open -= 1
        connection.abort()

    def close(self) -> None:
        """Close the connections that no request uses, and the others when they are given back."""
        self._is_closed = True
        while self._idle:
            self._drop(self._idle.pop())

    def _forget(self, connection: TargetConnection) -> None:
        """Drop an idle connection that the target closed."""
        if connection in self._idle:
            self._idle.remove(connection)
            self._drop(connection)

    def _take_idle(self) -> TargetConnection | None:
        now = asyncio.get_running_loop().time()
        while self._idle:
            # The one used last is the least likely to be closed by the target.
            connection = self._idle.pop()
            if connection.is_usable(now):
                return connection
            self._drop(connection)
        return None

    def _drop(self, connection: TargetConnection) -> None:
        self._open -= 1
        connection.close()

    async def _connect(self, seconds: float) -> TargetConnection:
        if self._open >= self.most:
            raise NotSentError(f"all {self.most} connections to the target are in use")
        self._open += 1
        try:
            return TargetConnection(await self._make_wire(seconds))
        except BaseException:
            self._open -= 1
            raise

    async def _make_wire(self, seconds: float) -> Wire:
        loop = asyncio.get_running_loop()
        host, port = self._endpoint.host, self._endpoint.port
        try:
            async with asyncio.timeout(seconds):
                transport, wire = await loop.create_connection(Wire, host, port)
        except TimeoutError:
            raise NotSentError(f"{host}:{port} did not answer in time") from None
        except OSError as error:
            raise NotSentError(f"{host}:{port}: {error.strerror or error}") from None
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _SILENCE_MS)
        return wire
