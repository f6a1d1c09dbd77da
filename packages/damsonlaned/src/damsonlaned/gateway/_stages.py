"""Having a request's stages made before it runs."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from functools import partial
from typing import Final, NoReturn

from damsonlane.errors import DamsonlaneError
from damsonlane.pools import PieceFault, PieceResult, StagePlan, StageStart
from damsonlaned.gateway._call import Call
from damsonlaned.gateway._pool_client import PoolClient
from damsonlaned.gateway._stage_orders import StageOrders
from damsonlaned.gateway._stage_work import StageResults, StageWork

_LOG: Final = logging.getLogger(__name__)

#: Times that a request's stages are begun again after an input was lost.
MOST_PLANS: Final = 2
#: Seconds after which a caller whose stages failed should come back, at the least.
RETRY_SECONDS: Final = 0.5
#: What the faults of pieces mean, for a person.
_FAULTS: Final[Mapping[PieceFault, str]] = {
    "late": "with the queue there it would miss its aim or its deadline",
    "lost-input": "the result of an earlier stage is lost",
    "failed": "no target made it",
}


class StageError(DamsonlaneError):
    """The stages of a request could not be made; it has not run.

    Attributes:
        retry_seconds: when the caller should come back.
    """

    def __init__(self, detail: str, retry_seconds: float = RETRY_SECONDS) -> None:
        self.retry_seconds = retry_seconds
        super().__init__(detail)


class _LostInputError(Exception):
    """A result was gone before it was used."""


class StageRunner:
    """Makes stages by way of the pools' owners.

    Args:
        client: orders pieces.
        locate: returns the data centre in which a result lies, by its handle.
    """

    def __init__(self, client: PoolClient, locate: Callable[[str], str]) -> None:
        self._client: Final = client
        self._orders: Final = StageOrders(client, locate)

    async def make(self, call: Call, *, is_begun: bool = False) -> StageResults:
        """Return the results of all stages of a request.

        Args:
            call: the request.
            is_begun: whether its answer has begun, so that it is resumed rather
                than refused, however late.

        Raises:
            StageError: a piece was too late or could not be made.
        """
        pieces = call.request.pieces
        if not self.has_work(call):
            return StageResults()
        if len(pieces) != len(call.route.stages):
            raise StageError(f"{len(pieces)} numbers of pieces for {len(call.route.stages)} stages")
        for _ in range(MOST_PLANS):
            with contextlib.suppress(_LostInputError):
                return await self._make_once(replace(call, is_begun=is_begun))
            _LOG.warning("stage result lost", extra=call.log_fields())
        raise StageError("results of its stages were lost repeatedly")

    def has_work(self, call: Call) -> bool:
        """Tell whether a request has stages that are made before it is sent."""
        return bool(call.route.stages) and any(call.request.pieces)

    def expect_seconds(self, call: Call) -> float:
        """Return the time that the stages of a request will take; 0 if it has none."""
        pieces = call.request.pieces
        if len(pieces) != len(call.route.stages):
            return 0.0
        plan = StagePlan(call.route.stages, pieces)
        return plan.longest_seconds(partial(self._orders.expect_seconds, call))

    def note_first_event(self, call: Call, seconds: float) -> None:
        """Learn from the first event of an answer, some seconds after its request was sent."""
        self._orders.note_first_event(call, seconds)

    def is_room_wanted(self, results: StageResults) -> bool:
        """Tell whether pieces wait at a pool whose targets hold some of the results."""
        return any(self._client.has_queue(service) for service in _find_services(results))

    def free(self, results: StageResults) -> None:
        """Give results up."""
        by_service: dict[str, list[str]] = {}
        for result in results.held:
            by_service.setdefault(result.service, []).append(result.handle)
        for service, handles in by_service.items():
            self._client.free(service, handles)

    async def _make_once(self, call: Call) -> StageResults:
        """Make all stages in one try; give up what was made if it fails."""
        plan = StagePlan(call.route.stages, call.request.pieces)
        work = StageWork(call=call, plan=plan)
        tasks: set[asyncio.Task[int]] = set()
        try:
            while not plan.is_done():
                for start in plan.take_ready(partial(self._orders.expect_seconds, call)):
                    tasks.add(asyncio.ensure_future(self._make_stage(work, start)))
                done, tasks = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    self.free(work.take_spent(task.result()))
        except BaseException:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.free(work.collect())
            raise
        places = self._orders.find_input_places(work)
        return replace(work.collect(), inputs=plan.final_inputs(), places=places)

    async def _make_stage(self, work: StageWork, start: StageStart) -> int:
        """Make one stage and return its index."""
        call = work.call
        home = self._orders.find_home(work, start)
        orders = [self._orders.make(work, start, piece, home) for piece in range(start.pieces)]
        on_read = partial(self._note_read, work, start)
        futures = self._client.order(start.stage.service, orders, on_read)
        began_at = call.remaining()
        await self._take_results(work, start, futures)
        _LOG.info(
            "stage made",
            extra={
                **call.log_fields(),
                "stage": start.index,
                "service": start.stage.service,
                "pieces": start.pieces,
                "home": home,
                "seconds": round(began_at - call.remaining(), 3),
            },
        )
        return start.index

    def _note_read(self, work: StageWork, start: StageStart, piece: int) -> None:
        """Give up inputs that every piece has read, if others wait for their room.

        Where nobody waits they are kept until the pieces are made, since a piece
        that fails may be made again with them.
        """
        work.plan.note_read(start.index, piece)
        stages = work.call.route.stages
        if any(self._client.has_queue(stages[earlier].service) for earlier in start.stage.after):
            self.free(work.take_spent(start.index))

    async def _take_results(
        self, work: StageWork, start: StageStart, futures: "Sequence[asyncio.Future[PieceResult]]"
    ) -> None:
        """Wait for all pieces of a stage, or for the first that is not made."""
        try:
            for piece, future in enumerate(futures):
                result = await future
                if not result.handle:
                    self._raise_fault(start, result)
                work.note(start, piece, result.handle)
        finally:
            self._note_rest(work, start, futures)

    def _note_rest(
        self, work: StageWork, start: StageStart, futures: "Sequence[asyncio.Future[PieceResult]]"
    ) -> None:
        """Withdraw the pieces not made yet, and keep account of those made meanwhile."""
        for future in futures:
            if not future.done():
                future.cancel()
            elif not future.cancelled() and future.result().handle:
                work.held[future.result().handle] = start.stage.service

    def _raise_fault(self, start: StageStart, result: PieceResult) -> NoReturn:
        """Say why a piece was not made, and when the caller should come back."""
        if result.fault == "lost-input":
            raise _LostInputError
        reason = _FAULTS[result.fault] if result.fault is not None else "no result"
        detail = f"stage {start.index} of service {start.stage.service}: {reason}"
        raise StageError(detail, RETRY_SECONDS + result.wait_seconds)


def _find_services(results: StageResults) -> set[str]:
    """Return the services whose targets hold results."""
    return {result.service for result in results.held}
