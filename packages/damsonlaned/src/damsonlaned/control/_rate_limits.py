"""Rate limits of targets at control: told to all boxes, and shared among entries of pipelines.

Entries of routes choose an owner for each service among themselves.  Those of pipelines know no
list of each other, so the leader of the control group issues their permits.
"""

import asyncio
import logging
from collections.abc import Mapping
from typing import Final

from grpclib.const import Handler
from grpclib.server import Stream

from damsonlane.errors import NotLeaderError, UnavailableError
from damsonlane.ratelimit import (
    NoteRateLimits,
    PermitIssuer,
    RateLimitBook,
    RateWord,
    list_untold,
)
from damsonlane_rpc import PERMIT, NotLeader, PermitReply, PermitRequest, Permits
from damsonlaned.control._node import ControlNode
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds between commits of what is new: a target that names another limit with each answer
#: costs two commits a second, with all others together.
TELL_SECONDS: Final = 0.5
#: Age, in seconds, of what a leader that has just begun knows of limits: any box that has heard
#: a target knows better.
LISTED_AGE: Final = 3_600.0


class RateLimitService:
    """Takes what boxes heard, issues permits where this replica leads, and tells all boxes.

    Args:
        node: the control node.
    """

    def __init__(self, node: ControlNode) -> None:
        self._node: Final = node
        self._book = RateLimitBook()
        self._issuer = PermitIssuer(self._book)
        self._term = 0
        self._task: asyncio.Task[None] | None = None

    def handlers(self) -> Mapping[str, Handler]:
        """Return the calls that boxes make."""
        return {PERMIT.path: PERMIT.handler(self._serve)}

    def start(self) -> None:
        """Start telling all boxes."""
        self._task = start_task(self._tell_all(), "telling rate limits")

    async def stop(self) -> None:
        """Stop telling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _serve(self, stream: Stream[PermitRequest, PermitReply]) -> None:
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._take(request))

    def _take(self, request: PermitRequest) -> PermitReply:
        replica = self._node.replica
        if replica is None or not replica.is_leader:
            leader = replica.leader_address() if replica is not None else ""
            return PermitReply(outcome=NotLeader(leader=leader))
        self._begin_term(replica.term)
        now = self._node.now()
        for word in request.words:
            if self._book.note(word, now):
                # From now on a place comes free, whether or not somebody wants it yet.
                self._issuer.wait_seconds(word.named, 1.0, now)
        issued = (self._issuer.issue(request.service, order, 1.0, now) for order in request.orders)
        return PermitReply(outcome=Permits(permits=tuple(issued)))

    def _begin_term(self, term: int) -> None:
        """Start with what all boxes were told, where this replica leads anew.

        What the leader before it issued is not known here, so every bucket starts empty.
        """
        if term == self._term:
            return
        self._term = term
        self._book = RateLimitBook()
        self._issuer = PermitIssuer(self._book)
        for word in self._node.state.rate_limits.list_all().words:
            self._book.note(
                RateWord(named=word.named, rate=word.rate, age=LISTED_AGE), self._node.now()
            )

    async def _tell_all(self) -> None:
        while True:
            await asyncio.sleep(TELL_SECONDS)
            replica = self._node.replica
            if replica is None or not replica.is_leader or replica.term != self._term:
                continue
            told = self._node.state.rate_limits.list_all()
            words = list_untold(self._book, told, self._node.now())
            if words:
                await self._commit(words)

    async def _commit(self, words: tuple[RateWord, ...]) -> None:
        try:
            await self._node.submit([NoteRateLimits(words=words)])
        except (NotLeaderError, UnavailableError) as error:
            # What is still new is told at the next turn.
            _LOG.info("rate limits not told", extra={"fault": str(error)})
