"""What a replica asks of the process around it."""

from dataclasses import dataclass

from damsonlane.agreement._messages import Envelope, HardState, LogEntry, Snapshot


@dataclass(frozen=True, kw_only=True)
class Persist:
    """What must be on disk, synced, before anything else of the output is done."""

    #: New term and vote, or None if they did not change.
    hard_state: HardState | None = None
    #: New snapshot that replaces the whole log, or None.
    snapshot: Snapshot | None = None
    #: Entries to write; those already stored from the first index on are replaced.
    entries: tuple[LogEntry, ...] = ()

    def is_empty(self) -> bool:
        """Tell whether there is nothing to write."""
        return self.hard_state is None and self.snapshot is None and not self.entries


@dataclass(frozen=True, kw_only=True)
class ReadReady:
    """A read may be answered once the state holds all entries up to an index."""

    #: The reference given with the read.
    reference: int
    #: Index that the state must have reached.
    index: int


@dataclass(frozen=True, kw_only=True)
class Output:
    """The outcome of one step, to be carried out in the order of the fields."""

    #: First: write and sync, then call `Replica.acknowledge_persist`.
    persist: Persist = Persist()
    #: Then: send; a message may get lost, doubled or late.
    envelopes: tuple[Envelope, ...] = ()
    #: Then: replace the state by this snapshot, if there is one.
    installed: Snapshot | None = None
    #: Then: apply these entries in order.
    committed: tuple[LogEntry, ...] = ()
    #: Then: answer these reads.
    reads: tuple[ReadReady, ...] = ()
    #: Reads that can't be answered here any more.
    failed_reads: tuple[int, ...] = ()
