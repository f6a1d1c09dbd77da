"""Requests of callers: one that was read and routed enters, its response or refusal leaves."""

from damsonlaned.requests._request_handler import RequestHandler

__all__ = ["RequestHandler"]
