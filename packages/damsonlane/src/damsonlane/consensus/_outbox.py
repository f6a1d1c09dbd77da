"""The output of one step of a replica while it is being collected."""

from dataclasses import dataclass, field

from damsonlane.consensus._log import Log
from damsonlane.consensus._messages import Envelope, HardState, Message, Snapshot
from damsonlane.consensus._output import Output, Persist, ReadReady


@dataclass
class Outbox:
    """Collects the parts of one output; mutable, emptied after each step."""

    #: Identity of the group.
    cluster: str
    #: Name of this replica.
    sender: str
    #: Index of the first entry that is not yet synced to disk.
    unsynced_from: int
    #: Whether the term or the vote changed.
    has_new_hard_state: bool = False
    #: Snapshot from the leader that replaced the whole log, or None.
    installed: Snapshot | None = None
    #: Messages to send.
    envelopes: list[Envelope] = field(default_factory=list)
    #: Confirmed reads.
    ready: list[ReadReady] = field(default_factory=list)
    #: References of reads that failed because leadership was lost.
    failed: list[int] = field(default_factory=list)

    def send(self, receiver: str, message: Message) -> None:
        """Queue a message, unless it is addressed to this replica."""
        if receiver != self.sender:
            self.envelopes.append(
                Envelope(
                    cluster=self.cluster, sender=self.sender, receiver=receiver, message=message
                )
            )

    def mark_unsynced(self, index: int) -> None:
        """Record that the entry at ``index`` and later ones must be written to disk."""
        self.unsynced_from = min(self.unsynced_from, index)

    def take_output(self, log: Log, hard_state: HardState) -> Output:
        """Return the output, and begin the next one.

        Args:
            log: the log of this replica.
            hard_state: its term and vote.
        """
        output = Output(
            persist=Persist(
                hard_state=hard_state if self.has_new_hard_state else None,
                snapshot=self.installed,
                entries=log.between(self.unsynced_from, log.last_index),
            ),
            envelopes=tuple(self.envelopes),
            installed=self.installed,
            committed=log.take_committed(),
            reads=tuple(self.ready),
            failed_reads=tuple(self.failed),
        )
        self._clear(log.last_index + 1)
        return output

    def _clear(self, unsynced_from: int) -> None:
        self.unsynced_from = unsynced_from
        self.has_new_hard_state = False
        self.installed = None
        self.envelopes.clear()
        self.ready.clear()
        self.failed.clear()
