"""Membership changes that the group makes by itself, without an operator."""

from collections.abc import Callable, Sequence
from typing import Final

from damsonlane.consensus._messages import Member, Members
from damsonlane.consensus._replica import Replica
from damsonlane.records import dataclass

#: Seconds without a reply after which a surplus voter is demoted to learner.  It is short, since
#: a learner that replies again is promoted at once and keeps its disk.
VOTER_SILENCE_SECONDS: Final = 1.0
#: Seconds without a reply after which a learner is removed; a box may restart in that time.
LEARNER_SILENCE_SECONDS: Final = 10.0


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
class MemberDemotion:
    """Demotion of a voter to learner."""

    #: The member to demote.
    member: Member
    #: Reason for the log message.
    reason: str


#: A membership change that the group makes by itself.
MemberChange = MemberAddition | MemberRemoval | MemberDemotion


@dataclass(frozen=True, kw_only=True)
class DepartureDecision:
    """A leader's decision on a replica whose process is about to end."""

    #: Whether the process may end now.
    may_end: bool = False
    #: The membership change that is needed before; None if there is none.
    change: MemberDemotion | None = None


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


def evaluate_departure(
    members: Members, replica: str, silence_of: Callable[[str], float], wanted_voters: int
) -> DepartureDecision:
    """Decide what must happen before the process of a replica ends.

    A surplus voter is demoted first: the quorum of an even number of voters tolerates no more
    losses than that of one voter less, and the process that ends would be one of these losses.
    While a learner catches up, the voter waits for it.  A learner keeps its disk and its name,
    so a process that only restarts is promoted again as soon as it replies.

    Args:
        members: the leader's current members.
        replica: name of the replica.
        silence_of: returns the seconds since a member last replied.
        wanted_voters: number of voters that the group should have.
    """
    leaving = next((member for member in members.voters if member.replica == replica), None)
    if leaving is None:
        return DepartureDecision(may_end=True)
    if len(members.voters) > wanted_voters:
        reason = "its process is about to end and the group has more voters than wanted"
        return DepartureDecision(change=MemberDemotion(member=leaving, reason=reason))
    is_learning = any(silence_of(m.replica) <= VOTER_SILENCE_SECONDS for m in members.learners)
    return DepartureDecision(may_end=not is_learning)


def find_lost_member(
    members: Members,
    silence_of: Callable[[str], float],
    has_ended: Callable[[str], bool],
    wanted_voters: int,
) -> MemberRemoval | MemberDemotion | None:
    """Return the change that a silent member calls for, or None.

    A voter that does not reply stays until there are more voters than wanted: a slow
    or partitioned box may return, and removing it would only reduce the fault
    tolerance of the group.

    Args:
        members: the leader's current members.
        silence_of: returns the seconds since a member last replied.
        has_ended: returns whether the process of a member is known to have ended.
        wanted_voters: number of voters that the group should have.
    """
    if len(members.voters) > wanted_voters:
        lost = max(members.voters, key=lambda m: (has_ended(m.replica), silence_of(m.replica)))
        if has_ended(lost.replica) or silence_of(lost.replica) > VOTER_SILENCE_SECONDS:
            reason = "the voter stopped replying and the group has more voters than wanted"
            return MemberDemotion(member=lost, reason=reason)
    for learner in members.learners:
        if silence_of(learner.replica) > LEARNER_SILENCE_SECONDS:
            return MemberRemoval(member=learner, reason="the learner stopped replying")
    return None


def may_bootstrap_group(own_address: str, seeds: Sequence[str], *, is_first_start: bool) -> bool:
    """Return whether a box without a group founds one: the lowest seed, at the first start."""
    return is_first_start and own_address == min(seeds)
