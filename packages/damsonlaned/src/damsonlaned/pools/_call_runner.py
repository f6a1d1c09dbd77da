"""Runs calls to pool targets and records how they end."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial
from typing import Final

from damsonlane.pools import PieceQueue, WaitingPiece
from damsonlane.routes import PoolProperties, Service
from damsonlane.targets import Shard
from damsonlaned.attempts import PieceCalls
from damsonlaned.dialects import BadRequestError
from damsonlaned.gateway._exit_detector import ExitDetector
from damsonlaned.gateway._input_read_timer import InputReadTimer
from damsonlaned.gateway._order_receivers import OrderReceivers
from damsonlaned.gateway._pool_calls import BatchCall, PoolCalls, TargetFullError
from damsonlaned.gateway._pool_metrics import PoolMetrics
from damsonlaned.gateway._pool_targets import PoolTargets
from damsonlaned.http import ConnectionPool, IncompleteResponseError, NotSentError
from damsonlaned.pools._call_results import CallResults
from damsonlaned.quarantine import LostTarget, PieceQuarantine

#: Log records keep the logger name that operators filter by.
_LOG: Final = logging.getLogger("damsonlaned.gateway._pool_owner")


class CallRunner:
    """Sends calls, delivers their results, and queues the pieces of failed ones again.

    Args:
        shard: the shard whose targets compute the pieces.
        queue: the pieces that wait.
        receivers: the entries that ordered pieces.
        pool_targets: the targets of the shard.
        calls: encodes and sends the calls.
        piece_calls: the calls under way, by piece.
        results: delivers the results of calls.
        metrics: counts calls.
        exit_detector: finds out which targets have exited.
        quarantine: tells which requests were at a target.
        find_connections: returns the connections to a target, by service, name and address.
        on_failure: called when a call had no valid answer and its pieces are queued again.
        on_free_target: called when a target may take the next call.
    """

    def __init__(
        self,
        *,
        shard: Shard,
        queue: PieceQueue,
        receivers: OrderReceivers,
        pool_targets: PoolTargets,
        calls: PoolCalls,
        piece_calls: PieceCalls,
        results: CallResults,
        metrics: PoolMetrics,
        exit_detector: ExitDetector,
        quarantine: PieceQuarantine,
        find_connections: Callable[[Service, str, str], ConnectionPool],
        on_failure: Callable[[], None],
        on_free_target: Callable[[], None],
    ) -> None:
        self._shard: Final = shard
        self._service: Final = shard.service
        self._queue: Final = queue
        self._receivers: Final = receivers
        self._pool_targets: Final = pool_targets
        self._calls: Final = calls
        self._piece_calls: Final = piece_calls
        self._results: Final = results
        self._metrics: Final = metrics
        self._exit_detector: Final = exit_detector
        self._quarantine: Final = quarantine
        self._find_connections: Final = find_connections
        self._on_failure: Final = on_failure
        self._on_free_target: Final = on_free_target

    async def run(self, service: Service, call: BatchCall) -> None:
        """Send a call, deliver its results and dispatch the next one."""
        began_at = _now()
        sizes: dict[str, int] = {}
        read_timer = InputReadTimer(partial(self._receivers.notify_read, call.batch))
        try:
            sizes = await self._execute(service, call, read_timer)
        finally:
            read_timer.cancel()
            call.target.record_completion(call.reserved_bytes, sizes, _now())
        seconds = _now() - began_at
        self._metrics.record_call(seconds)
        self._log_completion(call, len(sizes), seconds)
        self._on_free_target()

    async def _execute(
        self, service: Service, call: BatchCall, read_timer: InputReadTimer
    ) -> dict[str, int]:
        """Run a batch; return the sizes of its results by handle, empty if the call failed."""
        target = call.target
        began_at = _now()
        pieces = call.batch
        try:
            connections = self._find_connections(service, target.name, target.address)
            on_sent = read_timer.start if target.reads_at_once(began_at) else _do_nothing
            try:
                on_silent = partial(self._hold, call, began_at)
                computed = await self._calls.compute(connections, call, on_sent, on_silent)
            finally:
                pieces = self._piece_calls.end(call.batch)
            sizes = self._results.deliver(call, computed, pieces, _now())
            seconds = _now() - began_at
            target.record_duration_ratio(seconds / call.seconds, _now())
            if call.is_saturated and service.pool is not None:
                self._record_throughput(call, service.pool, seconds)
            return sizes
        except NotSentError as error:
            self._record_failed_call(call, pieces, str(error), has_run=False)
        except TimeoutError:
            # The target was recorded as failed when it fell silent.
            self._log_failure(call, "no answer before the deadline")
            self._results.requeue(pieces, has_run=True)
        except (IncompleteResponseError, BadRequestError) as error:
            await self._record_broken_call(call, began_at)
            self._record_failed_call(call, pieces, str(error), has_run=True)
        except TargetFullError:
            target.record_rejection(_now())
            self._results.requeue(pieces, has_run=False)
        return {}

    def _hold(self, call: BatchCall, began_at: float, limit: asyncio.Timeout) -> None:
        """Queue the pieces of a silent call again; it ends once all of them are answered."""

        def give_up() -> None:
            if not limit.expired():
                limit.reschedule(_now())

        self._exit_detector.report_silent(
            LostTarget.of(call.target.incarnation),
            self._quarantine.describe_runs(call.batch, _now() - began_at),
        )
        call.target.record_failure(_now())
        self._log_failure(call, "no answer in time")
        self._piece_calls.hold(call.batch, give_up)
        for piece in call.batch:
            if self._results.may_repeat(piece, piece.attempts + 1):
                self._queue.add(replace(piece, attempts=piece.attempts + 1))
        self._on_failure()
        self._on_free_target()

    def _record_throughput(
        self, call: BatchCall, properties: PoolProperties, seconds: float
    ) -> None:
        """Record the throughput of a call that could have been full."""
        full_seconds = properties.call_seconds + properties.batch * properties.piece_seconds
        self._pool_targets.throughput.record_call(
            len(call.batch), properties.batch, seconds, full_seconds
        )

    def _log_completion(self, call: BatchCall, results: int, seconds: float) -> None:
        _LOG.info(
            "batch ended",
            extra={
                "service": self._service,
                "shard": self._shard.index,
                "target": call.target.name,
                "pieces": len(call.batch),
                "away": call.count_remote(),
                "made": results,
                "announced_bytes": call.reserved_bytes,
                "free_bytes": call.free_bytes,
                "expected_seconds": round(call.seconds, 3),
                "seconds": round(seconds, 3),
                "waiting": len(self._queue),
            },
        )

    async def _record_broken_call(self, call: BatchCall, began_at: float) -> None:
        """Find out whether the target exited, before its pieces go to another one."""
        runs = self._quarantine.describe_runs(call.batch, _now() - began_at)
        if await self._exit_detector.report_broken(LostTarget.of(call.target.incarnation), runs):
            await self._quarantine.wait_until_reported(runs)

    def _record_failed_call(
        self, call: BatchCall, pieces: Sequence[WaitingPiece], fault: str, *, has_run: bool
    ) -> None:
        """Record a call without a valid answer, and queue its pieces again."""
        call.target.record_failure(_now())
        self._log_failure(call, fault)
        self._results.requeue(pieces, has_run=has_run)
        self._on_failure()

    def _log_failure(self, call: BatchCall, fault: str) -> None:
        fields = {"service": self._service, "target": call.target.name, "fault": fault}
        _LOG.warning("batch failed", extra=fields)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _do_nothing() -> None:
    """Ignore that a call was sent."""
