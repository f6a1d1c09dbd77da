"""The owner of one stage pool: fills batches with the pieces of all entries."""

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import replace
from functools import partial
from typing import Final

from damsonlane.coldness import ColdGate
from damsonlane.pools import PieceOrder, PieceQueue, WaitingPiece
from damsonlane.quarantine import BrokenRun
from damsonlane.routes import PoolTraits, Service
from damsonlaned.dialects import BadRequestError, Dialect, MadePiece
from damsonlaned.gateway._ended_targets import EndedTargets
from damsonlaned.gateway._free_calls import FreeCalls
from damsonlaned.gateway._makers import Maker, Makers
from damsonlaned.gateway._order_receivers import OrderReceiver, OrderReceivers
from damsonlaned.gateway._piece_answers import PieceAnswers
from damsonlaned.gateway._pool_calls import BatchCall, PoolCalls, TargetFullError
from damsonlaned.gateway._pool_metrics import PoolMetrics
from damsonlaned.gateway._rate_limits import ServiceLimits
from damsonlaned.gateway._read_timer import ReadTimer
from damsonlaned.gateway._targets import Targets
from damsonlaned.gateway._view import FleetView
from damsonlaned.gateway._wait_forecasts import WaitForecasts
from damsonlaned.http import BrokenAnswerError, ConnectionPool, NotSentError
from damsonlaned.quarantine import LostTarget, Quarantine
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Calls that one piece may be in before it is given up.
MOST_ATTEMPTS: Final = 3


class PoolOwner:
    """Orders pieces of one service's targets.

    Each target works on one call at a time and this box sends it one at a
    time, so pieces that arrive meanwhile fill the next batch.

    Args:
        service: name of the service.
        view: where its targets stand.
        targets: connections to them.
        dialect: how they are spoken to.
        metrics: counts what becomes of pieces and calls.
        ended: finds out which targets have ended.
        quarantine: keeps requests that end targets from them.
    """

    def __init__(
        self,
        service: str,
        view: FleetView,
        targets: Targets,
        dialect: Dialect,
        metrics: PoolMetrics,
        ended: EndedTargets,
        quarantine: Quarantine,
    ) -> None:
        self._ended: Final = ended
        self._quarantine: Final = quarantine
        self._service: Final = service
        self._view: Final = view
        self._targets: Final = targets
        self._metrics: Final = metrics
        self._calls: Final = PoolCalls(dialect, view.notices)
        self._queue: Final = PieceQueue()
        self._receivers: Final = OrderReceivers()
        self._makers: Final = Makers(view.notices.seconds_left, ServiceLimits(view.limits, service))
        self._free_calls: Final = FreeCalls(
            dialect.read_maker, self._calls, self._makers, self._reach, self._pump
        )
        self._answers: Final = PieceAnswers(
            self._receivers, WaitForecasts(self._reckon_wait), metrics, self.free
        )
        self._gate: Final = ColdGate()
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake: asyncio.TimerHandle | None = None
        view.on_change(self._follow_targets)
        self._follow_targets()

    # What entries ask.

    def attach(self, sender: str, receiver: OrderReceiver) -> None:
        """Take orders of a sender from now on."""
        self._receivers.attach(sender, receiver)

    def detach(self, sender: str) -> None:
        """Drop what a sender that is gone has waiting."""
        self._receivers.detach(sender)
        self._queue.withdraw_all(sender)

    def order(self, sender: str, orders: Sequence[PieceOrder]) -> None:
        """Queue pieces, but not those of a request that is kept from targets."""
        now = self._now()
        for order in orders:
            piece = WaitingPiece(
                order=order,
                sender=sender,
                due_at=now + order.left_seconds,
                aim_at=now + order.aim_left_seconds,
                give_up_until=now + order.give_up_left_seconds,
            )
            if self._quarantine.find_held(order.fingerprint) is not None:
                self._answers.answer(piece, fault="failed")
            else:
                self._queue.add(piece)
        self._pump()

    def withdraw(self, sender: str, numbers: Sequence[int]) -> None:
        """Drop pieces that nobody wants any more."""
        for number in numbers:
            self._queue.withdraw(sender, number)

    def hand_over(self) -> None:
        """Return what waits to who ordered it, since the pool has another owner now.

        Calls under way end here; their results are handed out as ever.
        """
        returned = self._queue.take_all()
        self._answers.give_back(returned)
        if returned:
            fields = {"service": self._service, "pieces": len(returned)}
            _LOG.info("pool handed over", extra=fields)

    def count_waiting(self) -> int:
        """Return the number of pieces that wait."""
        return len(self._queue)

    def free(self, handles: Sequence[str]) -> None:
        """Give results up at their makers."""
        self._free_calls.add(handles)

    # Sending calls.

    def _pump(self) -> None:
        """Start a call at every free maker for which there is work."""
        service = self._find_service()
        if service is None or service.pool is None:
            return
        now = self._now()
        self._makers.shorten_rests(now)
        if self._makers.find_return_seconds() > 0:
            # Nothing takes a call until then: what can't wait so long is told at once.
            self._refuse(
                self._queue.take_late(now, self._makers.make_offer(None, service.pool, now))
            )
        cold = self._view.list_cold(self._service)
        for maker in self._makers.free(now):
            if not len(self._queue):
                return
            if maker.name in cold and not self._admits_cold(maker, now):
                continue
            call = self._select(maker, service.pool, now)
            if call is not None:
                # All calls of the fleet pass here, so this is where a target's limit is kept.
                maker.take_permit()
                if maker.name in cold:
                    self._gate.note(maker.name, now)
                self._start(service, call)
        if len(self._queue):
            self._wake_later(now)

    def _admits_cold(self, maker: Maker, now: float) -> bool:
        """Tell whether a cold target bears one more call."""
        bound = self._view.find_cold_bound(self._service)
        return bound is None or self._gate.admits(maker.name, bound.owner_limit(), now)

    def _select(self, maker: Maker, traits: PoolTraits, now: float) -> BatchCall | None:
        """Take a batch for a target from the queue; return None when nothing there suits it."""
        selection = self._queue.select(now, self._makers.make_offer(maker, traits, now))
        self._refuse(selection.late)
        batch = self._set_suspects_apart(selection.batch)
        if not batch:
            return None
        is_crowded = len(batch) + len(self._queue) >= traits.batch
        call = BatchCall.plan(maker, batch, traits, now, is_crowded=is_crowded)
        maker.note_call(call.announced, now + call.seconds)
        return call

    def _set_suspects_apart(self, batch: tuple[WaitingPiece, ...]) -> tuple[WaitingPiece, ...]:
        """Return the part of a batch that may run together, and queue the rest again.

        A request under which targets ended runs by itself: what always ran beside it could
        not be told from it, and would be refused like it.
        """
        if not any(self._quarantine.is_suspect(piece.order.fingerprint) for piece in batch):
            return batch
        first = batch[0].order.fingerprint
        is_first_suspect = self._quarantine.is_suspect(first)
        taken: list[WaitingPiece] = []
        others: list[WaitingPiece] = []
        for piece in batch:
            name = piece.order.fingerprint
            suits = name == first if is_first_suspect else not self._quarantine.is_suspect(name)
            (taken if suits else others).append(piece)
        for piece in others:
            self._queue.add(piece)
        return tuple(taken)

    def _start(self, service: Service, call: BatchCall) -> None:
        task = start_task(self._run(service, call), "call to a pool target")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _look(self) -> None:
        """Tell what can't be in time any more, also while no target is free.

        As long as targets work, what waits is judged whenever one is free: judged
        more often, more was refused that would have been in time (policy.md).
        """
        service = self._find_service()
        if service is not None and service.pool is not None:
            now = self._now()
            offer = self._makers.make_offer(None, service.pool, now)
            # A target that takes its next call much later, by its rate limit, is not at work.
            judge = self._queue.take_expired if offer.pieces_soon else self._queue.take_late
            self._refuse(judge(now, offer))
        self._pump()

    def _refuse(self, late: Sequence[WaitingPiece]) -> None:
        for piece in late:
            self._answers.answer(piece, fault="late")

    async def _run(self, service: Service, call: BatchCall) -> None:
        """Send a call, hand out what it made and look for the next one."""
        began_at = self._now()
        made: dict[str, int] = {}
        reading = ReadTimer(partial(self._receivers.tell_read, call.batch))
        try:
            made = await self._make(service, call, reading)
        finally:
            reading.cancel()
            call.maker.note_end(call.announced, made, self._now())
        seconds = self._now() - began_at
        self._metrics.note_call(seconds)
        self._log_end(call, len(made), seconds)
        self._pump()

    async def _make(self, service: Service, call: BatchCall, reading: ReadTimer) -> dict[str, int]:
        """Have a batch made; return the sizes of its results by handle, none if it failed."""
        maker = call.maker
        began_at = self._now()
        try:
            connections = self._targets.connections(service, maker.name, maker.address)
            on_sent = reading.start if maker.reads_at_once(began_at) else _ignore
            replies = await self._calls.make(connections, call, on_sent)
            made = self._settle(call, replies)
            seconds = self._now() - began_at
            maker.note_pace(seconds / call.seconds, self._now())
            if call.is_crowded and service.pool is not None:
                self._note_yielded(call, service.pool, seconds)
            return made
        except NotSentError as error:
            self._note_failed(call, str(error), has_run=False)
        except TimeoutError:
            self._ended.note_silent(LostTarget.of(maker.named), self._describe_runs(call, began_at))
            self._note_failed(call, "no answer in time", has_run=True)
        except (BrokenAnswerError, BadRequestError) as error:
            await self._note_broken(call, began_at)
            self._note_failed(call, str(error), has_run=True)
        except TargetFullError:
            maker.note_full(self._now())
            self._requeue(call.batch, has_run=False)
        return {}

    def _note_yielded(self, call: BatchCall, traits: PoolTraits, seconds: float) -> None:
        """Note what a call made that could have been full."""
        full_seconds = traits.call_seconds + traits.batch * traits.piece_seconds
        self._makers.yielded.note(len(call.batch), traits.batch, seconds, full_seconds)

    def _log_end(self, call: BatchCall, made: int, seconds: float) -> None:
        _LOG.info(
            "batch ended",
            extra={
                "service": self._service,
                "target": call.maker.name,
                "pieces": len(call.batch),
                "away": call.count_away(),
                "made": made,
                "announced_bytes": call.announced,
                "free_bytes": call.free_bytes,
                "expected_seconds": round(call.seconds, 3),
                "seconds": round(seconds, 3),
                "waiting": len(self._queue),
            },
        )

    def _settle(self, call: BatchCall, replies: Sequence[MadePiece]) -> dict[str, int]:
        """Hand out what a call made; return the sizes of the results by handle."""
        made: dict[str, int] = {}
        failed: list[WaitingPiece] = []
        without_room: list[WaitingPiece] = []
        for piece, reply in zip(call.batch, replies, strict=True):
            if reply.handle:
                made[reply.handle] = piece.order.result_bytes
                self._answers.answer(piece, handle=reply.handle)
            elif reply.fault in ("late", "lost-input"):
                self._answers.answer(piece, fault=reply.fault)
            elif reply.fault == "no-room":
                without_room.append(piece)
            else:
                failed.append(piece)
        self._note_turned_back(call, without_room, sum(made.values()))
        self._requeue(failed, has_run=True)
        self._requeue(without_room, has_run=False)
        return made

    def _note_turned_back(
        self, call: BatchCall, pieces: Sequence[WaitingPiece], made_bytes: int
    ) -> None:
        """Note pieces that a target had no room for, beside the results that it made."""
        self._metrics.note_turned_back(len(pieces))
        if pieces:
            missing = call.free_bytes - made_bytes
            call.maker.room.note_refused(missing, pieces[0].order.result_bytes, self._now())

    async def _note_broken(self, call: BatchCall, began_at: float) -> None:
        """Have it found out whether the target ended, before its pieces go to another one."""
        runs = self._describe_runs(call, began_at)
        if await self._ended.note_broken(LostTarget.of(call.maker.named), runs):
            await self._quarantine.settle(*(run.fingerprint for run in runs))

    def _describe_runs(self, call: BatchCall, began_at: float) -> tuple[BrokenRun, ...]:
        """Return the requests that a call was made for, some time after it began."""
        seconds = self._now() - began_at
        names = {piece.order.fingerprint for piece in call.batch if piece.order.fingerprint}
        return tuple(BrokenRun(fingerprint=name, seconds=seconds) for name in sorted(names))

    def _note_failed(self, call: BatchCall, fault: str, *, has_run: bool) -> None:
        """Note a call without an answer, and queue its pieces again."""
        call.maker.note_failure(self._now())
        _LOG.warning(
            "batch failed",
            extra={"service": self._service, "target": call.maker.name, "fault": fault},
        )
        self._requeue(call.batch, has_run=has_run)

    def _requeue(self, pieces: Sequence[WaitingPiece], *, has_run: bool) -> None:
        """Queue pieces again, but those that were in too many calls or whose sender is gone."""
        for piece in pieces:
            attempts = piece.attempts + (1 if has_run else 0)
            is_lost = attempts >= MOST_ATTEMPTS or not self._receivers.knows(piece.sender)
            if is_lost or (has_run and self._may_end_targets(piece)):
                self._answers.answer(piece, fault="failed")
            else:
                self._queue.add(replace(piece, attempts=attempts))

    def _may_end_targets(self, piece: WaitingPiece) -> bool:
        """Tell whether targets ended under the request of a piece, here or elsewhere."""
        name = piece.order.fingerprint
        return self._quarantine.is_suspect(name) or self._quarantine.find_held(name) is not None

    def _reckon_wait(self, like: PieceOrder) -> float:
        """Return the seconds that a piece like another would wait for its turn."""
        service = self._find_service()
        makers = self._makers.everyone()
        if service is None or service.pool is None or not makers:
            return 0.0
        now = self._now()
        offer = self._makers.make_offer(None, service.pool, now)
        return self._queue.forecast(now, offer, like)

    # Targets.

    def _follow_targets(self) -> None:
        service = self._find_service()
        if service is None or service.pool is None:
            return
        self._makers.update(self._view.open_targets_of(self._service), service.pool)
        self._pump()

    def _find_service(self) -> Service | None:
        table = self._view.table
        return table.service(self._service) if table is not None else None

    def _reach(self, maker: Maker) -> ConnectionPool | None:
        """Return the connections to a target, or None while the service is not known."""
        service = self._find_service()
        if service is None:
            return None
        return self._targets.connections(service, maker.name, maker.address)

    def _wake_later(self, now: float) -> None:
        """Look again when a resting target is due, or what waits may have become late."""
        if self._wake is None or self._wake.cancelled() or self._wake.when() <= now:
            loop = asyncio.get_running_loop()
            self._wake = loop.call_later(self._makers.look_seconds(now), self._look)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _ignore() -> None:
    """Do nothing about a call that was sent."""
