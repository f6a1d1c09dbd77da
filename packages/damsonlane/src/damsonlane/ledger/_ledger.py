"""The ledger: part of the replicated state, changed only by committed commands."""

from collections.abc import Iterable

from damsonlane.ledger._horizon import HORIZON_SECONDS, read_key_time
from damsonlane.ledger._jobs import (
    ClaimJob,
    DropJob,
    FinishJob,
    Job,
    JobCommand,
    JobKey,
    JobReply,
    StartJob,
    Verdict,
)


class Ledger:
    """Records of jobs that may run at most once.

    Its clock is the latest time in any command, so that all replicas expire the same records at the
    same entry of the log.
    """

    def __init__(self, jobs: Iterable[Job] = (), clock: float = 0.0) -> None:
        self._jobs = {job.name: job for job in jobs}
        self.clock = clock

    def jobs(self) -> tuple[Job, ...]:
        """Return all records, in the order of their first claims."""
        return tuple(self._jobs.values())

    def apply(self, command: JobCommand) -> JobReply:
        """Apply any command."""
        match command:
            case ClaimJob():
                return self.claim(command)
            case StartJob():
                return self.start(command)
            case FinishJob():
                return self.finish(command)
            case DropJob():
                return self.drop(command)

    def claim(self, command: ClaimJob) -> JobReply:
        """Claim a key that is new or whose last claim was dropped."""
        self._advance_clock(command.at)
        job = self._jobs.get(command.name)
        if job is None and self._is_too_old(command.name.key):
            return JobReply(verdict="too-old", phase="expired")
        if job is None or (job.phase == "dropped" and job.digest == command.digest):
            return self._store_claim(command)
        if job.digest != command.digest:
            return JobReply(verdict="mismatch", phase=job.phase)
        if job.token == command.token:
            return _reply("done", job)
        if job.phase == "expired":
            return _reply("too-old", job)
        return _reply("busy", job)

    def start(self, command: StartJob) -> JobReply:
        """Allow the holder of the claim to run the job."""
        job = self._jobs.get(command.name)
        if job is None or job.token != command.token or job.phase not in ("claimed", "started"):
            return _refuse(job)
        return self._store(job.with_phase("started"))

    def finish(self, command: FinishJob) -> JobReply:
        """Store the answer of a started job."""
        job = self._jobs.get(command.name)
        if job is None or job.token != command.token or job.phase not in ("started", "finished"):
            return _refuse(job)
        if job.phase == "finished":
            return _reply("done", job)
        return self._store(job.with_phase("finished", command.answer))

    def drop(self, command: DropJob) -> JobReply:
        """Drop a claim, which makes a later start of it impossible."""
        job = self._jobs.get(command.name)
        if job is None or job.token != command.token:
            return _refuse(job)
        is_started_unsent = job.phase == "started" and command.is_unsent
        if job.phase not in ("claimed", "dropped") and not is_started_unsent:
            return _refuse(job)
        return self._store(job.with_phase("dropped"))

    def _store_claim(self, command: ClaimJob) -> JobReply:
        job = Job(
            name=command.name,
            digest=command.digest,
            token=command.token,
            phase="claimed",
            claimed_at=command.at,
        )
        return self._store(job)

    def _store(self, job: Job) -> JobReply:
        self._jobs[job.name] = job
        return _reply("done", job)

    def _is_too_old(self, key: str) -> bool:
        created_at = read_key_time(key)
        return created_at is not None and created_at < self.clock - HORIZON_SECONDS

    def _advance_clock(self, at: float) -> None:
        """Advance the clock and expire the records beyond the horizon."""
        self.clock = max(self.clock, at)
        oldest_kept = self.clock - HORIZON_SECONDS
        while self._jobs:
            name, job = next(iter(self._jobs.items()))
            if job.claimed_at >= oldest_kept:
                break
            self._expire(name, job)

    def _expire(self, name: JobKey, job: Job) -> None:
        """Delete the record of a key with a timestamp, which is refused from now on.

        Of any other key, keep a record without the answer, so that it is refused too.
        """
        del self._jobs[name]
        if not self._is_too_old(name.key):
            # Moved to the end with a new time, so that it is not visited on each advance.
            expired = Job(
                name=name,
                digest=job.digest,
                token="",
                phase="expired",
                claimed_at=self.clock,
            )
            self._jobs[name] = expired


def _reply(verdict: Verdict, job: Job) -> JobReply:
    return JobReply(verdict=verdict, phase=job.phase, token=job.token, answer=job.answer)


def _refuse(job: Job | None) -> JobReply:
    if job is None:
        return JobReply(verdict="refused", phase="dropped")
    return _reply("refused", job)
