"""Output of a replica: what the surrounding process must do after each step."""

from damsonlane.consensus._messages import Envelope, HardState, LogEntry, Snapshot
from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class Persist:
    """What must be written and synced before the rest of the output is carried out."""

    #: New term and vote, or None if they did not change.
    hard_state: HardState | None = None
    #: New snapshot that replaces the whole log, or None.
    snapshot: Snapshot | None = None
    #: Entries to write; stored entries from the first index on are replaced.
    entries: tuple[LogEntry, ...] = ()

    def is_empty(self) -> bool:
        """Return whether there is nothing to write."""
        return self.hard_state is None and self.snapshot is None and not self.entries


@dataclass(frozen=True, kw_only=True)
class ReadReady:
    """A confirmed read, which may run once the state holds all entries up to an index."""

    #: Reference that was passed to `Replica.read`.
    reference: int
    #: Index of the last entry that must be applied before the read.
    index: int


@dataclass(frozen=True, kw_only=True)
class Output:
    """Output of one step, to be carried out in the order of the fields."""

    #: First: write and sync, then call `Replica.acknowledge_persist`.
    persist: Persist = Persist()
    #: Then: send; messages may be lost, duplicated or delayed.
    envelopes: tuple[Envelope, ...] = ()
    #: Then: replace the state by this snapshot, if it is not None.
    installed: Snapshot | None = None
    #: Then: apply these entries in order.
    committed: tuple[LogEntry, ...] = ()
    #: Then: run these reads.
    reads: tuple[ReadReady, ...] = ()
    #: References of reads that failed because leadership was lost.
    failed_reads: tuple[int, ...] = ()
