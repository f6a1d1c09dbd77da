"""Outcomes that several calls have in common."""

from typing import Literal

from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class NotLeader:
    """Only the leader can answer, and this replica is not the leader."""

    kind: Literal["not-leader"] = "not-leader"
    #: Internal address of the leader; empty if unknown.
    leader: str


@dataclass(frozen=True, kw_only=True)
class Unconfirmed:
    """The outcome is unknown, since no quorum answered in time."""

    kind: Literal["unconfirmed"] = "unconfirmed"


@dataclass(frozen=True, kw_only=True)
class Forbidden:
    """The operator may not do this."""

    kind: Literal["forbidden"] = "forbidden"
    #: The reason.
    detail: str


@dataclass(frozen=True, kw_only=True)
class Done:
    """The request was accepted; a change of the group may still be under way."""

    kind: Literal["done"] = "done"
