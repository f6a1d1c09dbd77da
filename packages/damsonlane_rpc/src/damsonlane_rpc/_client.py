"""A client of the control group that finds the leader."""

from __future__ import annotations

import asyncio
import random
import socket
import ssl
from collections.abc import Sequence
from typing import TYPE_CHECKING, Final, TypeVar

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.protocol import H2Protocol
from h2.exceptions import StreamClosedError

from damsonlane.errors import UnavailableError
from damsonlane_rpc._addresses import Endpoint
from damsonlane_rpc._codec import DataclassCodec

if TYPE_CHECKING:
    from damsonlane.cluster import Command, Reply
    from damsonlane.ratelimit import Permit
    from damsonlane_rpc._fleet_messages import HeartbeatReportReply
    from damsonlane_rpc._messages import (
        GroupReply,
        QueryReply,
        QueryRequest,
        StatusReply,
        SubmitReply,
    )
    from damsonlane_rpc._methods import Method
    from damsonlane_rpc._permit_messages import PermitBatchReply, PermitBatchRequest
    from damsonlane_rpc._version_messages import VersionsReply, VersionsView

#: Seconds after which an unanswered call is retried at another replica.
ATTEMPT_SECONDS: Final = 2.0
#: Most replica addresses that a client remembers; a group has 3 to 7 replicas.
MAX_ADDRESSES: Final = 12
#: Seconds between two rounds over all replicas.
ROUND_PAUSE_SECONDS: Final = 0.1
#: Key of the gRPC metadata that carries an operator's token.
TOKEN_METADATA_KEY: Final = "damsonlane-token"

#: What a failed call raises.  The library raises `ProtocolError` for a stream that we leave
#: before its end, and `StreamClosedError` for one that the peer closed.
CALL_ERRORS: Final = (
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    StreamClosedError,
    OSError,
    asyncio.TimeoutError,
)

Request = TypeVar("Request")
Answer = TypeVar(
    "Answer",
    "SubmitReply",
    "QueryReply",
    "GroupReply",
    "HeartbeatReportReply",
    "PermitBatchReply",
    "VersionsReply",
)


class ForbiddenError(UnavailableError):
    """Control refused the operator's token."""


#: Connect time-out, in seconds; a round trip between boxes takes some milliseconds.
CONNECT_SECONDS: Final = 0.5
#: Milliseconds for which sent bytes may stay unacknowledged before the connection is closed.
UNACKNOWLEDGED_TIMEOUT_MS: Final = 1_500


class _FailFastChannel(Channel):
    """A channel that detects an unreachable box within seconds.

    Without these time-outs, a connection to a box that is cut off from the network hangs for
    minutes.
    """

    #: Connect time-out, in seconds.
    connect_seconds = CONNECT_SECONDS

    async def _create_connection(self) -> H2Protocol:
        protocol = await asyncio.wait_for(super()._create_connection(), self.connect_seconds)
        if protocol.connection.is_closing():
            raise ConnectionResetError("the other side closed the connection at once")
        transport = protocol.connection._transport
        connection = transport.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
            )
        return protocol


def open_channel(
    address: str, context: ssl.SSLContext | None, connect_seconds: float = CONNECT_SECONDS
) -> Channel:
    """Return a channel to a process; it connects when it is first used.

    Args:
        address: internal address of the process.
        context: TLS context, or None for plaintext.
        connect_seconds: connect time-out, in seconds.
    """
    endpoint = Endpoint.parse(address)
    channel = _FailFastChannel(endpoint.host, endpoint.port, ssl=context, codec=DataclassCodec())
    channel.connect_seconds = connect_seconds
    return channel


class ControlClient:
    """Calls the leader of the control group.

    The messages of a call are imported with the first call: a gateway calls control rarely.

    Every command carries a unique id, so it is safe to retry one whose reply was lost.

    Args:
        addresses: internal addresses of the replicas.
        context: TLS context, or None for plaintext.
        token: operator's token, or empty.
        connect_seconds: connect time-out, in seconds.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        *,
        context: ssl.SSLContext | None = None,
        token: str = "",
        connect_seconds: float = CONNECT_SECONDS,
    ) -> None:
        self._connect_seconds = connect_seconds
        self._addresses = list(addresses)
        self._context = context
        self._metadata = {TOKEN_METADATA_KEY: token} if token else {}
        self._channels: dict[str, Channel] = {}
        self._leader = ""

    def update_addresses(self, addresses: Sequence[str]) -> None:
        """Prefer these addresses of replicas; keep the ones known before as a fallback."""
        fallback = [address for address in self._addresses if address not in addresses]
        self._addresses = [*addresses, *fallback][:MAX_ADDRESSES]

    async def submit(
        self,
        commands: Sequence[Command],
        seconds: float,
        *,
        attempt_seconds: float = ATTEMPT_SECONDS,
    ) -> tuple[Reply, ...]:
        """Commit commands and return their replies, in order.

        Args:
            commands: the commands, committed together.
            seconds: time-out of the whole operation, in seconds.
            attempt_seconds: time-out of one attempt, in seconds.

        Raises:
            UnavailableError: not confirmed in time; the outcome is unknown.
            ForbiddenError: the operator may not submit these commands.
        """
        from damsonlane_rpc._messages import SUBMIT, Committed, SubmitRequest

        request = SubmitRequest(commands=tuple(commands))
        outcome = (await self._call_leader(SUBMIT, request, seconds, attempt_seconds)).outcome
        if isinstance(outcome, Committed):
            return outcome.replies
        raise UnavailableError("control could not confirm the commands in time")

    async def query(
        self, request: QueryRequest, seconds: float, *, attempt_seconds: float = ATTEMPT_SECONDS
    ) -> QueryReply:
        """Return the leader's current reply to a query.

        Args:
            request: the query.
            seconds: time-out of the whole operation, in seconds.
            attempt_seconds: time-out of one attempt, in seconds.

        Raises:
            UnavailableError: no leader confirmed a reply in time.
            ForbiddenError: the operator may not read.
        """
        from damsonlane_rpc._messages import QUERY

        return await self._call_leader(QUERY, request, seconds, attempt_seconds)

    async def report_heartbeats(self, targets: Sequence[str], seconds: float) -> None:
        """Report to the leader which targets sent heartbeats to this box.

        Raises:
            UnavailableError: no leader accepted the report in time.
        """
        from damsonlane_rpc._fleet_messages import REPORT_HEARTBEATS, HeartbeatReport

        request = HeartbeatReport(targets=tuple(targets))
        await self._call_leader(REPORT_HEARTBEATS, request, seconds, ATTEMPT_SECONDS)

    async def request_permits(
        self, request: PermitBatchRequest, seconds: float
    ) -> tuple[Permit, ...]:
        """Report announced rate limits to the leader and return the permits that it issues.

        Raises:
            UnavailableError: no leader answered in time.
        """
        from damsonlane_rpc._permit_messages import PERMIT, Permits

        reply = await self._call_leader(PERMIT, request, seconds, seconds)
        return reply.outcome.permits if isinstance(reply.outcome, Permits) else ()

    async def read_versions(self, seconds: float, *, attempt_seconds: float) -> VersionsView:
        """Return the leader's current software versions of targets.

        Args:
            seconds: time-out of the whole operation, in seconds.
            attempt_seconds: time-out of one attempt, in seconds.

        Raises:
            UnavailableError: no leader confirmed a reply in time.
        """
        from damsonlane_rpc._version_messages import READ_VERSIONS, VersionsQuery, VersionsView

        reply = await self._call_leader(READ_VERSIONS, VersionsQuery(), seconds, attempt_seconds)
        if isinstance(reply.outcome, VersionsView):
            return reply.outcome
        raise UnavailableError("control could not confirm the versions in time")

    async def change_group(
        self, method: Method[Request, GroupReply], request: Request, seconds: float
    ) -> GroupReply:
        """Ask the leader to change the members of the group."""
        return await self._call_leader(method, request, seconds, ATTEMPT_SECONDS)

    async def status(self, address: str, seconds: float) -> StatusReply:
        """Return the status of one replica.

        Raises:
            UnavailableError: the replica did not answer in time.
        """
        from damsonlane_rpc._messages import STATUS, StatusRequest

        try:
            return await STATUS.unary(self.channel(address))(StatusRequest(), timeout=seconds)
        except CALL_ERRORS as error:
            raise UnavailableError(f"{address} does not answer: {error}") from None

    def channel(self, address: str) -> Channel:
        """Return the channel to an address, opening it on first use."""
        if address not in self._channels:
            self._channels[address] = open_channel(address, self._context, self._connect_seconds)
        return self._channels[address]

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def _call_leader(
        self,
        method: Method[Request, Answer],
        request: Request,
        seconds: float,
        attempt_seconds: float,
    ) -> Answer:
        from damsonlane_rpc._outcomes import Forbidden, NotLeader, Unconfirmed

        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        last_error = "no control address is known"
        while loop.time() < deadline:
            for address in self._list_candidates():
                remaining = deadline - loop.time()
                if remaining <= 0:
                    break
                try:
                    timeout = min(remaining, attempt_seconds)
                    reply = await self._call_one(method, address, request, timeout)
                except CALL_ERRORS as error:
                    last_error = f"{address}: {error or type(error).__name__}"
                    self._drop_channel(address)
                    continue
                outcome = reply.outcome
                if isinstance(outcome, Forbidden):
                    raise ForbiddenError(outcome.detail)
                if not isinstance(outcome, NotLeader | Unconfirmed):
                    self._leader = address
                    return reply
                last_error = f"{address}: {outcome.kind}"
                self._leader = outcome.leader if isinstance(outcome, NotLeader) else ""
                if self._leader:
                    break
            await asyncio.sleep(min(ROUND_PAUSE_SECONDS, max(0.0, deadline - loop.time())))
        raise UnavailableError(f"control could not confirm an answer in time; last: {last_error}")

    async def _call_one(
        self, method: Method[Request, Answer], address: str, request: Request, timeout: float
    ) -> Answer:
        call = method.unary(self.channel(address))
        return await call(request, timeout=timeout, metadata=self._metadata)

    def _list_candidates(self) -> list[str]:
        """Return the replicas to try: the presumed leader, then the others in random order."""
        others = [address for address in self._addresses if address != self._leader]
        random.shuffle(others)
        return [self._leader, *others] if self._leader else others

    def _drop_channel(self, address: str) -> None:
        """Close the channel to an address, which is no longer presumed to be the leader's."""
        if self._leader == address:
            self._leader = ""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()
