"""Replication progress of the other members, as tracked by the leader."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from damsonlane.consensus._messages import Members


@dataclass
class Progress:
    """Replication progress of one member; mutable, owned by the leader."""

    #: Index of the next entry to send.
    next_index: int
    #: Highest index known to be synced at the member.
    match: int = 0
    #: Latest confirmation round that it acknowledged.
    round: int = 0
    #: When it last replied, or was added, in seconds of the leader's clock.
    last_reply_at: float = 0.0
    #: When an unacknowledged snapshot was last sent to it, in seconds, or minus infinity.
    snapshot_at: float = float("-inf")


class Followers:
    """Progress of each other member, while this replica leads."""

    def __init__(self) -> None:
        self._progress: dict[str, Progress] = {}

    def __iter__(self) -> Iterator[str]:
        return iter(self._progress)

    def find(self, replica: str) -> Progress | None:
        """Return the progress of a replica, or None if it is not tracked."""
        return self._progress.get(replica)

    def clear(self) -> None:
        """Stop tracking all members."""
        self._progress.clear()

    def set_members(self, members: Members, own: str, next_index: int, now: float) -> None:
        """Track exactly these members; new ones start at ``next_index``."""
        names = {member.replica for member in members.all_members()} - {own}
        for removed in set(self._progress) - names:
            del self._progress[removed]
        for name in sorted(names - set(self._progress)):
            self._progress[name] = Progress(next_index=next_index, last_reply_at=now)

    def rewind_silent(self, replied_before: float) -> None:
        """Resend entries after the matching index to members that have not replied since a time.

        A member whose matching index is unknown is not rewound: that would call for a snapshot,
        while its reply to a heartbeat tells which entries it lacks.
        """
        for progress in self._progress.values():
            if progress.match and progress.last_reply_at < replied_before:
                progress.next_index = progress.match + 1

    def count_responsive(self, members: Members, own: str, since: float) -> int:
        """Return how many voters have replied since a time, this replica included."""
        return sum(
            1
            for member in members.voters
            if member.replica == own or self._last_reply_at(member.replica) >= since
        )

    def quorum_contact_at(self, members: Members, own: str, now: float) -> float:
        """Return the latest time since which a quorum has replied, this replica included."""

        def last_reply_at(replica: str) -> float:
            return now if replica == own else self._last_reply_at(replica)

        times = sorted(last_reply_at(member.replica) for member in members.voters)
        return times[len(times) - members.quorum()] if times else float("-inf")

    def _last_reply_at(self, replica: str) -> float:
        progress = self._progress.get(replica)
        return progress.last_reply_at if progress else float("-inf")


def find_majority(members: Members, value_of: Callable[[str], int]) -> int:
    """Return the highest value that a majority of voters has reached."""
    values = sorted(value_of(member.replica) for member in members.voters)
    return values[len(values) - members.quorum()] if values else 0
