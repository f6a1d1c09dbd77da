"""What a replica has on its disk."""

from dataclasses import dataclass
from typing import Final

from damsonlane.agreement._messages import HardState, LogEntry, Members, Snapshot
from damsonlane.agreement._output import Persist

#: The snapshot of a folder that holds nothing.
EMPTY_SNAPSHOT: Final = Snapshot(index=0, term=0, members=Members(voters=()), state="")


@dataclass(frozen=True, kw_only=True)
class Stored:
    """Everything that a replica must find again after a crash."""

    #: Term and vote.
    hard_state: HardState
    #: Last snapshot.
    snapshot: Snapshot
    #: Entries after it.
    entries: tuple[LogEntry, ...] = ()

    def with_persist(self, persist: Persist) -> "Stored":
        """Return what is stored after a write."""
        snapshot = self.snapshot
        entries = list(self.entries)
        if persist.snapshot is not None:
            snapshot = persist.snapshot
            entries.clear()
        if persist.entries:
            del entries[persist.entries[0].index - snapshot.index - 1 :]
            entries.extend(persist.entries)
        return Stored(
            hard_state=persist.hard_state or self.hard_state,
            snapshot=snapshot,
            entries=tuple(entries),
        )
