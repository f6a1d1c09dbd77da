"""Sending attempts to targets, with what this entry knows of them."""

import random
import threading
from collections.abc import Generator
from typing import Final

from damsonlane.admission import ServiceMeter, Work
from damsonlane.quarantine import BrokenRun
from damsonlane.requests import AttemptResult, Request, Send
from damsonlane.routing import Choice, Health, LoadReport, Origin, Standing, TargetBook
from damsonlaned.clock import read_clock
from damsonlaned.entry._leaving import LeavingTargets
from damsonlaned.entry._thread_quarantine import ThreadQuarantine
from damsonlaned.entry._view import SettingsInForce
from damsonlaned.quarantine import LostTarget
from damsonlaned.targets import KINDS, Connections, TargetCall, TargetReply


class Dispatch:
    """Chooses targets and calls them; safe for many threads.

    The lock covers choices and counts only, never a call.

    Args:
        data_centre: data centre of this entry.
        leaving: targets that get nothing new.
        quarantine: told of targets under which attempts broke off.
    """

    def __init__(
        self, data_centre: str, leaving: LeavingTargets, quarantine: ThreadQuarantine
    ) -> None:
        self._quarantine: Final = quarantine
        self._data_centre: Final = data_centre
        self._leaving: Final = leaving
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
        if choice is None:
            fault = f"service '{send.stage.service}' has no target that may be used"
            return "", AttemptResult(answers=None, outcome="unsent", fault=fault)
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
            reply = yield from KINDS[service.kind].call(self._connections, call)
        finally:
            # A caller that hangs up closes the generator: the target is not to blame.
            self._finish(send, choice, pipeline, reply, began_at)
        if reply.is_broken:
            run = BrokenRun(fingerprint=fingerprint, seconds=read_clock() - began_at)
            self._quarantine.note_broken(_name_lost(send, choice), run)
        return choice.target, reply.result

    def close(self) -> None:
        """Close all connections to targets."""
        self._connections.close()

    def _choose(self, send: Send, settings: SettingsInForce) -> Choice | None:
        with self._lock:
            self._follow(settings)
            origin = Origin(data_centre=self._data_centre, affinity=send.text)
            choice = self._books[send.stage.service].choose(
                send.stage.routing,
                origin,
                avoid=send.avoid,
                leaving=self._leaving.of(send.stage.service),
                now=read_clock(),
                randomness=self._randomness,
            )
            if choice is not None:
                self._meters[send.stage.service].begin()
            return choice

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
            book.finish(
                choice.target, health, now, pace=pace if is_answered else None, report=report
            )
            if reply is not None and reply.result.is_leaving:
                self._leaving.mark(send.stage.service, choice.target)


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
