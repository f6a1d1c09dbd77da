"""The owner of one stage pool: fills batches with the pieces of all entries."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, replace
from typing import Final

from damsonlane.errors import DamsonlaneError
from damsonlane.pools import (
    Offer,
    PieceFault,
    PieceOrder,
    PieceQueue,
    PieceResult,
    ResultRoom,
    WaitingPiece,
)
from damsonlane.routes import PoolTraits, Service
from damsonlane.targets import TargetRecord
from damsonlaned.dialects import BadRequestError, Dialect, MadePiece
from damsonlaned.gateway._targets import Targets
from damsonlaned.gateway._view import FleetView
from damsonlaned.http import BrokenAnswerError, ConnectionPool, NotSentError
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Times the expected time of a call after which it is given up: targets may
#: turn several times slower without being lost.
CALL_PATIENCE: Final = 2.5
#: Seconds added to that, for a call that waits behind another box's.
CALL_SLACK_SECONDS: Final = 0.4
#: Seconds for which a connection may take.
CONNECT_SECONDS: Final = 0.25
#: Calls that one piece may be in before it is given up.
MOST_ATTEMPTS: Final = 3
#: Seconds for which a target is left alone after a failed call; doubled each time.
FIRST_REST_SECONDS: Final = 0.5
#: Longest rest.
LONGEST_REST_SECONDS: Final = 8.0
#: Times the expected time of a call from which on a target counts as slow.
SLOW_PACE: Final = 2.2
#: Seconds for which a slow target is left alone while others work at their usual pace.
SLOW_REST_SECONDS: Final = 2.0
#: Seconds for which a target that was full is left alone.
FULL_REST_SECONDS: Final = 0.15
#: Seconds over which results that were given up are collected into one call.
FREE_SECONDS: Final = 0.005
#: Seconds for which a call that gives results up may take.
FREE_CALL_SECONDS: Final = 0.6

#: Takes results back to the entry that ordered them.
Deliver = Callable[[Sequence[PieceResult]], None]


class _Maker:
    """One target of the pool; mutable, owned by the owner."""

    def __init__(self, record: TargetRecord, traits: PoolTraits) -> None:
        self.name = record.target
        self.address = record.address
        self.data_centre = record.data_centre
        self.room = ResultRoom(traits.room_bytes, traits.keep_seconds)
        self.is_busy = False
        #: When its call should end, while it is busy.
        self.free_at = 0.0
        self.rests_until = 0.0
        self.failures = 0

    def is_free(self, now: float) -> bool:
        """Tell whether it may be sent a call."""
        return not self.is_busy and self.works(now)

    def works(self, now: float) -> bool:
        """Tell whether it is not left alone after failures."""
        return now >= self.rests_until

    def note_pace(self, pace: float, now: float) -> None:
        """Note a call that took ``pace`` times as long as expected."""
        self.failures = 0
        if pace > SLOW_PACE:
            self.rests_until = now + SLOW_REST_SECONDS

    def note_failure(self, now: float) -> None:
        """Leave it alone for a while."""
        rest = min(LONGEST_REST_SECONDS, FIRST_REST_SECONDS * 2**self.failures)
        self.failures += 1
        self.rests_until = now + rest


@dataclass(frozen=True, kw_only=True)
class _Call:
    """One call to a maker."""

    maker: _Maker
    batch: tuple[WaitingPiece, ...]
    announced: int
    #: Room for results before the call, as this box knew it.
    free_bytes: int
    seconds: float


class PoolOwner:
    """Orders pieces of one service's targets.

    Each target works on one call at a time and this box sends it one at a
    time, so pieces that arrive meanwhile fill the next batch.

    Args:
        service: name of the service.
        view: where its targets stand.
        targets: connections to them.
        dialect: how they are spoken to.
    """

    def __init__(self, service: str, view: FleetView, targets: Targets, dialect: Dialect) -> None:
        self._service: Final = service
        self._view: Final = view
        self._targets: Final = targets
        self._dialect: Final = dialect
        self._queue: Final = PieceQueue()
        self._deliver: dict[str, Deliver] = {}
        self._makers: dict[str, _Maker] = {}
        self._freed: dict[str, list[str]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake: asyncio.TimerHandle | None = None
        view.on_change(self._follow_targets)
        self._follow_targets()

    # What entries ask.

    def attach(self, sender: str, deliver: Deliver) -> None:
        """Take orders of a sender from now on."""
        self._deliver[sender] = deliver

    def detach(self, sender: str) -> None:
        """Drop what a sender that is gone has waiting."""
        self._deliver.pop(sender, None)
        self._queue.withdraw_all(sender)

    def order(self, sender: str, orders: Sequence[PieceOrder]) -> None:
        """Queue pieces."""
        now = self._now()
        for order in orders:
            self._queue.add(
                WaitingPiece(
                    order=order,
                    sender=sender,
                    due_at=now + order.left_seconds,
                    aim_at=now + order.aim_left_seconds,
                )
            )
        self._pump()

    def withdraw(self, sender: str, numbers: Sequence[int]) -> None:
        """Drop pieces that nobody wants any more."""
        for number in numbers:
            self._queue.withdraw(sender, number)

    def free(self, handles: Sequence[str]) -> None:
        """Give results up at their makers."""
        for handle in handles:
            address = self._dialect.read_maker(handle)
            if not self._freed:
                asyncio.get_running_loop().call_later(FREE_SECONDS, self._send_freed)
            self._freed.setdefault(address, []).append(handle)

    # Sending calls.

    def _pump(self) -> None:
        """Start a call at every free maker for which there is work."""
        service = self._find_service()
        if service is None or service.pool is None:
            return
        now = self._now()
        if not any(maker.works(now) for maker in self._makers.values()):
            # All are slow or failing, so the fault is probably not theirs.
            for maker in self._makers.values():
                maker.rests_until = min(maker.rests_until, now + FULL_REST_SECONDS)
        free = [maker for maker in self._makers.values() if maker.is_free(now)]
        for maker in sorted(free, key=lambda maker: (maker.failures, maker.name)):
            if not len(self._queue):
                return
            call = self._select(maker, service.pool, now)
            if call is not None:
                self._start(self._run(call, service))
        if len(self._queue):
            self._wake_later(now)

    def _select(self, maker: _Maker, traits: PoolTraits, now: float) -> _Call | None:
        selection = self._queue.select(now, self._make_offer(maker, traits, now))
        for piece in selection.late:
            self._answer(piece, fault="late")
        if not selection.batch:
            return None
        announced = sum(piece.order.result_bytes for piece in selection.batch)
        free_bytes = maker.room.free_bytes(now)
        maker.room.announce(announced)
        maker.is_busy = True
        seconds = traits.call_seconds + len(selection.batch) * traits.piece_seconds
        maker.free_at = now + seconds
        return _Call(
            maker=maker,
            batch=selection.batch,
            announced=announced,
            free_bytes=free_bytes,
            seconds=seconds,
        )

    def _make_offer(self, maker: _Maker, traits: PoolTraits, now: float) -> Offer:
        working = [other for other in self._makers.values() if other.works(now)]
        return Offer(
            data_centre=maker.data_centre,
            room=maker.room.free_bytes(now),
            free_in=_find_free(working, now),
            targets=len(working),
            batch=traits.batch,
            call_seconds=traits.call_seconds,
            piece_seconds=traits.piece_seconds,
        )

    def _forecast(self) -> float:
        """Return the seconds that a piece which came now would wait for its turn."""
        service = self._find_service()
        if service is None or service.pool is None or not self._makers:
            return 0.0
        maker = next(iter(self._makers.values()))
        return self._queue.forecast(self._make_offer(maker, service.pool, self._now()))

    async def _run(self, call: _Call, service: Service) -> None:
        maker = call.maker
        began_at = self._now()
        made: dict[str, int] = {}
        try:
            pool = self._targets.pool(service, maker.name, maker.address)
            replies = await self._exchange(pool, call)
            made = self._settle(call, replies)
            maker.note_pace((self._now() - began_at) / call.seconds, self._now())
        except NotSentError as error:
            self._note_failed(call, str(error), has_run=False)
        except (BrokenAnswerError, BadRequestError, TimeoutError) as error:
            self._note_failed(call, str(error) or "no answer in time", has_run=True)
        except _FullError:
            maker.rests_until = self._now() + FULL_REST_SECONDS
            self._requeue(call.batch, has_run=False)
        finally:
            maker.is_busy = False
            maker.room.settle(call.announced, made, self._now())
        _LOG.info(
            "batch ended",
            extra={
                "service": self._service,
                "target": maker.name,
                "pieces": len(call.batch),
                "made": len(made),
                "announced_bytes": call.announced,
                "free_bytes": call.free_bytes,
                "expected_seconds": round(call.seconds, 3),
                "seconds": round(self._now() - began_at, 3),
                "waiting": len(self._queue),
            },
        )
        self._pump()

    async def _exchange(self, pool: ConnectionPool, call: _Call) -> tuple[MadePiece, ...]:
        now = self._now()
        orders = [
            replace(piece.order, left_seconds=max(0.0, piece.due_at - now)) for piece in call.batch
        ]
        request = self._dialect.make_pool_call(call.maker.name, orders)
        async with asyncio.timeout(CALL_PATIENCE * call.seconds + CALL_SLACK_SECONDS):
            exchange = await pool.send(request, CONNECT_SECONDS)
            try:
                head = await exchange.read_head()
                body = await exchange.body.read_whole()
            finally:
                exchange.finish()
        if head.status == 200:
            return self._dialect.read_pool_reply(body, len(call.batch))
        if self._dialect.read_signs(head).has_not_run:
            raise _FullError
        raise BrokenAnswerError(f"the pool target answered {head.status}")

    def _settle(self, call: _Call, replies: Sequence[MadePiece]) -> dict[str, int]:
        """Hand out what a call made; return the sizes of the results by handle."""
        made: dict[str, int] = {}
        retried: list[WaitingPiece] = []
        for piece, reply in zip(call.batch, replies, strict=True):
            if reply.handle:
                made[reply.handle] = piece.order.result_bytes
                self._answer(piece, handle=reply.handle)
            elif reply.fault == "late":
                self._answer(piece, fault="late")
            elif reply.fault == "lost-input":
                self._answer(piece, fault="lost-input")
            else:
                retried.append(piece)
                if reply.fault == "no-room":
                    call.maker.room.note_full(self._now())
        self._requeue(retried, has_run=True)
        return made

    def _note_failed(self, call: _Call, fault: str, *, has_run: bool) -> None:
        call.maker.note_failure(self._now())
        _LOG.warning(
            "batch failed",
            extra={"service": self._service, "target": call.maker.name, "fault": fault},
        )
        self._requeue(call.batch, has_run=has_run)

    def _requeue(self, pieces: Sequence[WaitingPiece], *, has_run: bool) -> None:
        for piece in pieces:
            attempts = piece.attempts + (1 if has_run else 0)
            if attempts >= MOST_ATTEMPTS or piece.sender not in self._deliver:
                self._answer(piece, fault="failed")
            else:
                self._queue.add(replace(piece, attempts=attempts))

    def _answer(
        self, piece: WaitingPiece, *, handle: str = "", fault: PieceFault | None = None
    ) -> None:
        deliver = self._deliver.get(piece.sender)
        if deliver is not None:
            result = PieceResult(
                number=piece.order.number,
                handle=handle,
                fault=fault,
                wait_seconds=round(self._forecast(), 3),
            )
            deliver((result,))
        elif handle:
            self.free((handle,))

    # Results that were given up.

    def _send_freed(self) -> None:
        freed, self._freed = self._freed, {}
        service = self._find_service()
        for maker in self._makers.values():
            handles = freed.get(maker.address)
            if handles and service is not None:
                pool = self._targets.pool(service, maker.name, maker.address)
                self._start(self._free_at(maker, pool, handles))

    async def _free_at(self, maker: _Maker, pool: ConnectionPool, handles: Sequence[str]) -> None:
        try:
            async with asyncio.timeout(FREE_CALL_SECONDS):
                exchange = await pool.send(self._dialect.make_free_call(handles), CONNECT_SECONDS)
                try:
                    await exchange.read_head()
                    await exchange.body.read_whole()
                finally:
                    exchange.finish()
        except (DamsonlaneError, TimeoutError) as error:
            # The target forgets results by itself a few seconds later.
            _LOG.info("results not freed", extra={"fault": str(error), "count": len(handles)})
            return
        # Only now is the room there: a call that came before would be refused it.
        for handle in handles:
            maker.room.free(handle)
        self._pump()

    # Targets.

    def _follow_targets(self) -> None:
        service = self._find_service()
        if service is None or service.pool is None:
            return
        present = {
            record.target: record
            for record in self._view.targets_of(self._service)
            if record.standing != "leaving"
        }
        for gone in set(self._makers) - set(present):
            del self._makers[gone]
        for name, record in present.items():
            if name not in self._makers:
                self._makers[name] = _Maker(record, service.pool)
        self._pump()

    def _find_service(self) -> Service | None:
        table = self._view.table
        return table.service(self._service) if table is not None else None

    def _wake_later(self, now: float) -> None:
        """Look again when a resting target is due; the end of a call looks by itself."""
        resting = [maker.rests_until for maker in self._makers.values() if maker.rests_until > now]
        waits = [*(until - now for until in resting), FULL_REST_SECONDS]
        if self._wake is None or self._wake.cancelled() or self._wake.when() <= now:
            loop = asyncio.get_running_loop()
            self._wake = loop.call_later(min(waits), self._pump)

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = start_task(work, "call to a pool target")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _find_free(makers: Sequence[_Maker], now: float) -> dict[str, float]:
    """Return for each data centre the seconds until one of its makers is free."""
    free: dict[str, float] = {}
    for maker in makers:
        wait = max(0.0, maker.free_at - now) if maker.is_busy else 0.0
        free[maker.data_centre] = min(free.get(maker.data_centre, wait), wait)
    return free


class _FullError(Exception):
    """The target's queue is full, by calls of another box."""
