"""What one step of a replica collects until it is handed out."""

from dataclasses import dataclass, field

from damsonlane.agreement._messages import Envelope, Message, Snapshot
from damsonlane.agreement._output import ReadReady


@dataclass
class Outbox:
    """The parts of an output in the making; mutable, one for each step."""

    #: Identity of the group.
    cluster: str
    #: Replica that speaks.
    sender: str
    #: First entry that is not yet on the disk.
    unsynced_from: int
    #: Whether term or vote changed.
    has_new_hard_state: bool = False
    #: A snapshot that replaced everything.
    installed: Snapshot | None = None
    #: Messages to send.
    envelopes: list[Envelope] = field(default_factory=list)
    #: Reads that may be answered.
    ready: list[ReadReady] = field(default_factory=list)
    #: Reads that can't be answered here.
    failed: list[int] = field(default_factory=list)

    def send(self, receiver: str, message: Message) -> None:
        """Add a message, unless it is to the sender itself."""
        if receiver != self.sender:
            self.envelopes.append(
                Envelope(
                    cluster=self.cluster, sender=self.sender, receiver=receiver, message=message
                )
            )

    def note_unsynced(self, index: int) -> None:
        """Note that the entry at ``index`` is not on the disk as it is in memory."""
        self.unsynced_from = min(self.unsynced_from, index)
