"""Tells other boxes of the origins of streams, and asks them."""

import asyncio
import logging
import ssl
from collections.abc import Sequence
from typing import Final

from grpclib.client import Channel

from damsonlane.records import dataclass
from damsonlane.versions import HolderRanking, StreamOrigin
from damsonlane_rpc import (
    CALL_ERRORS,
    FIND_ORIGIN,
    RECORD_ORIGINS,
    OriginBatch,
    OriginQuery,
    open_channel,
)
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Other boxes that are told of each stream: at least half of the origins survive when all boxes of
#: eight but one are killed at once.
COPIES: Final = 4
#: Positions of boxes that are told instead, in the order of a stream, if some can't be reached.
MAX_POSITION: Final = 12
#: Boxes that are asked first: the copies, and others in case the lists of boxes differ.
FIRST_ASKED: Final = 6
#: Rounds of questions; the later ones go to all holders.
ROUNDS: Final = 2
#: Seconds between them: the message about a stream that has just begun may still be under way.
ROUND_PAUSE_SECONDS: Final = 0.03
#: Time-outs of both calls and of a connection, in seconds; boxes are a few milliseconds apart.
TELL_SECONDS: Final = 0.5
ASK_SECONDS: Final = 0.12
CONNECT_SECONDS: Final = 0.2


@dataclass(frozen=True, kw_only=True)
class _Tell:
    """An origin to send to a box."""

    origin: StreamOrigin
    #: Position of the box among the holders of the origin.
    position: int


class OriginClient:
    """Tells and asks the boxes that hold origins.

    Args:
        ranking: ranks these boxes for each stream.
        context: TLS context towards other boxes, or None.
    """

    def __init__(self, ranking: HolderRanking, context: ssl.SSLContext | None) -> None:
        self._ranking: Final = ranking
        self._context: Final = context
        self._channels: dict[str, Channel] = {}
        self._outgoing: dict[str, list[_Tell]] = {}
        self._senders: dict[str, asyncio.Task[None]] = {}

    def tell(self, origin: StreamOrigin) -> None:
        """Send an origin to its holders without waiting for them."""
        holders = self._ranking.rank(origin.attempt)
        for position in range(min(COPIES, len(holders))):
            self._send_to(holders[position], _Tell(origin=origin, position=position))

    async def find(self, attempt: str, *, is_needed: bool = True) -> StreamOrigin | None:
        """Return the origin of a stream; None if no box that answers knows it.

        Args:
            attempt: id of the caller's attempt that brought its first event.
            is_needed: whether all holders are asked if the first ones don't know it.
        """
        holders = self._ranking.rank(attempt)
        for number in range(ROUNDS if is_needed else 1):
            if number:
                await asyncio.sleep(ROUND_PAUSE_SECONDS)
            origin = await self._ask(holders if number else holders[:FIRST_ASKED], attempt)
            if origin is not None:
                return origin
        return None

    async def stop(self) -> None:
        """Stop sending and close the connections."""
        senders = list(self._senders.values())
        for task in senders:
            task.cancel()
        await asyncio.gather(*senders, return_exceptions=True)
        for channel in self._channels.values():
            channel.close()

    async def _ask(self, holders: Sequence[str], attempt: str) -> StreamOrigin | None:
        """Ask boxes at the same time; return the first origin that one of them knows."""
        tasks = [asyncio.create_task(self._ask_one(holder, attempt)) for holder in holders]
        try:
            for earliest in asyncio.as_completed(tasks):
                if (origin := await earliest) is not None:
                    return origin
            return None
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _ask_one(self, holder: str, attempt: str) -> StreamOrigin | None:
        channel = self._find_channel(holder)
        try:
            async with asyncio.timeout(ASK_SECONDS):
                reply = await FIND_ORIGIN.unary(channel)(OriginQuery(attempt=attempt))
        except CALL_ERRORS as error:
            fields = {"to": holder, "attempt": attempt, "fault": _describe(error)}
            _LOG.info("question for an origin failed", extra=fields)
            self._drop_channel(holder, channel)
            return None
        return reply.origin

    def _send_to(self, holder: str, tell: _Tell) -> None:
        self._outgoing.setdefault(holder, []).append(tell)
        if holder not in self._senders:
            sender = start_task(self._send(holder), "telling origins")
            self._senders[holder] = sender
            sender.add_done_callback(lambda _: self._senders.pop(holder, None))

    async def _send(self, holder: str) -> None:
        """Send what is queued for a box; what is queued meanwhile goes into the next message."""
        while tells := self._outgoing.pop(holder, []):
            channel = self._find_channel(holder)
            batch = OriginBatch(origins=tuple(tell.origin for tell in tells))
            try:
                async with asyncio.timeout(TELL_SECONDS):
                    await RECORD_ORIGINS.unary(channel)(batch)
            except CALL_ERRORS as error:
                fields = {"to": holder, "count": len(tells), "fault": _describe(error)}
                _LOG.info("origins not told", extra=fields)
                self._drop_channel(holder, channel)
                for tell in tells:
                    self._tell_next(tell)

    def _tell_next(self, tell: _Tell) -> None:
        """Send an origin to a holder further down, in place of one that did not take it."""
        position = tell.position + COPIES
        holders = self._ranking.rank(tell.origin.attempt)
        if position < min(MAX_POSITION, len(holders)):
            self._send_to(holders[position], _Tell(origin=tell.origin, position=position))

    def _find_channel(self, address: str) -> Channel:
        if address not in self._channels:
            self._channels[address] = open_channel(address, self._context, CONNECT_SECONDS)
        return self._channels[address]

    def _drop_channel(self, address: str, channel: Channel) -> None:
        """Close a connection that failed, unless another one has replaced it."""
        if self._channels.get(address) is channel:
            del self._channels[address]
        channel.close()


def _describe(error: BaseException) -> str:
    return str(error) or type(error).__name__
