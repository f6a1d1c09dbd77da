"""Selects the pieces of one call from the queue."""

from collections.abc import Iterator, Sequence
from typing import Final

from damsonlane.pools._schedule import WaitingStage
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
    ordered: Sequence[WaitingStage], now: float, capacity: CallCapacity, slots: int | None = None
) -> list[WaitingPiece]:
    """Return the pieces of one call, within its batch size and the free result memory.

    Args:
        ordered: the stages whose pieces may run, most urgent first.
        now: the monotonic clock, in seconds.
        capacity: the target that takes the call.
        slots: maximum number of pieces to return; the batch size if None.
    """
    limit = capacity.batch if slots is None else slots
    batch: list[WaitingPiece] = []
    memory_bytes = float(capacity.result_memory_bytes)
    first: WaitingStage | None = None
    for stage in _prefer_local(ordered, now, capacity):
        first = first or stage
        left = limit - len(batch)
        if len(stage.pieces) > left and not _may_split(stage, now, capacity):
            continue
        taken = _take(stage, left, memory_bytes)
        if len(taken) < len(stage.pieces) and not _may_split(stage, now, capacity):
            continue
        memory_bytes -= sum(map(_estimate_size, taken))
        batch.extend(taken)
        if len(batch) >= limit:
            break
    if not batch and first is not None:
        # Running a part of the most urgent stage is better than leaving the target idle.
        return _take(first, limit, capacity.result_memory_bytes)
    return batch


def _prefer_local(
    ordered: Sequence[WaitingStage], now: float, capacity: CallCapacity
) -> Iterator[WaitingStage]:
    """Yield the stages that may run here, reordered so that those for this data centre come first.

    Only stages that run at the same time change places: their order decides where each one
    runs, not when.
    """
    wave: list[WaitingStage] = []
    pieces = 0
    for stage in ordered:
        if not may_run_at(stage, now, capacity):
            continue
        wave.append(stage)
        pieces += len(stage.pieces)
        if pieces >= capacity.pieces_at_once:
            yield from sorted(wave, key=lambda stage: stage.home != capacity.data_centre)
            wave, pieces = [], 0
    yield from sorted(wave, key=lambda stage: stage.home != capacity.data_centre)


def _take(stage: WaitingStage, limit: int, memory_bytes: float) -> list[WaitingPiece]:
    """Return the leading pieces of a stage that fit a number of pieces and some result memory.

    The pieces of one stage of a request run in one call if possible: split over several calls,
    the first results would occupy result memory until the last piece is computed.
    """
    taken: list[WaitingPiece] = []
    for piece in stage.pieces[:limit]:
        memory_bytes -= _estimate_size(piece)
        if memory_bytes < 0:
            break
        taken.append(piece)
    return taken


def _estimate_size(piece: WaitingPiece) -> float:
    """Return the result memory to allow for the result of a piece, in bytes."""
    size = piece.order.result_bytes
    return size * (1.0 + SIZE_MARGIN) if piece.order.inputs else size


def _may_split(stage: WaitingStage, now: float, capacity: CallCapacity) -> bool:
    """Return whether a stage may run in several calls: it exceeds one call, or cannot wait."""
    is_too_large = len(stage.pieces) > capacity.batch
    is_short_of_time = (
        stage.objective_at < now + CALLS_TO_WAIT_FOR_WHOLE_STAGE * capacity.full_seconds
    )
    return is_too_large or is_short_of_time


def may_run_at(stage: WaitingStage, now: float, capacity: CallCapacity) -> bool:
    """Return whether a stage may run here rather than wait for a target in its home data centre."""
    home = stage.home
    if home in ("", capacity.data_centre) or home not in capacity.seconds_until_free:
        return True
    if capacity.seconds_until_free[home] > HOME_WAIT_SECONDS:
        return True
    begins_at = now + capacity.seconds_until_free[home]
    return stage.objective_at < begins_at + CALLS_AFTER_WAIT * capacity.full_seconds
