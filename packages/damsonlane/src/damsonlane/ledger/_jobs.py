"""Jobs that may run at most once, as the ledger records them."""

from dataclasses import replace
from typing import Literal

from damsonlane.records import dataclass

#: A job is claimed, then either started and perhaps finished, or dropped.
#: A dropped job has not run and its key may be claimed again.
Phase = Literal["claimed", "started", "finished", "dropped", "expired"]


@dataclass(frozen=True, kw_only=True)
class JobKey:
    """The name of a job, unique within an organisation."""

    #: Organisation that owns the job.
    organisation: str
    #: Key chosen by the caller.
    key: str


@dataclass(frozen=True, kw_only=True)
class Job:
    """The record of one job."""

    #: Name of the job.
    name: JobKey
    #: SHA-256 digest of the request, in hexadecimal.
    digest: str
    #: Token of the claim in force; only its holder may start the job.
    token: str
    #: Phase of the job.
    phase: Phase
    #: When the claim was made, in seconds since 1970.
    claimed_at: float
    #: The answer to return again, once finished.
    answer: str = ""

    def with_phase(self, phase: Phase, answer: str = "") -> "Job":
        """Return the record in another phase."""
        return replace(self, phase=phase, answer=answer)


@dataclass(frozen=True, kw_only=True)
class ClaimJob:
    """Claim a key; if it is claimed, started or finished already, only its state is reported."""

    kind: Literal["claim-job"] = "claim-job"
    #: Name of the job.
    name: JobKey
    #: Digest of the request.
    digest: str
    #: Token of this claim, unique for each handling of a request.
    token: str
    #: Time by the wall clock of the entry, in seconds since 1970.
    at: float


@dataclass(frozen=True, kw_only=True)
class StartJob:
    """Record that the job may have been sent to a target from now on."""

    kind: Literal["start-job"] = "start-job"
    #: Name of the job.
    name: JobKey
    #: Token of the claim.
    token: str


@dataclass(frozen=True, kw_only=True)
class FinishJob:
    """Record the complete answer of a started job."""

    kind: Literal["finish-job"] = "finish-job"
    #: Name of the job.
    name: JobKey
    #: Token of the claim.
    token: str
    #: The answer to store.
    answer: str


@dataclass(frozen=True, kw_only=True)
class DropJob:
    """Record that a claim will never run."""

    kind: Literal["drop-job"] = "drop-job"
    #: Name of the job.
    name: JobKey
    #: Token of the claim to drop; that of another entry during a takeover.
    token: str
    #: Set only by the holder, when it started the job but sent no byte of it.
    is_unsent: bool = False


#: Any command to the ledger.
JobCommand = ClaimJob | StartJob | FinishJob | DropJob

Verdict = Literal["done", "busy", "mismatch", "refused", "too-old"]


@dataclass(frozen=True, kw_only=True)
class JobReply:
    """The reply of the ledger to a job command."""

    kind: Literal["job-reply"] = "job-reply"
    #: Whether the command took effect, and if not, why.
    verdict: Verdict
    #: Phase of the record after the command.
    phase: Phase
    #: Token of the claim in force.
    token: str = ""
    #: The stored answer of a finished job.
    answer: str = ""
    #: Whether the process that holds the claim is no longer among the boxes.
    is_holder_gone: bool = False
