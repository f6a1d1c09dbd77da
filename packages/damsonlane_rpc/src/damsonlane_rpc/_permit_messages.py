"""Messages by which boxes tell control of rate limits, and ask it for permits."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field

from damsonlane.ratelimit import Permit, PermitOrder, RateWord
from damsonlane_rpc._messages import NotLeader


@dataclass(frozen=True, kw_only=True)
class PermitRequest:
    """What a box tells the leader, and asks of it."""

    #: Service of the targets for which permits are asked.
    service: str = ""
    #: Requests that need permits.
    orders: tuple[PermitOrder, ...] = ()
    #: What targets of any service said.
    words: tuple[RateWord, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Permits:
    """The leader's answer."""

    kind: Literal["permits"] = "permits"
    #: One for each order.
    permits: tuple[Permit, ...]


@dataclass(frozen=True, kw_only=True)
class PermitReply:
    """What came of it."""

    #: The permits, or who leads.
    outcome: Annotated[Permits | NotLeader, Field(discriminator="kind")]
