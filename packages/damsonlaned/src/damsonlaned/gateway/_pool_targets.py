"""The state of a stage pool's targets, as tracked by the owner of the pool."""

from collections.abc import Callable, Sequence
from typing import Final

from damsonlane.backoff import TargetIncarnation
from damsonlane.pools import CallCapacity, ResultMemory, ThroughputEstimate
from damsonlane.routes import PoolProperties
from damsonlane.targets import TargetRecord
from damsonlaned.gateway._rate_limits import ServiceLimits

#: Seconds of ejection after a failed call; doubled with each consecutive failure.
FIRST_EJECTION_SECONDS: Final = 0.5
#: Longest ejection in seconds.
MAX_EJECTION_SECONDS: Final = 8.0
#: Ratio of actual to expected call duration above which a target counts as slow.
SLOW_RATIO: Final = 2.2
#: Ratio of actual to expected call duration up to which a target is prompt: it began
#: the call on arrival, without another box's call ahead of it.
PROMPT_RATIO: Final = 1.3
#: Seconds of ejection of a slow target while others are available.
SLOW_EJECTION_SECONDS: Final = 2.0
#: Pause after a rejection by a target that fails if it rejects too much, as a multiple of the
#: time in which it bears one.
REJECTION_PAUSE_RATIO: Final = 2.0
#: Seconds without calls after a target rejected one because its queue was full.
REJECTION_PAUSE_SECONDS: Final = 0.15


class PoolTarget:
    """The mutable state of one target of the pool.

    Args:
        record: the registration of the target.
        properties: properties of the pool from the routing document.
        find_backoff: returns the remaining seconds of a back-off that the target requested.
        limits: rate limits that targets announced; None to apply none.
        find_rejection_limit: returns the rejections a second with which a target fails, or None.
    """

    def __init__(
        self,
        record: TargetRecord,
        properties: PoolProperties,
        find_backoff: Callable[[TargetIncarnation], float] = lambda _: 0.0,
        limits: ServiceLimits | None = None,
        find_rejection_limit: Callable[[TargetIncarnation], float | None] = lambda _: None,
    ) -> None:
        self._find_rejection_limit: Final = find_rejection_limit
        self._limits: Final = limits
        self.name: Final = record.target
        self.incarnation: Final = TargetIncarnation.of(record)
        self.start: Final = record.start
        self.address: Final = record.address
        self.data_centre: Final = record.data_centre
        self.result_memory: Final = ResultMemory(properties.room_bytes, properties.keep_seconds)
        #: Consecutive failed calls.
        self.failures = 0
        #: End of its ejection, by the loop's clock.
        self.ejected_until = 0.0
        #: Until when it gets no call after it rejected one, by the loop's clock.
        self.paused_until = 0.0
        self._find_backoff: Final = find_backoff
        #: Whether its last call took the expected time, so that it probably begins the
        #: next one on arrival as well.
        self.is_prompt = False
        self._is_busy = False
        #: Expected end of its call, while it is busy.
        self._free_at = 0.0

    def is_ready(self, now: float) -> bool:
        """Return whether it may be sent a call."""
        return not self._is_busy and self.is_available(now) and self.rate_wait_seconds() <= 0

    def is_available(self, now: float) -> bool:
        """Return whether it is neither ejected nor backing off."""
        is_ejected = now < max(self.ejected_until, self.paused_until)
        return not is_ejected and self.backoff_seconds() <= 0

    def backoff_seconds(self) -> float:
        """Return the remaining seconds of the back-off that it requested."""
        return self._find_backoff(self.incarnation)

    def rate_wait_seconds(self) -> float:
        """Return the seconds until its rate limit allows one more call."""
        return self._limits.wait_seconds(self.incarnation) if self._limits is not None else 0.0

    def gap_seconds(self) -> float:
        """Return the least seconds between two calls by its rate limit; 0 without one."""
        return self._limits.gap_seconds(self.incarnation) if self._limits is not None else 0.0

    def take_permit(self) -> bool:
        """Count a call against its rate limit; return whether it may be sent."""
        return self._limits is None or self._limits.take_permit(self.incarnation)

    def reads_at_once(self, now: float) -> bool:
        """Return whether it probably reads inputs on arrival and has memory for the results."""
        return self.is_prompt and not self.result_memory.was_rejected_recently(now)

    def wait_seconds(self, now: float) -> float:
        """Return the estimated seconds until its call ends and its rate limit allows the next."""
        left = max(0.0, self._free_at - now) if self._is_busy else 0.0
        return max(left, self.rate_wait_seconds())

    def record_call(self, reserved_bytes: int, free_at: float) -> None:
        """Record the start of a call.

        Args:
            reserved_bytes: bytes of result memory reserved for its results.
            free_at: expected end of the call, by the loop's clock.
        """
        self.result_memory.reserve(reserved_bytes)
        self._is_busy = True
        self._free_at = free_at

    def record_completion(self, reserved_bytes: int, sizes: dict[str, int], now: float) -> None:
        """Record the end of a call, with the sizes of its results by handle."""
        self._is_busy = False
        self.result_memory.commit(reserved_bytes, sizes, now)

    def record_duration_ratio(self, ratio: float, now: float) -> None:
        """Record a call that took ``ratio`` times as long as expected; eject a slow target."""
        self.failures = 0
        self.is_prompt = ratio <= PROMPT_RATIO
        if ratio > SLOW_RATIO:
            self.ejected_until = now + SLOW_EJECTION_SECONDS

    def record_failure(self, now: float) -> None:
        """Record a failed call and eject the target."""
        ejection = min(MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**self.failures)
        self.failures += 1
        self.is_prompt = False
        self.ejected_until = now + ejection

    def record_rejection(self, now: float) -> None:
        """Pause calls to the target, whose queue other boxes filled."""
        self.is_prompt = False
        limit = self._find_rejection_limit(self.incarnation)
        self.ejected_until = now + REJECTION_PAUSE_SECONDS
        if limit is not None:
            pause = REJECTION_PAUSE_RATIO / limit if limit > 0 else MAX_EJECTION_SECONDS
            self.paused_until = now + min(MAX_EJECTION_SECONDS, pause)


class PoolTargets:
    """The targets of the pool.

    Args:
        find_backoff: returns the remaining seconds of a back-off that a target requested.
        limits: rate limits that targets announced.
        find_rejection_limit: returns the rejections a second with which a target fails, or None.
    """

    def __init__(
        self,
        find_backoff: Callable[[TargetIncarnation], float],
        limits: ServiceLimits,
        find_rejection_limit: Callable[[TargetIncarnation], float | None] = lambda _: None,
    ) -> None:
        self._find_rejection_limit: Final = find_rejection_limit
        self._limits: Final = limits
        self._find_backoff: Final = find_backoff
        self._targets: dict[str, PoolTarget] = {}
        #: Throughput of the pool while more pieces wait than fit into a call.
        self.throughput: Final = ThroughputEstimate()

    def update(self, records: Sequence[TargetRecord], properties: PoolProperties) -> None:
        """Apply the registered targets; those that remain keep their state."""
        present = {record.target: record for record in records if record.standing != "leaving"}
        for removed in set(self._targets) - set(present):
            del self._targets[removed]
        for name, record in present.items():
            known = self._targets.get(name)
            if known is None or known.start != record.start:
                self._targets[name] = PoolTarget(
                    record,
                    properties,
                    self._find_backoff,
                    self._limits,
                    self._find_rejection_limit,
                )

    def list_all(self) -> tuple[PoolTarget, ...]:
        """Return all targets, the one known longest first."""
        return tuple(self._targets.values())

    def list_ready(self, now: float) -> list[PoolTarget]:
        """Return the targets that may be sent a call, those with the fewest failures first.

        Among equals, rate-limited targets come last, to save their permits for when the others
        are busy.
        """
        ready = [target for target in self._targets.values() if target.is_ready(now)]
        return sorted(
            ready, key=lambda target: (target.failures, target.gap_seconds(), target.name)
        )

    def find_backoff_seconds(self) -> float:
        """Return the seconds for which all targets back off; 0 if one takes calls."""
        return min((target.backoff_seconds() for target in self._targets.values()), default=0.0)

    def shorten_ejections(self, now: float) -> None:
        """Shorten all ejections if no target is available.

        If all fail, the fault is probably not theirs. Back-offs that targets requested stay.
        """
        if any(target.is_available(now) for target in self._targets.values()):
            return
        for target in self._targets.values():
            target.ejected_until = min(target.ejected_until, now + REJECTION_PAUSE_SECONDS)

    def next_check_seconds(self, now: float) -> float:
        """Return the seconds after which to check again for a target that is ready."""
        ejections = [
            max(target.ejected_until, target.paused_until) - now
            for target in self._targets.values()
        ]
        return min([*(ejection for ejection in ejections if ejection > 0), REJECTION_PAUSE_SECONDS])

    def find_capacity(
        self, target: PoolTarget | None, properties: PoolProperties, now: float
    ) -> CallCapacity:
        """Return the capacity that a target and the rest of the pool offer to the queue.

        Args:
            target: the target, or None for the pool as a whole.
            properties: properties of the pool from the routing document.
            now: the time by the loop's clock.
        """
        working = [other for other in self._targets.values() if other.is_available(now)]
        waits = tuple(other.wait_seconds(now) for other in working)
        gaps = tuple(other.gap_seconds() for other in working)
        return CallCapacity(
            data_centre=target.data_centre if target is not None else "",
            result_memory_bytes=target.result_memory.free_bytes(now) if target is not None else 0,
            seconds_until_free=_find_waits(working, waits),
            busy_seconds=waits,
            batch=properties.batch,
            call_seconds=properties.call_seconds,
            piece_seconds=properties.piece_seconds,
            throughput_ratio=self.throughput.ratio(),
            backoff_seconds=self.find_backoff_seconds(),
            call_interval_seconds=gaps if any(gaps) else (),
        )


def _find_waits(targets: Sequence[PoolTarget], waits: Sequence[float]) -> dict[str, float]:
    """Return the seconds until a target is free in each data centre."""
    shortest: dict[str, float] = {}
    for target, wait in zip(targets, waits, strict=True):
        shortest[target.data_centre] = min(shortest.get(target.data_centre, wait), wait)
    return shortest
