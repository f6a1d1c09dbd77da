"""Having a request's stages made before it runs."""

import asyncio
import contextlib
import logging
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from functools import partial
from typing import Final, NoReturn

from damsonlane.admission import FirstEventForecast
from damsonlane.errors import DamsonlaneError
from damsonlane.pools import PieceFault, PieceOrder, PieceResult, StagePlan, StageStart
from damsonlane.routes import Stage
from damsonlaned.gateway._call import Call
from damsonlaned.gateway._pool_client import PoolClient
from damsonlaned.gateway._stage_work import StageResults, StageWork

_LOG: Final = logging.getLogger(__name__)

#: Share of its time after which a request whose stages are begun is served
#: however late: its caller has waited too long to try again with success.
GIVE_UP_SHARE: Final = 0.45
#: Seconds within which the stages of a broken stream should be made again.  Its
#: caller reads on meanwhile; with time until the deadline they went behind all
#: others, and seven streams in one day ended there (45ba9af9).
RESUME_SECONDS: Final = 1.0
#: Share of a full batch that a call is reckoned to hold.
USUAL_BATCH_SHARE: Final = 0.6
#: Times that a request's stages are begun again after an input was lost.
MOST_PLANS: Final = 2
#: Bytes that a stage must move before it matters in which data centre it runs.
HOME_BYTES: Final = 100_000
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
        self._locate: Final = locate
        self._first_events: Final[dict[str, FirstEventForecast]] = {}

    async def make(self, call: Call, home: str, *, is_begun: bool = False) -> StageResults:
        """Return the results of all stages of a request.

        Args:
            call: the request.
            home: data centre in which its last step will probably run.
            is_begun: whether its answer has begun, so that it is resumed rather
                than refused, however late.

        Raises:
            StageError: a piece was too late or could not be made.
        """
        pieces = call.request.pieces
        if not call.route.stages or not any(pieces):
            return StageResults()
        if len(pieces) != len(call.route.stages):
            raise StageError(f"{len(pieces)} numbers of pieces for {len(call.route.stages)} stages")
        for _ in range(MOST_PLANS):
            with contextlib.suppress(_LostInputError):
                return await self._make_once(replace(call, is_begun=is_begun), home)
            _LOG.warning("stage result lost", extra=call.log_fields())
        raise StageError("results of its stages were lost repeatedly")

    def note_first_event(self, call: Call, seconds: float) -> None:
        """Learn from the first event of an answer, some seconds after its request was sent."""
        self._first_event(call).note(call.request.tokens_in, seconds)

    def free(self, results: StageResults) -> None:
        """Give results up."""
        by_service: dict[str, list[str]] = {}
        for result in results.held:
            by_service.setdefault(result.service, []).append(result.handle)
        for service, handles in by_service.items():
            self._client.free(service, handles)

    async def _make_once(self, call: Call, home: str) -> StageResults:
        plan = StagePlan(call.route.stages, call.request.pieces)
        work = StageWork(call=call, plan=plan, home=home)
        tasks: set[asyncio.Task[int]] = set()
        try:
            while not plan.is_done():
                for start in plan.take_ready(partial(self._expect_with_queue, call)):
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
        return replace(work.collect(), inputs=plan.final_inputs())

    async def _make_stage(self, work: StageWork, start: StageStart) -> int:
        """Make one stage and return its index."""
        call = work.call
        home = self._find_home(work, start)
        orders = [self._make_order(work, start, piece, home) for piece in range(start.pieces)]
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
        if result.fault == "lost-input":
            raise _LostInputError
        reason = _FAULTS[result.fault] if result.fault is not None else "no result"
        detail = f"stage {start.index} of service {start.stage.service}: {reason}"
        raise StageError(detail, RETRY_SECONDS + result.wait_seconds)

    def _expect_with_queue(self, call: Call, stage: Stage) -> float:
        """Return the time that a stage will take, with the queue that was last heard of."""
        wait = self._client.wait_seconds(stage.service, call.rank)
        return _expect_seconds(call, stage) + wait

    def _first_event(self, call: Call) -> FirstEventForecast:
        return self._first_events.setdefault(call.service.name, FirstEventForecast())

    def _find_home(self, work: StageWork, start: StageStart) -> str:
        """Return the data centre in which a stage should run, or an empty string."""
        if start.inputs:
            moved = start.pieces * _count_input_bytes(work.call, start)
            return self._most_common_place(start.inputs) if moved >= HOME_BYTES else ""
        if work.plan.depth_after(start.index):
            return ""
        return work.home if start.pieces * start.stage.result_bytes >= HOME_BYTES else ""

    def _most_common_place(self, handles: Sequence[str]) -> str:
        places = Counter(self._locate(handle) for handle in handles)
        return places.most_common(1)[0][0]

    def _make_order(self, work: StageWork, start: StageStart, piece: int, home: str) -> PieceOrder:
        call = work.call
        chain = work.plan.depth_after(start.index)
        later = sum(_expect_seconds(call, stage) for stage in chain)
        waits = sum(self._client.wait_seconds(stage.service, call.rank) for stage in chain)
        first_event = self._first_event(call).seconds(
            call.request.tokens_in, call.route.aim_seconds
        )
        now = asyncio.get_running_loop().time()
        aim_at = min(call.due_at, now + RESUME_SECONDS) if call.is_begun else call.aim_at
        return PieceOrder(
            number=0,
            request=call.request.request_id,
            stage=start.index,
            piece=piece,
            material_key=call.request.material_key if not start.stage.after else "",
            inputs=start.inputs,
            left_seconds=call.due_at - now - later - first_event,
            aim_left_seconds=aim_at - now - later - waits - first_event,
            give_up_left_seconds=_give_up_at(call) - now,
            rank=call.rank,
            result_bytes=start.stage.result_bytes,
            is_begun=call.is_begun or bool(work.held),
            home=home,
        )


def _give_up_at(call: Call) -> float:
    """Return until when a request may be given up; one whose answer has begun may not."""
    if call.is_begun:
        return call.arrived_at
    return call.arrived_at + GIVE_UP_SHARE * (call.due_at - call.arrived_at)


def _count_input_bytes(call: Call, start: StageStart) -> int:
    """Return the size of what one piece of a stage reads."""
    return sum(
        call.request.pieces[earlier] * call.route.stages[earlier].result_bytes
        for earlier in start.stage.after
    )


def _expect_seconds(call: Call, stage: Stage) -> float:
    """Return the time that a stage usually takes, as the document tells it."""
    service = call.table.service(stage.service)
    if service is None or service.pool is None:
        return 0.0
    traits = service.pool
    return traits.call_seconds + USUAL_BATCH_SHARE * traits.batch * traits.piece_seconds
