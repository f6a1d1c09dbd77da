"""Runs the stages of a request before the request itself is sent."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from functools import partial
from typing import Final, NoReturn

from damsonlane.errors import DamsonlaneError
from damsonlane.pools import PieceFault, PieceResult, ReadyStage, StageProgress
from damsonlaned.gateway._call import Call
from damsonlaned.gateway._pool_client import PoolClient
from damsonlaned.gateway._stage_attempt import StageAttempt, StageResults
from damsonlaned.gateway._stage_orders import StageOrders
from damsonlaned.lateness import LateRequests

_LOG: Final = logging.getLogger(__name__)

#: Attempts at a request's stages; one that fails because an input was lost is retried.
MAX_ATTEMPTS: Final = 2
#: Least seconds after which a caller whose stages failed should retry.
RETRY_SECONDS: Final = 0.5
#: Human-readable texts for the faults of pieces.
_FAULT_TEXTS: Final[Mapping[PieceFault, str]] = {
    "late": "with the queue there it would miss its aim or its deadline",
    "lost-input": "the result of an earlier stage is lost",
    "failed": "no target made it",
}


class StageError(DamsonlaneError):
    """The stages of a request failed, so the request was not sent.

    Attributes:
        retry_seconds: seconds after which the caller should retry.
    """

    def __init__(self, detail: str, retry_seconds: float = RETRY_SECONDS) -> None:
        self.retry_seconds = retry_seconds
        super().__init__(detail)


class _LostInputError(Exception):
    """A result was lost before it was used."""


class StageRunner:
    """Runs stages by ordering their pieces from the owners of pools.

    Args:
        client: orders pieces.
        locate: returns the data centre that holds a result, by its handle.
        late_requests: the policy for late requests.
    """

    def __init__(
        self, client: PoolClient, locate: Callable[[str], str], late_requests: LateRequests
    ) -> None:
        self._client: Final = client
        self._late_requests: Final = late_requests
        self._orders: Final = StageOrders(client, locate, late_requests)

    async def run(self, call: Call, *, is_begun: bool = False) -> StageResults:
        """Run all stages of a request and return their results.

        Args:
            call: the request.
            is_begun: whether its caller has a part of the answer, from this try or an earlier one,
                so that it is resumed even if late, rather than refused.

        Raises:
            StageError: a piece was too late or failed.
        """
        pieces = call.request.pieces
        if not self.has_stages(call):
            return StageResults()
        if len(pieces) != len(call.route.stages):
            raise StageError(f"{len(pieces)} numbers of pieces for {len(call.route.stages)} stages")
        for _ in range(MAX_ATTEMPTS):
            with contextlib.suppress(_LostInputError):
                return await self._run_once(replace(call, has_response_begun=is_begun))
            _LOG.warning("stage result lost", extra=call.log_fields())
        raise StageError("results of its stages were lost repeatedly")

    def has_stages(self, call: Call) -> bool:
        """Return whether a request has stages that run before it is sent."""
        return bool(call.route.stages) and any(call.request.pieces)

    def estimate_seconds(self, call: Call) -> float:
        """Return the estimated seconds of a request's stages; 0 if it has none."""
        pieces = call.request.pieces
        if len(pieces) != len(call.route.stages):
            return 0.0
        plan = StageProgress(call.route.stages, pieces)
        return plan.critical_path_seconds(partial(self._orders.estimate_seconds, call))

    def record_first_event(self, call: Call, seconds: float) -> None:
        """Record the seconds from sending a request to the first event of its answer."""
        self._orders.record_first_event(call, seconds)

    def estimate_last_step(self, call: Call) -> float | None:
        """Return the estimated seconds from sending a request to the end of its answer.

        None while nothing is learned about its route, or if late requests are refused.
        """
        return self._orders.estimate_last_step(call)

    def has_memory_contention(self, results: StageResults) -> bool:
        """Return whether pieces wait at a pool whose targets hold some of the results."""
        return any(self._client.has_queue(service) for service in _find_services(results))

    def free(self, results: StageResults) -> None:
        """Free results."""
        by_service: dict[str, list[str]] = {}
        for result in results.held:
            by_service.setdefault(result.service, []).append(result.handle)
        for service, handles in by_service.items():
            self._client.free(service, handles)

    async def _run_once(self, call: Call) -> StageResults:
        """Run all stages in one attempt; free their results if it fails."""
        plan = StageProgress(call.route.stages, call.request.pieces)
        attempt = StageAttempt(call=call, plan=plan)
        tasks: set[asyncio.Task[int]] = set()
        try:
            while not plan.is_done():
                for ready in plan.take_ready(partial(self._orders.estimate_seconds, call)):
                    tasks.add(asyncio.ensure_future(self._run_stage(attempt, ready)))
                done, tasks = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    self.free(attempt.pop_spent(task.result()))
        except BaseException:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.free(attempt.collect())
            raise
        locations = self._orders.find_input_locations(attempt)
        return replace(attempt.collect(), inputs=plan.final_inputs(), input_locations=locations)

    async def _run_stage(self, attempt: StageAttempt, ready: ReadyStage) -> int:
        """Run one stage and return its index."""
        call = attempt.call
        home = self._orders.find_home(attempt, ready)
        orders = [
            self._orders.make_order(attempt, ready, piece, home) for piece in range(ready.pieces)
        ]
        on_read = partial(self._handle_read, attempt, ready)
        futures = self._client.order(ready.stage.service, orders, on_read)
        began_at = call.remaining()
        await self._collect_results(attempt, ready, futures)
        _LOG.info(
            "stage made",
            extra={
                **call.log_fields(),
                "stage": ready.index,
                "service": ready.stage.service,
                "pieces": ready.pieces,
                "home": home,
                "seconds": round(began_at - call.remaining(), 3),
            },
        )
        return ready.index

    def _handle_read(self, attempt: StageAttempt, ready: ReadyStage, piece: int) -> None:
        """Free inputs that every piece has read, if other pieces wait for result memory.

        If none wait, the inputs are kept until the pieces are computed, so that a piece
        that fails can be retried with them.
        """
        attempt.plan.record_inputs_read(ready.index, piece)
        stages = attempt.call.route.stages
        if any(self._client.has_queue(stages[earlier].service) for earlier in ready.stage.after):
            self.free(attempt.pop_spent(ready.index))

    async def _collect_results(
        self,
        attempt: StageAttempt,
        ready: ReadyStage,
        futures: "Sequence[asyncio.Future[PieceResult]]",
    ) -> None:
        """Wait for all pieces of a stage; raise an error for the first that fails."""
        try:
            for piece, future in enumerate(futures):
                result = await future
                if not result.handle:
                    self._raise_fault(attempt.call, ready, result)
                attempt.record(ready, piece, result.handle)
        finally:
            self._settle_remaining(attempt, ready, futures)

    def _settle_remaining(
        self,
        attempt: StageAttempt,
        ready: ReadyStage,
        futures: "Sequence[asyncio.Future[PieceResult]]",
    ) -> None:
        """Withdraw unfinished pieces, and record the results of finished ones so they are freed."""
        for future in futures:
            if not future.done():
                future.cancel()
            elif not future.cancelled() and future.result().handle:
                attempt.services_by_handle[future.result().handle] = ready.stage.service

    def _raise_fault(self, call: Call, ready: ReadyStage, result: PieceResult) -> NoReturn:
        """Raise the error for a piece that has no result."""
        if result.fault == "lost-input":
            raise _LostInputError
        reason = _FAULT_TEXTS[result.fault] if result.fault is not None else "no result"
        is_late = result.fault == "late" and self._late_requests.are_served
        is_refused = is_late and not call.has_response_begun
        if is_refused:
            reason = "with the queue there it would miss its deadline"
        detail = f"stage {ready.index} of service {ready.stage.service}: {reason}"
        if is_refused:
            self._late_requests.record_refused(
                call.route.name, call.log_fields(), call.remaining(), detail
            )
        raise StageError(detail, RETRY_SECONDS + result.wait_seconds)


def _find_services(results: StageResults) -> set[str]:
    """Return the services whose targets hold results."""
    return {result.service for result in results.held}
