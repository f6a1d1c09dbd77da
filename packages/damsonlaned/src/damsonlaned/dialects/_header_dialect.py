"""A dialect whose names are data: what most dialects share."""

import json
from abc import abstractmethod
from collections.abc import Mapping
from dataclasses import fields
from typing import Final
from urllib.parse import unquote

from damsonlane.routing import LoadReport
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
    PrefixPart,
    PutDocument,
    ReadDocument,
    Refusal,
    ResponseSignals,
    Restore,
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

#: Longest deadline that is taken at its word, in seconds; a day.
_LONGEST_DEADLINE: Final = 86_400.0
#: Most pieces that one stage of one request may have.
_MOST_PIECES: Final = 10_000
#: Status by which a target says that it is the one that has too much to do.  429 speaks of
#: the caller, and what it asks for goes to the caller unread.
_BUSY_STATUS: Final = 503
#: Type of the bodies that this box writes to targets.
_JSON: Final = (b"Content-Type", b"application/json")
#: Host that our own requests name.
_HOST: Final = (b"Host", b"damsonlane")


class HeaderDialect(Dialect):
    """Reads and writes headers under the names that a subclass gives.

    What bodies hold is left to the subclass.
    """

    #: Names of the headers.
    headers: HeaderNames
    #: Paths of the calls.
    paths: PathNames

    def __init__(self) -> None:
        names = self.headers
        self._lower: Final = {
            field.name: getattr(names, field.name).lower().encode()
            for field in fields(names)
            if field.name not in ("key_scheme", "reserved")
        }
        own = (
            names.key,
            names.organisation,
            names.target,
            names.deadline_ms,
            names.urgency,
            names.source,
        )
        hidden = (*own, names.inputs, "Expect", *names.reserved)
        self._hidden: Final = frozenset(name.lower().encode() for name in hidden)

    # Callers.

    def read_caller(self, request: HttpRequest) -> CallerRequest:
        """Return a caller's request."""
        request_id = self._find(request, "request_id")
        if not request_id:
            raise BadRequestError(f"the header {self.headers.request_id} is missing")
        tokens_in, tokens_out = self._read_tokens(request)
        return CallerRequest(
            http=request,
            request_id=request_id,
            host=request.find(b"host") or "",
            key=(self._find(request, "key") or "").removeprefix(self.headers.key_scheme),
            deadline_seconds=self._read_deadline(request),
            prefix_segments=self._read_prefix(request),
            prompt_tokens=tokens_in,
            max_output_tokens=tokens_out,
            pieces=self._read_pieces(request),
            material_key=self._find(request, "material_key") or "",
        )

    def render_refusal(self, refusal: Refusal, request_id: str) -> HttpResponse:
        """Return an answer of our own as a problem document (RFC 9457)."""
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
        """Tell whether a request asks if this entry takes requests."""
        return request.path == self.paths.ready

    # Targets.

    def make_request(self, request: CallerRequest, attempt: Attempt) -> HttpRequest:
        """Return what is sent to a target."""
        kept = remove_hop_by_hop(request.http.headers)
        hidden = self._hidden
        if attempt.last_event_id is not None:
            hidden = hidden | {self._lower["last_event"]}
        passed = tuple(item for item in kept if item[0].lower() not in hidden)
        return HttpRequest(
            method=request.http.method,
            target=request.http.target,
            headers=(*passed, *self._attempt_headers(attempt)),
            body=request.http.body,
        )

    def _attempt_headers(self, attempt: Attempt) -> HeaderList:
        names = self.headers
        milliseconds = max(1, int(attempt.remaining_seconds * 1000))
        values = [(names.deadline_ms, str(milliseconds)), (names.target, attempt.target)]
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
        """Return what the head of a target's answer says."""
        kind = head.find(b"content-type") or ""
        return ResponseSignals(
            request_id=head.find(self._lower["request_id"]),
            has_not_run=head.find(self._lower["not_run"]) is not None or head.status == 421,
            load=_read_load(head.find(self._lower["load"])),
            is_stream=kind.startswith("text/event-stream"),
            backoff_seconds=_read_backoff(head),
            is_draining=(head.find(self._lower["leaving"]) or "").strip() not in ("", "0"),
            rate_limit=read_rate_limit(head.find_values(self._lower["rate_limit"])),
        )

    # Stage pools.

    def read_result_address(self, handle: str) -> str:
        """Return the address of the target that holds a result; a handle begins with it."""
        return handle.partition("/")[0]

    # Control.

    def read_control_call(self, request: HttpRequest) -> ControlCall | None:
        """Return a call to control, or None when there is no such call."""
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
            return Deregistration(target=target, start=self.read_departure(request.body))
        return None

    @abstractmethod
    def read_departure(self, body: bytes) -> int:
        """Return the start of a target that leaves, in Unix milliseconds; 0 if it says none."""

    @abstractmethod
    def read_heartbeat(self, target: str, body: bytes) -> TargetRecord:
        """Return what a target says of itself.

        Raises:
            BadRequestError: the body can't be understood.
        """

    # JSON bodies.

    def _post(
        self, path: str, value: Mapping[str, object], target: str | None = None
    ) -> HttpRequest:
        """Return a request of our own; ``target`` names the one that is meant."""
        named: HeaderList = ()
        if target is not None:
            named = ((self.headers.target.encode(), target.encode()),)
        return HttpRequest(
            method="POST",
            target=path,
            headers=(_HOST, _JSON, *named),
            body=json.dumps(value).encode(),
        )

    @staticmethod
    def _accept(value: Mapping[str, object]) -> HttpResponse:
        """Return an answer that says yes."""
        return HttpResponse(status=200, headers=(_JSON,), body=json.dumps(value).encode())

    @staticmethod
    def _check_count(made: int, ordered: int) -> None:
        """Refuse a reply that has fewer or more pieces than were ordered."""
        if made != ordered:
            raise BadRequestError(f"the reply has {made} pieces, not {ordered}")

    # Headers.

    def _find(self, request: HttpRequest, field: str) -> str | None:
        return request.find(self._lower[field])

    def _read_deadline(self, request: HttpRequest) -> float | None:
        value = self._find(request, "deadline_ms")
        if value is None:
            return None
        try:
            return min(_LONGEST_DEADLINE, max(0.0, float(value) / 1000))
        except ValueError:
            raise BadRequestError(f"{self.headers.deadline_ms} is no number") from None

    def _read_tokens(self, request: HttpRequest) -> tuple[int, int]:
        first, _, second = (self._find(request, "tokens") or "").partition(",")
        return _read_count(first), _read_count(second)

    def _read_prefix(self, request: HttpRequest) -> tuple[PrefixPart, ...]:
        value = self._find(request, "prefix") or ""
        parts = [part.strip().partition(":") for part in value.split(",") if part.strip()]
        return tuple(
            PrefixPart(identity=identity, tokens=_read_count(tokens))
            for identity, _, tokens in parts
        )

    def _read_pieces(self, request: HttpRequest) -> tuple[int, ...]:
        value = self._find(request, "pieces") or ""
        counts = [part.strip() for part in value.split(",") if part.strip()]
        if any(not part.isdecimal() or int(part) > _MOST_PIECES for part in counts):
            raise BadRequestError(f"{self.headers.pieces} must hold numbers up to {_MOST_PIECES}")
        return tuple(int(part) for part in counts)


def _read_name(path: str, prefix: str) -> str:
    """Return the name that follows a prefix in a path; empty if the path has another form."""
    name = path.removeprefix(prefix)
    return "" if name == path or "/" in name else unquote(name)


def _read_evacuation(data_centre: str, method: str) -> ControlCall | None:
    if method == "POST":
        return Evacuate(data_centre=data_centre)
    return Restore(data_centre=data_centre) if method == "DELETE" else None


def _read_count(text: str) -> int:
    """Return a count; a hint that is no number is taken as none."""
    text = text.strip()
    return int(text) if text.isdecimal() else 0


def _read_backoff(head: HttpHead) -> float:
    """Return the seconds for which a target that turned a request away wants no other one."""
    if head.status != _BUSY_STATUS:
        return 0.0
    return read_retry_after(head.find(b"retry-after"), head.find(b"date"))


def _read_load(text: str | None) -> LoadReport | None:
    counts = [_read_count(part) for part in (text or "").split(",")]
    if len(counts) != 3 or counts[2] == 0:
        return None
    return LoadReport(held=counts[0] + counts[1], slots=counts[2])
