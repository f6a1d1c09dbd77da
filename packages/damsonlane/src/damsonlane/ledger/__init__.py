"""The job ledger, which makes requests with a job key run at most once."""

from typing import TYPE_CHECKING

from damsonlane.deferred import import_at_use

if TYPE_CHECKING:
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
else:
    __getattr__ = import_at_use(
        __name__,
        {
            "_horizon": (
                "HORIZON_SECONDS",
                "read_key_time",
            ),
            "_jobs": (
                "ClaimJob",
                "DropJob",
                "FinishJob",
                "Job",
                "JobCommand",
                "JobKey",
                "JobReply",
                "Phase",
                "StartJob",
                "Verdict",
            ),
            "_ledger": ("Ledger",),
            "_token": (
                "Holder",
                "read_holder",
            ),
        },
    )

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
