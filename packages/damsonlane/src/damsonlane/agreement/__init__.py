"""Raft consensus: replicated log, elections, snapshots, learners and linearizable reads."""

from damsonlane.agreement._log import Log
from damsonlane.agreement._messages import (
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
from damsonlane.agreement._output import Output, Persist, ReadReady
from damsonlane.agreement._repair import (
    Admission,
    Applicant,
    Removal,
    Verdict,
    find_gone,
    judge_applicant,
    may_found,
    may_say_outsider,
)
from damsonlane.agreement._replica import Replica
from damsonlane.agreement._stored import EMPTY_SNAPSHOT, Stored

__all__ = [
    "EMPTY_SNAPSHOT",
    "Admission",
    "AppendReply",
    "AppendRequest",
    "Applicant",
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
    "Removal",
    "Replica",
    "Snapshot",
    "SnapshotRequest",
    "Stored",
    "Verdict",
    "VoteReply",
    "VoteRequest",
    "find_gone",
    "judge_applicant",
    "may_found",
    "may_say_outsider",
]
