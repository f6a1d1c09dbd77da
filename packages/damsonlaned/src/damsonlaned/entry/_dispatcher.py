"""Choose targets and send attempts to them."""

import random
import threading
from collections.abc import Callable, Collection, Generator
from dataclasses import replace
from functools import partial
from typing import Final

from damsonlane.admission import ServiceMeter, WorkClass
from damsonlane.backoff import TargetIncarnation
from damsonlane.quarantine import InterruptedRequest
from damsonlane.records import dataclass
from damsonlane.requests import AttemptResult, Request, Send
from damsonlane.routing import (
    HealthSignal,
    LoadReport,
    Origin,
    TargetChoice,
    TargetLocation,
    TargetTable,
)
from damsonlaned.clock import read_clock
from damsonlaned.entry._draining_targets import DrainingTargets
from damsonlaned.entry._rate_limited_targets import NoPermitSource, RateLimitedTargets
from damsonlaned.entry._settings_view import SettingsInForce
from damsonlaned.entry._target_backoff import TargetBackoff
from damsonlaned.entry._thread_safe_quarantine import ThreadSafeQuarantine
from damsonlaned.http import CollectionBudget
from damsonlaned.quarantine import LostTarget
from damsonlaned.targets import (
    TARGET_PROTOCOLS,
    Connections,
    TargetAnnouncement,
    TargetCall,
    TargetReply,
)


class Dispatcher:
    """Chooses targets and calls them; safe for use by many threads.

    The lock is held to choose a target and to record an outcome, never during a call.

    Args:
        data_centre: data centre of this entry.
        draining: targets that get no new requests, since they are draining.
        quarantine: receives the attempts whose connection broke.
        count_entries: returns how many entries send to the targets.
        limits: rate limits of targets; without it, targets that announce one get nothing more.
        budget: limits the bytes of responses that are collected; None for the default.
    """

    def __init__(
        self,
        data_centre: str,
        draining: DrainingTargets,
        quarantine: ThreadSafeQuarantine,
        count_entries: Callable[[], int] = lambda: 1,
        limits: RateLimitedTargets | None = None,
        budget: CollectionBudget | None = None,
    ) -> None:
        self._limits: Final = limits or RateLimitedTargets(NoPermitSource())
        self._count_entries: Final = count_entries
        self._quarantine: Final = quarantine
        self._data_centre: Final = data_centre
        self._draining: Final = draining
        self._backoff: Final = TargetBackoff()
        self._connections: Final = Connections(budget)
        self._tables: dict[str, TargetTable] = {}
        self._meters: dict[str, ServiceMeter] = {}
        self._version = 0
        self._lock: Final = threading.Lock()
        self._randomness: Final = random.Random()

    def forecast(self, request: Request, settings: SettingsInForce, first: int = 0) -> float:
        """Return the predicted duration of the stages of a request, in seconds.

        Args:
            request: the request.
            settings: the settings that apply to it.
            first: index of the first stage that counts.
        """
        now = read_clock()
        total = 0.0
        with self._lock:
            self._apply_settings(settings)
            for stage in request.stages[first:]:
                work = WorkClass(
                    organisation=request.organisation,
                    pipeline=request.pipeline,
                    stage=stage.name,
                )
                # A stage without an available target begins when one becomes available.
                total = max(total, self._find_wait_seconds(stage.service))
                total += self._meters[stage.service].predict(work, now)
        return total

    def send(
        self, send: Send, settings: SettingsInForce, pipeline: str, fingerprint: str
    ) -> Generator[str, None, tuple[str, AttemptResult]]:
        """Make one attempt, yielding output as it arrives.

        Args:
            send: the attempt.
            settings: the settings that apply to its request.
            pipeline: name of its pipeline.
            fingerprint: fingerprint of its request.

        Returns:
            The name of the target, empty if none was available, and the result.
        """
        choice = self._choose(send, settings)
        if isinstance(choice, _NoTarget):
            fault = f"service '{send.stage.service}' has no target that may be used"
            return "", AttemptResult(
                answers=None, outcome="unsent", fault=fault, retry_after=choice.retry_after
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
            deadline_at=began_at + send.seconds,
        )
        reply: TargetReply | None = None
        try:
            on_announcement = partial(self._record_announcement, send.stage.service, choice)
            reply = yield from TARGET_PROTOCOLS[service.kind].call(
                self._connections, call, on_announcement
            )
        finally:
            # A caller that disconnects closes the generator; the target did not fail then.
            self._finish(send, choice, pipeline, reply, began_at)
        if reply.is_interrupted:
            run = InterruptedRequest(fingerprint=fingerprint, seconds=read_clock() - began_at)
            self._quarantine.report_interrupted(_make_lost_target(send, choice), run)
        result = reply.result
        if result.outcome == "refused":
            with self._lock:
                result = replace(result, retry_after=self._find_wait_seconds(send.stage.service))
        return choice.target, result

    def close(self) -> None:
        """Close all connections to targets."""
        self._connections.close()

    def _choose(self, send: Send, settings: SettingsInForce) -> "TargetChoice | _NoTarget":
        """Choose a target, with a permit if it has a rate limit."""
        service = send.stage.service
        with self._lock:
            self._apply_settings(settings)
            rate_limited = self._list_rate_limited(service)
            are_all_limited = (
                bool(rate_limited) and self._list_available(service) <= rate_limited.keys()
            )
            exhausted = set() if are_all_limited else self._limits.list_exhausted(rate_limited)
            choice = self._choose_except(send, exhausted)
            if choice is None:
                return _NoTarget(retry_after=self._find_wait_seconds(service))
            if choice.target not in rate_limited:
                return choice
            # Release it, since it gets no request without a permit.
            self._tables[service].finish(choice.target, "neutral", read_clock())
        # The lock is free while control is asked, so that other threads can continue.
        first = rate_limited.pop(choice.target)
        others = [
            incarnation
            for name, incarnation in rate_limited.items()
            if name not in {*exhausted, *send.avoid}
        ]
        permit = self._limits.request_permit(service, (first, *others), is_last=are_all_limited)
        with self._lock:
            if permit.target:
                return self._assign(send, permit.target) or _NoTarget()
            if are_all_limited:
                return _NoTarget(retry_after=permit.return_seconds)
            unlimited = self._choose_except(send, {choice.target, *rate_limited})
            return unlimited or _NoTarget(retry_after=self._find_wait_seconds(service))

    def _choose_except(self, send: Send, excluded: Collection[str]) -> TargetChoice | None:
        """Choose a target that is not excluded; the lock is held."""
        service = send.stage.service
        return self._tables[service].choose(
            send.stage.routing,
            Origin(data_centre=self._data_centre, affinity=send.text),
            avoid=send.avoid,
            leaving=self._list_unavailable(service) | frozenset(excluded),
            now=read_clock(),
            randomness=self._randomness,
        )

    def _assign(self, send: Send, name: str) -> TargetChoice | None:
        """Assign an attempt to the target that a permit names; the lock is held."""
        service = send.stage.service
        return self._tables[service].assign(name.removeprefix(f"{service}/"))

    def _list_available(self, service: str) -> set[str]:
        """Return the targets that may get requests, rate limits apart."""
        return set(self._tables[service].locations()) - self._list_unavailable(service)

    def _list_rate_limited(self, service: str) -> dict[str, TargetIncarnation]:
        """Return the targets that may get requests and have a rate limit."""
        unavailable = self._list_unavailable(service)
        locations = {
            name: location
            for name, location in self._tables[service].locations().items()
            if name not in unavailable
        }
        return self._limits.list_rate_limited(service, locations)

    def _list_unavailable(self, service: str) -> frozenset[str]:
        """Return the targets that get nothing now, since they are draining or back off."""
        locations = self._tables[service].locations()
        return self._draining.find(service) | self._backoff.list_backing_off(service, locations)

    def _find_wait_seconds(self, service: str) -> float:
        """Return the seconds until a target of a service becomes available; 0 if one is now."""
        locations = self._tables[service].locations()
        draining = self._draining.find(service)
        serving = {name: location for name, location in locations.items() if name not in draining}
        backoff_seconds = self._backoff.find_backoff_seconds(service, serving)
        rate_limited = self._limits.list_rate_limited(service, serving)
        if rate_limited.keys() != serving.keys():
            return backoff_seconds
        return max(backoff_seconds, self._limits.find_wait_seconds(rate_limited.values()))

    def _record_announcement(
        self, service: str, choice: TargetChoice, announcement: TargetAnnouncement
    ) -> None:
        """Record what the head of a response announces of its target."""
        if announcement.is_draining:
            self._draining.record(service, choice.target)
        if announcement.backoff_seconds > 0:
            seconds = announcement.backoff_seconds
            boxes = self._count_entries()
            self._backoff.record(service, choice.target, choice.address, seconds, boxes)
        self._limits.record(
            service,
            choice.target,
            choice.address,
            announcement.rate_limit,
            may_end=announcement.was_accepted,
        )

    def _apply_settings(self, settings: SettingsInForce) -> None:
        """Update the targets if the settings are newer; older settings change nothing."""
        if settings.version <= self._version:
            return
        self._version = settings.version
        for name, service in settings.tree.services.items():
            locations = {
                target: TargetLocation(
                    address=definition.address, data_centre=definition.data_centre
                )
                for target, definition in service.targets.items()
            }
            self._tables.setdefault(name, TargetTable()).update(locations)
            self._meters.setdefault(name, ServiceMeter())

    def _finish(
        self,
        send: Send,
        choice: TargetChoice,
        pipeline: str,
        reply: TargetReply | None,
        began_at: float,
    ) -> None:
        """Record the end of an attempt; it was abandoned if there is no reply."""
        now = read_clock()
        report: LoadReport | None = reply.load_report if reply else None
        with self._lock:
            table = self._tables[send.stage.service]
            work = WorkClass(
                organisation=send.key.organisation, pipeline=pipeline, stage=send.stage.name
            )
            is_answered = reply is not None and reply.result.outcome == "answered"
            seconds = now - began_at if is_answered else None
            pace = self._meters[send.stage.service].finish(work, now, seconds)
            health = _evaluate_health(reply)
            backoff_seconds = self._backoff.seconds_left(
                send.stage.service, choice.target, choice.address
            )
            is_rejected = reply is not None and reply.result.outcome == "refused"
            is_rate_limited = choice.target in self._list_rate_limited(send.stage.service)
            if health == "bad" and (backoff_seconds > 0 or (is_rejected and is_rate_limited)):
                # The target is healthy: it announced a back-off or a rate limit.
                health = "neutral"
            table.finish(
                choice.target, health, now, pace=pace if is_answered else None, report=report
            )


@dataclass(frozen=True, kw_only=True)
class _NoTarget:
    """No target is available now."""

    #: Seconds after which the caller should retry; 0 if not known.
    retry_after: float = 0.0


def _make_lost_target(send: Send, choice: TargetChoice) -> LostTarget:
    """Return the target whose connection broke under an attempt."""
    return LostTarget(
        target=f"{send.stage.service}/{choice.target}",
        address=choice.address,
        start=0,
        is_name_kept=True,
    )


def _evaluate_health(reply: TargetReply | None) -> HealthSignal:
    if reply is None:
        return "neutral"
    return "good" if reply.result.outcome == "answered" else "bad"
