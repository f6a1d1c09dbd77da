"""The callers' interface, as a WSGI application."""

import logging
import threading
from collections.abc import Callable, Generator, Iterable, Iterator
from http import HTTPStatus
from typing import Any, Final, NoReturn

from damsonlane.admission import ADMISSION_SHARE, InFlightLimits
from damsonlane.requests import (
    Answer,
    BilledOutcome,
    Outcome,
    Refusal,
    RefusalReason,
    StoredAnswer,
    decode_answer,
)
from damsonlane.settings import BoxSettings
from damsonlaned.clock import read_clock
from damsonlaned.entry._problems import Problem, describe_refusal
from damsonlaned.entry._rendering import render_answer, render_event, render_last_event
from damsonlaned.entry._request_parser import (
    PIPELINE_PATH_PREFIX,
    Environment,
    ParsedRequest,
    ProblemError,
    parse_request,
)
from damsonlaned.entry._request_runner import RequestRunner
from damsonlaned.entry._settings_view import SettingsView
from damsonlaned.metrics import Metrics
from damsonlaned.quarantine import describe_quarantined, find_retry_seconds

_LOG: Final = logging.getLogger(__name__)

#: Least Retry-After of a request that is refused, in seconds.
MIN_RETRY_AFTER_SECONDS: Final = 1.0

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class CallerApplication:
    """Answers callers, each in a thread of its own.

    Args:
        settings: settings of the box.
        view: the settings tree in force.
        runner: runs requests.
        metrics: metrics of completed requests.
    """

    def __init__(
        self, settings: BoxSettings, view: SettingsView, runner: RequestRunner, metrics: Metrics
    ) -> None:
        self._settings: Final = settings
        self._view: Final = view
        self._runner: Final = runner
        self._metrics: Final = metrics
        self._limits_in_flight: Final = InFlightLimits()
        self._lock: Final = threading.Lock()
        self.is_draining = False

    def __call__(self, environment: Environment, start: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        arrived_at = read_clock()
        path = str(environment["PATH_INFO"])
        if not path.startswith(PIPELINE_PATH_PREFIX):
            return self._answer_plain(path, start)
        try:
            parsed = self._parse(environment, arrived_at)
            self._admit(parsed)
        except ProblemError as error:
            return self._answer_problem(error.problem, start)
        return self._serve(parsed, start, arrived_at)

    def in_flight(self) -> int:
        """Return the number of requests in progress."""
        with self._lock:
            return self._limits_in_flight.in_flight()

    def is_ready(self) -> bool:
        """Return whether a load balancer should send requests here."""
        return self._view.is_confirmed and not self.is_draining

    def _parse(self, environment: Environment, arrived_at: float) -> ParsedRequest:
        if not self._view.is_confirmed:
            detail = "no settings are confirmed here yet"
            problem = Problem(
                name="not-ready",
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                detail=detail,
                retry_after=MIN_RETRY_AFTER_SECONDS,
            )
            raise ProblemError(problem)
        return parse_request(
            environment,
            self._view.current,
            data_centre=self._settings.data_centre,
            body_limit=self._settings.body_limit,
            arrived_at=arrived_at,
            live_entries=self._runner.live_entries(),
        )

    def _admit(self, parsed: ParsedRequest) -> None:
        """Admit a request, or refuse it at once.

        Raises:
            ProblemError: it is quarantined, its lane is full or its deadline cannot be met.
        """
        quarantined = self._runner.find_quarantined(parsed)
        if quarantined is not None:
            self._refuse(
                parsed, "held", describe_quarantined(quarantined), find_retry_seconds(quarantined)
            )
        request = parsed.request
        remaining = request.deadline_at - read_clock()
        allowed = ADMISSION_SHARE * remaining
        needed = self._runner.forecast(parsed)
        if 0 < allowed < needed:
            detail = f"the stages need about {needed:.2f} s of the {remaining:.2f} s left"
            self._refuse(parsed, "deadline", detail, needed - allowed)
        with self._lock:
            is_admitted = self._limits_in_flight.try_acquire(parsed.admission, read_clock())
        if not is_admitted:
            self._refuse(parsed, "overloaded", f"lane '{parsed.admission.lane}' is full")

    def _refuse(
        self, parsed: ParsedRequest, reason: RefusalReason, detail: str, retry_after: float = 0.0
    ) -> NoReturn:
        refusal = Refusal(
            request=parsed.request.request,
            reason=reason,
            detail=detail,
            run=parsed.run_if_refused(),
            retry_after=max(MIN_RETRY_AFTER_SECONDS, retry_after),
        )
        self._count(parsed, refusal, 0.0)
        raise ProblemError(describe_refusal(refusal))

    def _release(self, parsed: ParsedRequest) -> None:
        with self._lock:
            self._limits_in_flight.release(parsed.admission)

    def _serve(
        self, parsed: ParsedRequest, start: StartResponse, arrived_at: float
    ) -> Iterable[bytes]:
        run = self._runner.run(parsed)
        try:
            first = _advance(run)
        except BaseException:
            self._release(parsed)
            raise
        if isinstance(first, BilledOutcome):
            self._release(parsed)
            self._count(parsed, first.outcome, read_clock() - arrived_at)
            if parsed.is_streaming and not isinstance(first.outcome, Refusal):
                return self._answer_complete_stream(first.outcome, start)
            return self._answer_outcome(first.outcome, start)
        start("200 OK", self._headers([("Content-Type", "text/event-stream")]))
        return self._stream(parsed, run, first, arrived_at)

    def _stream(
        self,
        parsed: ParsedRequest,
        run: Generator[str, None, BilledOutcome],
        part: "str | BilledOutcome",
        arrived_at: float,
    ) -> Iterator[bytes]:
        """Yield events; the server closes the generator if the caller's connection breaks."""
        try:
            while isinstance(part, str):
                yield render_event("token", {"text": part})
                part = _advance(run)
            self._count(parsed, part.outcome, read_clock() - arrived_at)
            yield render_last_event(part.outcome)
        finally:
            run.close()
            self._release(parsed)

    def _answer_complete_stream(self, outcome: Outcome, start: StartResponse) -> Iterable[bytes]:
        """Send an answer that is already complete as a stream."""
        start("200 OK", self._headers([("Content-Type", "text/event-stream")]))
        answer = decode_answer(outcome.answer) if isinstance(outcome, StoredAnswer) else outcome
        text = answer.output if isinstance(answer, Answer) else ""
        return [render_event("token", {"text": text}), render_last_event(outcome)]

    def _answer_outcome(self, outcome: Outcome, start: StartResponse) -> Iterable[bytes]:
        if isinstance(outcome, Refusal):
            return self._answer_problem(describe_refusal(outcome), start)
        body = render_answer(outcome)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start("200 OK", self._headers(headers))
        return [body]

    def _answer_problem(self, problem: Problem, start: StartResponse) -> Iterable[bytes]:
        body = problem.body()
        headers = [*problem.headers(), ("Content-Length", str(len(body)))]
        if problem.status in (HTTPStatus.REQUEST_ENTITY_TOO_LARGE, HTTPStatus.LENGTH_REQUIRED):
            # The body was not read, so the connection cannot be used again.
            headers.append(("Connection", "close"))
        start(f"{int(problem.status)} {problem.status.phrase}", self._headers(headers))
        return [body]

    def _answer_plain(self, path: str, start: StartResponse) -> Iterable[bytes]:
        if path == "/livez" or (path == "/readyz" and self.is_ready()):
            return _answer_text("200 OK", "ok\n", start)
        if path == "/readyz":
            return _answer_text("503 Service Unavailable", "not ready\n", start)
        detail = f"pipelines are below {PIPELINE_PATH_PREFIX}"
        problem = Problem(name="unknown-path", status=HTTPStatus.NOT_FOUND, detail=detail)
        return self._answer_problem(problem, start)

    def _headers(self, headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """Add ``Connection: close`` while this box drains, so that callers connect elsewhere."""
        if self.is_draining and ("Connection", "close") not in headers:
            return [*headers, ("Connection", "close")]
        return headers

    def _count(self, parsed: ParsedRequest, outcome: Outcome, seconds: float) -> None:
        """Count and log a completed request."""
        self._runner.count_completion(parsed, outcome)
        request = parsed.request
        outcome_name = outcome.reason if isinstance(outcome, Refusal) else "answered"
        labels = {
            "organisation": request.organisation,
            "pipeline": request.pipeline,
            "outcome": outcome_name,
        }
        with self._lock:
            self._metrics.requests.inc(labels)
            self._metrics.request_seconds.observe({"pipeline": request.pipeline}, seconds)
        _LOG.info(
            "request",
            extra={
                "request": request.request,
                "organisation": request.organisation,
                "pipeline": request.pipeline,
                "outcome": outcome_name,
                "run": outcome.run if isinstance(outcome, Refusal) else "yes",
                "seconds": round(seconds, 6),
            },
        )


def _advance(run: Generator[str, None, BilledOutcome]) -> str | BilledOutcome:
    """Return the next part of the output, or the outcome when there are no more."""
    try:
        return next(run)
    except StopIteration as stop:
        billed: BilledOutcome = stop.value
        return billed


def _answer_text(status: str, text: str, start: StartResponse) -> Iterable[bytes]:
    start(status, [("Content-Type", "text/plain"), ("Content-Length", str(len(text)))])
    return [text.encode()]
