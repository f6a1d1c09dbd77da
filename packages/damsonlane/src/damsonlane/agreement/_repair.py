"""Which changes of its members a group needs, without an operator."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from damsonlane.agreement._messages import Member, Members
from damsonlane.agreement._replica import Replica

#: Seconds of silence after which a learner, or a voter beyond the wanted number, is removed.
SILENCE_SECONDS: Final = 2.0


@dataclass(frozen=True, kw_only=True)
class Applicant:
    """A replica that asks a leader where it stands."""

    #: Its name, drawn anew when its disk was lost.
    replica: str
    #: Internal address of its box, which stays.
    address: str
    #: Identity of the group that it knows; empty when it has none.
    cluster: str


@dataclass(frozen=True, kw_only=True)
class Admission:
    """A replica is let in, as a learner first."""

    #: The new member.
    member: Member


@dataclass(frozen=True, kw_only=True)
class Removal:
    """A member is removed."""

    #: The member.
    member: Member
    #: Why, for a person.
    reason: str


@dataclass(frozen=True, kw_only=True)
class Verdict:
    """Where an applicant stands, as a leader sees it."""

    #: Whether it was a member and was removed, so that it must start anew.  Only
    #: a leader that a quorum confirms may say so: the applicant empties its disk.
    is_outsider: bool = False
    #: The change of the group that lets it in, or the first of two; None where it
    #: is in already.
    change: Admission | Removal | None = None


def judge_applicant(members: Members, applicant: Applicant) -> Verdict:
    """Tell where an applicant stands.

    A box that comes back without its disk has a new name at its old address, so
    the old name is removed first and the new one let in when it asks again.

    Args:
        members: the group as its leader knows it.
        applicant: who asks.
    """
    if any(member.replica == applicant.replica for member in members.everyone()):
        return Verdict()
    if applicant.cluster:
        return Verdict(is_outsider=True)
    for member in members.everyone():
        if member.address == applicant.address:
            reason = "its box came back without its disk"
            return Verdict(change=Removal(member=member, reason=reason))
    admitted = Member(replica=applicant.replica, address=applicant.address)
    return Verdict(change=Admission(member=admitted))


def may_say_outsider(replica: Replica) -> bool:
    """Tell whether a confirmed leader's list of members is final.

    A removal that is not committed may be undone by another leader, for whom the
    applicant still votes and holds what was accepted.
    """
    return replica.is_leader and replica.is_members_committed()


def find_gone(
    members: Members, silence_of: Callable[[str], float], wanted_voters: int
) -> Removal | None:
    """Return the member that a leader should remove, or None.

    A silent voter stays until more vote than are wanted: a slow or cut off box
    comes back, and a vote lost for nothing makes the group weaker.

    Args:
        members: the group.
        silence_of: returns the seconds since a member was last heard.
        wanted_voters: voters that the group should have.
    """
    silent = [m for m in members.learners if silence_of(m.replica) > SILENCE_SECONDS]
    if silent:
        return Removal(member=silent[0], reason="it fell silent while learning")
    if len(members.voters) <= wanted_voters:
        return None
    longest = max(members.voters, key=lambda member: silence_of(member.replica))
    if silence_of(longest.replica) <= SILENCE_SECONDS:
        return None
    reason = "it is silent and more replicas vote than are wanted"
    return Removal(member=longest, reason=reason)


def may_found(own_address: str, seeds: Sequence[str], *, is_first_start: bool) -> bool:
    """Tell whether a box that knows no group founds one: the least of the seeds, once."""
    return is_first_start and own_address == min(seeds)
