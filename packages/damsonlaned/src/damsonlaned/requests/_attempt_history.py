"""The attempts of one request, and whether it may be retried."""

from typing import Final

from damsonlane.versions import StreamOrigin
from damsonlaned.gateway._call import Call

#: Share of the time left that one attempt gets where a retry may follow.
ATTEMPT_SHARE: Final = 0.5
#: Least time for one attempt, in seconds.
MIN_ATTEMPT_SECONDS: Final = 0.08
#: Attempts for one request, those apart that a target rejected with a back-off or a rate limit.
MAX_ATTEMPTS: Final = 3
#: Attempts for one request, including those.  A target that announces a back-off or a rate limit
#: gets nothing more for a while, so that requests reach the target that is free.
MAX_THROTTLED_ATTEMPTS: Final = 12
#: Silence after which an event stream is resumed at another target, as a multiple of the
#: longest pause that the route's objective allows.
RESUME_PAUSE_FACTOR: Final = 3.0
#: Longest pause assumed where a route sets none, in seconds.
DEFAULT_PAUSE_SECONDS: Final = 1.0
#: Seconds added to the time left where no retry may follow, so that the deadline ends the request.
_BEYOND_DEADLINE_SECONDS: Final = 1.0


class AttemptHistory:
    """The attempts of one request at targets.

    Args:
        call: the request.
    """

    def __init__(self, call: Call) -> None:
        self._call: Final = call
        self._possible_runs = call.earlier_runs
        #: Attempts under way.
        self._running = 0
        self._throttled = 0
        #: Where the stream began that further attempts go on with; None before the first event.
        self.origin: StreamOrigin | None = call.origin
        #: Id of the last event that the caller has; None if there is none.
        self.last_event: str | None = call.last_event_id
        #: Attempts so far.
        self.attempt_count = 0
        #: Names of the targets that it was sent to.
        self.tried_targets: Final[set[str]] = set()
        #: Whether it may have run at a target.
        self.may_have_run = call.earlier_runs > 0

    def count_runs(self) -> int:
        """Return at how many targets and entries the request may have run or may run now."""
        return self._possible_runs + self._running

    def record_attempt(self, target: str) -> None:
        """Record that the request is sent to a target."""
        self.attempt_count += 1
        self._running += 1
        self.tried_targets.add(target)

    def record_relay(self) -> None:
        """Record that the request is passed on to another entry."""
        self.attempt_count += 1
        self._running += 1

    def record_end(self) -> None:
        """Record that an attempt has ended, or that the request was not passed on."""
        self._running -= 1

    def record_failure(self, *, may_have_run: bool, is_throttled: bool = False) -> None:
        """Record a failed attempt.

        Args:
            may_have_run: whether the request may have run at the target.
            is_throttled: whether the target rejected it and announced a back-off or a rate limit.
        """
        self._throttled += is_throttled
        if may_have_run:
            self.may_have_run = True
            self._possible_runs += 1

    def response_timeout_seconds(self) -> float:
        """Return after how many seconds without a head another attempt is prepared."""
        remaining = self._call.remaining()
        if self._call.route.is_retryable() and not self._is_last_allowed_run():
            return max(MIN_ATTEMPT_SECONDS, ATTEMPT_SHARE * remaining)
        return remaining + _BEYOND_DEADLINE_SECONDS

    def pause_seconds(self, *, has_started: bool) -> float:
        """Return after how many seconds without a part of a stream another attempt is prepared.

        Args:
            has_started: whether the caller has a part of the response.
        """
        route = self._call.route
        remaining = self._call.remaining()
        if not route.is_resumable or self._is_last_allowed_run():
            return remaining + _BEYOND_DEADLINE_SECONDS
        pause = route.pause_seconds or DEFAULT_PAUSE_SECONDS
        first = route.aim_seconds if not has_started else 0.0
        return RESUME_PAUSE_FACTOR * pause + first

    def may_retry(self, *, has_started: bool) -> bool:
        """Return whether the request may be retried, the fleet's retry budget apart.

        Args:
            has_started: whether the caller has a part of the response.
        """
        route = self._call.route
        if self._call.remaining() < MIN_ATTEMPT_SECONDS or self.attempt_count == 0:
            return False
        if has_started and not route.is_resumable:
            return False
        if (self.may_have_run or self._running) and not route.is_retryable():
            return False
        if self.count_runs() >= max(1, route.most_targets):
            return False
        return (
            self.attempt_count - self._throttled < MAX_ATTEMPTS
            and self.attempt_count < MAX_THROTTLED_ATTEMPTS
        )

    def _is_last_allowed_run(self) -> bool:
        """Return whether the attempt under way is the last one that may run the request."""
        return self.count_runs() >= self._call.route.most_targets
