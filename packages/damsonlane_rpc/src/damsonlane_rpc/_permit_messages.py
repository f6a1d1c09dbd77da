"""Messages by which boxes report rate limits to control and request permits."""

from typing import Annotated, Final, Literal

from pydantic import Field

from damsonlane.ratelimit import Permit, PermitRequest, RateLimitReport
from damsonlane.records import dataclass
from damsonlane_rpc._methods import unary_method
from damsonlane_rpc._outcomes import NotLeader


@dataclass(frozen=True, kw_only=True)
class PermitBatchRequest:
    """A box's request to the leader for permits, with its reports of rate limits."""

    #: Service of the targets for which permits are requested.
    service: str = ""
    #: Requests that need permits.
    orders: tuple[PermitRequest, ...] = ()
    #: Rate limits that targets of any service announced.
    words: tuple[RateLimitReport, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Permits:
    """The permits that the leader issues."""

    kind: Literal["permits"] = "permits"
    #: One for each order.
    permits: tuple[Permit, ...]


@dataclass(frozen=True, kw_only=True)
class PermitBatchReply:
    """Reply to a request for permits."""

    #: The permits, or which replica is the leader.
    outcome: Annotated[Permits | NotLeader, Field(discriminator="kind")]


PERMIT: Final = unary_method("/damsonlane.Control/Permit", PermitBatchRequest, PermitBatchReply)
