"""What of a caller's request decides where it goes, what it may be quarantined for, and its log."""

import zlib
from typing import Final

from damsonlane.quarantine import find_fingerprint, list_shared_causes
from damsonlane.routes import Organisation, Route, RouteTable, Service
from damsonlaned.dialects import CallerRequest
from damsonlaned.gateway._call import Call

#: Most shared prompt segments that the log line of a request names.
MAX_LOGGED_PARTS: Final = 16
#: Resolution of the weights of a route's services.
_WEIGHT_STEPS: Final = 10_000


def find_request_fingerprint(request: CallerRequest, organisation: Organisation | None) -> str:
    """Return the fingerprint that identical requests of one organisation share."""
    return find_fingerprint(
        organisation=organisation.name if organisation is not None else "",
        method=request.http.method,
        host=request.host,
        target=request.http.target,
        body=request.http.body,
    )


def list_request_causes(request: CallerRequest, route: Route) -> tuple[str, ...]:
    """Return what of a request may make the target of its last step exit.

    The last segment of a prompt belongs to the request, which its fingerprint covers.
    """
    return list_shared_causes(
        parts=(segment.identity for segment in request.prefix_segments[:-1]),
        material_key=request.material_key if route.stages else "",
        body=request.http.body,
    )


def make_accepted_fields(call: Call) -> dict[str, object]:
    """Return the log fields of an accepted request."""
    return {
        **call.log_fields(),
        "organisation": call.organisation.name if call.organisation is not None else "",
        "service": call.service.name,
        "fingerprint": call.fingerprint,
        "rank": call.priority,
        "left_ms": int(1000 * (call.deadline_at - call.arrived_at)),
        "waited_ms": int(1000 * call.earlier_wait_seconds),
        "pieces": call.request.pieces,
        "tokens": call.request.prompt_tokens,
        **_describe_prompt(call),
        **_resumed_fields(call),
        **({"passed_on_by": call.relayed_by} if call.relayed_by else {}),
    }


def _describe_prompt(call: Call) -> dict[str, object]:
    """Return the log fields that name what a request shares with others; none for others."""
    request = call.request
    shared = [segment.identity for segment in request.prefix_segments[:-1]]
    parts = {"parts": shared[:MAX_LOGGED_PARTS]} if shared else {}
    return parts | ({"material": request.material_key} if request.material_key else {})


def _resumed_fields(call: Call) -> dict[str, object]:
    """Return the log fields of a request that resumes an event stream; none for others."""
    request = call.request
    if request.last_event_id is None and not request.first_attempt:
        return {}
    return {"first_attempt": request.first_attempt, "caller_event": request.last_event_id}


def choose_service(table: RouteTable, route: Route, request_id: str) -> Service:
    """Choose one of a route's services by weight; the same one whenever a request is retried."""
    total = sum(share.weight for share in route.services)
    point = zlib.crc32(request_id.encode()) % _WEIGHT_STEPS / _WEIGHT_STEPS * total
    name = route.services[-1].service
    for share in route.services:
        point -= share.weight
        if point < 0:
            name = share.service
            break
    service = table.service(name)
    if service is None:
        raise LookupError(f"the validated routing document has no service '{name}'")
    return service
