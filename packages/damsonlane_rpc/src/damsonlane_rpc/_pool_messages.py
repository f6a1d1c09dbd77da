"""Messages between entries and the owners of stage pools."""

from typing import Final

from grpclib.const import Cardinality

from damsonlane.placement import Placement, PlacementRequest, PromptOutcome
from damsonlane.pools import PieceOrder, PieceResult
from damsonlane.ratelimit import Permit, PermitRequest, RateLimitReport
from damsonlane.records import dataclass
from damsonlane_rpc._methods import Method


@dataclass(frozen=True, kw_only=True)
class PoolOrders:
    """What an entry sends to the owner of a pool; empty to keep the stream alive."""

    #: The service whose targets form the pool.
    service: str
    #: Index of the shard of this service that the pieces and results below belong to.
    shard: int = 0
    #: Pieces to compute.
    orders: tuple[PieceOrder, ...] = ()
    #: Numbers of cancelled orders, whose results nothing waits for any more.
    withdrawn: tuple[int, ...] = ()
    #: Handles of results that were used or discarded.
    freed: tuple[str, ...] = ()
    #: Prompts to place, if the targets are engines.
    prompts: tuple[PlacementRequest, ...] = ()
    #: Outcomes of placed prompts.
    reads: tuple[PromptOutcome, ...] = ()
    #: Requests that need permits, since their targets announced rate limits.
    permits: tuple[PermitRequest, ...] = ()
    #: Rate limits that targets of the service announced, as the sender knows them.
    words: tuple[RateLimitReport, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PoolResults:
    """What the owner of a pool sends to an entry; empty to keep the stream alive."""

    #: Results, in any order.
    results: tuple[PieceResult, ...] = ()
    #: Numbers of orders whose inputs a target has read; their pieces are still being computed.
    read: tuple[int, ...] = ()
    #: The engines at which prompts are placed.
    placements: tuple[Placement, ...] = ()
    #: Permits for requests to targets that announced rate limits.
    permits: tuple[Permit, ...] = ()


POOL: Final = Method(
    path="/damsonlane.Pool/Exchange",
    cardinality=Cardinality.STREAM_STREAM,
    request=PoolOrders,
    reply=PoolResults,
)
