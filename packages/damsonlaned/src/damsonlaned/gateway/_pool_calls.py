"""Calls to the targets of a stage pool: computing pieces and freeing results."""

import asyncio
import logging
import secrets
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial
from typing import Final, Self

from damsonlane.pools import WaitingPiece
from damsonlane.records import dataclass
from damsonlane.routes import PoolProperties
from damsonlaned.dialects import (
    BadRequestError,
    ComputedPiece,
    Dialect,
    ResponseSignals,
    ResultCountError,
)
from damsonlaned.gateway._pool_targets import PoolTarget
from damsonlaned.gateway._target_announcements import TargetAnnouncements
from damsonlaned.http import (
    ConnectionPool,
    HttpExchange,
    HttpHead,
    HttpRequest,
    IncompleteResponseError,
)

_LOG: Final = logging.getLogger(__name__)

#: Time after which a call is silent, as a multiple of its expected duration: a target may run
#: several times slower without having failed.
CALL_TIMEOUT_FACTOR: Final = 2.5
#: Seconds added to that time, for a call that queues behind another box's.
CALL_TIMEOUT_SLACK_SECONDS: Final = 0.4
#: Random bytes in the id of a call.
CALL_ID_BYTES: Final = 8
#: Handles of results that are remembered for each target.
MAX_KNOWN_HANDLES: Final = 256
#: Answers to other calls that are skipped on one connection.
MAX_SKIPPED_ANSWERS: Final = 3
#: Timeout for a connection, in seconds.
CONNECT_TIMEOUT_SECONDS: Final = 0.25
#: Timeout of a call that frees results, in seconds.
FREE_CALL_TIMEOUT_SECONDS: Final = 0.6


class TargetFullError(Exception):
    """The target rejected the call because calls of other boxes fill its queue."""


@dataclass(frozen=True, kw_only=True)
class BatchCall:
    """One call that computes a batch of pieces."""

    #: The target that computes them.
    target: PoolTarget
    #: The pieces.
    batch: tuple[WaitingPiece, ...]
    #: Bytes of result memory reserved for the results.
    reserved_bytes: int
    #: Free bytes of result memory before the call, as estimated by this box.
    free_bytes: int
    #: Expected duration in seconds.
    seconds: float
    #: Whether enough pieces waited to fill it.
    is_saturated: bool = False

    @classmethod
    def plan(
        cls,
        target: PoolTarget,
        batch: tuple[WaitingPiece, ...],
        properties: PoolProperties,
        now: float,
        *,
        is_saturated: bool = False,
    ) -> Self:
        """Return the call that computes a batch at a target."""
        return cls(
            target=target,
            batch=batch,
            reserved_bytes=sum(piece.order.result_bytes for piece in batch),
            free_bytes=target.result_memory.free_bytes(now),
            seconds=properties.call_seconds + len(batch) * properties.piece_seconds,
            is_saturated=is_saturated,
        )

    def count_remote(self) -> int:
        """Return the number of pieces that run outside their preferred data centre."""
        homes = [piece.order.home for piece in self.batch if piece.order.home]
        return sum(home != self.target.data_centre for home in homes)


@dataclass(frozen=True, kw_only=True)
class _Answer:
    """A complete answer of a target."""

    #: Status and headers.
    head: HttpHead
    #: The body.
    body: bytes


class PoolCalls:
    """Calls targets of a pool over given connections.

    Args:
        dialect: encodes and decodes the calls.
        announcements: processes the signals in the heads of answers.
    """

    def __init__(self, dialect: Dialect, announcements: TargetAnnouncements) -> None:
        self._dialect: Final = dialect
        self._announcements: Final = announcements
        #: Results of the last calls whose answers had no id: request, stage and piece by handle, by
        #: the name of the target.
        self._handles: Final[dict[str, dict[str, tuple[str, int, int]]]] = {}

    async def compute(
        self,
        connections: ConnectionPool,
        call: BatchCall,
        on_sent: Callable[[], None],
        on_silent: Callable[[asyncio.Timeout], None],
    ) -> tuple[ComputedPiece, ...]:
        """Compute a batch and return the outcome of each piece.

        A silent call is read on to the deadline of its last piece.

        Args:
            connections: connections to the target.
            call: the batch.
            on_sent: called once the complete call was sent.
            on_silent: called when no answer came in time, with the time-out that ends the call.

        Raises:
            NotSentError: the call was not sent.
            TargetFullError: the target rejected the call.
            IncompleteResponseError: the call was sent and no valid answer came.
            BadRequestError: the answer can't be decoded.
            TimeoutError: the call reached its deadline or was given up.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        orders = [
            replace(piece.order, left_seconds=max(0.0, piece.deadline_at - now))
            for piece in call.batch
        ]
        request = self._dialect.make_pool_call(call.target.name, orders)
        silent_at = now + CALL_TIMEOUT_FACTOR * call.seconds + CALL_TIMEOUT_SLACK_SECONDS
        deadline_at = max(piece.deadline_at for piece in call.batch)
        async with asyncio.timeout_at(max(silent_at, deadline_at)) as limit:
            timer = loop.call_at(silent_at, on_silent, limit)
            try:
                answer = await self._exchange(
                    call.target, connections, request, partial(self._check_results, call), on_sent
                )
            finally:
                timer.cancel()
        if answer.head.status == 200:
            return self._dialect.read_pool_reply(answer.body, len(call.batch))
        if self._dialect.read_signals(answer.head).has_not_run:
            raise TargetFullError
        raise IncompleteResponseError(f"the pool target answered {answer.head.status}")

    async def free(
        self, target: PoolTarget, connections: ConnectionPool, handles: Sequence[str]
    ) -> None:
        """Free results, ignoring the status of the answer.

        Args:
            target: the target that holds them.
            connections: connections to it.
            handles: handles of the results.

        Raises:
            NotSentError: the call was not sent.
            IncompleteResponseError: the call was sent and no answer came.
            TimeoutError: the call timed out.
        """
        async with asyncio.timeout(FREE_CALL_TIMEOUT_SECONDS):
            request = self._dialect.make_release_call(handles)
            await self._exchange(target, connections, request, self._check_freed, is_work=False)

    def _check_results(self, call: BatchCall, answer: _Answer, is_reused: bool) -> bool:
        """Check results without the id of their call, which may be those of an earlier one.

        Returns:
            Whether the connection may be kept: not if nothing tells a second answer from this one.

        Raises:
            IncompleteResponseError: they are not those of this call.
        """
        if answer.head.status != 200:
            return False
        try:
            computed = self._dialect.read_pool_reply(answer.body, len(call.batch))
        except BadRequestError as error:
            raise IncompleteResponseError(f"not the answer to the call: {error}") from None
        handles = {
            result.handle: (piece.order.request, piece.order.stage, piece.order.piece)
            for result, piece in zip(computed, call.batch, strict=True)
            if result.handle
        }
        known = self._handles.setdefault(call.target.name, {})
        if is_reused and any(known.get(handle, made) != made for handle, made in handles.items()):
            raise IncompleteResponseError("the results of an earlier call came again")
        known.update(handles)
        while len(known) > MAX_KNOWN_HANDLES:
            del known[next(iter(known))]
        return bool(handles)

    def _check_freed(self, answer: _Answer, _is_reused: bool) -> bool:
        """Return whether an answer without an id is no list of results, which came again."""
        try:
            self._dialect.read_pool_reply(answer.body, 0)
        except ResultCountError:
            return False
        except BadRequestError:
            return True
        return True

    async def _exchange(
        self,
        target: PoolTarget,
        connections: ConnectionPool,
        request: HttpRequest,
        check: Callable[[_Answer, bool], bool],
        on_sent: Callable[[], None] = lambda: None,
        *,
        is_work: bool = True,
    ) -> _Answer:
        """Send a request and return its complete answer.

        Args:
            target: the target.
            connections: connections to it.
            request: the request.
            check: is given an answer without an id, and whether its connection served other calls;
                returns whether the connection may be kept, or raises IncompleteResponseError.
            on_sent: called once the complete call was sent.
            is_work: whether the call computes pieces.
        """
        call_id = secrets.token_hex(CALL_ID_BYTES)
        request = self._dialect.add_request_id(request, call_id)
        exchange = await connections.send(request, CONNECT_TIMEOUT_SECONDS)
        on_sent()
        may_keep = False
        try:
            head, signals = await self._read_own_head(exchange, target, call_id)
            self._announcements.record(target.incarnation, signals, is_work=is_work)
            body = await exchange.body.read_all()
            answer = _Answer(head=head, body=body)
            may_keep = signals.request_id == call_id or check(answer, exchange.is_reused)
        finally:
            exchange.finish(may_keep=may_keep)
        return answer

    async def _read_own_head(
        self, exchange: HttpExchange, target: PoolTarget, call_id: str
    ) -> tuple[HttpHead, ResponseSignals]:
        """Return the head of the answer to a call; skip answers to other calls."""
        for _ in range(MAX_SKIPPED_ANSWERS + 1):
            head = await exchange.read_head()
            signals = self._dialect.read_signals(head)
            if signals.request_id == call_id:
                return head, signals
            if not signals.request_id:
                return head, signals
            _LOG.warning(
                "skipped the answer to another call",
                extra={"target": target.name, "call": call_id, "other": signals.request_id},
            )
            await exchange.skip_response()
        raise IncompleteResponseError("the target sent only answers to other calls")
