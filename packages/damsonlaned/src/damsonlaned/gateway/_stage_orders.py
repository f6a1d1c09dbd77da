"""Orders for the pieces of a stage: their preferred data centre and time limits."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Final

from damsonlane.admission import FirstEventForecast
from damsonlane.placement import InputLocation
from damsonlane.pools import PieceOrder, ReadyStage
from damsonlane.records import dataclass
from damsonlane.routes import Stage
from damsonlaned.gateway._call import Call
from damsonlaned.gateway._pool_client import PoolClient
from damsonlaned.gateway._stage_attempt import StageAttempt
from damsonlaned.lateness import LateRequests

#: Share of its time after which a request whose stages have begun is served even if
#: it misses its objective: its caller has waited too long for a retry to succeed.
ABANDONABLE_SHARE: Final = 0.45
#: Latency objective in seconds for each stage of a broken stream that is resumed.  Its
#: caller is still reading: with the deadline as the objective, its pieces would queue
#: behind all others, and streams would be lost under load: seven in 50 s of load.
RESUME_SECONDS: Final = 1.0
#: Share of a full batch that a call is assumed to contain.
TYPICAL_BATCH_SHARE: Final = 0.6
#: Least bytes that all pieces of a stage read for which it gets a preferred data centre.
HOME_BYTES: Final = 100_000


@dataclass(frozen=True, kw_only=True)
class _RemainingTime:
    """The estimated time that a request needs after a stage, in seconds."""

    #: Time of the later stages.
    stages: float
    #: Queueing time of the later stages, by the last reports.
    queues: float
    #: Time from the start of the last step to the first event of its answer.
    first_event: float
    #: Further time by which the deadline of late work must be met: that of calls in progress at
    #: the later pools, and that from the first event to the end of the answer.
    late: float


class StageOrders:
    """Builds the orders for the pieces of stages.

    Args:
        client: provides the queueing time of each pool.
        locate: returns the data centre that holds a result, by its handle.
        late_requests: the policy for late requests, which forecasts the ends of answers.
    """

    def __init__(
        self, client: PoolClient, locate: Callable[[str], str], late_requests: LateRequests
    ) -> None:
        self._client: Final = client
        self._late_requests: Final = late_requests
        self._locate: Final = locate
        self._first_events: Final[dict[str, FirstEventForecast]] = {}

    def record_first_event(self, call: Call, seconds: float) -> None:
        """Record the seconds from sending a request to the first event of its answer."""
        self._find_forecast(call).record(call.request.prompt_tokens, seconds)

    def estimate_last_step(self, call: Call) -> float | None:
        """Return the estimated seconds from sending a request to the end of its answer.

        None while nothing is learned about its route, or if late requests are refused.
        """
        duration = self._find_duration(call)
        if duration is None or call.service.engine is None:
            return duration
        return duration + self._estimate_first_event(call)

    def estimate_seconds(self, call: Call, stage: Stage) -> float:
        """Return the estimated seconds of a stage, including the last reported queueing time."""
        wait = self._client.wait_seconds(stage.service, call.priority)
        return _typical_seconds(call, stage) + wait

    def find_home(self, attempt: StageAttempt, ready: ReadyStage) -> str:
        """Return the preferred data centre of a stage, or an empty string.

        Only a stage with large inputs has one. Others may run anywhere, so that no target
        stays idle: the engine is chosen near their results.
        """
        moved = ready.pieces * _count_input_bytes(attempt.call, ready)
        if not ready.inputs or moved < HOME_BYTES:
            return ""
        return self._most_common_data_centre(ready.inputs)

    def find_input_locations(self, attempt: StageAttempt) -> tuple[InputLocation, ...]:
        """Return the bytes of the last step's inputs that each data centre holds."""
        sizes: Counter[str] = Counter()
        for index, handles in attempt.plan.final_handles().items():
            size = attempt.call.route.stages[index].result_bytes
            for handle in handles:
                sizes[self._locate(handle)] += size
        return tuple(InputLocation(data_centre=name, size=size) for name, size in sizes.items())

    def make_order(
        self, attempt: StageAttempt, ready: ReadyStage, piece: int, home: str
    ) -> PieceOrder:
        """Return the order for one piece; the client assigns its number.

        Args:
            attempt: the attempt that it belongs to.
            ready: the stage.
            piece: its index in the stage.
            home: the preferred data centre, or an empty string.
        """
        call = attempt.call
        after = self._estimate_after(attempt, ready)
        now = asyncio.get_running_loop().time()
        remaining = after.stages + after.queues + after.first_event
        aim_left = call.objective_at - now - remaining
        left = call.deadline_at - now - after.stages - after.first_event - after.late
        is_late_return = (
            call.earlier_wait_seconds > 0
            and not call.has_response_begun
            and aim_left < _typical_seconds(call, ready.stage)
        )
        if is_late_return:
            # A retried request that will be late anyway gets the objective of a new one, so that
            # it is served as soon as that or refused.
            aim_left += call.earlier_wait_seconds
        if call.has_response_begun:
            # The time that the later steps need is not taken off: an objective that can't be met
            # puts a piece behind all others.
            aim_left = min(left, RESUME_SECONDS)
        may_be_late = self._late_requests.are_served and not call.has_response_begun
        if may_be_late:
            # A long answer may have its deadline before its latency objective.
            aim_left = min(aim_left, left)
        return PieceOrder(
            number=0,
            request=call.request.request_id,
            stage=ready.index,
            piece=piece,
            material_key=call.request.material_key if not ready.stage.after else "",
            inputs=ready.inputs,
            left_seconds=left,
            aim_left_seconds=aim_left,
            is_late_return=is_late_return,
            give_up_left_seconds=_abandonable_until(call) - now,
            rank=call.priority,
            result_bytes=ready.stage.result_bytes,
            is_begun=call.has_response_begun or bool(attempt.services_by_handle),
            fingerprint=call.fingerprint,
            shared_causes=call.stage_causes,
            home=home,
            organisation=call.share_name,
            may_be_late=may_be_late,
        )

    def _estimate_after(self, attempt: StageAttempt, ready: ReadyStage) -> _RemainingTime:
        """Return the estimated time that a request needs after a stage."""
        call = attempt.call
        chain = attempt.plan.longest_chain_after(ready.index)
        return _RemainingTime(
            stages=sum(_typical_seconds(call, stage) for stage in chain),
            queues=sum(self._client.wait_seconds(stage.service, call.priority) for stage in chain),
            first_event=self._estimate_first_event(call),
            late=self._estimate_late(call, chain),
        )

    def _estimate_late(self, call: Call, chain: Sequence[Stage]) -> float:
        """Return the further time that late work needs; 0 if it is resumed or refused."""
        if not self._late_requests.are_served or call.has_response_begun:
            return 0.0
        return sum(_full_seconds(call, stage) for stage in chain) + (
            self._find_duration(call) or 0.0
        )

    def _find_duration(self, call: Call) -> float | None:
        """Return the forecast time from the first event to the end, or None if unknown."""
        return self._late_requests.find_duration(call.route.name, call.request.max_output_tokens)

    def _estimate_first_event(self, call: Call) -> float:
        """Return the forecast time from sending a request to its first event."""
        return self._find_forecast(call).seconds(call.request.prompt_tokens, call.route.aim_seconds)

    def _find_forecast(self, call: Call) -> FirstEventForecast:
        """Return the first-event forecast for the service of a request."""
        return self._first_events.setdefault(call.service.name, FirstEventForecast())

    def _most_common_data_centre(self, handles: Sequence[str]) -> str:
        """Return the data centre that holds most of some results."""
        data_centres = Counter(self._locate(handle) for handle in handles)
        return data_centres.most_common(1)[0][0]


def _abandonable_until(call: Call) -> float:
    """Return until when a request may be refused; one whose answer has begun may not be."""
    if call.has_response_begun:
        return call.arrived_at
    return call.arrived_at + ABANDONABLE_SHARE * (call.deadline_at - call.arrived_at)


def _count_input_bytes(call: Call, ready: ReadyStage) -> int:
    """Return the bytes of inputs that one piece of a stage reads."""
    return sum(
        call.request.pieces[earlier] * call.route.stages[earlier].result_bytes
        for earlier in ready.stage.after
    )


def _typical_seconds(call: Call, stage: Stage) -> float:
    """Return the typical seconds of a stage, from the routing document."""
    return _call_seconds(call, stage, TYPICAL_BATCH_SHARE)


def _full_seconds(call: Call, stage: Stage) -> float:
    """Return the seconds of a full call for a stage, from the routing document."""
    return _call_seconds(call, stage, 1.0)


def _call_seconds(call: Call, stage: Stage, batch_share: float) -> float:
    """Return the seconds of a call with a share of a full batch, from the routing document."""
    service = call.table.service(stage.service)
    if service is None or service.pool is None:
        return 0.0
    properties = service.pool
    return properties.call_seconds + batch_share * properties.batch * properties.piece_seconds
