"""Persistent state of a replica."""

from typing import Final

from damsonlane.consensus._messages import HardState, LogEntry, Members, Snapshot
from damsonlane.consensus._output import Persist
from damsonlane.records import dataclass

#: Snapshot of an empty data folder.
EMPTY_SNAPSHOT: Final = Snapshot(index=0, term=0, members=Members(voters=()), state="")


@dataclass(frozen=True, kw_only=True)
class PersistentState:
    """Everything that must survive a crash of the replica."""

    #: Current term and vote.
    hard_state: HardState
    #: Last snapshot.
    snapshot: Snapshot
    #: Entries after the snapshot.
    entries: tuple[LogEntry, ...] = ()

    def with_persist(self, persist: Persist) -> "PersistentState":
        """Return the persistent state after a write."""
        snapshot = self.snapshot
        entries = list(self.entries)
        if persist.snapshot is not None:
            snapshot = persist.snapshot
            entries.clear()
        if persist.entries:
            del entries[persist.entries[0].index - snapshot.index - 1 :]
            entries.extend(persist.entries)
        return PersistentState(
            hard_state=persist.hard_state or self.hard_state,
            snapshot=snapshot,
            entries=tuple(entries),
        )
