"""Requests that are served late, and those that can't end in time."""

from damsonlaned.lateness._late_requests import LateRequests

__all__ = ["LateRequests"]
