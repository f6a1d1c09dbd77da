"""What replicas store and say to each other."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field


@dataclass(frozen=True, kw_only=True)
class Member:
    """One replica of the group.

    A replica's name is never used again: it holds the box and an incarnation
    drawn when its data folder was first written, so a box that lost its disk
    comes back under another name.
    """

    #: Name of the replica.
    replica: str
    #: Internal address of its box.
    address: str


@dataclass(frozen=True, kw_only=True)
class Members:
    """The group as one log entry describes it."""

    kind: Literal["members"] = "members"
    #: Replicas whose votes count.
    voters: tuple[Member, ...]
    #: Replicas that are sent the log and do not vote yet.
    learners: tuple[Member, ...] = ()

    def everyone(self) -> tuple[Member, ...]:
        """Return voters, then learners."""
        return self.voters + self.learners

    def is_voter(self, replica: str) -> bool:
        """Tell whether a replica's vote counts."""
        return any(member.replica == replica for member in self.voters)

    def is_learner(self, replica: str) -> bool:
        """Tell whether a replica learns."""
        return any(member.replica == replica for member in self.learners)

    def quorum(self) -> int:
        """Return how many voters make a majority."""
        return len(self.voters) // 2 + 1

    def with_learner(self, member: Member) -> "Members":
        """Return the group with one more learner."""
        return Members(voters=self.voters, learners=(*self.learners, member))

    def with_promoted(self, replica: str) -> "Members":
        """Return the group with a learner made a voter."""
        promoted = tuple(member for member in self.learners if member.replica == replica)
        learners = tuple(member for member in self.learners if member.replica != replica)
        return Members(voters=self.voters + promoted, learners=learners)

    def without(self, replica: str) -> "Members":
        """Return the group without a replica."""
        voters = tuple(member for member in self.voters if member.replica != replica)
        learners = tuple(member for member in self.learners if member.replica != replica)
        return Members(voters=voters, learners=learners)


@dataclass(frozen=True, kw_only=True)
class Noop:
    """The entry with which a new leader opens its term."""

    kind: Literal["noop"] = "noop"


@dataclass(frozen=True, kw_only=True)
class Opaque:
    """An encoded command, which this package does not look into."""

    kind: Literal["opaque"] = "opaque"
    #: The command as text.
    text: str


Body = Annotated[Members | Noop | Opaque, Field(discriminator="kind")]


@dataclass(frozen=True, kw_only=True)
class LogEntry:
    """One entry of the replicated log."""

    #: Place in the log, counted from 1.
    index: int
    #: Term of the leader that wrote it.
    term: int
    #: What it says.
    body: Body


@dataclass(frozen=True, kw_only=True)
class HardState:
    """What a replica must never forget."""

    #: Latest term seen.
    term: int = 0
    #: Replica that got this replica's vote in that term, or an empty string.
    voted_for: str = ""


@dataclass(frozen=True, kw_only=True)
class Snapshot:
    """The state after an entry, in place of all entries up to it."""

    #: Index of the last entry it holds.
    index: int
    #: Term of that entry.
    term: int
    #: The group after that entry.
    members: Members
    #: The encoded state.
    state: str


@dataclass(frozen=True, kw_only=True)
class VoteRequest:
    """A candidate asks for a vote."""

    kind: Literal["vote-request"] = "vote-request"
    #: Term for which the vote is asked.
    term: int
    #: Index of the candidate's last entry.
    last_index: int
    #: Term of the candidate's last entry.
    last_term: int
    #: Whether this only sounds out if a vote would be granted.
    is_trial: bool


@dataclass(frozen=True, kw_only=True)
class VoteReply:
    """The answer to a candidate."""

    kind: Literal["vote-reply"] = "vote-reply"
    #: Term of the vote, or the replica's own term when refused.
    term: int
    #: Whether the vote is granted.
    is_granted: bool
    #: Whether the request was a trial.
    is_trial: bool


@dataclass(frozen=True, kw_only=True)
class AppendRequest:
    """A leader sends entries; without entries it is a heartbeat."""

    kind: Literal["append-request"] = "append-request"
    #: Term of the leader.
    term: int
    #: Index of the entry before the first one sent.
    previous_index: int
    #: Term of that entry.
    previous_term: int
    #: Entries in order, maybe none.
    entries: tuple[LogEntry, ...]
    #: Highest index known to be committed.
    commit: int
    #: Number of the leader's confirmation round.
    round: int
    #: Seconds since the leader last had word from a quorum; None before it had.
    quorum_age: float | None = None


@dataclass(frozen=True, kw_only=True)
class SnapshotRequest:
    """A leader sends its snapshot to a replica that lags behind the log."""

    kind: Literal["snapshot-request"] = "snapshot-request"
    #: Term of the leader.
    term: int
    #: The snapshot.
    snapshot: Snapshot
    #: Number of the leader's confirmation round.
    round: int


@dataclass(frozen=True, kw_only=True)
class AppendReply:
    """The answer to entries or a snapshot."""

    kind: Literal["append-reply"] = "append-reply"
    #: Term of the replying replica.
    term: int
    #: Whether the entry before the first one matched.
    is_success: bool
    #: On success the highest index known to match the leader's log, else a
    #: hint: the highest index that might.
    match: int
    #: Round of the request that this answers.
    round: int


Message = Annotated[
    VoteRequest | VoteReply | AppendRequest | SnapshotRequest | AppendReply,
    Field(discriminator="kind"),
]


@dataclass(frozen=True, kw_only=True)
class Envelope:
    """A message between two replicas of one group."""

    #: Identity of the group.
    cluster: str
    #: Replica that speaks.
    sender: str
    #: Replica spoken to.
    receiver: str
    #: What is said.
    message: Message
    #: Internal address of the box that speaks; a replica that has just joined
    #: does not find its leader in the part of the log that it holds.
    sender_address: str = ""
