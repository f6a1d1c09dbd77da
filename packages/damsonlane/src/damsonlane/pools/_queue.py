"""Pieces that wait for a target of their pool, and which of them run next."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from damsonlane.pools._pieces import PieceOrder
from damsonlane.pools._taken import TakenWork

#: Seconds by which one step of rank puts a piece back behind another.  Two steps
#: are more than the spread of aims (1.6 to 3.6 s), so under load the least urgent
#: requests are refused first; 0.4 s served less on all days of high load (policy.md).
SECONDS_PER_RANK: Final = 1.5
#: Full calls that a piece must still have time for, so that it waits for a
#: target beside its inputs rather than have them sent to another data centre.
CALLS_TO_WAIT: Final = 3.0
#: Largest share of a pool that is reckoned to go to more urgent pieces: they come
#: in waves of a few seconds, so a less urgent one is never told to wait for ever.
MOST_TAKEN_SHARE: Final = 0.7
#: Full calls that a stage must still have time for, so that its pieces wait for
#: a call that takes them all.
CALLS_TO_WAIT_FOR_ROOM: Final = 2.0
#: Longest wait for such a target, in seconds.  Inputs take room at their makers
#: meanwhile, which binds the pool before this one when traffic is high.
HOME_WAIT_SECONDS: Final = 0.2


@dataclass(frozen=True, kw_only=True)
class WaitingPiece:
    """A piece in the queue."""

    #: The order.
    order: PieceOrder
    #: Who ordered it; results go back there.
    sender: str
    #: When nobody waits for it any more, by the monotonic clock.
    due_at: float
    #: When its result must be there to keep its request in aim.
    aim_at: float
    #: Until when its request may be given up.
    give_up_until: float = float("inf")
    #: How often it was sent to a target already.
    attempts: int = 0

    @property
    def identity(self) -> tuple[str, int]:
        """Sender and number of the order."""
        return (self.sender, self.order.number)

    @property
    def is_first(self) -> bool:
        """Whether nothing has been done for its request yet."""
        return not (self.order.inputs or self.order.is_begun or self.attempts)

    @property
    def group(self) -> tuple[str, str, int]:
        """Sender, request and stage; the pieces of one group are needed together."""
        return (self.sender, self.order.request, self.order.stage)


@dataclass(frozen=True, kw_only=True)
class Offer:
    """A target that could take a call, and the pool it belongs to."""

    #: Its data centre.
    data_centre: str
    #: Bytes free for results there.
    room: int
    #: Seconds until a target is free in each data centre that has one that works.
    free_in: Mapping[str, float]
    #: Targets of the pool that work.
    targets: int
    #: Most pieces in one call.
    batch: int
    #: Time of a call besides its pieces, in seconds.
    call_seconds: float
    #: Time of one piece, in seconds.
    piece_seconds: float

    @property
    def full_seconds(self) -> float:
        """Time of a call with as many pieces as it may have."""
        return self.call_seconds + self.batch * self.piece_seconds

    @property
    def pieces_per_second(self) -> float:
        """Most pieces that the pool makes in a second."""
        return self.batch * max(1, self.targets) / self.full_seconds


@dataclass(frozen=True, kw_only=True)
class Selection:
    """What the queue gives out for one call."""

    #: Pieces to run, most urgent first.
    batch: tuple[WaitingPiece, ...]
    #: Pieces whose time has run out, or will before their turn; no longer in the queue.
    late: tuple[WaitingPiece, ...]


class PieceQueue:
    """Waiting pieces of one pool."""

    def __init__(self) -> None:
        self._waiting: dict[tuple[str, int], WaitingPiece] = {}
        self._taken: Final = TakenWork()

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

    def forecast(self, now: float, offer: Offer, like: PieceOrder) -> float:
        """Return the seconds until a piece like another one would begin if it came now.

        Only pieces that go before it count: not the late ones, nor those that
        are less urgent.
        """
        soonest = now + offer.call_seconds + offer.piece_seconds
        due = now + like.aim_left_seconds + like.rank * SECONDS_PER_RANK
        ahead = sum(_urgency(piece, soonest) <= (0, due) for piece in self._waiting.values())
        return ahead / offer.pieces_per_second * self._stretch(like.rank, now, offer)

    def select(self, now: float, offer: Offer) -> Selection:
        """Take out the pieces for one call, and those that are too late."""
        soonest = now + offer.call_seconds + offer.piece_seconds
        late = [piece for piece in self._waiting.values() if piece.due_at < soonest]
        self._remove(late)
        ordered = sorted(self._waiting.values(), key=lambda piece: _urgency(piece, soonest))
        hopeless = self._find_hopeless(ordered, now, offer)
        self._remove(hopeless)
        batch = _fill(ordered, hopeless, now, offer)
        self._remove(batch)
        for piece in batch:
            self._taken.note(piece.order.rank, now)
        return Selection(batch=tuple(batch), late=(*late, *hopeless))

    def _find_hopeless(
        self, ordered: list[WaitingPiece], now: float, offer: Offer
    ) -> list[WaitingPiece]:
        """Return the pieces whose request would miss its aim in this queue.

        Those of requests that are not begun are told so while their callers can
        still come back.  A begun one is given up as well, since its results take
        the room of answers that are in time, but not once its caller has waited
        for long.  While there are fewer pieces than the targets take at once,
        nothing is hopeless.
        """
        at_once = offer.batch * max(1, offer.targets)
        hopeless: list[WaitingPiece] = []
        for place, piece in enumerate(ordered):
            ahead = place - len(hopeless)
            if ahead < at_once or not (piece.is_first or now < piece.give_up_until):
                continue
            rounds = ahead // at_once * self._stretch(piece.order.rank, now, offer)
            begins_at = now + rounds * offer.full_seconds
            if begins_at + offer.full_seconds > piece.aim_at:
                hopeless.append(piece)
        return hopeless

    def _stretch(self, rank: int, now: float, offer: Offer) -> float:
        """Return how many times longer pieces of a rank wait, since more urgent ones still come.

        What came lately is reckoned to go on: its share of the pool is not there for others.
        """
        share = self._taken.rate_before(rank, now) / offer.pieces_per_second
        return 1.0 / (1.0 - min(MOST_TAKEN_SHARE, share))

    def _remove(self, pieces: list[WaitingPiece]) -> None:
        for piece in pieces:
            del self._waiting[piece.identity]


def _fill(
    ordered: list[WaitingPiece], passed_over: list[WaitingPiece], now: float, offer: Offer
) -> list[WaitingPiece]:
    """Return the pieces of one call, within its size and the room for its results.

    The pieces of one stage of a request go together: made by different calls,
    the first ones would take room at their makers until the last is made.
    """
    left_out = {piece.identity for piece in passed_over}
    fitting = [
        piece
        for piece in ordered
        if piece.identity not in left_out and _may_run_at(piece, now, offer)
    ]
    batch: list[WaitingPiece] = []
    room = offer.room
    groups = _group(_put_near_first(fitting, offer))
    for group in groups:
        taken = _take(group, offer.batch - len(batch), room)
        if len(taken) < len(group) and not _may_split(group, now, offer):
            continue
        room -= sum(piece.order.result_bytes for piece in taken)
        batch.extend(taken)
    if not batch and groups:
        # A part of the most urgent stage is better than a target that stands idle.
        return _take(groups[0], offer.batch, room)
    return batch


def _put_near_first(pieces: list[WaitingPiece], offer: Offer) -> list[WaitingPiece]:
    """Return pieces with those first, of as many as run at once, that belong to this data centre.

    Whatever runs at once begins at about the same time, so the order among
    them decides only where each one runs.
    """
    at_once = offer.batch * max(1, offer.targets)
    placed = enumerate(pieces)
    ranked = sorted(
        placed, key=lambda item: (item[0] // at_once, item[1].order.home != offer.data_centre)
    )
    return [piece for _, piece in ranked]


def _group(pieces: list[WaitingPiece]) -> list[list[WaitingPiece]]:
    """Return pieces by stage and request, each group at the place of its first piece."""
    groups: dict[tuple[str, str, int], list[WaitingPiece]] = {}
    for piece in pieces:
        groups.setdefault(piece.group, []).append(piece)
    return list(groups.values())


def _take(group: list[WaitingPiece], most: int, room: int) -> list[WaitingPiece]:
    """Return the first pieces of a group that fit a number and a room."""
    taken: list[WaitingPiece] = []
    for piece in group[:most]:
        room -= piece.order.result_bytes
        if room < 0:
            break
        taken.append(piece)
    return taken


def _may_split(group: list[WaitingPiece], now: float, offer: Offer) -> bool:
    """Tell whether a group may run in several calls: if it must, or has no time to wait."""
    is_too_large = len(group) > offer.batch
    is_short_of_time = group[0].aim_at < now + CALLS_TO_WAIT_FOR_ROOM * offer.full_seconds
    return is_too_large or is_short_of_time


def _may_run_at(piece: WaitingPiece, now: float, offer: Offer) -> bool:
    """Tell whether a piece may run away from its inputs: only where waiting would cost more."""
    home = piece.order.home
    if home in ("", offer.data_centre) or home not in offer.free_in:
        return True
    if offer.free_in[home] > HOME_WAIT_SECONDS:
        return True
    return piece.aim_at < now + CALLS_TO_WAIT * offer.full_seconds


def _urgency(piece: WaitingPiece, soonest: float) -> tuple[int, float]:
    """Return the class of a piece, 0 first, and when it is due by its request's aim and rank.

    What can still be in aim goes before what can't: a late answer is worth a
    fraction, and finishing it first would make the next ones late as well.
    Among the late ones, those that are begun go first, since their earlier
    stages are paid for.
    """
    due = piece.aim_at + piece.order.rank * SECONDS_PER_RANK
    if piece.aim_at >= soonest:
        return (0, due)
    return (2, due) if piece.is_first else (1, due)
