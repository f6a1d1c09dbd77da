"""Requests of callers: one that was read and routed enters, its response or refusal leaves."""

from damsonlaned.requests._arrival import (
    choose_service,
    find_request_fingerprint,
    list_request_causes,
    make_accepted_fields,
)
from damsonlaned.requests._request_handler import RequestHandler
from damsonlaned.requests._stop_limit import StopLimit

__all__ = [
    "RequestHandler",
    "StopLimit",
    "choose_service",
    "find_request_fingerprint",
    "list_request_causes",
    "make_accepted_fields",
]
