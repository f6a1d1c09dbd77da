"""Raft consensus: replicated log, elections, snapshots, learners and linearizable reads."""

from damsonlane.consensus._log import Log
from damsonlane.consensus._messages import (
    AppendReply,
    AppendRequest,
    Envelope,
    HardState,
    LogEntry,
    Member,
    Members,
    Noop,
    Opaque,
    Snapshot,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from damsonlane.consensus._output import Output, Persist, ReadReady
from damsonlane.consensus._repair import (
    JoinCandidate,
    JoinDecision,
    MemberAddition,
    MemberRemoval,
    can_confirm_removal,
    evaluate_candidate,
    find_member_to_remove,
    may_bootstrap_group,
)
from damsonlane.consensus._replica import Replica
from damsonlane.consensus._stored import EMPTY_SNAPSHOT, PersistentState

__all__ = [
    "EMPTY_SNAPSHOT",
    "MemberAddition",
    "AppendReply",
    "AppendRequest",
    "JoinCandidate",
    "Envelope",
    "HardState",
    "Log",
    "LogEntry",
    "Member",
    "Members",
    "Noop",
    "Opaque",
    "Output",
    "Persist",
    "ReadReady",
    "MemberRemoval",
    "Replica",
    "Snapshot",
    "SnapshotRequest",
    "PersistentState",
    "JoinDecision",
    "VoteReply",
    "VoteRequest",
    "find_member_to_remove",
    "evaluate_candidate",
    "may_bootstrap_group",
    "can_confirm_removal",
]
