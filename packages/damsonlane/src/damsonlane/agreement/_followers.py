"""What a leader knows of all other members."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from damsonlane.agreement._messages import Members


@dataclass
class Progress:
    """How far one replica follows; mutable, owned by the leader."""

    #: Index of the next entry to send.
    next_index: int
    #: Highest index known to be synced there.
    match: int = 0
    #: Latest confirmation round it answered.
    round: int = 0
    #: When it last answered, in seconds of the leader's clock.
    heard_at: float = 0.0
    #: When a snapshot was last sent to it, or minus infinity.
    snapshot_at: float = float("-inf")


class Followers:
    """Progress of each other member, while this replica leads."""

    def __init__(self) -> None:
        self._progress: dict[str, Progress] = {}

    def __iter__(self) -> Iterator[str]:
        return iter(self._progress)

    def find(self, replica: str) -> Progress | None:
        """Return the progress of a replica, or None when it does not follow."""
        return self._progress.get(replica)

    def clear(self) -> None:
        """Forget everyone."""
        self._progress.clear()

    def follow(self, members: Members, own: str, next_index: int, now: float) -> None:
        """Take over a group: new members start at ``next_index``, gone ones are forgotten."""
        names = {member.replica for member in members.everyone()} - {own}
        for gone in set(self._progress) - names:
            del self._progress[gone]
        for name in sorted(names - set(self._progress)):
            self._progress[name] = Progress(next_index=next_index, heard_at=now)

    def restart_silent(self, heard_before: float) -> None:
        """Send again from what is known to match to those that were not heard since."""
        for progress in self._progress.values():
            if progress.heard_at < heard_before:
                progress.next_index = progress.match + 1

    def count_heard(self, members: Members, own: str, since: float) -> int:
        """Return how many voters were heard since a moment, this replica included."""
        return sum(
            1
            for member in members.voters
            if member.replica == own or self._heard_at(member.replica) >= since
        )

    def quorum_heard_at(self, members: Members, own: str, now: float) -> float:
        """Return the latest moment by which a quorum had been heard, this replica included."""

        def heard_at(replica: str) -> float:
            return now if replica == own else self._heard_at(replica)

        times = sorted(heard_at(member.replica) for member in members.voters)
        return times[len(times) - members.quorum()] if times else float("-inf")

    def _heard_at(self, replica: str) -> float:
        progress = self._progress.get(replica)
        return progress.heard_at if progress else float("-inf")


def find_majority(members: Members, value_of: Callable[[str], int]) -> int:
    """Return the highest value that a majority of voters has reached."""
    values = sorted(value_of(member.replica) for member in members.voters)
    return values[len(values) - members.quorum()] if values else 0
