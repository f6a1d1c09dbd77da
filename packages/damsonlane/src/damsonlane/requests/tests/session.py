"""Simulation of a session of two entries, with an injected clock and identities."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace
from typing import Any

from damsonlane.admission import (
    ADMISSION_SHARE,
    AdmissionRequest,
    InFlightLimits,
    ServiceMeter,
    WorkClass,
)
from damsonlane.costs import CostAccounts, RecordCosts
from damsonlane.ledger import JobCommand, JobKey, JobReply, Ledger, read_holder
from damsonlane.requests import (
    AttemptResult,
    CommitToLedger,
    Effect,
    End,
    Outcome,
    Refusal,
    Request,
    RequestStateMachine,
    ResolvedStage,
    RetryBudget,
    Send,
    StoredAnswer,
    Wait,
    decode_answer,
)
from damsonlane.routing import LoadReport, Origin, TargetChoice, TargetLocation, TargetTable
from damsonlane.settings import Lane

#: Duration of a commit, in seconds.
COMMIT_SECONDS = 0.002


@dataclass
class FakeTarget:
    """A target with slots and a queue."""

    name: str
    slots: int
    seconds_per_thousand: float
    base_seconds: float = 0.01
    drains_at: float = float("inf")
    free_at: list[float] = field(default_factory=list)

    def work(self, now: float, text: str) -> float:
        """Start a request and return when it completes."""
        self.free_at = [end for end in self.free_at if end > now]
        start = now if len(self.free_at) < self.slots else sorted(self.free_at)[-self.slots]
        end = start + self.base_seconds + self.seconds_per_thousand * len(text) / 1000
        self.free_at.append(end)
        return end

    def report(self, now: float) -> LoadReport:
        """Return the load that the target reports."""
        return LoadReport(held=sum(1 for end in self.free_at if end > now), slots=self.slots)


@dataclass(frozen=True)
class SessionRequest:
    """One request of a session."""

    at: float
    entry: str
    organisation: str
    pipeline: str
    text: str
    deadline: float = 3.0
    key: str = ""
    lane: Lane = "standard"


class FakeEntry:
    """The state of one entry."""

    def __init__(self, services: dict[str, list[FakeTarget]]) -> None:
        self.tables = {service: TargetTable() for service in services}
        self.meters = {service: ServiceMeter() for service in services}
        self.limits = InFlightLimits()
        self.budget = RetryBudget()
        self.leaving: set[str] = set()
        self.is_crashed = False
        for service, targets in services.items():
            locations = {
                target.name: TargetLocation(address=f"127.0.0.1:{number}", data_centre="one")
                for number, target in enumerate(targets)
            }
            self.tables[service].update(locations)


class Session:
    """Runs requests in virtual time and records a transcript."""

    def __init__(
        self, services: dict[str, list[FakeTarget]], pipelines: dict[str, list[str]]
    ) -> None:
        self._services = services
        self._pipelines = pipelines
        self._entries = {name: FakeEntry(services) for name in ("entry-1", "entry-2")}
        self._ledger = Ledger()
        self._costs = CostAccounts()
        self._batches = itertools.count(1)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self._randomness = random.Random(7)
        self.lines: list[dict[str, Any]] = []

    def run(
        self, asked: list[SessionRequest], crashes: dict[str, float] | None = None
    ) -> dict[str, Any]:
        """Run a session and return its transcript."""
        for request in asked:
            self._push(request.at, lambda now, request=request: self._arrive(now, request))
        for entry, at in (crashes or {}).items():
            self._push(at, lambda now, entry=entry: self._crash(now, entry))
        while self._events:
            now, _, act = heapq.heappop(self._events)
            act(now)
        return {
            "requests": [asdict(request) for request in asked],
            "lines": self.lines,
            "ledger": [asdict(job) for job in self._ledger.jobs()],
            "costs": [asdict(total) for total in self._costs.totals()],
        }

    def _push(self, at_time: float, act: Callable[..., None]) -> None:
        heapq.heappush(self._events, (at_time, next(self._order), act))

    def _crash(self, now: float, entry: str) -> None:
        self._entries[entry].is_crashed = True
        self._record(now, entry, "lost", {})

    def _arrive(self, now: float, asked: SessionRequest) -> None:
        entry = self._entries[asked.entry]
        number = next(self._numbers)
        job = JobKey(organisation=asked.organisation, key=asked.key) if asked.key else None
        request = Request(
            request=f"request-{number}",
            organisation=asked.organisation,
            pipeline=asked.pipeline,
            text=asked.text,
            deadline_at=now + asked.deadline,
            stages=tuple(
                ResolvedStage(name=stage, service=stage, attempts=2, routing="predicted")
                for stage in self._pipelines[asked.pipeline]
            ),
            job=job,
            digest=asked.text,
        )
        admission = AdmissionRequest(
            organisation=asked.organisation, lane=asked.lane, weight=1.0, limit=8
        )
        needed = sum(
            entry.meters[stage.service].predict(_work(request, stage.name), now)
            for stage in request.stages
        )
        if needed > ADMISSION_SHARE * asked.deadline:
            self._record(now, asked.entry, "refused at admission", {"request": request.request})
        elif not entry.limits.try_acquire(admission, now):
            self._record(now, asked.entry, "lane full", {"request": request.request})
        else:
            run = RequestStateMachine(
                request, token=f"{asked.entry}/1/{number}", wall_clock=now, budget=entry.budget
            )
            handling = _Handling(self, asked.entry, request, admission, run)
            handling.carry_out(now, run.begin(now))

    def _record(self, now: float, entry: str, what: str, more: dict[str, Any]) -> None:
        self.lines.append({"at": round(now, 4), "entry": entry, "what": what, **more})

    # Called by handlings.

    def schedule(self, entry: str, at_time: float, act: Callable[[float], None]) -> None:
        """Schedule an action, unless the entry has crashed by then."""
        self._push(at_time, lambda now: None if self._entries[entry].is_crashed else act(now))

    def commit(self, command: JobCommand) -> JobReply:
        """Commit a job command."""
        return self._mark_gone_holder(self._ledger.apply(command))

    def _mark_gone_holder(self, reply: JobReply) -> JobReply:
        holder = read_holder(reply.token)
        is_gone = holder is not None and self._entries[holder.box].is_crashed
        return replace(reply, is_holder_gone=is_gone) if reply.verdict == "busy" else reply

    def choose(self, entry: str, send: Send, now: float) -> TargetChoice | None:
        """Choose a target as the entry would."""
        state = self._entries[entry]
        choice = state.tables[send.stage.service].choose(
            send.stage.routing,
            Origin(data_centre="one"),
            avoid=send.avoid,
            leaving=state.leaving,
            now=now,
            randomness=self._randomness,
        )
        if choice is not None:
            state.meters[send.stage.service].begin()
        return choice

    def call(self, choice: TargetChoice, send: Send, now: float) -> tuple[float, AttemptResult]:
        """Call a target; return the time of its answer and the answer."""
        target = next(t for t in self._services[send.stage.service] if t.name == choice.target)
        if now >= target.drains_at:
            refusal = AttemptResult(answers=None, outcome="refused", is_leaving=True, fault="gone")
            return now + 0.001, refusal
        end = target.work(now, send.text)
        if end > now + send.seconds:
            late = AttemptResult(answers=None, outcome="failed", fault="late")
            return now + send.seconds, late
        if now < target.drains_at < end and send.stage.name == "generate":
            broken = AttemptResult(answers=None, outcome="failed", tokens=3, fault="cut")
            return target.drains_at, broken
        output = f"{send.stage.name}({send.text[:24]})"
        return end, AttemptResult(answers=send.key, outcome="answered", output=output, tokens=5)

    def finish(
        self,
        entry: str,
        request: Request,
        send: Send,
        choice: TargetChoice,
        now: float,
        began_at: float,
        result: AttemptResult,
    ) -> None:
        """Record the outcome of an attempt at a target."""
        state = self._entries[entry]
        target = next(t for t in self._services[send.stage.service] if t.name == choice.target)
        is_answered = result.outcome == "answered"
        seconds = now - began_at if is_answered else None
        work = _work(request, send.stage.name)
        pace = state.meters[send.stage.service].finish(work, now, seconds)
        state.tables[send.stage.service].finish(
            choice.target,
            "good" if is_answered else ("neutral" if result.outcome == "refused" else "bad"),
            now,
            pace=pace if is_answered else None,
            report=target.report(now),
        )
        if result.is_leaving:
            state.leaving.add(choice.target)

    def end(self, entry: str, handling: "_Handling", now: float, effect: End) -> None:
        """Record an outcome and its cost."""
        self._entries[entry].limits.release(handling.admission)
        lines = effect.billed.costs
        self._costs.record(RecordCosts(sender="s", batch=next(self._batches), lines=lines))
        ending = _describe(effect.billed.outcome)
        self._record(now, entry, "ended", {"request": handling.request.request, **ending})


class _Handling:
    """One request in progress."""

    def __init__(
        self,
        session: Session,
        entry: str,
        request: Request,
        admission: AdmissionRequest,
        run: RequestStateMachine,
    ) -> None:
        self.session, self.entry, self.request = session, entry, request
        self.admission, self.run = admission, run

    def carry_out(self, now: float, effect: Effect) -> None:
        """Carry out one effect, and schedule the next one."""
        if isinstance(effect, End):
            self.session.end(self.entry, self, now, effect)
        elif isinstance(effect, Wait):
            self._schedule(now + effect.seconds, self.run.resume)
        elif isinstance(effect, CommitToLedger):
            self._ask_ledger(now, effect)
        else:
            self._send(now, effect)

    def _schedule(self, at_time: float, step: Callable[[float], Effect]) -> None:
        self.session.schedule(self.entry, at_time, lambda now: self.carry_out(now, step(now)))

    def _ask_ledger(self, now: float, effect: CommitToLedger) -> None:
        def reply(later: float) -> Effect:
            return self.run.take_reply(later, self.session.commit(effect.command))

        self._schedule(now + COMMIT_SECONDS, reply)

    def _send(self, now: float, send: Send) -> None:
        choice = self.session.choose(self.entry, send, now)
        if choice is None:
            unsent = AttemptResult(answers=None, outcome="unsent", fault="no target")
            self.carry_out(now, self.run.take_result(now, "", unsent))
            return
        answered_at, result = self.session.call(choice, send, now)

        def take(later: float) -> Effect:
            self.session.finish(self.entry, self.request, send, choice, later, now, result)
            return self.run.take_result(later, choice.target, result)

        self._schedule(answered_at, take)


def _work(request: Request, stage: str) -> WorkClass:
    return WorkClass(organisation=request.organisation, pipeline=request.pipeline, stage=stage)


def _describe(outcome: Outcome) -> dict[str, Any]:
    if isinstance(outcome, Refusal):
        return {"refused": outcome.reason, "run": outcome.run}
    answer = decode_answer(outcome.answer) if isinstance(outcome, StoredAnswer) else outcome
    return {
        "output": answer.output,
        "targets": [f"{stage.target} x{stage.attempts}" for stage in answer.stages],
        "answers": answer.request,
    }
