"""The job ledger, which makes requests with a job key run at most once."""

from damsonlane.ledger._horizon import HORIZON_SECONDS, read_key_time
from damsonlane.ledger._jobs import (
    ClaimJob,
    DropJob,
    FinishJob,
    Job,
    JobCommand,
    JobKey,
    JobReply,
    Phase,
    StartJob,
    Verdict,
)
from damsonlane.ledger._ledger import Ledger
from damsonlane.ledger._token import Holder, read_holder

__all__ = [
    "HORIZON_SECONDS",
    "ClaimJob",
    "DropJob",
    "FinishJob",
    "Holder",
    "Job",
    "JobCommand",
    "JobKey",
    "JobReply",
    "Ledger",
    "Phase",
    "StartJob",
    "Verdict",
    "read_holder",
    "read_key_time",
]
