"""Load patterns played against the queue of one pool, in virtual time and by seed.

Only the decisions are real: targets are a queueing model (a call takes its time,
results take room until their request has all of them), and nothing is sent.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from damsonlane.pools import (
    Offer,
    PieceOrder,
    PieceQueue,
    ResultRoom,
    WaitingPiece,
    YieldedWork,
)

#: Seconds for which a target keeps a result that nobody gives up.
KEEP_SECONDS: Final = 4.0
#: Seconds from the last result of a request until its results are given up.
USE_SECONDS: Final = 0.08
#: Seconds within which a request that is begun may still be given up, as a share of its time.
GIVE_UP_SHARE: Final = 0.45


@dataclass(frozen=True, kw_only=True)
class Pool:
    """A pool as its traits tell it."""

    #: Data centre of each target.
    centres: tuple[str, ...] = ("a", "b", "c")
    #: Most pieces in a call.
    batch: int = 5
    #: Time of a call besides its pieces, in seconds.
    call_seconds: float = 0.2
    #: Time of one piece, in seconds.
    piece_seconds: float = 0.034
    #: Bytes for results at a target.
    room: int = 11_250_000


@dataclass(frozen=True, kw_only=True)
class Kind:
    """A kind of request, with what it needs of the pool."""

    #: Its rank.
    rank: int
    #: Requests a second.
    rate: float
    #: Pieces of a request: each number is as likely as the others.
    pieces: tuple[int, ...]
    #: Size of a result, in bytes.
    result_bytes: int
    #: Seconds from arrival within which its pieces must be made.
    aim_seconds: float
    #: Seconds from arrival after which nobody waits any more.
    deadline_seconds: float = 6.0
    #: Whether its pieces have inputs, which lie in one data centre.
    has_inputs: bool = False


@dataclass(frozen=True, kw_only=True)
class Wave:
    """More requests of one kind for a while."""

    #: Index of the kind.
    kind: int
    #: When it starts and ends, in seconds.
    start: float
    end: float
    #: Times the usual rate.
    times: float


@dataclass(frozen=True, kw_only=True)
class Loss:
    """A target that takes no calls for a while, and loses what it had."""

    #: Index of the target.
    target: int
    #: When it is gone and back, in seconds.
    start: float
    end: float


@dataclass(frozen=True, kw_only=True)
class Pattern:
    """A load pattern."""

    #: The pool.
    pool: Pool = field(default_factory=Pool)
    #: Kinds of request.
    kinds: tuple[Kind, ...]
    #: Waves.
    waves: tuple[Wave, ...] = ()
    #: Targets that are lost.
    losses: tuple[Loss, ...] = ()
    #: Length, in seconds.
    seconds: float = 12.0
    #: Seconds after which a caller that was refused comes back once; None for never.
    return_seconds: float | None = None
    #: Whether who comes back is known for it; otherwise it counts as a new request.
    knows_returns: bool = True
    #: Whether forecasts go by what the pool makes; otherwise by what it promises.
    knows_yield: bool = True


@dataclass(kw_only=True)
class Outcome:
    """What became of the requests of one kind."""

    #: Requests that arrived.
    arrived: int = 0
    #: Requests whose pieces were made within their aim.
    in_aim: int = 0
    #: Requests whose pieces were made later.
    late: int = 0
    #: Seconds after which each of the others was refused, first and later tries alike.
    refused_after: list[float] = field(default_factory=list)
    #: Requests that came back and were refused again.
    refused_again: int = 0
    #: Pieces made, and those of them made in another data centre than their inputs.
    made: int = 0
    made_away: int = 0

    @property
    def attained(self) -> float:
        """Share of the requests whose pieces were made within their aim."""
        return self.in_aim / max(1, self.arrived)


@dataclass(kw_only=True)
class _Request:
    """A request under way."""

    kind: int
    arrived_at: float
    left: int
    first_at: float
    handles: list[tuple[int, str]] = field(default_factory=list)
    is_over: bool = False


class Replay:
    """One play of a pattern.

    Args:
        pattern: the load.
        seed: draws arrivals and pieces.
    """

    def __init__(self, pattern: Pattern, seed: int) -> None:
        self._pattern: Final = pattern
        self._random: Final = random.Random(seed)
        self._queue: Final = PieceQueue()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order: Final = itertools.count()
        self._requests: dict[str, _Request] = {}
        pool = pattern.pool
        self._rooms: Final = [ResultRoom(pool.room, KEEP_SECONDS) for _ in pool.centres]
        self._free_at: Final = [0.0 for _ in pool.centres]
        self._is_busy: Final = [False for _ in pool.centres]
        self._yielded: Final = YieldedWork()
        #: Outcomes by kind.
        self.outcomes: Final = [Outcome() for _ in pattern.kinds]
        #: Seconds that targets worked on results which nobody used.
        self.wasted_seconds = 0.0

    def run(self) -> "list[Outcome]":
        """Play to the end and return the outcomes by kind."""
        for index in range(len(self._pattern.kinds)):
            self._plan_arrivals(index)
        while self._events:
            now, _, act = heapq.heappop(self._events)
            act(now)
            self._pump(now)
        return self.outcomes

    def _at(self, when: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), act))

    def _plan_arrivals(self, index: int) -> None:
        kind = self._pattern.kinds[index]
        times = [wave.times for wave in self._pattern.waves if wave.kind == index]
        most = kind.rate * max([1.0, *times])
        now = 0.0
        while True:
            now += self._random.expovariate(most)
            if now > self._pattern.seconds:
                return
            if self._random.random() < kind.rate * self._times(index, now) / most:
                self._at(now, lambda at: self._arrive(index, at))

    def _times(self, index: int, now: float) -> float:
        waves = [wave for wave in self._pattern.waves if wave.kind == index]
        return max([1.0, *(wave.times for wave in waves if wave.start <= now < wave.end)])

    def _arrive(self, index: int, now: float) -> None:
        self.outcomes[index].arrived += 1
        count = self._random.choice(self._pattern.kinds[index].pieces)
        self._order_pieces(index, count, first_at=now, now=now)

    def _come_back(self, request: _Request, count: int, now: float) -> None:
        self._order_pieces(request.kind, count, first_at=request.first_at, now=now)

    def _order_pieces(self, index: int, count: int, *, first_at: float, now: float) -> None:
        kind = self._pattern.kinds[index]
        name = f"{index}-{len(self._requests)}"
        self._requests[name] = _Request(kind=index, arrived_at=now, left=count, first_at=first_at)
        waited = now - first_at
        left = kind.deadline_seconds - waited
        aim_left = kind.aim_seconds - waited
        home = self._random.choice(self._pattern.pool.centres) if kind.has_inputs else ""
        is_late_return = waited > 0 and aim_left < self._pattern.pool.call_seconds
        if is_late_return or not self._pattern.knows_returns:
            aim_left = kind.aim_seconds
        for piece in range(count):
            order = PieceOrder(
                number=next(self._order),
                request=name,
                stage=0,
                piece=piece,
                material_key="k",
                inputs=("h",) if kind.has_inputs else (),
                home=home,
                left_seconds=left,
                aim_left_seconds=aim_left,
                give_up_left_seconds=GIVE_UP_SHARE * kind.deadline_seconds,
                rank=kind.rank,
                is_late_return=is_late_return and self._pattern.knows_returns,
                result_bytes=kind.result_bytes,
            )
            self._queue.add(
                WaitingPiece(
                    order=order,
                    sender="e",
                    due_at=now + order.left_seconds,
                    aim_at=now + order.aim_left_seconds,
                    give_up_until=now + order.give_up_left_seconds,
                )
            )

    # Targets.

    def _is_lost(self, target: int, now: float) -> bool:
        losses = self._pattern.losses
        return any(loss.target == target and loss.start <= now < loss.end for loss in losses)

    def _pump(self, now: float) -> None:
        for target in range(len(self._free_at)):
            if not len(self._queue) or self._is_busy[target] or self._is_lost(target, now):
                continue
            selection = self._queue.select(now, self._make_offer(target, now))
            self._refuse(selection.late, now)
            if selection.batch:
                self._start(target, selection.batch, now)

    def _make_offer(self, target: int, now: float) -> Offer:
        pool = self._pattern.pool
        works = [index for index in range(len(self._free_at)) if not self._is_lost(index, now)]
        waits = {index: max(0.0, self._free_at[index] - now) for index in works}
        free_in: dict[str, float] = {}
        for index in works:
            centre = pool.centres[index]
            free_in[centre] = min(waits[index], free_in.get(centre, waits[index]))
        return Offer(
            data_centre=pool.centres[target],
            room=self._rooms[target].free_bytes(now),
            free_in=free_in,
            busy_seconds=tuple(waits.values()),
            batch=pool.batch,
            call_seconds=pool.call_seconds,
            piece_seconds=pool.piece_seconds,
            yielded_share=self._yielded.share() if self._pattern.knows_yield else 1.0,
        )

    def _start(self, target: int, batch: Sequence[WaitingPiece], now: float) -> None:
        pool = self._pattern.pool
        seconds = pool.call_seconds + len(batch) * pool.piece_seconds
        if len(batch) + len(self._queue) >= pool.batch:
            full_seconds = pool.call_seconds + pool.batch * pool.piece_seconds
            self._yielded.note(len(batch), pool.batch, seconds, full_seconds)
        announced = sum(piece.order.result_bytes for piece in batch)
        self._rooms[target].announce(announced)
        self._is_busy[target] = True
        self._free_at[target] = now + seconds
        self._at(now + seconds, lambda at: self._end(target, batch, announced, seconds, at))

    def _end(
        self,
        target: int,
        batch: Sequence[WaitingPiece],
        announced: int,
        seconds: float,
        now: float,
    ) -> None:
        self._is_busy[target] = False
        if self._is_lost(target, now):
            self._rooms[target].settle(announced, {}, now)
            for piece in batch:
                self._queue.add(piece)
            self._at(now + 0.15, lambda _: None)
            return
        made = {f"{piece.order.number}": piece.order.result_bytes for piece in batch}
        self._rooms[target].settle(announced, made, now)
        for piece in batch:
            self._take(target, piece, seconds / len(batch), now)

    def _take(self, target: int, piece: WaitingPiece, seconds: float, now: float) -> None:
        request = self._requests[piece.order.request]
        handle = f"{piece.order.number}"
        self._count_made(request, piece, target)
        if request.is_over:
            self.wasted_seconds += seconds
            self._rooms[target].free(handle)
            return
        request.handles.append((target, handle))
        request.left -= 1
        if request.left:
            return
        request.is_over = True
        self._at(now + USE_SECONDS, lambda _: self._free(request))
        outcome = self.outcomes[request.kind]
        aim = self._pattern.kinds[request.kind].aim_seconds
        if now <= request.first_at + aim:
            outcome.in_aim += 1
        else:
            outcome.late += 1

    def _count_made(self, request: _Request, piece: WaitingPiece, target: int) -> None:
        outcome = self.outcomes[request.kind]
        outcome.made += 1
        is_away = piece.order.home not in ("", self._pattern.pool.centres[target])
        outcome.made_away += is_away

    def _refuse(self, late: Sequence[WaitingPiece], now: float) -> None:
        for piece in late:
            request = self._requests[piece.order.request]
            if request.is_over:
                continue
            request.is_over = True
            self._free(request)
            outcome = self.outcomes[request.kind]
            outcome.refused_after.append(now - request.arrived_at)
            if request.first_at < request.arrived_at:
                outcome.refused_again += 1
            elif self._pattern.return_seconds is not None:
                count = request.left + len(request.handles)
                back_at = now + self._pattern.return_seconds
                self._at(back_at, partial(self._come_back, request, count))

    def _free(self, request: _Request) -> None:
        for target, handle in request.handles:
            self._rooms[target].free(handle)


def play(pattern: Pattern, seeds: int) -> list[Outcome]:
    """Return the outcomes by kind, added up over some seeds."""
    totals = [Outcome() for _ in pattern.kinds]
    for seed in range(seeds):
        for total, outcome in zip(totals, Replay(pattern, seed).run(), strict=True):
            total.arrived += outcome.arrived
            total.in_aim += outcome.in_aim
            total.late += outcome.late
            total.refused_after.extend(outcome.refused_after)
            total.refused_again += outcome.refused_again
            total.made += outcome.made
            total.made_away += outcome.made_away
    return totals
