"""Sending attempts to targets, with what this entry knows of them."""

import random
import threading
from collections.abc import Callable, Collection, Generator
from dataclasses import dataclass, replace
from functools import partial
from typing import Final

from damsonlane.admission import ServiceMeter, Work
from damsonlane.backoff import TargetStart
from damsonlane.quarantine import BrokenRun
from damsonlane.requests import AttemptResult, Request, Send
from damsonlane.routing import Choice, Health, LoadReport, Origin, Standing, TargetBook
from damsonlaned.clock import read_clock
from damsonlaned.entry._draining_targets import LeavingTargets
from damsonlaned.entry._rate_limited_targets import LimitedTargets, NoPermits
from damsonlaned.entry._settings_view import SettingsInForce
from damsonlaned.entry._target_backoff import RestingTargets
from damsonlaned.entry._thread_safe_quarantine import ThreadQuarantine
from damsonlaned.quarantine import LostTarget
from damsonlaned.targets import KINDS, Connections, TargetCall, TargetNotice, TargetReply


class Dispatch:
    """Chooses targets and calls them; safe for many threads.

    The lock covers choices and counts only, never a call.

    Args:
        data_centre: data centre of this entry.
        leaving: targets that get nothing new.
        quarantine: told of targets under which attempts broke off.
        count_entries: returns how many entries send to the targets.
        limits: targets that named rate limits; without it this box keeps them alone.
    """

    def __init__(
        self,
        data_centre: str,
        leaving: LeavingTargets,
        quarantine: ThreadQuarantine,
        count_entries: Callable[[], int] = lambda: 1,
        limits: LimitedTargets | None = None,
    ) -> None:
        self._limits: Final = limits or LimitedTargets(NoPermits())
        self._count_entries: Final = count_entries
        self._quarantine: Final = quarantine
        self._data_centre: Final = data_centre
        self._leaving: Final = leaving
        self._resting: Final = RestingTargets()
        self._connections: Final = Connections()
        self._books: dict[str, TargetBook] = {}
        self._meters: dict[str, ServiceMeter] = {}
        self._version = 0
        self._lock: Final = threading.Lock()
        self._randomness: Final = random.Random()

    def forecast(self, request: Request, settings: SettingsInForce, first: int = 0) -> float:
        """Return the predicted seconds of a request's stages from the ``first`` on."""
        now = read_clock()
        total = 0.0
        with self._lock:
            self._follow(settings)
            for stage in request.stages[first:]:
                work = Work(
                    organisation=request.organisation,
                    pipeline=request.pipeline,
                    stage=stage.name,
                )
                # A stage whose targets all want nothing for now begins when one returns.
                total = max(total, self._find_return_seconds(stage.service))
                total += self._meters[stage.service].predict(work, now)
        return total

    def send(
        self, send: Send, settings: SettingsInForce, pipeline: str, fingerprint: str
    ) -> Generator[str, None, tuple[str, AttemptResult]]:
        """Make one attempt, yielding output as it comes.

        Args:
            send: the attempt.
            settings: those under which its request was taken.
            pipeline: name of its pipeline.
            fingerprint: fingerprint of its request.

        Returns:
            Name of the target, empty if there was none, and the result.
        """
        choice = self._choose(send, settings)
        if isinstance(choice, _NoTarget):
            fault = f"service '{send.stage.service}' has no target that may be used"
            return "", AttemptResult(
                answers=None, outcome="unsent", fault=fault, retry_after=choice.return_seconds
            )
        with self._lock:
            self._meters[send.stage.service].begin()
        began_at = read_clock()
        service = settings.tree.services[send.stage.service]
        call = TargetCall(
            address=choice.address,
            key=send.key,
            text=send.text,
            model=service.model,
            due_at=began_at + send.seconds,
        )
        reply: TargetReply | None = None
        try:
            take = partial(self._take_notice, send.stage.service, choice)
            reply = yield from KINDS[service.kind].call(self._connections, call, take)
        finally:
            # A caller that hangs up closes the generator: the target is not to blame.
            self._finish(send, choice, pipeline, reply, began_at)
        if reply.is_broken:
            run = BrokenRun(fingerprint=fingerprint, seconds=read_clock() - began_at)
            self._quarantine.note_broken(_name_lost(send, choice), run)
        result = reply.result
        if result.outcome == "refused":
            with self._lock:
                result = replace(result, retry_after=self._find_return_seconds(send.stage.service))
        return choice.target, result

    def close(self) -> None:
        """Close all connections to targets."""
        self._connections.close()

    def _choose(self, send: Send, settings: SettingsInForce) -> "Choice | _NoTarget":
        """Choose a target, with a permit where it named a rate limit."""
        service = send.stage.service
        with self._lock:
            self._follow(settings)
            limited = self._list_limited(service)
            are_all_limited = bool(limited) and self._list_open(service) <= limited.keys()
            at_rate = set() if are_all_limited else self._limits.list_at_rate(limited)
            choice = self._choose_free(send, at_rate)
            if choice is None:
                return _NoTarget(return_seconds=self._find_return_seconds(service))
            if choice.target not in limited:
                return choice
            # It gets nothing without a permit.
            self._books[service].finish(choice.target, "neutral", read_clock())
        # Control is asked without the lock: other threads go on meanwhile.
        first = limited.pop(choice.target)
        others = [named for name, named in limited.items() if name not in {*at_rate, *send.avoid}]
        permit = self._limits.ask(service, (first, *others), is_last=are_all_limited)
        with self._lock:
            if permit.target:
                return self._take(send, permit.target) or _NoTarget()
            if are_all_limited:
                return _NoTarget(return_seconds=permit.return_seconds)
            free = self._choose_free(send, {choice.target, *limited})
            return free or _NoTarget(return_seconds=self._find_return_seconds(service))

    def _choose_free(self, send: Send, at_rate: Collection[str]) -> Choice | None:
        """Choose a target that has less than it takes; the lock is held."""
        service = send.stage.service
        return self._books[service].choose(
            send.stage.routing,
            Origin(data_centre=self._data_centre, affinity=send.text),
            avoid=send.avoid,
            leaving=self._list_closed(service) | frozenset(at_rate),
            now=read_clock(),
            randomness=self._randomness,
        )

    def _take(self, send: Send, name: str) -> Choice | None:
        """Take the target that a permit names; the lock is held."""
        service = send.stage.service
        return self._books[service].take(name.removeprefix(f"{service}/"))

    def _list_open(self, service: str) -> set[str]:
        """Return the targets that may get something, their rate limits apart."""
        return set(self._books[service].standings()) - self._list_closed(service)

    def _list_limited(self, service: str) -> dict[str, TargetStart]:
        """Return the targets that may get something and named a rate limit."""
        closed = self._list_closed(service)
        standings = {
            name: stands
            for name, stands in self._books[service].standings().items()
            if name not in closed
        }
        return self._limits.list_limited(service, standings)

    def _list_closed(self, service: str) -> frozenset[str]:
        """Return the targets that get nothing now: they leave, or asked for rest."""
        standings = self._books[service].standings()
        return self._leaving.of(service) | self._resting.list_resting(service, standings)

    def _find_return_seconds(self, service: str) -> float:
        """Return how long all targets of a service want nothing; 0 if one takes requests."""
        standings = self._books[service].standings()
        leaving = self._leaving.of(service)
        staying = {name: stands for name, stands in standings.items() if name not in leaving}
        resting = self._resting.find_return_seconds(service, staying)
        limited = self._limits.list_limited(service, staying)
        if limited.keys() != staying.keys():
            return resting
        return max(resting, self._limits.find_wait(limited.values()))

    def _take_notice(self, service: str, choice: Choice, notice: TargetNotice) -> None:
        """Take what the head of an answer says of its target."""
        if notice.is_leaving:
            self._leaving.mark(service, choice.target)
        if notice.backoff_seconds > 0:
            seconds = notice.backoff_seconds
            boxes = self._count_entries()
            self._resting.note(service, choice.target, choice.address, seconds, boxes)
        self._limits.note(
            service,
            choice.target,
            choice.address,
            notice.rate_limit,
            may_end=notice.has_taken,
        )

    def _follow(self, settings: SettingsInForce) -> None:
        """Take over the targets of newer settings; a request under older ones changes nothing."""
        if settings.version <= self._version:
            return
        self._version = settings.version
        for name, service in settings.tree.services.items():
            standings = {
                target: Standing(address=written.address, data_centre=written.data_centre)
                for target, written in service.targets.items()
            }
            self._books.setdefault(name, TargetBook()).update(standings)
            self._meters.setdefault(name, ServiceMeter())

    def _finish(
        self, send: Send, choice: Choice, pipeline: str, reply: TargetReply | None, began_at: float
    ) -> None:
        now = read_clock()
        report: LoadReport | None = reply.report if reply else None
        with self._lock:
            book = self._books[send.stage.service]
            work = Work(
                organisation=send.key.organisation, pipeline=pipeline, stage=send.stage.name
            )
            is_answered = reply is not None and reply.result.outcome == "answered"
            seconds = now - began_at if is_answered else None
            pace = self._meters[send.stage.service].finish(work, now, seconds)
            health = _judge(reply)
            left = self._resting.seconds_left(send.stage.service, choice.target, choice.address)
            is_refused = reply is not None and reply.result.outcome == "refused"
            is_limited = choice.target in self._list_limited(send.stage.service)
            if health == "bad" and (left > 0 or (is_refused and is_limited)):
                # It is well and says when it returns, or how much it takes.
                health = "neutral"
            book.finish(
                choice.target, health, now, pace=pace if is_answered else None, report=report
            )


@dataclass(frozen=True, kw_only=True)
class _NoTarget:
    """No target may get a request now."""

    #: Seconds after which the caller should come back; 0 where that is not known.
    return_seconds: float = 0.0


def _name_lost(send: Send, choice: Choice) -> LostTarget:
    """Return the target under which an attempt broke off."""
    return LostTarget(
        target=f"{send.stage.service}/{choice.target}",
        address=choice.address,
        start=0,
        is_name_kept=True,
    )


def _judge(reply: TargetReply | None) -> Health:
    if reply is None:
        return "neutral"
    return "good" if reply.result.outcome == "answered" else "bad"
