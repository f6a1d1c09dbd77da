"""Decides whose events are parsed in a turn of an event loop."""

from collections import deque
from collections.abc import Callable
from typing import Final, Generic, TypeVar

#: Events of one request that are parsed without waiting, and with each grant.  An ordinary request
#: has fewer.
EVENTS_PER_GRANT: Final = 64
#: Grants in a turn of the loop, for all connections together.
GRANTS_PER_TURN: Final = 2

_T = TypeVar("_T")


class TurnQueue(Generic[_T]):
    """Connections that have parsed many events of a request, in the order of their next grant.

    A connection whose request is in very many parts joins again after each grant, behind the
    others, so each gets the same number of events, and other work gets the rest of each turn.

    Args:
        is_waiting: returns whether a member still waits; members may give up at any time.
    """

    def __init__(self, is_waiting: Callable[[_T], bool]) -> None:
        self._is_waiting: Final = is_waiting
        self._members: Final[deque[_T]] = deque()

    def join(self, member: _T) -> None:
        """Let a member wait behind the others."""
        self._members.append(member)

    def take(self) -> tuple[_T, ...]:
        """Remove and return the members that get a grant in this turn."""
        granted: list[_T] = []
        while self._members and len(granted) < GRANTS_PER_TURN:
            member = self._members.popleft()
            if self._is_waiting(member):
                granted.append(member)
        return tuple(granted)

    def __len__(self) -> int:
        """Return the number of members, with those that gave up."""
        return len(self._members)
