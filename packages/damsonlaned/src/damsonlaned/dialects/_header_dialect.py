"""Base class of dialects that differ in header names, paths and bodies."""

import json
from abc import abstractmethod
from collections.abc import Mapping
from dataclasses import fields, replace
from typing import Final
from urllib.parse import unquote

from damsonlane.routing import LoadReport
from damsonlane.speed import is_plausible
from damsonlane.targets import TargetRecord
from damsonlaned.dialects._interface import Dialect
from damsonlaned.dialects._names import HeaderNames, PathNames
from damsonlaned.dialects._types import (
    Attempt,
    BadRequestError,
    CallerRequest,
    ControlCall,
    Deregistration,
    Evacuate,
    Heartbeat,
    PrefixSegment,
    PutDocument,
    ReadDocument,
    Refusal,
    ResponseSignals,
    Restore,
    ResultCountError,
)
from damsonlaned.http import (
    HeaderList,
    HttpHead,
    HttpRequest,
    HttpResponse,
    read_rate_limit,
    read_retry_after,
    remove_hop_by_hop,
)

#: Longest deadline that callers may set, in seconds; longer ones are cut to it.
_MAX_DEADLINE_SECONDS: Final = 86_400.0
#: Most pieces that one stage of one request may have.
_MAX_PIECES: Final = 10_000
#: Most digits of a plausible count.  Longer ones overflow a float, or are refused by `int`.
_MAX_COUNT_DIGITS: Final = 9
#: Status of a target that is overloaded.  Only with it is ``Retry-After`` read as a back-off of
#: the target: 429 is about the caller, and its ``Retry-After`` is forwarded to the caller unread.
_OVERLOADED_STATUS: Final = 503
_JSON_CONTENT_TYPE: Final = (b"Content-Type", b"application/json")
#: Host header of requests that this box originates.
_HOST_HEADER: Final = (b"Host", b"damsonlane")


class HeaderDialect(Dialect):
    """Reads and writes headers under the names that a subclass defines.

    The subclass encodes and decodes the bodies.
    """

    #: Names of the headers.
    headers: HeaderNames
    #: Paths of the calls.
    paths: PathNames

    def __init__(self) -> None:
        names = self.headers
        self._lower_names: Final = {
            field.name: getattr(names, field.name).lower().encode()
            for field in fields(names)
            if field.name not in ("key_scheme", "reserved")
        }
        set_by_us = (
            names.key,
            names.organisation,
            names.target,
            names.target_start,
            names.deadline_ms,
            names.urgency,
            names.source,
        )
        not_forwarded = (*set_by_us, names.inputs, "Expect", *names.reserved)
        self._not_forwarded: Final = frozenset(name.lower().encode() for name in not_forwarded)

    # Callers.

    def read_caller(self, request: HttpRequest) -> CallerRequest:
        """Decode a caller's request."""
        request_id = self._find_header(request, "request_id")
        if not request_id:
            raise BadRequestError(f"the header {self.headers.request_id} is missing")
        prompt_tokens, max_output_tokens = self._read_tokens(request)
        return CallerRequest(
            http=request,
            request_id=request_id,
            host=request.find(b"host") or "",
            key=(self._find_header(request, "key") or "").removeprefix(self.headers.key_scheme),
            deadline_seconds=self._read_deadline(request),
            prefix_segments=self._read_prefix(request),
            model=self._find_header(request, "model") or "",
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
            pieces=self._read_pieces(request),
            material_key=self._find_header(request, "material_key") or "",
            last_event_id=self._find_header(request, "last_event"),
            first_attempt=self._find_header(request, "resumes") or "",
        )

    def render_refusal(self, refusal: Refusal, request_id: str) -> HttpResponse:
        """Return an error response of our own as a problem document (RFC 9457)."""
        problem = {
            "status": refusal.status,
            "detail": refusal.detail,
            "run": "unknown" if refusal.may_have_run else "no",
        }
        headers: HeaderList = ((b"Content-Type", b"application/problem+json"),)
        if request_id:
            headers = (*headers, (self.headers.request_id.encode(), request_id.encode("latin-1")))
        if refusal.retry_after_seconds is not None:
            headers = (*headers, (b"Retry-After", f"{refusal.retry_after_seconds:.2f}".encode()))
        return HttpResponse(
            status=refusal.status, headers=headers, body=json.dumps(problem).encode()
        )

    def is_readiness_check(self, request: HttpRequest) -> bool:
        """Return whether a request is a readiness check of this entry."""
        return request.path == self.paths.ready

    # Targets.

    def make_request(self, request: CallerRequest, attempt: Attempt) -> HttpRequest:
        """Return the request that is sent to a target for an attempt."""
        end_to_end = remove_hop_by_hop(request.http.headers)
        not_forwarded = self._not_forwarded
        if attempt.last_event_id is not None:
            not_forwarded = not_forwarded | {self._lower_names["last_event"]}
        forwarded = tuple(item for item in end_to_end if item[0].lower() not in not_forwarded)
        return HttpRequest(
            method=request.http.method,
            target=request.http.target,
            headers=(*forwarded, *self._make_attempt_headers(attempt)),
            body=request.http.body,
        )

    def _make_attempt_headers(self, attempt: Attempt) -> HeaderList:
        names = self.headers
        milliseconds = max(1, int(attempt.remaining_seconds * 1000))
        values = [(names.deadline_ms, str(milliseconds)), (names.target, attempt.target)]
        if names.target_start and attempt.start:
            values.append((names.target_start, str(attempt.start)))
        if attempt.organisation:
            values.append((names.organisation, attempt.organisation))
        if attempt.urgency is not None:
            values.append((names.urgency, str(attempt.urgency)))
        if attempt.inputs:
            values.append((names.inputs, ",".join(attempt.inputs)))
        if attempt.cache_source:
            values.append((names.source, attempt.cache_source))
        if attempt.last_event_id is not None:
            values.append((names.last_event, attempt.last_event_id))
        return tuple((name.encode(), value.encode("latin-1")) for name, value in values)

    def read_signals(self, head: HttpHead) -> ResponseSignals:
        """Return the signals in the head of a target's response."""
        content_type = head.find(b"content-type") or ""
        return ResponseSignals(
            request_id=head.find(self._lower_names["request_id"]),
            has_not_run=head.find(self._lower_names["not_run"]) is not None or head.status == 421,
            load=_read_load(head.find(self._lower_names["load"])),
            is_stream=content_type.startswith("text/event-stream"),
            backoff_seconds=_read_backoff(head),
            is_draining=(head.find(self._lower_names["leaving"]) or "").strip() not in ("", "0"),
            rate_limit=read_rate_limit(head.find_values(self._lower_names["rate_limit"])),
            rejection_limit=read_rate_limit(head.find_values(self._lower_names["rejection_limit"])),
            is_overloaded=head.status == _OVERLOADED_STATUS,
        )

    # Stage pools.

    def read_result_address(self, handle: str) -> str:
        """Return the address of the pool target that stores a result; handles begin with it."""
        return handle.partition("/")[0]

    # Calls to control replicas.

    def read_control_call(self, request: HttpRequest) -> ControlCall | None:
        """Decode a call to a control replica; None if its path or method is unknown."""
        path = request.path
        if path == self.paths.document and request.method == "PUT":
            return PutDocument(text=request.body)
        if path == self.paths.document and request.method == "GET":
            return ReadDocument()
        target = _read_name(path, self.paths.targets)
        if target:
            return self._read_target_call(target, request)
        data_centre = _read_name(path, self.paths.evacuations)
        return _read_evacuation(data_centre, request.method) if data_centre else None

    def _read_target_call(self, target: str, request: HttpRequest) -> ControlCall | None:
        if request.method == "PUT":
            return Heartbeat(record=self.read_heartbeat(target, request.body))
        if request.method == "DELETE":
            return Deregistration(target=target, start=self.read_deregistration(request.body))
        return None

    @abstractmethod
    def read_deregistration(self, body: bytes) -> int:
        """Return the incarnation's start in a deregistration, in Unix milliseconds; 0 if absent."""

    @abstractmethod
    def read_heartbeat(self, target: str, body: bytes) -> TargetRecord:
        """Decode a heartbeat.

        Args:
            target: name of the target, from the path.
            body: the body of the heartbeat.

        Raises:
            BadRequestError: the body is malformed or names another target than the path.
        """

    # JSON bodies.

    def add_request_id(self, request: HttpRequest, request_id: str) -> HttpRequest:
        """Return a call with an id, which its answer must repeat."""
        header = (self.headers.request_id.encode(), request_id.encode())
        return replace(request, headers=(*request.headers, header))

    def _make_post(
        self, path: str, value: Mapping[str, object], target: str | None = None
    ) -> HttpRequest:
        """Return a request of our own, addressed to a target unless ``target`` is None."""
        target_header: HeaderList = ()
        if target is not None:
            target_header = ((self.headers.target.encode(), target.encode()),)
        return HttpRequest(
            method="POST",
            target=path,
            headers=(_HOST_HEADER, _JSON_CONTENT_TYPE, *target_header),
            body=json.dumps(value).encode(),
        )

    @staticmethod
    def _render_ok(value: Mapping[str, object]) -> HttpResponse:
        return HttpResponse(
            status=200, headers=(_JSON_CONTENT_TYPE,), body=json.dumps(value).encode()
        )

    @staticmethod
    def _check_count(received: int, expected: int) -> None:
        """Reject a pool reply whose number of pieces is not that of its call."""
        if received != expected:
            raise ResultCountError(f"the pool reply has {received} pieces instead of {expected}")

    # Headers.

    def _find_header(self, request: HttpRequest, field: str) -> str | None:
        return request.find(self._lower_names[field])

    def _read_deadline(self, request: HttpRequest) -> float | None:
        value = self._find_header(request, "deadline_ms")
        if value is None:
            return None
        try:
            return min(_MAX_DEADLINE_SECONDS, max(0.0, float(value) / 1000))
        except ValueError:
            raise BadRequestError(f"{self.headers.deadline_ms} is no number") from None

    def _read_tokens(self, request: HttpRequest) -> tuple[int, int]:
        prompt, _, output = (self._find_header(request, "tokens") or "").partition(",")
        return _read_count(prompt), _read_count(output)

    def _read_prefix(self, request: HttpRequest) -> tuple[PrefixSegment, ...]:
        value = self._find_header(request, "prefix") or ""
        segments = [item.strip().partition(":") for item in value.split(",") if item.strip()]
        return tuple(
            PrefixSegment(identity=identity, tokens=_read_count(tokens))
            for identity, _, tokens in segments
        )

    def _read_pieces(self, request: HttpRequest) -> tuple[int, ...]:
        value = self._find_header(request, "pieces") or ""
        counts = [item.strip() for item in value.split(",") if item.strip()]
        if any(not _is_count(count) or int(count) > _MAX_PIECES for count in counts):
            raise BadRequestError(f"{self.headers.pieces} must hold numbers up to {_MAX_PIECES}")
        return tuple(int(count) for count in counts)


def _read_name(path: str, prefix: str) -> str:
    """Return the name after a prefix of a path, or an empty string if the path has another form."""
    name = path.removeprefix(prefix)
    return "" if name == path or "/" in name else unquote(name)


def _read_evacuation(data_centre: str, method: str) -> ControlCall | None:
    if method == "POST":
        return Evacuate(data_centre=data_centre)
    return Restore(data_centre=data_centre) if method == "DELETE" else None


def _read_count(text: str) -> int:
    """Return a count, or 0 for a malformed one: counts are hints and fail no request."""
    text = text.strip()
    return int(text) if _is_count(text) else 0


def _is_count(text: str) -> bool:
    """Return whether a text is a plausible count."""
    return text.isdecimal() and len(text) <= _MAX_COUNT_DIGITS


def _read_backoff(head: HttpHead) -> float:
    """Return the seconds of back-off that an overloaded target requests."""
    if head.status != _OVERLOADED_STATUS:
        return 0.0
    return read_retry_after(head.find(b"retry-after"), head.find(b"date"))


def _read_load(text: str | None) -> LoadReport | None:
    """Return a load of the form "running,waiting,slots" or "running,waiting,slots,percent".

    The fourth number is the time that work takes now, as a percentage of the usual one.  Without
    a plausible one the other three are still valid.  Returns None for a malformed load.
    """
    items = (text or "").split(",")
    counts = [_read_count(item) for item in items[:3]]
    if len(items) not in (3, 4) or counts[2] == 0:
        return None
    slowness = _read_slowness(items[3]) if len(items) == 4 else None
    return LoadReport(
        held=counts[0] + counts[1],
        slots=counts[2],
        slowness=slowness,
        has_implausible_slowness=len(items) == 4 and slowness is None,
    )


def _read_slowness(text: str) -> float | None:
    """Return a slowness reported in percent, or None for an implausible one."""
    try:
        slowness = float(text) / 100
    except ValueError:
        return None
    return slowness if is_plausible(slowness) else None
