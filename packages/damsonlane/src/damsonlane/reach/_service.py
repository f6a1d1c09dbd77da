"""State machine: whether a box reaches the targets of one service."""

from collections.abc import Collection
from typing import Final, Literal

from damsonlane.reach._evidence import FailureKind, ReachEvidence

#: Whether the targets are reached.  On trial, one request at a time shows whether they are again.
ReachState = Literal["reached", "unreached", "trial"]

#: Seconds for which failures that other boxes see as well are not checked again; doubled with
#: each further check that has the same result.
FIRST_DISMISSAL_SECONDS: Final = 1.0
MAX_DISMISSAL_SECONDS: Final = 4.0
#: Seconds without a check after which the first of these applies again.
CALM_SECONDS: Final = 30.0
#: Seconds without a response after which the failure of one target is checked.
QUIET_SECONDS: Final = 0.25
#: Seconds after the end of an outage within which a new one is a relapse, and most relapses that
#: count.
RELAPSE_SECONDS: Final = 10.0
MAX_RELAPSES: Final = 4
#: Seconds after which the trial of a request that got no response ends.
TRIAL_SECONDS: Final = 1.0


class ServiceReach:
    """The state of one service at one box."""

    def __init__(self) -> None:
        self.evidence: Final = ReachEvidence()
        self.state: ReachState = "reached"
        #: Time of the last change of the state, by the caller's clock in seconds.
        self.since = 0.0
        self._dismissed_until = 0.0
        self._dismissed_kinds: frozenset[FailureKind] = frozenset()
        self._dismissed_count = 0
        self._dismissal_seconds = FIRST_DISMISSAL_SECONDS
        self._trial_until = 0.0
        self._relapses = 0

    @property
    def recovery_factor(self) -> int:
        """Multiple of the usual rounds of probes after which targets are tried again.

        Probes that get no response can't show the end of an outage; each try loses requests.
        """
        return int(2**self._relapses)

    def record_reached(self, now: float, *, is_new: bool) -> bool:
        """Record that a byte arrived from a target.

        Args:
            now: the clock, in seconds.
            is_new: whether it is the first one on its connection.

        Returns:
            Whether the state changed.
        """
        self.evidence.record_reached(now, is_new=is_new)
        if self.state == "trial":
            return self._change("reached", now)
        return False

    def record_failed(self, target: str, kind: FailureKind, now: float) -> bool:
        """Record that a target was not reached; return whether the state changed."""
        self.evidence.record_failed(target, kind, now)
        return self.state == "trial" and self._change("unreached", now)

    def needs_check(self, targets: Collection[str], now: float) -> bool:
        """Return whether to find out if other boxes reach the targets.

        Args:
            targets: names of all targets of the service.
            now: the clock, in seconds.
        """
        is_dismissed = (
            now < self._dismissed_until
            and self.evidence.list_kinds() <= self._dismissed_kinds
            and len(self.evidence.list_failed(targets, now)) <= self._dismissed_count
        )
        return (
            self.state == "reached"
            and not is_dismissed
            and (
                self.evidence.is_doubtful(targets, now)
                or self._is_quiet_after_failure(targets, now)
            )
        )

    def confirm(self, now: float) -> bool:
        """Record that another box may reach the targets; return whether the state changed."""
        if self.state == "reached":
            is_relapse = self.since > 0 and now - self.since < RELAPSE_SECONDS
            self._relapses = min(MAX_RELAPSES, self._relapses + 1) if is_relapse else 0
        return self._change("unreached", now)

    def dismiss(self, targets: Collection[str], now: float) -> None:
        """Record that no other box reaches the targets either.

        Failures of other kinds, or at more targets, are checked all the same.

        Args:
            targets: names of all targets of the service.
            now: the clock, in seconds.
        """
        if now - self._dismissed_until > CALM_SECONDS:
            self._dismissal_seconds = FIRST_DISMISSAL_SECONDS
        self._dismissed_kinds = self.evidence.list_kinds()
        self._dismissed_count = len(self.evidence.list_failed(targets, now))
        self._dismissed_until = now + self._dismissal_seconds
        self._dismissal_seconds = min(MAX_DISMISSAL_SECONDS, 2 * self._dismissal_seconds)

    def end_dismissal(self) -> None:
        """Have the failures checked again, since another box reported something."""
        self._dismissed_until = 0.0

    def begin_trial(self, now: float) -> bool:
        """Record that probes reached the targets; return whether the state changed."""
        return self.state == "unreached" and self._change("trial", now)

    def end_outage(self, now: float) -> bool:
        """Record that the targets are reached; return whether the state changed."""
        return self._change("reached", now)

    def admit_trial(self, now: float) -> bool:
        """Return whether a request may be sent as the trial, and count it as sent if so."""
        if self.state != "trial" or now < self._trial_until:
            return False
        self._trial_until = now + TRIAL_SECONDS
        return True

    def _is_quiet_after_failure(self, targets: Collection[str], now: float) -> bool:
        """Return whether a target failed and no other one responds, or has requests at all."""
        is_quiet = now - self.evidence.reached_at > QUIET_SECONDS
        return is_quiet and bool(self.evidence.list_failed(targets, now))

    def _change(self, state: ReachState, now: float) -> bool:
        if state == self.state:
            return False
        self.state = state
        self.since = now
        self._trial_until = 0.0
        if state == "reached":
            self.evidence.clear()
        return True
