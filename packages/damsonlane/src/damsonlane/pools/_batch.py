"""Choosing the pieces of one call from those that wait."""

from typing import Final

from damsonlane.pools._waiting import Offer, WaitingPiece

#: Full calls that a piece must still have time for after the wait, so that it waits for
#: a target beside its inputs rather than have them sent to another data centre.
CALLS_AFTER_WAIT: Final = 1.2
#: Longest wait for such a target, in seconds: a call or two, as long as the request keeps
#: its aim.  With 0.2 s pieces left their inputs whenever a full call had just begun beside
#: them.  Results sent to other data centres cost 0.021 of a day's worth instead of 0.027, and
#: the day gains 0.024 in all (mean of fifteen pairs of days, standard error 0.008).
HOME_WAIT_SECONDS: Final = 0.6
#: Share by which results may be larger than told, reckoned for pieces with inputs:
#: refused for want of room, they may find their inputs given up.  One in six was
#: refused where calls filled the room to a tenth.
SIZE_MARGIN: Final = 0.08
#: Full calls that a stage must still have time for, so that its pieces wait for
#: a call that takes them all.
CALLS_TO_WAIT_FOR_ROOM: Final = 2.0


def fill_batch(ordered: list[WaitingPiece], now: float, offer: Offer) -> list[WaitingPiece]:
    """Return the pieces of one call, within its size and the room for its results.

    Args:
        ordered: the pieces that may run, most urgent first.
        now: the time by the monotonic clock.
        offer: the target that takes the call.
    """
    fitting = [piece for piece in ordered if _may_run_at(piece, now, offer)]
    groups = _group(_put_near_first(fitting, offer))
    batch = _take_groups(groups, now, offer)
    if not batch and groups:
        # A part of the most urgent stage is better than a target that stands idle.
        return _take(groups[0], offer.batch, offer.room)
    return batch


def _take_groups(groups: list[list[WaitingPiece]], now: float, offer: Offer) -> list[WaitingPiece]:
    """Return the pieces of all groups that fit whole, and parts of those that may be split.

    The pieces of one stage of a request go together: made by different calls,
    the first ones would take room at their makers until the last is made.
    """
    batch: list[WaitingPiece] = []
    room = float(offer.room)
    for group in groups:
        taken = _take(group, offer.batch - len(batch), room)
        if len(taken) < len(group) and not _may_split(group, now, offer):
            continue
        room -= sum(map(_reckon_size, taken))
        batch.extend(taken)
    return batch


def _put_near_first(pieces: list[WaitingPiece], offer: Offer) -> list[WaitingPiece]:
    """Return pieces with those first, of as many as run at once, that belong to this data centre.

    Whatever runs at once begins at about the same time, so the order among
    them decides only where each one runs.
    """
    at_once = offer.pieces_at_once
    ranked = sorted(
        enumerate(pieces),
        key=lambda item: (item[0] // at_once, item[1].order.home != offer.data_centre),
    )
    return [piece for _, piece in ranked]


def _group(pieces: list[WaitingPiece]) -> list[list[WaitingPiece]]:
    """Return pieces by stage and request, each group at the place of its first piece."""
    groups: dict[tuple[str, str, int], list[WaitingPiece]] = {}
    for piece in pieces:
        groups.setdefault(piece.group, []).append(piece)
    return list(groups.values())


def _take(group: list[WaitingPiece], most: int, room: float) -> list[WaitingPiece]:
    """Return the first pieces of a group that fit a number and a room."""
    taken: list[WaitingPiece] = []
    for piece in group[:most]:
        room -= _reckon_size(piece)
        if room < 0:
            break
        taken.append(piece)
    return taken


def _reckon_size(piece: WaitingPiece) -> float:
    """Return the room to reckon for the result of a piece."""
    size = piece.order.result_bytes
    return size * (1.0 + SIZE_MARGIN) if piece.order.inputs else size


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
    begins_at = now + offer.free_in[home]
    return piece.aim_at < begins_at + CALLS_AFTER_WAIT * offer.full_seconds
