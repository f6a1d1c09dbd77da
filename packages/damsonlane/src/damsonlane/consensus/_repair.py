"""Membership changes that the group makes by itself, without an operator."""

from collections.abc import Callable, Sequence
from typing import Final

from damsonlane.consensus._messages import Member, Members
from damsonlane.consensus._replica import Replica
from damsonlane.records import dataclass

#: Seconds without a reply after which a learner or a surplus voter is removed.
SILENCE_SECONDS: Final = 2.0


@dataclass(frozen=True, kw_only=True)
class JoinCandidate:
    """A replica that asks a leader to be a member of the group."""

    #: Name of the replica; it gets a new one after the loss of its disk.
    replica: str
    #: Internal address of its box; it stays the same after the loss of its disk.
    address: str
    #: Identity of the group that it has stored, or an empty string.
    cluster: str


@dataclass(frozen=True, kw_only=True)
class MemberAddition:
    """Addition of a member, as a learner."""

    #: The member to add.
    member: Member


@dataclass(frozen=True, kw_only=True)
class MemberRemoval:
    """Removal of a member."""

    #: The member to remove.
    member: Member
    #: Reason for the log message.
    reason: str


@dataclass(frozen=True, kw_only=True)
class JoinDecision:
    """A leader's decision on an applicant."""

    #: Whether it was removed from the group and must start again as a new replica.
    #: The applicant then erases its disk, so only a leader that a quorum confirms
    #: may report this.
    was_removed: bool = False
    #: The membership change that admits it, or the first of two; None if it is
    #: already a member or was removed.
    change: MemberAddition | MemberRemoval | None = None


def evaluate_candidate(members: Members, applicant: JoinCandidate) -> JoinDecision:
    """Decide which membership change an applicant needs.

    A box that lost its disk returns with a new name at its old address.  The old
    name is removed first; the new one is added when the box asks again.

    Args:
        members: the leader's current members.
        applicant: the replica that asks.
    """
    if any(member.replica == applicant.replica for member in members.all_members()):
        return JoinDecision()
    if applicant.cluster:
        return JoinDecision(was_removed=True)
    for member in members.all_members():
        if member.address == applicant.address:
            reason = "its box restarted without its disk"
            return JoinDecision(change=MemberRemoval(member=member, reason=reason))
    admitted = Member(replica=applicant.replica, address=applicant.address)
    return JoinDecision(change=MemberAddition(member=admitted))


def can_confirm_removal(replica: Replica) -> bool:
    """Return whether a confirmed leader may report to a replica that it was removed.

    An uncommitted removal may be undone by another leader, for which the applicant
    is still a voter whose log is needed.
    """
    return replica.is_leader and replica.is_members_committed()


def find_member_to_remove(
    members: Members, silence_of: Callable[[str], float], wanted_voters: int
) -> MemberRemoval | None:
    """Return the member that the leader should remove, or None.

    A voter that does not reply stays until there are more voters than wanted: a slow
    or partitioned box may return, and removing it would only reduce the fault
    tolerance of the group.

    Args:
        members: the leader's current members.
        silence_of: returns the seconds since a member last replied.
        wanted_voters: number of voters that the group should have.
    """
    silent_learners = [m for m in members.learners if silence_of(m.replica) > SILENCE_SECONDS]
    if silent_learners:
        return MemberRemoval(member=silent_learners[0], reason="the learner stopped replying")
    if len(members.voters) <= wanted_voters:
        return None
    most_silent = max(members.voters, key=lambda member: silence_of(member.replica))
    if silence_of(most_silent.replica) <= SILENCE_SECONDS:
        return None
    reason = "the voter stopped replying and the group has more voters than wanted"
    return MemberRemoval(member=most_silent, reason=reason)


def may_bootstrap_group(own_address: str, seeds: Sequence[str], *, is_first_start: bool) -> bool:
    """Return whether a box without a group founds one: the lowest seed, at the first start."""
    return is_first_start and own_address == min(seeds)
