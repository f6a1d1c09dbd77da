"""Parse and check an HTTP request of a caller."""

import hashlib
import json
import math
import secrets
import time
from collections.abc import Mapping
from datetime import UTC, datetime
from http import HTTPStatus
from typing import Any, Final

from damsonlane.admission import AdmissionRequest
from damsonlane.ledger import JobKey
from damsonlane.records import dataclass
from damsonlane.requests import ExecutionState, Request, ResolvedStage
from damsonlane.settings import EffectivePolicy, Pipeline, SettingsTree
from damsonlaned.entry._problems import Problem
from damsonlaned.entry._settings_view import SettingsInForce

#: Prefix of the path of every pipeline.
PIPELINE_PATH_PREFIX: Final = "/v1/pipelines/"
#: Longest idempotency key, in characters.
MAX_KEY_LENGTH: Final = 256
#: Header with the caller's remaining time, in milliseconds.
DEADLINE_HEADER: Final = "HTTP_DAMSONLANE_DEADLINE_MS"
#: Header in which a caller says whether it sent this key before.
RESEND_HEADER: Final = "HTTP_DAMSONLANE_RESEND"
#: Set by the server to the name of a header that was repeated and must not be.
REPEATED_HEADER: Final = "HTTP_DAMSONLANE_REPEATED_HEADER"

Environment = Mapping[str, Any]


class ProblemError(Exception):
    """The request cannot be accepted.

    Attributes:
        problem: the response to the caller.
    """

    def __init__(self, problem: Problem) -> None:
        self.problem = problem
        super().__init__(problem.detail)


@dataclass(frozen=True, kw_only=True)
class ParsedRequest:
    """A request that passed all checks."""

    #: The request.
    request: Request
    #: Its properties for admission control.
    admission: AdmissionRequest
    #: Whether the caller requested an event stream.
    is_streaming: bool
    #: The settings in force on its arrival, which apply until it completes.
    settings: SettingsInForce

    def run_if_refused(self) -> ExecutionState:
        """Return what is known to have run if the request is refused before it is admitted.

        An earlier sending of a request with an idempotency key may have run.
        """
        is_known = self.request.job is None or self.request.is_first_send
        return "no" if is_known else "unknown"


def parse_request(
    environment: Environment,
    settings: SettingsInForce,
    *,
    data_centre: str,
    body_limit: int,
    arrived_at: float,
    live_entries: int = 1,
) -> ParsedRequest:
    """Parse a request and check everything that its caller sent.

    Args:
        environment: the WSGI environment of the request.
        settings: the settings in force.
        data_centre: data centre of this entry.
        body_limit: largest body, in bytes.
        arrived_at: monotonic clock at arrival, in seconds.
        live_entries: entries that share the fleet's limits.

    Raises:
        ProblemError: the request is invalid; nothing ran.
    """
    _check_headers(environment)
    organisation = _authenticate(environment, settings)
    name, pipeline = _find_pipeline(environment, settings.tree, organisation)
    text = _read_text(environment, body_limit)
    policy = settings.tree.policy_of(data_centre, organisation, name)
    key = _read_key(environment, pipeline)
    request = Request(
        request=secrets.token_hex(12),
        organisation=organisation,
        pipeline=name,
        text=text,
        deadline_at=_find_deadline(
            environment, settings.tree, organisation, name, policy, arrived_at
        ),
        stages=_resolve_stages(settings.tree, data_centre, organisation, name),
        job=JobKey(organisation=organisation, key=key) if key else None,
        digest=hashlib.sha256(f"{name}\0{text}".encode()).hexdigest(),
        is_first_send=str(environment.get(RESEND_HEADER, "")).strip().lower() == "no",
    )
    admission = AdmissionRequest(
        organisation=organisation,
        lane=policy.lane,
        weight=policy.weight,
        limit=policy.in_flight,
        own_limit=math.ceil(policy.fleet_in_flight / live_entries),
    )
    accepted = str(environment.get("HTTP_ACCEPT", ""))
    return ParsedRequest(
        request=request,
        admission=admission,
        is_streaming="text/event-stream" in accepted,
        settings=settings,
    )


def _check_headers(environment: Environment) -> None:
    repeated = environment.get(REPEATED_HEADER)
    if repeated:
        raise _problem("malformed", HTTPStatus.BAD_REQUEST, f"header {repeated} stands twice")
    if environment["REQUEST_METHOD"] != "POST":
        raise _problem("method", HTTPStatus.METHOD_NOT_ALLOWED, "pipelines take POST only")


def _authenticate(environment: Environment, settings: SettingsInForce) -> str:
    scheme, _, token = str(environment.get("HTTP_AUTHORIZATION", "")).partition(" ")
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    organisation = settings.owners.get(digest) if scheme.lower() == "bearer" else None
    if organisation is None:
        detail = "a bearer token of an organisation is needed"
        raise _problem("unauthorised", HTTPStatus.UNAUTHORIZED, detail)
    return organisation


def _find_pipeline(
    environment: Environment, tree: SettingsTree, organisation: str
) -> tuple[str, Pipeline]:
    name = str(environment["PATH_INFO"]).removeprefix(PIPELINE_PATH_PREFIX)
    pipeline = tree.organisations[organisation].pipelines.get(name)
    if pipeline is None:
        # Another organisation's pipeline reads the same as one that does not exist.
        detail = f"organisation '{organisation}' has no such pipeline"
        raise _problem("unknown-pipeline", HTTPStatus.NOT_FOUND, detail)
    return name, pipeline


def _read_text(environment: Environment, limit: int) -> str:
    length_text = str(environment.get("CONTENT_LENGTH") or "")
    if not length_text.isdecimal():
        raise _problem("malformed", HTTPStatus.LENGTH_REQUIRED, "Content-Length is needed")
    length = int(length_text)
    if length > limit:
        detail = f"the body has {length} bytes; {limit} are allowed"
        raise _problem("too-large", HTTPStatus.REQUEST_ENTITY_TOO_LARGE, detail)
    data = environment["wsgi.input"].read(length)
    if len(data) < length:
        raise _problem("malformed", HTTPStatus.BAD_REQUEST, "the body ends early")
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        detail = f"the body is not JSON: {error}"
        raise _problem("malformed", HTTPStatus.BAD_REQUEST, detail) from None
    if not isinstance(body, dict) or not isinstance(body.get("input"), str):
        detail = 'the body must be an object with a text named "input"'
        raise _problem("malformed", HTTPStatus.BAD_REQUEST, detail)
    unknown = sorted(set(body) - {"input"})
    if unknown:
        detail = f"the body has unknown names: {', '.join(unknown)}"
        raise _problem("malformed", HTTPStatus.BAD_REQUEST, detail)
    return str(body["input"])


def _read_key(environment: Environment, pipeline: Pipeline) -> str:
    key = str(environment.get("HTTP_IDEMPOTENCY_KEY", "")).strip().strip('"')
    if len(key) > MAX_KEY_LENGTH:
        detail = f"the idempotency key is longer than {MAX_KEY_LENGTH} characters"
        raise _problem("malformed", HTTPStatus.BAD_REQUEST, detail)
    if not key and not pipeline.repeatable:
        detail = "this pipeline is not repeatable: send an Idempotency-Key"
        raise _problem("key-needed", HTTPStatus.BAD_REQUEST, detail)
    return key


def _find_deadline(
    environment: Environment,
    tree: SettingsTree,
    organisation: str,
    name: str,
    policy: EffectivePolicy,
    arrived_at: float,
) -> float:
    """Return the earliest of the settings' limit, the caller's deadline and the event's end."""
    seconds = policy.deadline_seconds
    header = environment.get(DEADLINE_HEADER)
    if header is not None:
        try:
            seconds = min(seconds, int(str(header)) / 1000.0)
        except ValueError:
            detail = "Damsonlane-Deadline-Ms must be a whole number of milliseconds"
            raise _problem("malformed", HTTPStatus.BAD_REQUEST, detail) from None
    end = tree.event_end(organisation, name, datetime.now(UTC))
    if end is not None:
        seconds = min(seconds, end - time.time())
    return arrived_at + seconds


def _resolve_stages(
    tree: SettingsTree, data_centre: str, organisation: str, name: str
) -> tuple[ResolvedStage, ...]:
    resolved = []
    for stage in tree.organisations[organisation].pipelines[name].stages:
        policy = tree.stage_policy_of(data_centre, organisation, name, stage.service)
        resolved_stage = ResolvedStage(
            name=stage.name,
            service=stage.service,
            attempts=policy.stage_attempts,
            routing=policy.routing,
            retry_share=policy.retry_share,
        )
        resolved.append(resolved_stage)
    return tuple(resolved)


def _problem(name: str, status: HTTPStatus, detail: str) -> ProblemError:
    return ProblemError(Problem(name=name, status=status, detail=detail))
