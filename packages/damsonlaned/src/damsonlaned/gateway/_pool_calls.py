"""The calls to the targets of a stage pool: making pieces and giving results up."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Final, Self

from damsonlane.pools import WaitingPiece
from damsonlane.routes import PoolTraits
from damsonlaned.dialects import Dialect, MadePiece
from damsonlaned.gateway._makers import Maker
from damsonlaned.gateway._target_notices import TargetNotices
from damsonlaned.http import BrokenAnswerError, ConnectionPool, HttpHead, HttpRequest

#: Times the expected time of a call after which it is given up: targets may
#: turn several times slower without being lost.
CALL_PATIENCE: Final = 2.5
#: Seconds added to that, for a call that waits behind another box's.
CALL_SLACK_SECONDS: Final = 0.4
#: Seconds for which a connection may take.
CONNECT_SECONDS: Final = 0.25
#: Seconds for which a call that gives results up may take.
FREE_CALL_SECONDS: Final = 0.6


class TargetFullError(Exception):
    """The target's queue is full, by calls of another box."""


@dataclass(frozen=True, kw_only=True)
class BatchCall:
    """One call that makes pieces."""

    #: Where they are made.
    maker: Maker
    #: The pieces.
    batch: tuple[WaitingPiece, ...]
    #: Bytes of the results that it will leave there.
    announced: int
    #: Room for results before the call, as this box knew it.
    free_bytes: int
    #: Time that it should take.
    seconds: float
    #: Whether enough waited to fill it.
    is_crowded: bool = False

    @classmethod
    def plan(
        cls,
        maker: Maker,
        batch: tuple[WaitingPiece, ...],
        traits: PoolTraits,
        now: float,
        *,
        is_crowded: bool = False,
    ) -> Self:
        """Return the call that has a batch made by a target of a pool with some traits."""
        return cls(
            maker=maker,
            batch=batch,
            announced=sum(piece.order.result_bytes for piece in batch),
            free_bytes=maker.room.free_bytes(now),
            seconds=traits.call_seconds + len(batch) * traits.piece_seconds,
            is_crowded=is_crowded,
        )

    def count_away(self) -> int:
        """Return the pieces that run in another data centre than they should."""
        homes = [piece.order.home for piece in self.batch if piece.order.home]
        return sum(home != self.maker.data_centre for home in homes)


@dataclass(frozen=True, kw_only=True)
class _Answer:
    """A whole answer of a target."""

    #: Status and headers.
    head: HttpHead
    #: The body.
    body: bytes


class PoolCalls:
    """Calls targets of pools over given connections.

    Args:
        dialect: how they are spoken to.
        notices: what targets say of themselves.
    """

    def __init__(self, dialect: Dialect, notices: TargetNotices) -> None:
        self._dialect: Final = dialect
        self._notices: Final = notices

    async def make(
        self, connections: ConnectionPool, call: BatchCall, on_sent: Callable[[], None]
    ) -> tuple[MadePiece, ...]:
        """Return what became of each piece of a batch.

        Args:
            connections: connections to the target.
            call: the batch.
            on_sent: called once the whole call was sent.

        Raises:
            NotSentError: the call was not sent.
            TargetFullError: the target turned it away.
            BrokenAnswerError: it was sent and no proper answer came.
            BadRequestError: the answer can't be understood.
            TimeoutError: it took too long.
        """
        now = asyncio.get_running_loop().time()
        orders = [
            replace(piece.order, left_seconds=max(0.0, piece.due_at - now)) for piece in call.batch
        ]
        request = self._dialect.make_pool_call(call.maker.name, orders)
        async with asyncio.timeout(CALL_PATIENCE * call.seconds + CALL_SLACK_SECONDS):
            answer = await self._exchange(call.maker, connections, request, on_sent)
        if answer.head.status == 200:
            return self._dialect.read_pool_reply(answer.body, len(call.batch))
        if self._dialect.read_signs(answer.head).has_not_run:
            raise TargetFullError
        raise BrokenAnswerError(f"the pool target answered {answer.head.status}")

    async def free(self, maker: Maker, connections: ConnectionPool, handles: Sequence[str]) -> None:
        """Give results up, whatever the target answers.

        Args:
            maker: the target that has them.
            connections: connections to it.
            handles: the results.

        Raises:
            NotSentError: the call was not sent.
            BrokenAnswerError: it was sent and no answer came.
            TimeoutError: it took too long.
        """
        async with asyncio.timeout(FREE_CALL_SECONDS):
            request = self._dialect.make_free_call(handles)
            await self._exchange(maker, connections, request, is_work=False)

    async def _exchange(
        self,
        maker: Maker,
        connections: ConnectionPool,
        request: HttpRequest,
        on_sent: Callable[[], None] = lambda: None,
        *,
        is_work: bool = True,
    ) -> _Answer:
        """Send a request and read its answer to the end."""
        exchange = await connections.send(request, CONNECT_SECONDS)
        on_sent()
        try:
            head = await exchange.read_head()
            signs = self._dialect.read_signs(head)
            self._notices.take(maker.named, signs, is_work=is_work)
            body = await exchange.body.read_whole()
        finally:
            exchange.finish()
        return _Answer(head=head, body=body)
