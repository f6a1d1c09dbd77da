"""Orders for the pieces of a stage: where they should run and how much time they have."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from damsonlane.admission import FirstEventForecast
from damsonlane.placing import InputPlace
from damsonlane.pools import PieceOrder, StageStart
from damsonlane.routes import Stage
from damsonlaned.gateway._call import Call
from damsonlaned.gateway._pool_client import PoolClient
from damsonlaned.gateway._stage_work import StageWork

#: Share of its time after which a request whose stages are begun is served
#: however late: its caller has waited too long to try again with success.
GIVE_UP_SHARE: Final = 0.45
#: Seconds within which the stages of a broken stream should be made again.  Its
#: caller reads on meanwhile; with time until the deadline they went behind all
#: others, and seven streams in 50 s of load ended there.
RESUME_SECONDS: Final = 1.0
#: Share of a full batch that a call is reckoned to hold.
USUAL_BATCH_SHARE: Final = 0.6
#: Bytes that a stage must move before it matters in which data centre it runs.
HOME_BYTES: Final = 100_000


@dataclass(frozen=True, kw_only=True)
class _TimeAfter:
    """What a request still needs once a stage is made, in seconds."""

    #: Time of the later stages.
    stages: float
    #: Time in the queues of the later stages, as last heard.
    queues: float
    #: Time from the start of the last step to the first event of its answer.
    first_event: float


class StageOrders:
    """Makes the orders for the pieces of stages.

    Args:
        client: knows how long pieces wait at each pool.
        locate: returns the data centre in which a result lies, by its handle.
    """

    def __init__(self, client: PoolClient, locate: Callable[[str], str]) -> None:
        self._client: Final = client
        self._locate: Final = locate
        self._first_events: Final[dict[str, FirstEventForecast]] = {}

    def note_first_event(self, call: Call, seconds: float) -> None:
        """Learn from the first event of an answer, some seconds after its request was sent."""
        self._find_forecast(call).note(call.request.tokens_in, seconds)

    def expect_seconds(self, call: Call, stage: Stage) -> float:
        """Return the time that a stage will take, with the queue that was last heard of."""
        wait = self._client.wait_seconds(stage.service, call.rank)
        return _usual_seconds(call, stage) + wait

    def find_home(self, work: StageWork, start: StageStart) -> str:
        """Return the data centre in which a stage should run, or an empty string.

        Only inputs that are large bind a stage.  What has none may run anywhere: the
        engine is chosen beside its results, so no target stands idle for their sake.
        """
        moved = start.pieces * _count_input_bytes(work.call, start)
        if not start.inputs or moved < HOME_BYTES:
            return ""
        return self._most_common_place(start.inputs)

    def find_input_places(self, work: StageWork) -> tuple[InputPlace, ...]:
        """Return where the results that the last step needs lie."""
        sizes: Counter[str] = Counter()
        for index, handles in work.plan.final_handles().items():
            size = work.call.route.stages[index].result_bytes
            for handle in handles:
                sizes[self._locate(handle)] += size
        return tuple(InputPlace(data_centre=name, size=size) for name, size in sizes.items())

    def make(self, work: StageWork, start: StageStart, piece: int, home: str) -> PieceOrder:
        """Return the order for one piece; the client gives it its number.

        Args:
            work: the try that it belongs to.
            start: its stage.
            piece: its index in the stage.
            home: data centre in which it should run, or an empty string.
        """
        call = work.call
        after = self._reckon_after(work, start)
        now = asyncio.get_running_loop().time()
        rest = after.stages + after.queues + after.first_event
        aim_left = _aim_at(call, now) - now - rest
        is_late_return = call.waited_seconds > 0 and aim_left < _usual_seconds(call, start.stage)
        if is_late_return:
            # Late whatever is done, it is served as soon as one that has just come, or told.
            aim_left += call.waited_seconds
        return PieceOrder(
            number=0,
            request=call.request.request_id,
            stage=start.index,
            piece=piece,
            material_key=call.request.material_key if not start.stage.after else "",
            inputs=start.inputs,
            left_seconds=call.due_at - now - after.stages - after.first_event,
            aim_left_seconds=aim_left,
            is_late_return=is_late_return,
            give_up_left_seconds=_give_up_at(call) - now,
            rank=call.rank,
            result_bytes=start.stage.result_bytes,
            is_begun=call.is_begun or bool(work.held),
            fingerprint=call.fingerprint,
            home=home,
        )

    def _reckon_after(self, work: StageWork, start: StageStart) -> _TimeAfter:
        """Return the time that a request needs once a stage is made."""
        call = work.call
        chain = work.plan.depth_after(start.index)
        return _TimeAfter(
            stages=sum(_usual_seconds(call, stage) for stage in chain),
            queues=sum(self._client.wait_seconds(stage.service, call.rank) for stage in chain),
            first_event=self._find_forecast(call).seconds(
                call.request.tokens_in, call.route.aim_seconds
            ),
        )

    def _find_forecast(self, call: Call) -> FirstEventForecast:
        """Return the forecast of first events for the service of a request."""
        return self._first_events.setdefault(call.service.name, FirstEventForecast())

    def _most_common_place(self, handles: Sequence[str]) -> str:
        """Return the data centre in which most of some results lie."""
        places = Counter(self._locate(handle) for handle in handles)
        return places.most_common(1)[0][0]


def _aim_at(call: Call, now: float) -> float:
    """Return when the answer should be there; a broken stream is to be resumed soon."""
    return min(call.due_at, now + RESUME_SECONDS) if call.is_begun else call.aim_at


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


def _usual_seconds(call: Call, stage: Stage) -> float:
    """Return the time that a stage usually takes, as the document tells it."""
    service = call.table.service(stage.service)
    if service is None or service.pool is None:
        return 0.0
    traits = service.pool
    return traits.call_seconds + USUAL_BATCH_SHARE * traits.batch * traits.piece_seconds
