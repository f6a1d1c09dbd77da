"""Errors of HTTP connections."""

from damsonlane.errors import DamsonlaneError


class CallerDisconnectedError(DamsonlaneError):
    """The caller closed its connection before the response was complete."""


class NotSentError(DamsonlaneError):
    """No byte of the request was sent, so it has not run."""


class ConnectionsInUseError(NotSentError):
    """This box may open no further connection to the target, which has not failed."""


class IncompleteResponseError(DamsonlaneError):
    """The request was sent and no complete response arrived, so it may have run."""
