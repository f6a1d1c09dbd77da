"""The output of one step of a replica while it is being collected."""

from dataclasses import dataclass, field

from damsonlane.consensus._messages import Envelope, Message, Snapshot
from damsonlane.consensus._output import ReadReady


@dataclass
class Outbox:
    """Collects the parts of one output; mutable, one per step."""

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
