"""Selects the pieces of one call from the queue."""

from typing import Final

from damsonlane.pools._waiting import CallCapacity, WaitingPiece

#: Time that a piece must have left after waiting for a target in the data centre of its
#: inputs, in full calls; with less it runs elsewhere and its inputs are transferred.
CALLS_AFTER_WAIT: Final = 1.2
#: Longest wait for such a target, in seconds.  A wait shorter than one full call would send
#: pieces away from their inputs whenever a call had just begun there.
HOME_WAIT_SECONDS: Final = 0.6
#: Relative margin added to the announced result size of pieces with inputs.  If the target
#: rejects such a piece for lack of result memory, its inputs may be evicted before a retry.
SIZE_MARGIN: Final = 0.08
#: Time that a stage must have left, in full calls, to wait for a call that takes all its pieces.
CALLS_TO_WAIT_FOR_WHOLE_STAGE: Final = 2.0


def fill_batch(
    ordered: list[WaitingPiece], now: float, capacity: CallCapacity
) -> list[WaitingPiece]:
    """Return the pieces of one call, within its batch size and the free result memory.

    Args:
        ordered: the pieces that may run, most urgent first.
        now: the monotonic clock, in seconds.
        capacity: the target that takes the call.
    """
    fitting = [piece for piece in ordered if _may_run_at(piece, now, capacity)]
    groups = _group(_prefer_local(fitting, capacity))
    batch = _take_groups(groups, now, capacity)
    if not batch and groups:
        # Running a part of the most urgent stage is better than leaving the target idle.
        return _take(groups[0], capacity.batch, capacity.result_memory_bytes)
    return batch


def _take_groups(
    groups: list[list[WaitingPiece]], now: float, capacity: CallCapacity
) -> list[WaitingPiece]:
    """Return the pieces of all groups that fit completely, and parts of those that may be split.

    The pieces of one stage of a request run in one call if possible: split over several calls,
    the first results would occupy result memory until the last piece is computed.
    """
    batch: list[WaitingPiece] = []
    memory_bytes = float(capacity.result_memory_bytes)
    for group in groups:
        taken = _take(group, capacity.batch - len(batch), memory_bytes)
        if len(taken) < len(group) and not _may_split(group, now, capacity):
            continue
        memory_bytes -= sum(map(_estimate_size, taken))
        batch.extend(taken)
    return batch


def _prefer_local(pieces: list[WaitingPiece], capacity: CallCapacity) -> list[WaitingPiece]:
    """Return pieces reordered so that pieces for this data centre come first.

    Only pieces that run at the same time change places: their order decides where each one
    runs, not when.
    """
    at_once = capacity.pieces_at_once
    indexed = sorted(
        enumerate(pieces),
        key=lambda item: (item[0] // at_once, item[1].order.home != capacity.data_centre),
    )
    return [piece for _, piece in indexed]


def _group(pieces: list[WaitingPiece]) -> list[list[WaitingPiece]]:
    """Return pieces grouped by stage and request, in the order of each group's first piece."""
    groups: dict[tuple[str, str, int], list[WaitingPiece]] = {}
    for piece in pieces:
        groups.setdefault(piece.group, []).append(piece)
    return list(groups.values())


def _take(group: list[WaitingPiece], limit: int, memory_bytes: float) -> list[WaitingPiece]:
    """Return the leading pieces of a group that fit a number of pieces and some result memory."""
    taken: list[WaitingPiece] = []
    for piece in group[:limit]:
        memory_bytes -= _estimate_size(piece)
        if memory_bytes < 0:
            break
        taken.append(piece)
    return taken


def _estimate_size(piece: WaitingPiece) -> float:
    """Return the result memory to allow for the result of a piece, in bytes."""
    size = piece.order.result_bytes
    return size * (1.0 + SIZE_MARGIN) if piece.order.inputs else size


def _may_split(group: list[WaitingPiece], now: float, capacity: CallCapacity) -> bool:
    """Return whether a group may run in several calls: it exceeds one call, or cannot wait."""
    is_too_large = len(group) > capacity.batch
    is_short_of_time = (
        group[0].objective_at < now + CALLS_TO_WAIT_FOR_WHOLE_STAGE * capacity.full_seconds
    )
    return is_too_large or is_short_of_time


def _may_run_at(piece: WaitingPiece, now: float, capacity: CallCapacity) -> bool:
    """Return whether a piece may run here rather than wait for a target in its home data centre."""
    home = piece.order.home
    if home in ("", capacity.data_centre) or home not in capacity.seconds_until_free:
        return True
    if capacity.seconds_until_free[home] > HOME_WAIT_SECONDS:
        return True
    begins_at = now + capacity.seconds_until_free[home]
    return piece.objective_at < begins_at + CALLS_AFTER_WAIT * capacity.full_seconds
