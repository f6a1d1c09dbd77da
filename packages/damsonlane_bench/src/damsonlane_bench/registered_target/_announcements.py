"""What a stand-in announces in the heads of its responses."""

import itertools
from typing import Final

from damsonlane_bench.registered_target._load import ReportedLoad
from damsonlane_bench.registered_target._rejections import Rejections
from damsonlane_bench.registered_target._run_log import log_load, log_rate_limit
from damsonlaned.http import HttpRequest

#: Rate limits that a target announces one after the other: the value of the header, and the
#: requests per second that it means; None for an invalid value.
RATE_LIMITS: Final[tuple[tuple[str, float | None], ...]] = (
    ("2", 2.0),
    ("0.5", 0.5),
    ("8", 8.0),
    ("many", None),
    ("3, 1.5", 1.5),
    ("0", 0.0),
    ("-1", None),
    ("0.05", 0.05),
    ("1e9", 1e9),
)
#: Seconds of back-off that a target requests, and for which it rejects requests.
BACKOFF_SECONDS: Final = 1.5


class Announcements:
    """Makes the headers of responses.

    Args:
        target: name of the target.
        load: its load.
        rejections: its rejections for lack of room.
        reports_load: whether responses report its load.
    """

    def __init__(
        self, target: str, load: ReportedLoad, rejections: Rejections, *, reports_load: bool
    ) -> None:
        #: Whether responses announce that the target is draining.
        self.is_draining = False
        self._target: Final = target
        self._load: Final = load
        self._rejections: Final = rejections
        self._reports_load: Final = reports_load
        self._rate_limits: Final = itertools.cycle(RATE_LIMITS)
        self._rate_limit_header = ""
        self._rate_limit: float | None = None
        self._has_announced_rate_limit = False

    def announce_next_rate_limit(self) -> None:
        """Announce the next rate limit in each response from now on."""
        self._rate_limit_header, self._rate_limit = next(self._rate_limits)
        self._has_announced_rate_limit = True

    def end_rate_limit(self) -> None:
        """Announce no rate limit from now on."""
        self._rate_limit_header, self._rate_limit = "", None

    def make_headers(self, request: HttpRequest) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers of a response to a request."""
        request_id = request.find(b"damsonlane-request-id") or ""
        draining = ((b"Damsonlane-Leaving", b"1"),) if self.is_draining else ()
        if self._has_announced_rate_limit:
            log_rate_limit(request_id, self._target, self._rate_limit)
        rate_limit = (
            ((b"Damsonlane-Rate-Limit", self._rate_limit_header.encode()),)
            if self._rate_limit_header
            else ()
        )
        rejection_limit = (
            ((b"Damsonlane-Rejection-Limit", self._rejections.header.encode()),)
            if self._rejections.header
            else ()
        )
        load = ((b"Damsonlane-Load", self._report_load().encode()),) if self._reports_load else ()
        return (
            (b"Damsonlane-Request-Id", request_id.encode()),
            (b"Served-By", self._target.encode()),
            *draining,
            *rate_limit,
            *rejection_limit,
            *load,
        )

    def make_backoff_headers(self, request: HttpRequest) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers of a rejection that requests a back-off."""
        return (
            *self.make_headers(request),
            (b"Damsonlane-Run-No", b"1"),
            (b"Retry-After", str(BACKOFF_SECONDS).encode()),
        )

    def _report_load(self) -> str:
        """Return the load for the head of a response, and log it unless it is an ordinary one."""
        value = self._load.render()
        if self._load.is_implausible or self._load.slowness != 1.0:
            log_load(value, is_implausible=self._load.is_implausible)
        return value
