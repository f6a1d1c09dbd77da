"""Replay of requests whose stages pass through several pools, by seed and in virtual time.

The decisions of the pools are those of the real code.  Targets are queueing models, and the last
step of a request takes a fixed time.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
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
from damsonlane.pools.tests.simulation import KEEP_SECONDS, LoadPeak, Pool

#: Share of a full call that a later stage is assumed to wait for.
TYPICAL_BATCH_SHARE: Final = 0.6
#: Share of its deadline during which a request that is begun may still be abandoned.
ABANDON_SHARE: Final = 0.45


@dataclass(frozen=True, kw_only=True)
class ChainClass:
    """A request class whose stages run in sequence, each in the pool of the same index."""

    rank: int
    rate: float
    #: Pieces of each stage, and the bytes of one of their results.
    pieces: tuple[int, ...]
    result_bytes: tuple[int, ...]
    aim_seconds: float
    deadline_seconds: float
    #: Seconds from the last stage to the first event, and from it to the end.
    last_step_seconds: float = 0.3
    stream_seconds: float = 0.0
    #: Whether late results are wanted.
    may_be_late: bool = False


@dataclass(frozen=True, kw_only=True)
class ChainPattern:
    """A load on several pools."""

    pools: tuple[Pool, ...]
    classes: tuple[ChainClass, ...]
    peaks: tuple[LoadPeak, ...] = ()
    seconds: float = 20.0


@dataclass(kw_only=True, eq=False)
class _Request:
    kind: int
    name: str
    arrived_at: float
    stage: int = 0
    left: int = 0
    held: list[tuple[ResultMemory, str]] = field(default_factory=list)
    is_over: bool = False


class _PoolState:
    """One pool: its queue and the state of its targets."""

    def __init__(self, pool: Pool) -> None:
        self.pool: Final = pool
        self.queue: Final = PieceQueue()
        self.throughput: Final = ThroughputEstimate()
        self.free_at: Final = [0.0] * len(pool.data_centres)
        self.memories: Final = [
            ResultMemory(pool.result_memory_bytes, KEEP_SECONDS) for _ in pool.data_centres
        ]

    def capacity(self, target: int, now: float) -> CallCapacity:
        """Return the capacity of the pool when a target may take a call."""
        waits = tuple(max(0.0, free_at - now) for free_at in self.free_at)
        return CallCapacity(
            data_centre="a",
            result_memory_bytes=self.memories[target].free_bytes(now),
            seconds_until_free={"a": min(waits)},
            busy_seconds=waits,
            batch=self.pool.batch,
            call_seconds=self.pool.call_seconds,
            piece_seconds=self.pool.piece_seconds,
            throughput_ratio=self.throughput.ratio(),
        )


class ChainReplay:
    """One run of a load.

    Args:
        pattern: the load.
        seed: seed of the arrivals.
    """

    def __init__(self, pattern: ChainPattern, seed: int) -> None:
        self._pattern: Final = pattern
        self._random: Final = random.Random(seed)
        self._pools: Final = [_PoolState(pool) for pool in pattern.pools]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._counter: Final = itertools.count()
        self._requests: dict[str, _Request] = {}
        #: Requests of each class by outcome: in time, late, refused, refused when begun, failed.
        self.counts: Final = [Counter[str]() for _ in pattern.classes]

    def run(self) -> list[Counter[str]]:
        """Run to the end and return the outcomes by class."""
        for kind in range(len(self._pattern.classes)):
            self._schedule_arrivals(kind)
        while self._events:
            now, _, act = heapq.heappop(self._events)
            act(now)
            for state in self._pools:
                self._start_calls(state, now)
        return self.counts

    def _schedule(self, when: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._counter), act))

    def _schedule_arrivals(self, kind: int) -> None:
        peaks = [peak for peak in self._pattern.peaks if peak.request_class == kind]
        usual = self._pattern.classes[kind].rate
        fastest = usual * max([1.0, *(peak.times for peak in peaks)])
        now = self._random.expovariate(fastest)
        while now < self._pattern.seconds:
            times = max([1.0, *(peak.times for peak in peaks if peak.start <= now < peak.end)])
            if self._random.random() < usual * times / fastest:
                self._schedule(now, partial(self._arrive, kind))
            now += self._random.expovariate(fastest)

    def _arrive(self, kind: int, now: float) -> None:
        name = f"r{next(self._counter)}"
        self._requests[name] = _Request(kind=kind, name=name, arrived_at=now)
        self._order(self._requests[name], now)

    def _order(self, request: _Request, now: float) -> None:
        """Order the pieces of the next stage, with the time limits that an entry sets."""
        kind = self._pattern.classes[request.kind]
        after = kind.last_step_seconds + sum(
            state.pool.call_seconds
            + TYPICAL_BATCH_SHARE * state.pool.batch * state.pool.piece_seconds
            for state in self._pools[request.stage + 1 : len(kind.pieces)]
        )
        ends_at = request.arrived_at + kind.deadline_seconds - after - kind.stream_seconds
        if kind.may_be_late:
            # A later stage may wait for a call in progress.
            ends_at -= sum(
                state.pool.call_seconds + state.pool.batch * state.pool.piece_seconds
                for state in self._pools[request.stage + 1 : len(kind.pieces)]
            )
        give_up_at = request.arrived_at + ABANDON_SHARE * kind.deadline_seconds
        order = PieceOrder(
            number=0,
            request=request.name,
            stage=request.stage,
            piece=0,
            material_key="k",
            inputs=("h",) if request.stage else (),
            left_seconds=ends_at - now,
            aim_left_seconds=request.arrived_at + kind.aim_seconds - after - now,
            give_up_left_seconds=give_up_at - now,
            rank=kind.rank,
            result_bytes=kind.result_bytes[request.stage],
            is_begun=request.stage > 0,
            may_be_late=kind.may_be_late,
        )
        request.left = kind.pieces[request.stage]
        for index in range(request.left):
            piece = WaitingPiece(
                order=replace(order, number=next(self._counter), piece=index),
                sender="e",
                deadline_at=ends_at,
                objective_at=now + order.aim_left_seconds,
                abandonable_until=give_up_at,
            )
            self._pools[request.stage].queue.add(piece)

    def _start_calls(self, state: _PoolState, now: float) -> None:
        for target, free_at in enumerate(state.free_at):
            if free_at > now or not len(state.queue):
                continue
            selection = state.queue.select(now, state.capacity(target, now))
            self._refuse(selection.late, now)
            batch = selection.batch
            if not batch:
                continue
            pool = state.pool
            seconds = pool.call_seconds + len(batch) * pool.piece_seconds
            if len(batch) + state.queue.count_in_time() >= pool.batch:
                full_seconds = pool.call_seconds + pool.batch * pool.piece_seconds
                state.throughput.record_call(len(batch), pool.batch, seconds, full_seconds)
            state.memories[target].reserve(sum(piece.order.result_bytes for piece in batch))
            state.free_at[target] = now + seconds
            self._schedule(now + seconds, partial(self._finish_call, state, target, batch))

    def _finish_call(
        self, state: _PoolState, target: int, batch: Sequence[WaitingPiece], now: float
    ) -> None:
        memory = state.memories[target]
        sizes = {f"{piece.order.number}": piece.order.result_bytes for piece in batch}
        memory.commit(sum(sizes.values()), sizes, now)
        for piece in batch:
            request = self._requests[piece.order.request]
            if request.is_over:
                memory.release(f"{piece.order.number}")
                continue
            request.held.append((memory, f"{piece.order.number}"))
            request.left -= 1
            if not request.left:
                self._finish_stage(request, now)

    def _finish_stage(self, request: _Request, now: float) -> None:
        kind = self._pattern.classes[request.kind]
        newest = request.held[-kind.pieces[request.stage] :]
        self._release(request.held[: -kind.pieces[request.stage]])
        request.held = newest
        request.stage += 1
        if request.stage < len(kind.pieces):
            self._order(request, now)
            return
        request.is_over = True
        self._schedule(now + kind.last_step_seconds, lambda _: self._release(newest))
        seconds = now + kind.last_step_seconds - request.arrived_at
        is_ended = seconds + kind.stream_seconds <= kind.deadline_seconds
        outcome = "in time" if seconds <= kind.aim_seconds else "late"
        self.counts[request.kind][outcome if is_ended else "failed"] += 1

    def _refuse(self, pieces: Sequence[WaitingPiece], now: float) -> None:
        for piece in pieces:
            request = self._requests[piece.order.request]
            if not request.is_over:
                request.is_over = True
                self._release(request.held)
                has_waited = request.stage or now - request.arrived_at > 1.0
                self.counts[request.kind]["refused begun" if has_waited else "refused"] += 1

    def _release(self, held: Sequence[tuple[ResultMemory, str]]) -> None:
        for memory, handle in held:
            memory.release(handle)


def replay(pattern: ChainPattern, seeds: int) -> list[Counter[str]]:
    """Return the outcomes by class, summed over the first seeds."""
    totals = [Counter[str]() for _ in pattern.classes]
    for seed in range(seeds):
        for total, counts in zip(totals, ChainReplay(pattern, seed).run(), strict=True):
            total.update(counts)
    return totals
