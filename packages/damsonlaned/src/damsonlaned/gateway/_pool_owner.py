"""The owner of a stage pool: batches the pieces that all entries order."""

import asyncio
import logging
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from damsonlane.fairness import UsageTotals
from damsonlane.pools import CallPlan, PieceOrder, PieceQueue, WaitingPiece
from damsonlane.routes import PoolProperties, Service
from damsonlane.targets import Shard
from damsonlane.warmup import WarmupLimiter
from damsonlaned.attempts import PieceCalls
from damsonlaned.dialects import Dialect
from damsonlaned.gateway._exit_detector import ExitDetector
from damsonlaned.gateway._free_calls import FreeCalls
from damsonlaned.gateway._order_receivers import OrderReceiver, OrderReceivers
from damsonlaned.gateway._owner_activity import ActivityMeter
from damsonlaned.gateway._piece_answers import PieceAnswers
from damsonlaned.gateway._pool_calls import BatchCall, PoolCalls
from damsonlaned.gateway._pool_metrics import PoolMetrics
from damsonlaned.gateway._pool_targets import PoolTarget, PoolTargets
from damsonlaned.gateway._rate_limits import ServiceLimits
from damsonlaned.gateway._target_selector import TargetSelector
from damsonlaned.gateway._view import FleetView
from damsonlaned.gateway._wait_forecasts import WaitForecasts
from damsonlaned.http import ConnectionPool
from damsonlaned.pools import CallResults, CallRunner
from damsonlaned.quarantine import PieceQuarantine, Quarantine
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)


class PoolOwner:
    """Queues pieces for the targets of one shard of a service and sends them in batches.

    A target runs one call at a time and this box sends it one at a time, so the
    pieces that arrive during a call fill the next batch.

    Args:
        shard: the shard.
        view: lists its targets.
        targets: provides the connections to them.
        dialect: encodes and decodes their calls.
        metrics: counts pieces and calls by outcome.
        exit_detector: finds out which targets have exited.
        quarantine: withholds requests under which targets exit.
        find_weight: returns the weight of an organisation's share by its name.
        is_reached: returns whether this box reaches a service.
    """

    def __init__(
        self,
        shard: Shard,
        view: FleetView,
        targets: TargetSelector,
        dialect: Dialect,
        metrics: PoolMetrics,
        exit_detector: ExitDetector,
        quarantine: Quarantine,
        find_weight: Callable[[str], float],
        is_reached: Callable[[str], bool],
    ) -> None:
        self._is_reached: Final = is_reached
        self._quarantine: Final = PieceQuarantine(quarantine, shard.service)
        self._shard: Final = shard
        self._service: Final = shard.service
        self._shards = 0
        self._view: Final = view
        self._targets: Final = targets
        self._calls: Final = PoolCalls(dialect, view.announcements)
        self._queue: Final = PieceQueue(find_weight)
        self._receivers: Final = OrderReceivers()
        self._pool_targets: Final = PoolTargets(
            view.announcements.backoff_seconds_left,
            ServiceLimits(view.limits, shard.service),
            view.announcements.rejections.find_limit,
        )
        self._free_calls: Final = FreeCalls(
            dialect.read_result_address,
            self._calls,
            self._pool_targets,
            self._find_connections,
            self._dispatch,
        )
        self._answers: Final = PieceAnswers(
            self._receivers, WaitForecasts(self._estimate_wait), metrics, self.free
        )
        self._warm_up_gate: Final = WarmupLimiter()
        self._piece_calls: Final = PieceCalls()
        results = CallResults(
            self._queue,
            self._piece_calls,
            self._receivers,
            self._answers,
            self._quarantine,
            metrics,
            self.free,
        )
        self._runner: Final = CallRunner(
            shard=shard,
            queue=self._queue,
            receivers=self._receivers,
            pool_targets=self._pool_targets,
            calls=self._calls,
            piece_calls=self._piece_calls,
            results=results,
            metrics=metrics,
            exit_detector=exit_detector,
            quarantine=self._quarantine,
            find_connections=targets.connections,
            on_failure=self._return_if_unreached,
            on_free_target=self._dispatch,
        )
        #: Work of this owner, for its log.
        self.activity: Final = ActivityMeter()
        self._tasks: set[asyncio.Task[None]] = set()
        self._check_timer: asyncio.TimerHandle | None = None
        view.on_change(self._update_targets)
        self._update_targets()

    # Operations of entries.

    def attach(self, sender: str, receiver: OrderReceiver) -> None:
        """Register the receiver of results for a sender's orders."""
        self._receivers.attach(sender, receiver)

    def detach(self, sender: str) -> None:
        """Unregister a sender that disconnected and drop its queued pieces."""
        self._receivers.detach(sender)
        self._queue.cancel_all(sender)

    def order(self, sender: str, orders: Sequence[PieceOrder]) -> None:
        """Queue pieces; those of a quarantined request fail immediately."""
        now = self._now()
        self.activity.record_orders(len(orders))
        for order in orders:
            piece = WaitingPiece(
                order=order,
                sender=sender,
                deadline_at=now + order.left_seconds,
                objective_at=now + order.aim_left_seconds,
                abandonable_until=now + order.give_up_left_seconds,
            )
            if self._quarantine.is_quarantined(order):
                self._answers.answer(piece, fault="failed")
            else:
                self._queue.add(piece)
        self._dispatch()

    def withdraw(self, sender: str, numbers: Sequence[int]) -> None:
        """Drop queued pieces that their sender no longer needs."""
        for number in numbers:
            self._queue.cancel(sender, number)
        self._piece_calls.drop((sender, number) for number in numbers)

    def return_waiting(self) -> None:
        """Return queued pieces to their senders, since another entry now owns the pool.

        Calls in progress complete here and their results are delivered as usual.
        """
        returned = self._queue.take_all()
        self._piece_calls.drop(piece.identity for piece in returned)
        self._answers.return_to_senders(returned)
        if returned:
            fields = {
                "service": self._service,
                "shard": self._shard.index,
                "pieces": len(returned),
            }
            _LOG.info("pool handed over", extra=fields)

    def count_waiting(self) -> int:
        """Return the number of queued pieces."""
        return len(self._queue)

    def count_calls(self) -> int:
        """Return the number of calls under way."""
        return len(self._tasks)

    def take_usage(self) -> Mapping[str, UsageTotals]:
        """Return the work of each organisation since the last call of this method."""
        return self._queue.take_usage()

    def free(self, handles: Sequence[str]) -> None:
        """Free results at the targets that computed them."""
        self._free_calls.add(handles)

    # Sending calls.

    def _dispatch(self) -> None:
        """Start a call at every ready target for which pieces are queued."""
        with self.activity:
            self._start_calls()

    def _start_calls(self) -> None:
        service = self._find_service()
        if service is None or service.pool is None:
            return
        now = self._now()
        self._pool_targets.shorten_ejections(now)
        if self._pool_targets.find_backoff_seconds() > 0:
            # Every target backs off: refuse now what would miss its deadline or objective.
            self._refuse(
                self._queue.take_late(
                    now, self._pool_targets.find_capacity(None, service.pool, now)
                )
            )
        warming_up = self._view.list_warming_up(self._service)
        plan: CallPlan | None = None
        for target in self._pool_targets.list_ready(now):
            if not len(self._queue):
                return
            if target.name in warming_up and not self._admits_warming_up(target, now):
                continue
            if plan is None:
                plan = self._plan_calls(service.pool, now)
            call = self._select(plan, target, service.pool, now)
            if call is not None:
                # The owner sends all of the fleet's calls, so it enforces the rate limit here.
                target.take_permit()
                if target.name in warming_up:
                    self._warm_up_gate.record(target.name, now)
                self._start(service, call)
        if len(self._queue):
            self._schedule_check(now)

    def _admits_warming_up(self, target: PoolTarget, now: float) -> bool:
        """Return whether a target that is warming up can serve one more call."""
        bound = self._view.find_warmup_limit(self._service)
        return bound is None or self._warm_up_gate.admits(target.name, bound.owner_limit(), now)

    def _plan_calls(self, properties: PoolProperties, now: float) -> CallPlan:
        """Return the order in which queued pieces run, and refuse those that are too late."""
        capacity = self._pool_targets.find_capacity(None, properties, now)
        plan = self._queue.plan_calls(now, capacity)
        self._refuse(plan.late)
        return plan

    def _select(
        self, plan: CallPlan, target: PoolTarget, properties: PoolProperties, now: float
    ) -> BatchCall | None:
        """Dequeue a batch for a target and return its call; None if no piece fits."""
        capacity = self._pool_targets.find_capacity(target, properties, now)
        batch, others = self._quarantine.isolate_suspects(
            self._queue.take_batch(plan, now, capacity)
        )
        for piece in others:
            self._queue.add(piece)
        if not batch:
            return None
        # Late work may have to wait although the call is not full.
        is_saturated = len(batch) + self._queue.count_in_time() >= properties.batch
        call = BatchCall.plan(target, batch, properties, now, is_saturated=is_saturated)
        target.record_call(call.reserved_bytes, now + call.seconds)
        self._piece_calls.begin(batch)
        return call

    def _start(self, service: Service, call: BatchCall) -> None:
        self.activity.record_call()
        task = start_task(self._runner.run(service, call), "call to a pool target")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _check_queue(self) -> None:
        """Refuse pieces that can no longer be in time, even while no target is ready.

        While targets take calls, only expired pieces are refused here; the others are evaluated
        when a target becomes ready. More frequent checks would refuse pieces that could still
        have been in time.
        """
        service = self._find_service()
        if service is not None and service.pool is not None:
            now = self._now()
            capacity = self._pool_targets.find_capacity(None, service.pool, now)
            # pieces_within_call is 0 while rate limits delay the next call of every target for
            # a long time.
            take = (
                self._queue.take_expired if capacity.pieces_within_call else self._queue.take_late
            )
            self._refuse(take(now, capacity))
        self._dispatch()

    def _refuse(self, late: Sequence[WaitingPiece]) -> None:
        """Refuse pieces that would be too late, but those that a silent target still has."""
        for piece in late:
            if not self._piece_calls.is_under_way(piece):
                self._answers.answer(piece, fault="late")

    def _return_if_unreached(self) -> None:
        """Return queued pieces if this box does not reach the targets."""
        if not self._is_reached(self._service):
            self.return_waiting()

    def _estimate_wait(self, like: PieceOrder) -> float:
        """Return the estimated queueing time of a piece like the given one, in seconds."""
        service = self._find_service()
        targets = self._pool_targets.list_all()
        if service is None or service.pool is None or not targets:
            return 0.0
        now = self._now()
        capacity = self._pool_targets.find_capacity(None, service.pool, now)
        return self._queue.estimate_wait(now, capacity, like)

    # Targets.

    def _update_targets(self) -> None:
        service = self._find_service()
        if service is None or service.pool is None:
            return
        records = self._view.open_targets_of(self._service)
        self._pool_targets.update(
            [record for record in records if record.shard == self._shard.index], service.pool
        )
        self._redistribute(len(self._view.list_shards(self._service)))
        self._dispatch()

    def _redistribute(self, shards: int) -> None:
        """Return queued pieces, to be divided among the shards, when their number changes."""
        before, self._shards = self._shards, shards
        if before and shards != before:
            self.return_waiting()

    def _find_service(self) -> Service | None:
        table = self._view.table
        return table.service(self._service) if table is not None else None

    def _find_connections(self, target: PoolTarget) -> ConnectionPool | None:
        """Return the connections to a target, or None while the service is not known."""
        service = self._find_service()
        if service is None:
            return None
        return self._targets.connections(service, target.name, target.address)

    def _schedule_check(self, now: float) -> None:
        """Schedule the next check of the queue for ready targets and late pieces."""
        if (
            self._check_timer is None
            or self._check_timer.cancelled()
            or self._check_timer.when() <= now
        ):
            loop = asyncio.get_running_loop()
            self._check_timer = loop.call_later(
                self._pool_targets.next_check_seconds(now), self._check_queue
            )

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
