"""Messages between replicas, and the types that they store."""

from typing import Annotated, Literal

from pydantic import Field

from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class Member:
    """One replica of the group.

    A replica's name is never reused: it consists of the box and an incarnation
    drawn when its data folder was first written, so a box that lost its disk
    returns under another name.
    """

    #: Name of the replica.
    replica: str
    #: Internal address of its box.
    address: str


@dataclass(frozen=True, kw_only=True)
class Members:
    """Members of the group, as one log entry lists them."""

    kind: Literal["members"] = "members"
    #: Replicas whose votes count.
    voters: tuple[Member, ...]
    #: Replicas that receive the log and do not vote yet.
    learners: tuple[Member, ...] = ()

    def all_members(self) -> tuple[Member, ...]:
        """Return all members: voters, then learners."""
        return self.voters + self.learners

    def address_of(self, replica: str) -> str:
        """Return the address of a member, or an empty string if it is none."""
        for member in self.all_members():
            if member.replica == replica:
                return member.address
        return ""

    def is_voter(self, replica: str) -> bool:
        """Return whether a replica is a voter."""
        return any(member.replica == replica for member in self.voters)

    def is_learner(self, replica: str) -> bool:
        """Return whether a replica is a learner."""
        return any(member.replica == replica for member in self.learners)

    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def with_learner(self, member: Member) -> "Members":
        """Return the members with one more learner."""
        return Members(voters=self.voters, learners=(*self.learners, member))

    def with_promoted(self, replica: str) -> "Members":
        """Return the members with a learner promoted to voter."""
        promoted = tuple(member for member in self.learners if member.replica == replica)
        learners = tuple(member for member in self.learners if member.replica != replica)
        return Members(voters=self.voters + promoted, learners=learners)

    def with_demoted(self, replica: str) -> "Members":
        """Return the members with a voter demoted to learner."""
        demoted = tuple(member for member in self.voters if member.replica == replica)
        voters = tuple(member for member in self.voters if member.replica != replica)
        return Members(voters=voters, learners=self.learners + demoted)

    def without(self, replica: str) -> "Members":
        """Return the members without a replica."""
        voters = tuple(member for member in self.voters if member.replica != replica)
        learners = tuple(member for member in self.learners if member.replica != replica)
        return Members(voters=voters, learners=learners)


@dataclass(frozen=True, kw_only=True)
class Noop:
    """The entry that a new leader appends at the start of its term."""

    kind: Literal["noop"] = "noop"


@dataclass(frozen=True, kw_only=True)
class Opaque:
    """An encoded command, which this package does not decode."""

    kind: Literal["opaque"] = "opaque"
    #: The command as text.
    text: str


Body = Annotated[Members | Noop | Opaque, Field(discriminator="kind")]


@dataclass(frozen=True, kw_only=True)
class LogEntry:
    """One entry of the replicated log."""

    #: Position in the log, counted from 1.
    index: int
    #: Term of the leader that appended it.
    term: int
    #: Content of the entry.
    body: Body


@dataclass(frozen=True, kw_only=True)
class HardState:
    """Term and vote, which must survive a crash."""

    #: Latest term seen.
    term: int = 0
    #: Replica voted for in that term, or an empty string.
    voted_for: str = ""


@dataclass(frozen=True, kw_only=True)
class Snapshot:
    """The state after an entry, which replaces all entries up to it."""

    #: Index of the last entry that it includes.
    index: int
    #: Term of that entry.
    term: int
    #: Members in force after that entry.
    members: Members
    #: Encoded state.
    state: str


@dataclass(frozen=True, kw_only=True)
class VoteRequest:
    """A request for a vote, or for a pre-vote (``is_trial``)."""

    kind: Literal["vote-request"] = "vote-request"
    #: Term for which the vote is requested.
    term: int
    #: Index of the candidate's last entry.
    last_index: int
    #: Term of the candidate's last entry.
    last_term: int
    #: Whether this is a pre-vote, which asks if a vote would be granted.
    is_trial: bool


@dataclass(frozen=True, kw_only=True)
class VoteReply:
    """The reply to a vote request."""

    kind: Literal["vote-reply"] = "vote-reply"
    #: Term of the vote, or the replica's current term if it is not granted.
    term: int
    #: Whether the vote is granted.
    is_granted: bool
    #: Whether the request was a pre-vote.
    is_trial: bool


@dataclass(frozen=True, kw_only=True)
class AppendRequest:
    """Entries from the leader; without entries it is a heartbeat."""

    kind: Literal["append-request"] = "append-request"
    #: Term of the leader.
    term: int
    #: Index of the entry that precedes the first one sent.
    previous_index: int
    #: Term of that entry.
    previous_term: int
    #: Entries in order; may be empty.
    entries: tuple[LogEntry, ...]
    #: Highest index known to be committed.
    commit: int
    #: Number of the leader's confirmation round.
    round: int
    #: Seconds since a quorum last replied to the leader; None if it has not yet.
    quorum_age: float | None = None


@dataclass(frozen=True, kw_only=True)
class SnapshotRequest:
    """A snapshot from the leader, for a replica that lacks entries no longer in the log."""

    kind: Literal["snapshot-request"] = "snapshot-request"
    #: Term of the leader.
    term: int
    #: The snapshot.
    snapshot: Snapshot
    #: Number of the leader's confirmation round.
    round: int


@dataclass(frozen=True, kw_only=True)
class AppendReply:
    """The reply to entries or a snapshot."""

    kind: Literal["append-reply"] = "append-reply"
    #: Term of the replying replica.
    term: int
    #: Whether the entry that precedes the first one matched.
    is_success: bool
    #: On success the highest index known to match the leader's log, otherwise
    #: the highest index that may match.
    match: int
    #: Confirmation round of the request.
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
    #: Replica that sends.
    sender: str
    #: Replica that receives.
    receiver: str
    #: The message.
    message: Message
    #: Internal address of the sender's box; a replica that has just joined
    #: cannot look up its leader in the part of the log that it holds.
    sender_address: str = ""
