"""Messages by which one box orders pieces of stages from another."""

import operator
from dataclasses import replace
from typing import Annotated, Literal

from pydantic import Field

from damsonlane.records import dataclass

#: Why a piece was not computed: it was too late for its deadline or its latency objective,
#: one of its inputs is lost, or no target could compute it.
PieceFault = Literal["late", "lost-input", "failed"]


@dataclass(frozen=True, kw_only=True)
class PieceOrder:
    """One piece of one stage of one request."""

    #: Number chosen by the sender; the result repeats it.
    number: int
    #: Id of the request.
    request: str
    #: Index of the stage in the route.
    stage: int
    #: Index of the piece in the stage.
    piece: int
    #: Key of the material of the request, for a stage without inputs from other stages.
    material_key: str
    #: Handles of the results that the piece needs as inputs.
    inputs: tuple[str, ...]
    #: Seconds left until the deadline, after which nobody waits for the result.
    left_seconds: float
    #: Seconds left until the result is too late for the latency objective; may be negative.
    aim_left_seconds: float
    #: Seconds left in which the request may be abandoned; after that its caller has
    #: waited so long that a late answer is better than none.
    give_up_left_seconds: float
    #: Priority rank; 0 comes first.
    rank: int
    #: Approximate size of the result, in bytes.
    result_bytes: int
    #: Whether the caller retried too late to meet the latency objective; such pieces go after
    #: others of the same rank.
    is_late_return: bool = False
    #: Whether the answer to the request has begun, or results of other stages exist.
    is_begun: bool = False
    #: Fingerprint of the request, the same for every retry of it.
    fingerprint: str = ""
    #: Names of what the pieces of the request share with those of others.  Messages omit this field
    #: where there is nothing.
    shared_causes: Annotated[tuple[str, ...], Field(exclude_if=operator.not_)] = ()
    #: Data centre where the piece should run, since its inputs or the consumer of its
    #: result are there; empty when little data would have to be transferred.
    home: str = ""
    #: Organisation of the caller where organisations share the pool fairly; empty otherwise.
    #: Messages omit this field and the next one unless they are set, so that those of deployments
    #: without these policies stay as they are.
    organisation: Annotated[str, Field(exclude_if=operator.not_)] = ""
    #: Whether a result that misses the latency objective is wanted if it meets the deadline.
    may_be_late: Annotated[bool, Field(exclude_if=operator.not_)] = False

    def deduct_elapsed(self, seconds: float) -> "PieceOrder":
        """Return the order with the seconds since it was first placed deducted."""
        return replace(
            self,
            left_seconds=self.left_seconds - seconds,
            aim_left_seconds=self.aim_left_seconds - seconds,
            give_up_left_seconds=self.give_up_left_seconds - seconds,
        )


@dataclass(frozen=True, kw_only=True)
class PieceResult:
    """Outcome of a piece."""

    #: Number of the order.
    number: int
    #: Handle of the result at its pool target; empty when there is none.
    handle: str = ""
    #: Why there is no result, or None.
    fault: PieceFault | None = None
    #: Estimated queueing time of a piece that arrived now, in seconds.
    wait_seconds: float = 0.0
    #: Whether the piece was returned unprocessed because the pool has another owner now,
    #: to which it should be sent instead.
    is_returned: bool = False
