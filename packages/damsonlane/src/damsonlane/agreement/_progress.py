"""What a leader knows of each other replica."""

from dataclasses import dataclass


@dataclass
class Progress:
    """How far a replica follows; mutable, owned by the leader."""

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
