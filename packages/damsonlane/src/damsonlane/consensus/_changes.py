"""Checks of the membership changes that a leader is asked for."""

from damsonlane.consensus._messages import Member, Members
from damsonlane.errors import GroupChangeError


def add_learner(members: Members, added: Member) -> Members:
    """Return the members with a learner added.

    Raises:
        GroupChangeError: it is already a member.
    """
    if any(known.replica == added.replica for known in members.all_members()):
        raise GroupChangeError(f"replica '{added.replica}' is a member already")
    return members.with_learner(added)


def remove_member(members: Members, replica: str) -> Members:
    """Return the members without one of them.

    Raises:
        GroupChangeError: it is not a member, or it is the last voter.
    """
    if not any(known.replica == replica for known in members.all_members()):
        raise GroupChangeError(f"replica '{replica}' is not a member")
    if members.is_voter(replica) and len(members.voters) == 1:
        raise GroupChangeError(f"replica '{replica}' is the last voter")
    return members.without(replica)


def demote_voter(members: Members, replica: str) -> Members:
    """Return the members with a voter turned into a learner.

    Raises:
        GroupChangeError: it is not a voter, or it is the last one.
    """
    if not members.is_voter(replica):
        raise GroupChangeError(f"replica '{replica}' is not a voter")
    if len(members.voters) == 1:
        raise GroupChangeError(f"replica '{replica}' is the last voter")
    return members.with_demoted(replica)
