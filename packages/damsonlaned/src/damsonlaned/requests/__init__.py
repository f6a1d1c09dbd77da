"""Requests of callers: one that was read and routed enters, its response or refusal leaves."""

from damsonlaned.requests._arrival import (
    choose_service,
    find_request_fingerprint,
    list_request_causes,
    make_accepted_fields,
)
from damsonlaned.requests._request_handler import RequestHandler

__all__ = [
    "RequestHandler",
    "choose_service",
    "find_request_fingerprint",
    "list_request_causes",
    "make_accepted_fields",
]
