"""The callers' interface, as a WSGI application."""

import logging
import threading
from collections.abc import Callable, Generator, Iterable, Iterator
from http import HTTPStatus
from typing import Any, Final, NoReturn

from damsonlane.admission import ADMISSION_SHARE, InFlightLimits
from damsonlane.requests import (
    Answer,
    Billed,
    Ending,
    Reason,
    Refusal,
    Repeat,
    decode_answer,
)
from damsonlane.settings import BoxSettings
from damsonlaned.clock import read_clock
from damsonlaned.entry._problems import Problem, describe_refusal
from damsonlaned.entry._rendering import render_answer, render_event, render_last_event
from damsonlaned.entry._request_parser import (
    PIPELINES,
    Environment,
    ProblemError,
    TakenRequest,
    take_request,
)
from damsonlaned.entry._request_runner import RequestRunner, describe_held
from damsonlaned.entry._settings_view import SettingsView
from damsonlaned.metrics import Metrics
from damsonlaned.quarantine import find_retry_seconds

_LOG: Final = logging.getLogger(__name__)

#: Seconds after which a caller that met a full lane may come back.
FULL_RETRY_SECONDS: Final = 1.0

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class CallerApplication:
    """Answers callers, one thread each.

    Args:
        settings: settings of the box.
        view: the settings tree in force.
        runner: runs requests.
        metrics: counts endings.
    """

    def __init__(
        self, settings: BoxSettings, view: SettingsView, runner: RequestRunner, metrics: Metrics
    ) -> None:
        self._settings: Final = settings
        self._view: Final = view
        self._runner: Final = runner
        self._metrics: Final = metrics
        self._limits_in_flight: Final = InFlightLimits()
        self._gate_lock: Final = threading.Lock()
        self.is_draining = False

    def __call__(self, environment: Environment, start: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        arrived_at = read_clock()
        path = str(environment["PATH_INFO"])
        if not path.startswith(PIPELINES):
            return self._answer_plain(path, start)
        try:
            taken = self._take(environment, arrived_at)
            self._enter(taken)
        except ProblemError as error:
            return self._answer_problem(error.problem, start)
        return self._serve(taken, start, arrived_at)

    def in_flight(self) -> int:
        """Return the requests inside."""
        with self._gate_lock:
            return self._limits_in_flight.in_flight()

    def is_ready(self) -> bool:
        """Tell whether a balancer should send requests here."""
        return self._view.is_confirmed and not self.is_draining

    def _take(self, environment: Environment, arrived_at: float) -> TakenRequest:
        if not self._view.is_confirmed:
            detail = "no settings are confirmed here yet"
            problem = Problem(
                name="not-ready",
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                detail=detail,
                retry_after=FULL_RETRY_SECONDS,
            )
            raise ProblemError(problem)
        return take_request(
            environment,
            self._view.current,
            data_centre=self._settings.data_centre,
            body_limit=self._settings.body_limit,
            arrived_at=arrived_at,
            live_entries=self._runner.live_entries(),
        )

    def _enter(self, taken: TakenRequest) -> None:
        """Let a request in, or refuse it at once.

        Raises:
            ProblemError: it is held, its lane is full or its deadline can't be met.
        """
        held = self._runner.find_held(taken)
        if held is not None:
            self._refuse(taken, "held", describe_held(held), find_retry_seconds(held))
        request = taken.request
        remaining = request.due_at - read_clock()
        allowed = ADMISSION_SHARE * remaining
        needed = self._runner.forecast(taken)
        if 0 < allowed < needed:
            detail = f"the stages need about {needed:.2f} s of the {remaining:.2f} s left"
            self._refuse(taken, "deadline", detail, needed - allowed)
        with self._gate_lock:
            is_inside = self._limits_in_flight.try_enter(taken.entrant, read_clock())
        if not is_inside:
            self._refuse(taken, "overloaded", f"lane '{taken.entrant.lane}' is full")

    def _refuse(
        self, taken: TakenRequest, reason: Reason, detail: str, retry_after: float = 0.0
    ) -> NoReturn:
        refusal = Refusal(
            request=taken.request.request,
            reason=reason,
            detail=detail,
            run=taken.run_if_refused(),
            retry_after=max(FULL_RETRY_SECONDS, retry_after),
        )
        self._count(taken, refusal, 0.0)
        raise ProblemError(describe_refusal(refusal))

    def _leave(self, taken: TakenRequest) -> None:
        with self._gate_lock:
            self._limits_in_flight.leave(taken.entrant)

    def _serve(
        self, taken: TakenRequest, start: StartResponse, arrived_at: float
    ) -> Iterable[bytes]:
        run = self._runner.run(taken)
        try:
            first = _advance(run)
        except BaseException:
            self._leave(taken)
            raise
        if isinstance(first, Billed):
            self._leave(taken)
            self._count(taken, first.ending, read_clock() - arrived_at)
            if taken.is_streaming and not isinstance(first.ending, Refusal):
                return self._answer_whole_stream(first.ending, start)
            return self._answer_ending(first.ending, start)
        start("200 OK", self._headers([("Content-Type", "text/event-stream")]))
        return self._stream(taken, run, first, arrived_at)

    def _stream(
        self,
        taken: TakenRequest,
        run: Generator[str, None, Billed],
        piece: "str | Billed",
        arrived_at: float,
    ) -> Iterator[bytes]:
        """Yield events; the caller's connection closes the generator when it breaks."""
        try:
            while isinstance(piece, str):
                yield render_event("token", {"text": piece})
                piece = _advance(run)
            self._count(taken, piece.ending, read_clock() - arrived_at)
            yield render_last_event(piece.ending)
        finally:
            run.close()
            self._leave(taken)

    def _answer_whole_stream(self, ending: Ending, start: StartResponse) -> Iterable[bytes]:
        """Answer a caller that wants a stream with an answer that is there at once."""
        start("200 OK", self._headers([("Content-Type", "text/event-stream")]))
        answer = decode_answer(ending.answer) if isinstance(ending, Repeat) else ending
        text = answer.output if isinstance(answer, Answer) else ""
        return [render_event("token", {"text": text}), render_last_event(ending)]

    def _answer_ending(self, ending: Ending, start: StartResponse) -> Iterable[bytes]:
        if isinstance(ending, Refusal):
            return self._answer_problem(describe_refusal(ending), start)
        body = render_answer(ending)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start("200 OK", self._headers(headers))
        return [body]

    def _answer_problem(self, problem: Problem, start: StartResponse) -> Iterable[bytes]:
        body = problem.body()
        headers = [*problem.headers(), ("Content-Length", str(len(body)))]
        if problem.status in (HTTPStatus.REQUEST_ENTITY_TOO_LARGE, HTTPStatus.LENGTH_REQUIRED):
            # The body was not read, so the connection can't be used again.
            headers.append(("Connection", "close"))
        start(f"{int(problem.status)} {problem.status.phrase}", self._headers(headers))
        return [body]

    def _answer_plain(self, path: str, start: StartResponse) -> Iterable[bytes]:
        if path == "/livez" or (path == "/readyz" and self.is_ready()):
            return _answer_text("200 OK", "ok\n", start)
        if path == "/readyz":
            return _answer_text("503 Service Unavailable", "not ready\n", start)
        detail = f"pipelines are below {PIPELINES}"
        problem = Problem(name="unknown-path", status=HTTPStatus.NOT_FOUND, detail=detail)
        return self._answer_problem(problem, start)

    def _headers(self, headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """Ask callers to go elsewhere once this box is leaving."""
        if self.is_draining and ("Connection", "close") not in headers:
            return [*headers, ("Connection", "close")]
        return headers

    def _count(self, taken: TakenRequest, ending: Ending, seconds: float) -> None:
        self._runner.count_ending(taken, ending)
        request = taken.request
        outcome = ending.reason if isinstance(ending, Refusal) else "answered"
        labels = {
            "organisation": request.organisation,
            "pipeline": request.pipeline,
            "outcome": outcome,
        }
        with self._gate_lock:
            self._metrics.requests.inc(labels)
            self._metrics.seconds.observe({"pipeline": request.pipeline}, seconds)
        _LOG.info(
            "request",
            extra={
                "request": request.request,
                "organisation": request.organisation,
                "pipeline": request.pipeline,
                "outcome": outcome,
                "run": ending.run if isinstance(ending, Refusal) else "yes",
                "seconds": round(seconds, 6),
            },
        )


def _advance(run: Generator[str, None, Billed]) -> str | Billed:
    """Return the next piece, or the ending once there are no more."""
    try:
        return next(run)
    except StopIteration as stop:
        ending: Billed = stop.value
        return ending


def _answer_text(status: str, text: str, start: StartResponse) -> Iterable[bytes]:
    start(status, [("Content-Type", "text/plain"), ("Content-Length", str(len(text)))])
    return [text.encode()]
