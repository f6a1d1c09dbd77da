"""Has another entry serve a request whose targets this one does not reach."""

import asyncio
import contextlib
import logging
import ssl
from collections.abc import Awaitable, Callable, Iterator
from typing import Final

from grpclib.client import Channel

from damsonlane.records import dataclass
from damsonlane_rpc import CALL_ERRORS, RELAY, RelayPart, open_channel
from damsonlaned.attempts import AttemptTurn
from damsonlaned.metrics import Metrics
from damsonlaned.relay._messages import RelayedRequest
from damsonlaned.relay._reach_monitor import ReachMonitor

_LOG: Final = logging.getLogger(__name__)

#: Silence after which the other entry may have failed, in seconds: it sends keepalives.
SILENCE_SECONDS: Final = 1.0
#: Seconds for a connection to the other entry.
CONNECT_SECONDS: Final = 0.3
#: Seconds for which the end of a complete response is awaited.
END_SECONDS: Final = 0.2
#: Entries that are asked to serve one request.
MAX_DECLINED: Final = 3

#: Takes the parts of a response.
OnPart = Callable[[RelayPart], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class RelayFailure:
    """Why no other entry served a request."""

    #: Human-readable reason.
    detail: str
    #: Whether the request may have run.
    may_have_run: bool


class RelayClient:
    """Passes requests on to other entries.

    Args:
        reach: lists and chooses the entries that may reach the targets.
        context: TLS context towards other boxes, or None.
        metrics: metrics of the process.
    """

    def __init__(
        self, reach: ReachMonitor, context: ssl.SSLContext | None, metrics: Metrics
    ) -> None:
        self._reach: Final = reach
        self._context: Final = context
        self._metrics: Final = metrics
        self._channels: dict[str, _SharedChannel] = {}

    async def serve(
        self,
        request: RelayedRequest,
        service: str,
        request_id: str,
        on_part: OnPart,
        turn: AttemptTurn,
    ) -> RelayFailure | None:
        """Have one other entry serve a request; entries that decline it have not run it.

        Args:
            request: the request.
            service: the service that it goes to.
            request_id: id of the request, for logs.
            on_part: takes the parts of the response as they arrive.
            turn: is told of silences.

        Returns:
            None once the response is complete, or why it is not.
        """
        detail = "no other entry reaches the targets of the service"
        for _ in range(MAX_DECLINED):
            helper = self._reach.choose_helper(service)
            if helper is None:
                break
            declined, failure = await self._serve_at(helper.address, request, on_part, turn)
            outcome = "declined" if declined else "failed" if failure else "served"
            fields = {"request": request_id, "service": service, "to": helper.address}
            reason = declined or (failure.detail if failure else "")
            _LOG.info("passed on", extra={**fields, "outcome": outcome, "reason": reason})
            self._metrics.relayed.inc({"direction": "to", "outcome": outcome})
            if not declined:
                return failure
            detail = f"no other entry serves it: {declined}"
            self._reach.helpers.record_declined(helper.address, asyncio.get_running_loop().time())
        return RelayFailure(detail=detail, may_have_run=False)

    def close(self) -> None:
        """Close the connections to other entries."""
        for channel in self._channels.values():
            channel.retire()

    async def _serve_at(
        self, address: str, request: RelayedRequest, on_part: OnPart, turn: AttemptTurn
    ) -> tuple[str, RelayFailure | None]:
        """Return why an entry declined a request, or why its response is not complete."""
        self._reach.helpers.begin(address)
        channel = self._find_channel(address)

        def record_silent() -> None:
            self._retire_channel(address, channel)
            self._reach.helpers.record_declined(address, asyncio.get_running_loop().time())

        exchange = _Exchange(request, on_part, turn, record_silent)
        try:
            with channel.use() as connection:
                await exchange.run(connection)
        except CALL_ERRORS as error:
            if not exchange.is_complete:
                self._retire_channel(address, channel)
            exchange.fault = str(error) or type(error).__name__
        finally:
            self._reach.helpers.end(address)
        return exchange.find_result()

    def _find_channel(self, address: str) -> "_SharedChannel":
        if address not in self._channels:
            channel = open_channel(address, self._context, CONNECT_SECONDS)
            self._channels[address] = _SharedChannel(channel)
        return self._channels[address]

    def _retire_channel(self, address: str, channel: "_SharedChannel") -> None:
        """Use a connection that broke or fell silent for no further request."""
        if self._channels.get(address) is channel:
            del self._channels[address]
        channel.retire()


class _SharedChannel:
    """A connection to another entry; a retired one closes when its last request has ended."""

    def __init__(self, channel: Channel) -> None:
        self._channel: Final = channel
        self._users = 0
        self._is_retired = False

    @contextlib.contextmanager
    def use(self) -> Iterator[Channel]:
        """Use the connection for one request."""
        self._users += 1
        try:
            yield self._channel
        finally:
            self._users -= 1
            self._close_if_unused()

    def retire(self) -> None:
        """Close the connection once no request uses it."""
        self._is_retired = True
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self._is_retired and not self._users:
            self._channel.close()


class _Exchange:
    """One request at one other entry."""

    def __init__(
        self,
        request: RelayedRequest,
        on_part: OnPart,
        turn: AttemptTurn,
        on_silent: Callable[[], None],
    ) -> None:
        self._request: Final = request
        self._on_part: Final = on_part
        self._turn: Final = turn
        self._on_silent: Final = on_silent
        self._is_sent = False
        #: Whether the response is complete.
        self.is_complete = False
        self._declined = ""
        #: Why the exchange ended early, or an empty string.
        self.fault = ""

    async def run(self, channel: Channel) -> None:
        """Send the request and take the parts of its response."""
        async with RELAY.stream(channel).open() as stream:
            await stream.send_request()
            self._is_sent = True
            await stream.send_message(self._request.encode(), end=True)
            while True:
                with self._turn.expect(lambda: SILENCE_SECONDS, self._on_silent):
                    part = await stream.recv_message()
                if part is None:
                    return
                if part.declined or part.is_aborted:
                    self._declined = part.declined
                    self.fault = "the other entry aborted the response"
                elif part != RelayPart():
                    await self._on_part(part)
                    self.is_complete = part.is_last
                if part.is_last:
                    break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stream.recv_message(), END_SECONDS)
                return
            await stream.cancel()

    def find_result(self) -> tuple[str, RelayFailure | None]:
        """Return why the entry declined the request, or why the response is not complete."""
        if self.is_complete or self._declined:
            return self._declined, None
        if not self._is_sent:
            return f"it can't be reached: {self.fault}", None
        detail = f"the other entry was lost: {self.fault or 'the stream ended'}"
        return "", RelayFailure(detail=detail, may_have_run=True)
