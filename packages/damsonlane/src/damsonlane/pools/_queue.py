"""The queue of a pool: which pieces run next, which are too late, and how long others wait."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from damsonlane.pools._batch import fill_batch
from damsonlane.pools._pieces import PieceOrder
from damsonlane.pools._priorities import Claims
from damsonlane.pools._recent_work import TakenWork
from damsonlane.pools._schedule import Schedule, WaitingStage, group_stages
from damsonlane.pools._waiting import Offer, WaitingPiece

#: Largest share of a pool that is reckoned to go on going to pieces with an earlier claim:
#: they come in waves of a few seconds.  With 0.7 work was refused that would have kept its
#: aim: with a target lost 0.75 and 0.68 of the less urgent kinds attained instead of 0.74 and
#: 0.63 (replays, 8 seeds).
MOST_TAKEN_SHARE: Final = 0.5


@dataclass(frozen=True, kw_only=True)
class Selection:
    """What the queue gives out for one call."""

    #: Pieces to run, most urgent first.
    batch: tuple[WaitingPiece, ...]
    #: Pieces whose time has run out, or will before their turn; no longer in the queue.
    late: tuple[WaitingPiece, ...]


@dataclass(frozen=True, kw_only=True)
class _Judgement:
    """What waits, in the order in which it should run."""

    #: Stages whose requests can keep their aim, soonest due first.
    in_time: list[WaitingStage]
    #: The other ones; those that are begun come first, since their earlier stages are paid for.
    others: list[WaitingStage]


class PieceQueue:
    """Waiting pieces of one pool."""

    def __init__(self) -> None:
        self._waiting: dict[tuple[str, int], WaitingPiece] = {}
        self._taken: Final = TakenWork()
        self._claims: Final = Claims()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, piece: WaitingPiece) -> None:
        """Add a piece; one that waits already stays as it is."""
        self._waiting.setdefault(piece.identity, piece)

    def withdraw(self, sender: str, number: int) -> None:
        """Drop a piece that nobody wants any more."""
        self._waiting.pop((sender, number), None)

    def withdraw_all(self, sender: str) -> None:
        """Drop all pieces of a sender that is gone."""
        for identity in [key for key in self._waiting if key[0] == sender]:
            del self._waiting[identity]

    def take_all(self) -> tuple[WaitingPiece, ...]:
        """Take out all pieces."""
        pieces = tuple(self._waiting.values())
        self._waiting.clear()
        return pieces

    def forecast(self, now: float, offer: Offer, like: PieceOrder) -> float:
        """Return the seconds until a piece like another one would begin if it came now.

        Only pieces that go before it count: not the late ones, nor those that
        are due after it.
        """
        soonest = offer.soonest(now)
        due_at = now + like.aim_left_seconds
        ahead = sum(soonest <= piece.aim_at <= due_at for piece in self._waiting.values())
        wait = ahead / offer.pieces_per_second * self._stretch(like.rank, now, offer)
        return offer.return_seconds + wait

    def select(self, now: float, offer: Offer) -> Selection:
        """Take out the pieces for one call, and those that are too late."""
        expired = self.take_expired(now, offer)
        judgement = self._judge(now, offer)
        hopeless = self._find_hopeless(judgement, now, offer)
        late = _list_pieces(hopeless)
        self._note_refused(late, now)
        self._remove(late)
        ordered = _list_pieces([*judgement.in_time, *judgement.others])
        left = [piece for piece in ordered if piece.identity in self._waiting]
        batch = fill_batch(left, now, offer)
        self._remove(batch)
        for piece in batch:
            self._taken.note(piece.order.rank, now)
            if not piece.order.is_late_return:
                self._claims.note_taken(piece.order.rank, now)
        return Selection(batch=tuple(batch), late=(*expired, *late))

    def take_late(self, now: float, offer: Offer) -> tuple[WaitingPiece, ...]:
        """Take out the pieces whose time has run out, or will before their turn."""
        expired = self.take_expired(now, offer)
        hopeless = _list_pieces(self._find_hopeless(self._judge(now, offer), now, offer))
        self._note_refused(hopeless, now)
        self._remove(hopeless)
        return (*expired, *hopeless)

    def take_expired(self, now: float, offer: Offer) -> tuple[WaitingPiece, ...]:
        """Take out the pieces that nobody waits for any longer than a call takes."""
        soonest = offer.soonest(now)
        expired = [piece for piece in self._waiting.values() if piece.due_at < soonest]
        self._remove(expired)
        return tuple(expired)

    def _judge(self, now: float, offer: Offer) -> _Judgement:
        """Tell which stages can keep their aim in this queue, and order all of them."""
        schedule = Schedule(offer, now)
        stages = group_stages(self._waiting.values())
        in_time: list[WaitingStage] = []
        others: list[WaitingStage] = []
        ranks = {stage.rank for stage in stages}
        claims = {rank: self._claims.rate(rank) for rank in ranks}
        # Once a rank: reckoned for each stage it took most of the time of a judgement.
        shares = {rank: self._find_share(rank, now, offer) for rank in ranks}
        for stage in sorted(stages, key=lambda stage: _rate_claim(stage, claims[stage.rank])):
            is_placed = schedule.try_add(stage, shares[stage.rank])
            (in_time if is_placed else others).append(stage)
        in_time.sort(key=lambda stage: stage.aim_at)
        others.sort(key=_rate_late)
        return _Judgement(in_time=in_time, others=others)

    def _find_hopeless(self, judgement: _Judgement, now: float, offer: Offer) -> list[WaitingStage]:
        """Return those of the stages that can't keep their aim which are to be told so.

        Requests that are not begun are told while their callers can still come back.
        A begun one is given up as well, since its results take the room of answers
        that are in time, but not once its caller has waited for long.  What the targets
        take at once is not hopeless, unless no target works.
        """
        at_once = offer.pieces_soon
        ahead = sum(len(stage.pieces) for stage in judgement.in_time)
        hopeless: list[WaitingStage] = []
        for stage in judgement.others:
            if ahead >= at_once and stage.may_be_refused(now):
                hopeless.append(stage)
            else:
                ahead += len(stage.pieces)
        return hopeless

    def _find_share(self, rank: int, now: float, offer: Offer) -> float:
        """Return the part of the pool that is there for a rank, since more urgent work comes.

        What came lately is reckoned to go on.
        """
        return offer.yielded_share / self._stretch(rank, now, offer)

    def _stretch(self, rank: int, now: float, offer: Offer) -> float:
        """Return how many times longer pieces of a rank wait, since more urgent ones still come.

        What came lately is reckoned to go on: its share of the pool is not there for others.
        """
        before = self._claims.list_before(rank, self._taken.ranks())
        share = self._taken.rate_of(before, now) / offer.pieces_per_second
        return 1.0 / (1.0 - min(MOST_TAKEN_SHARE, share))

    def _note_refused(self, pieces: Sequence[WaitingPiece], now: float) -> None:
        for piece in pieces:
            if not piece.order.is_late_return:
                self._claims.note_refused(piece.order.rank, now)

    def _remove(self, pieces: list[WaitingPiece]) -> None:
        for piece in pieces:
            del self._waiting[piece.identity]


def _rate_claim(
    stage: WaitingStage, claim: tuple[int, float, int]
) -> tuple[tuple[int, float, int], bool, float]:
    """Return the claim of a stage to a place in time; the least goes first.

    A caller that came back is late whatever is done, so it gives way within its rank.
    """
    return (claim, stage.pieces[0].order.is_late_return, stage.aim_at)


def _rate_late(stage: WaitingStage) -> tuple[bool, int, float]:
    """Return the place of a stage among those that can't keep their aim; the least goes first."""
    return (stage.is_first, stage.rank, stage.aim_at)


def _list_pieces(stages: Sequence[WaitingStage]) -> list[WaitingPiece]:
    """Return the pieces of stages, in order."""
    return [piece for stage in stages for piece in stage.pieces]
