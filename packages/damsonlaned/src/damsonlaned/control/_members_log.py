"""Log lines about committed changes of the members of the control group."""

import logging
from collections.abc import Sequence
from typing import Final

from damsonlane.consensus import Member, Members

_LOG: Final = logging.getLogger(__name__)


class MembersLog:
    """Logs how each committed change altered the members of the group.

    Args:
        members: the members known so far; empty if this replica knows none yet.
    """

    def __init__(self, members: Members) -> None:
        self._members = members

    def record(self, members: Members, index: int) -> None:
        """Log which replicas joined, left, gained or lost their vote, and the members now.

        Args:
            members: members in force from a log entry on.
            index: index of that entry.
        """
        before, self._members = self._members, members
        if members == before:
            return
        _LOG.info(
            "members of the group changed",
            extra={
                "joined": _list_added(before.all_members(), members.all_members()),
                "left": _list_added(members.all_members(), before.all_members()),
                "promoted": [name for name in _names(members.voters) if before.is_learner(name)],
                "demoted": [name for name in _names(members.learners) if before.is_voter(name)],
                "voters": _names(members.voters),
                "learners": _names(members.learners),
                "entry": index,
            },
        )


def _list_added(before: Sequence[Member], after: Sequence[Member]) -> list[str]:
    known = set(_names(before))
    return [name for name in _names(after) if name not in known]


def _names(members: Sequence[Member]) -> list[str]:
    return [member.replica for member in members]
