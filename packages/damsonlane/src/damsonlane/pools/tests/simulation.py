"""Discrete-event simulation of load patterns on the queue of one pool, by seed.

The scheduling decisions are those of the real code.  Targets are a queueing model: a call takes
its nominal time, and results occupy memory until their request has all of them.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from damsonlane.pools import (
    CallCapacity,
    PieceOrder,
    PieceQueue,
    ResultMemory,
    ThroughputEstimate,
    WaitingPiece,
)

#: Seconds after which a target evicts a result that is not released.
KEEP_SECONDS: Final = 4.0
#: Seconds from the last result of a request until its results are released.
RELEASE_SECONDS: Final = 0.08
#: Share of its deadline during which a request that is begun may still be abandoned.
ABANDON_SHARE: Final = 0.45


@dataclass(frozen=True, kw_only=True)
class Pool:
    """Properties of a pool."""

    #: Data centre of each target.
    data_centres: tuple[str, ...] = ("a", "b", "c")
    #: Maximum number of pieces in a call.
    batch: int = 5
    #: Fixed time of a call besides its pieces, in seconds.
    call_seconds: float = 0.2
    #: Time of one piece, in seconds.
    piece_seconds: float = 0.034
    #: Result memory of a target, in bytes.
    result_memory_bytes: int = 11_250_000


@dataclass(frozen=True, kw_only=True)
class RequestClass:
    """A request class, with its load on the pool."""

    #: Priority rank.
    rank: int
    #: Requests per second.
    rate: float
    #: Possible numbers of pieces of a request, all equally likely.
    pieces: tuple[int, ...]
    #: Size of a result, in bytes.
    result_bytes: int
    #: Latency objective for its pieces, in seconds from arrival.
    aim_seconds: float
    #: Deadline, in seconds from arrival.
    deadline_seconds: float = 6.0
    #: Whether its pieces have inputs, all of them stored in one data centre.
    has_inputs: bool = False
    #: Organisation that its orders name; empty for none.
    organisation: str = ""


@dataclass(frozen=True, kw_only=True)
class LoadPeak:
    """A temporary increase of the load of one request class."""

    #: Index of the request class.
    request_class: int
    #: When it starts and ends, in seconds.
    start: float
    end: float
    #: Factor on the usual rate.
    times: float


@dataclass(frozen=True, kw_only=True)
class Outage:
    """A target that takes no calls for a while and loses its call in progress."""

    #: Index of the target.
    target: int
    #: Start and end of the outage, in seconds.
    start: float
    end: float


@dataclass(frozen=True, kw_only=True)
class LoadPattern:
    """A load pattern."""

    #: The pool.
    pool: Pool = field(default_factory=Pool)
    #: Request classes.
    classes: tuple[RequestClass, ...]
    #: Load peaks.
    peaks: tuple[LoadPeak, ...] = ()
    #: Outages of targets.
    outages: tuple[Outage, ...] = ()
    #: Length, in seconds.
    seconds: float = 12.0
    #: Seconds after which a refused caller retries once; None for never.
    retry_seconds: float | None = None
    #: Whether retries are recognised as such; otherwise they count as new requests.
    detects_retries: bool = True
    #: Whether the queue uses the measured throughput; otherwise the nominal one.
    uses_measured_throughput: bool = True


@dataclass(kw_only=True)
class Outcome:
    """Outcome counts of the requests of one class."""

    #: Requests that arrived.
    arrived: int = 0
    #: Requests whose pieces were computed within the latency objective.
    in_time: int = 0
    #: Requests whose pieces were computed later.
    late: int = 0
    #: Seconds until refusal of each other request, first attempts and retries alike.
    refused_after: list[float] = field(default_factory=list)
    #: Retries that were refused.
    refused_retries: int = 0
    #: Pieces computed, and those of them computed away from the data centre of their inputs.
    computed: int = 0
    computed_away: int = 0

    @property
    def attained(self) -> float:
        """Share of the requests whose pieces were computed within the latency objective."""
        return self.in_time / max(1, self.arrived)


@dataclass(kw_only=True)
class _Request:
    """A request in progress."""

    request_class: int
    arrived_at: float
    left: int
    first_at: float
    handles: list[tuple[int, str]] = field(default_factory=list)
    is_over: bool = False


class Simulation:
    """One run of a load pattern.

    Args:
        pattern: the load pattern.
        seed: seed of arrivals and numbers of pieces.
    """

    def __init__(self, pattern: LoadPattern, seed: int) -> None:
        self._pattern: Final = pattern
        self._random: Final = random.Random(seed)
        self._queue: Final = PieceQueue()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._counter: Final = itertools.count()
        self._requests: dict[str, _Request] = {}
        pool = pattern.pool
        self._memories: Final = [
            ResultMemory(pool.result_memory_bytes, KEEP_SECONDS) for _ in pool.data_centres
        ]
        self._free_at: Final = [0.0 for _ in pool.data_centres]
        self._is_busy: Final = [False for _ in pool.data_centres]
        self._throughput: Final = ThroughputEstimate()
        #: Outcomes by index of the request class.
        self.outcomes: Final = [Outcome() for _ in pattern.classes]
        #: Seconds of target time spent on results that were not used.
        self.wasted_seconds = 0.0

    def run(self) -> "list[Outcome]":
        """Run to the end and return the outcomes by request class."""
        for index in range(len(self._pattern.classes)):
            self._schedule_arrivals(index)
        while self._events:
            now, _, act = heapq.heappop(self._events)
            act(now)
            self._start_calls(now)
        return self.outcomes

    def _schedule(self, when: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._counter), act))

    def _schedule_arrivals(self, index: int) -> None:
        request_class = self._pattern.classes[index]
        times = [peak.times for peak in self._pattern.peaks if peak.request_class == index]
        max_rate = request_class.rate * max([1.0, *times])
        now = 0.0
        while True:
            now += self._random.expovariate(max_rate)
            if now > self._pattern.seconds:
                return
            if (
                self._random.random()
                < request_class.rate * self._find_multiplier(index, now) / max_rate
            ):
                self._schedule(now, lambda at: self._arrive(index, at))

    def _find_multiplier(self, index: int, now: float) -> float:
        peaks = [peak for peak in self._pattern.peaks if peak.request_class == index]
        return max([1.0, *(peak.times for peak in peaks if peak.start <= now < peak.end)])

    def _arrive(self, index: int, now: float) -> None:
        self.outcomes[index].arrived += 1
        count = self._random.choice(self._pattern.classes[index].pieces)
        self._order_pieces(index, count, first_at=now, now=now)

    def _retry(self, request: _Request, count: int, now: float) -> None:
        self._order_pieces(request.request_class, count, first_at=request.first_at, now=now)

    def _order_pieces(self, index: int, count: int, *, first_at: float, now: float) -> None:
        request_class = self._pattern.classes[index]
        name = f"{index}-{len(self._requests)}"
        self._requests[name] = _Request(
            request_class=index, arrived_at=now, left=count, first_at=first_at
        )
        waited = now - first_at
        left = request_class.deadline_seconds - waited
        aim_left = request_class.aim_seconds - waited
        home = (
            self._random.choice(self._pattern.pool.data_centres) if request_class.has_inputs else ""
        )
        is_late_return = waited > 0 and aim_left < self._pattern.pool.call_seconds
        if is_late_return or not self._pattern.detects_retries:
            aim_left = request_class.aim_seconds
        for piece in range(count):
            order = PieceOrder(
                number=next(self._counter),
                request=name,
                stage=0,
                piece=piece,
                material_key="k",
                inputs=("h",) if request_class.has_inputs else (),
                home=home,
                left_seconds=left,
                aim_left_seconds=aim_left,
                give_up_left_seconds=ABANDON_SHARE * request_class.deadline_seconds,
                rank=request_class.rank,
                is_late_return=is_late_return and self._pattern.detects_retries,
                result_bytes=request_class.result_bytes,
                organisation=request_class.organisation,
            )
            self._queue.add(
                WaitingPiece(
                    order=order,
                    sender="e",
                    deadline_at=now + order.left_seconds,
                    objective_at=now + order.aim_left_seconds,
                    abandonable_until=now + order.give_up_left_seconds,
                )
            )

    # Targets.

    def _is_down(self, target: int, now: float) -> bool:
        outages = self._pattern.outages
        return any(
            outage.target == target and outage.start <= now < outage.end for outage in outages
        )

    def _start_calls(self, now: float) -> None:
        for target in range(len(self._free_at)):
            if not len(self._queue) or self._is_busy[target] or self._is_down(target, now):
                continue
            selection = self._queue.select(now, self._find_capacity(target, now))
            self._refuse(selection.late, now)
            if selection.batch:
                self._start_call(target, selection.batch, now)

    def _find_capacity(self, target: int, now: float) -> CallCapacity:
        pool = self._pattern.pool
        usable = [index for index in range(len(self._free_at)) if not self._is_down(index, now)]
        waits = {index: max(0.0, self._free_at[index] - now) for index in usable}
        free_in: dict[str, float] = {}
        for index in usable:
            centre = pool.data_centres[index]
            free_in[centre] = min(waits[index], free_in.get(centre, waits[index]))
        return CallCapacity(
            data_centre=pool.data_centres[target],
            result_memory_bytes=self._memories[target].free_bytes(now),
            seconds_until_free=free_in,
            busy_seconds=tuple(waits.values()),
            batch=pool.batch,
            call_seconds=pool.call_seconds,
            piece_seconds=pool.piece_seconds,
            throughput_ratio=self._throughput.ratio()
            if self._pattern.uses_measured_throughput
            else 1.0,
        )

    def _start_call(self, target: int, batch: Sequence[WaitingPiece], now: float) -> None:
        pool = self._pattern.pool
        seconds = pool.call_seconds + len(batch) * pool.piece_seconds
        if len(batch) + len(self._queue) >= pool.batch:
            full_seconds = pool.call_seconds + pool.batch * pool.piece_seconds
            self._throughput.record_call(len(batch), pool.batch, seconds, full_seconds)
        announced = sum(piece.order.result_bytes for piece in batch)
        self._memories[target].reserve(announced)
        self._is_busy[target] = True
        self._free_at[target] = now + seconds
        self._schedule(
            now + seconds, lambda at: self._finish_call(target, batch, announced, seconds, at)
        )

    def _finish_call(
        self,
        target: int,
        batch: Sequence[WaitingPiece],
        announced: int,
        seconds: float,
        now: float,
    ) -> None:
        self._is_busy[target] = False
        if self._is_down(target, now):
            self._memories[target].commit(announced, {}, now)
            for piece in batch:
                self._queue.add(piece)
            self._schedule(now + 0.15, lambda _: None)
            return
        computed = {f"{piece.order.number}": piece.order.result_bytes for piece in batch}
        self._memories[target].commit(announced, computed, now)
        for piece in batch:
            self._take_result(target, piece, seconds / len(batch), now)

    def _take_result(self, target: int, piece: WaitingPiece, seconds: float, now: float) -> None:
        request = self._requests[piece.order.request]
        handle = f"{piece.order.number}"
        self._count_computed(request, piece, target)
        if request.is_over:
            self.wasted_seconds += seconds
            self._memories[target].release(handle)
            return
        request.handles.append((target, handle))
        request.left -= 1
        if request.left:
            return
        request.is_over = True
        self._schedule(now + RELEASE_SECONDS, lambda _: self._release_results(request))
        outcome = self.outcomes[request.request_class]
        aim = self._pattern.classes[request.request_class].aim_seconds
        if now <= request.first_at + aim:
            outcome.in_time += 1
        else:
            outcome.late += 1

    def _count_computed(self, request: _Request, piece: WaitingPiece, target: int) -> None:
        outcome = self.outcomes[request.request_class]
        outcome.computed += 1
        is_away = piece.order.home not in ("", self._pattern.pool.data_centres[target])
        outcome.computed_away += is_away

    def _refuse(self, late: Sequence[WaitingPiece], now: float) -> None:
        for piece in late:
            request = self._requests[piece.order.request]
            if request.is_over:
                continue
            request.is_over = True
            self._release_results(request)
            outcome = self.outcomes[request.request_class]
            outcome.refused_after.append(now - request.arrived_at)
            if request.first_at < request.arrived_at:
                outcome.refused_retries += 1
            elif self._pattern.retry_seconds is not None:
                count = request.left + len(request.handles)
                retry_at = now + self._pattern.retry_seconds
                self._schedule(retry_at, partial(self._retry, request, count))

    def _release_results(self, request: _Request) -> None:
        for target, handle in request.handles:
            self._memories[target].release(handle)


def simulate(pattern: LoadPattern, seeds: int) -> list[Outcome]:
    """Return the outcomes by request class, summed over the first seeds."""
    totals = [Outcome() for _ in pattern.classes]
    for seed in range(seeds):
        for total, outcome in zip(totals, Simulation(pattern, seed).run(), strict=True):
            total.arrived += outcome.arrived
            total.in_time += outcome.in_time
            total.late += outcome.late
            total.refused_after.extend(outcome.refused_after)
            total.refused_retries += outcome.refused_retries
            total.computed += outcome.computed
            total.computed_away += outcome.computed_away
    return totals
