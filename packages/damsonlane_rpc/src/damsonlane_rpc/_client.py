"""A client of the control group that finds the leader by itself."""

import asyncio
import random
import ssl
from collections.abc import Sequence
from typing import Final, TypeVar

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from damsonlane.cluster import Command, Reply
from damsonlane.errors import UnavailableError
from damsonlane_rpc._addresses import Endpoint
from damsonlane_rpc._codec import DataclassCodec
from damsonlane_rpc._messages import (
    Forbidden,
    GroupReply,
    NotLeader,
    QueryReply,
    QueryRequest,
    StatusReply,
    StatusRequest,
    SubmitReply,
    SubmitRequest,
    Submitted,
    Unconfirmed,
)
from damsonlane_rpc._methods import QUERY, STATUS, SUBMIT, Method

#: Seconds after which an unanswered call is tried at another replica.
ATTEMPT_SECONDS: Final = 2.0
#: Seconds between rounds over all replicas.
ROUND_PAUSE: Final = 0.1
#: Name of the metadata field that carries an operator's token.
TOKEN_FIELD: Final = "damsonlane-token"

#: What a broken call raises.
CALL_FAULTS: Final = (GRPCError, StreamTerminatedError, OSError, asyncio.TimeoutError)

Request = TypeVar("Request")
Answer = TypeVar("Answer", SubmitReply, QueryReply, GroupReply)


class ForbiddenError(UnavailableError):
    """Control refused the operator's token."""


def open_channel(address: str, context: ssl.SSLContext | None) -> Channel:
    """Return a channel to a process; it connects when first used."""
    endpoint = Endpoint.parse(address)
    return Channel(endpoint.host, endpoint.port, ssl=context, codec=DataclassCodec())


class ControlClient:
    """Calls the leader of the control group.

    Every command carries an identity of its own, so sending one again after
    a lost answer is safe.

    Args:
        addresses: internal addresses of the replicas.
        context: TLS context, or None for calls in the clear.
        token: operator's token, or empty.
    """

    def __init__(
        self, addresses: Sequence[str], *, context: ssl.SSLContext | None = None, token: str = ""
    ) -> None:
        self._addresses = list(addresses)
        self._context = context
        self._metadata = {TOKEN_FIELD: token} if token else {}
        self._channels: dict[str, Channel] = {}
        self._leader = ""

    async def submit(self, commands: Sequence[Command], seconds: float) -> tuple[Reply, ...]:
        """Commit commands and return their replies.

        Raises:
            UnavailableError: not confirmed in time; the outcome is unknown.
            ForbiddenError: the operator may not do this.
        """
        request = SubmitRequest(commands=tuple(commands))
        outcome = (await self._call_leader(SUBMIT, request, seconds)).outcome
        if isinstance(outcome, Submitted):
            return outcome.replies
        raise UnavailableError("control could not confirm the commands in time")

    async def query(self, request: QueryRequest, seconds: float) -> QueryReply:
        """Return a current reply.

        Raises:
            UnavailableError: no leader confirmed one in time.
            ForbiddenError: the operator may not read.
        """
        return await self._call_leader(QUERY, request, seconds)

    async def change_group(
        self, method: Method[Request, GroupReply], request: Request, seconds: float
    ) -> GroupReply:
        """Ask the leader for a change of the group."""
        return await self._call_leader(method, request, seconds)

    async def status(self, address: str, seconds: float) -> StatusReply:
        """Return the status of one replica.

        Raises:
            UnavailableError: it did not answer in time.
        """
        try:
            return await STATUS.unary(self.channel(address))(StatusRequest(), timeout=seconds)
        except CALL_FAULTS as error:
            raise UnavailableError(f"{address} does not answer: {error}") from None

    def channel(self, address: str) -> Channel:
        """Return the channel to an address, opened once."""
        if address not in self._channels:
            self._channels[address] = open_channel(address, self._context)
        return self._channels[address]

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def _call_leader(
        self, method: Method[Request, Answer], request: Request, seconds: float
    ) -> Answer:
        loop = asyncio.get_running_loop()
        due = loop.time() + seconds
        fault = "no control address is known"
        while loop.time() < due:
            for address in self._order():
                remaining = due - loop.time()
                if remaining <= 0:
                    break
                try:
                    reply = await self._call_one(method, address, request, remaining)
                except CALL_FAULTS as error:
                    fault = f"{address}: {error or type(error).__name__}"
                    self._forget(address)
                    continue
                outcome = reply.outcome
                if isinstance(outcome, Forbidden):
                    raise ForbiddenError(outcome.detail)
                if not isinstance(outcome, NotLeader | Unconfirmed):
                    self._leader = address
                    return reply
                fault = f"{address}: {outcome.kind}"
                self._leader = outcome.leader if isinstance(outcome, NotLeader) else ""
                if self._leader:
                    break
            await asyncio.sleep(min(ROUND_PAUSE, max(0.0, due - loop.time())))
        raise UnavailableError(f"control could not confirm an answer in time; last: {fault}")

    async def _call_one(
        self, method: Method[Request, Answer], address: str, request: Request, remaining: float
    ) -> Answer:
        call = method.unary(self.channel(address))
        timeout = min(remaining, ATTEMPT_SECONDS)
        return await call(request, timeout=timeout, metadata=self._metadata)

    def _order(self) -> list[str]:
        """Return the replicas to try: the leader as far as known, then the rest in any order."""
        others = [address for address in self._addresses if address != self._leader]
        random.shuffle(others)
        return [self._leader, *others] if self._leader else others

    def _forget(self, address: str) -> None:
        if self._leader == address:
            self._leader = ""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()
