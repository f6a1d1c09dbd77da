"""Load and health of the targets of one service, as one entry knows them."""

import random
from collections.abc import Collection, Mapping, Sequence
from typing import Final, Literal

from damsonlane.backoff import TargetIncarnation
from damsonlane.records import dataclass
from damsonlane.rejections import SentWork
from damsonlane.routing._policies import POLICIES
from damsonlane.routing._views import Origin, TargetView
from damsonlane.speed import TargetSpeed, WorkBaselines
from damsonlane.targets import TargetRecord

#: Consecutive failures after which a target is ejected.
FAILURES_TO_EJECT: Final = 3
#: Duration of the first ejection, in seconds; it doubles with each further one.
INITIAL_EJECTION_SECONDS: Final = 1.0
#: Longest ejection, in seconds.
MAX_EJECTION_SECONDS: Final = 30.0
#: Largest share of a service's targets that may be ejected at once.
MAX_EJECTED_SHARE: Final = 0.5
#: Weight of a new sample in the moving average of a target's slowness.
SLOWNESS_WEIGHT: Final = 0.2
#: Half-life of an idle target's slowness, in seconds; it decays to normal.
SLOWNESS_HALF_LIFE: Final = 10.0
#: Half-life of the reported number of other entries' requests, in seconds.
REPORT_HALF_LIFE: Final = 0.5
#: Weight of a new report in the moving average of a target's crowding.
CROWDING_WEIGHT: Final = 0.3
#: Bounds of one slowness sample.
SLOWNESS_RANGE: Final = (0.1, 20.0)

#: What the outcome of an attempt says about the target's health.
HealthSignal = Literal["good", "bad", "neutral"]


@dataclass(frozen=True, kw_only=True)
class TargetLocation:
    """Address, data centre and incarnation of a target."""

    #: Address as an IP number and a port.
    address: str
    #: Its data centre.
    data_centre: str
    #: Its start; records about another incarnation do not apply to this one.
    start: int = 0


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """The load that a target reported."""

    #: Requests there from all entries, including queued ones.
    held: int
    #: Requests that it runs concurrently.
    slots: int
    #: Factor by which work takes longer there than usual; None if it reports none.
    slowness: float | None = None
    #: Whether it reported a slowness that was ignored as implausible.
    has_implausible_slowness: bool = False


@dataclass(frozen=True, kw_only=True)
class TargetChoice:
    """A chosen target."""

    #: Its name.
    target: str
    #: Its address.
    address: str
    #: Its start.
    start: int = 0


class _TargetState:
    """Load and health of one target."""

    def __init__(self, location: TargetLocation) -> None:
        self.location = location
        self.in_flight = 0
        self.others = 0.0
        self.reported_at = 0.0
        self.slots = 1
        self.slowness = 1.0
        self.measured_at = 0.0
        self.speed = TargetSpeed()
        self.crowding = 0.0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0

    def view(self, name: str, now: float, *, follows_speed: bool) -> TargetView:
        decay = _decay(now - self.measured_at, SLOWNESS_HALF_LIFE)
        return TargetView(
            name=name,
            data_centre=self.location.data_centre,
            in_flight=self.in_flight,
            others=self.others * _decay(now - self.reported_at, REPORT_HALF_LIFE),
            slots=self.slots,
            slowness=self.slowness**decay,
            time_factor=self.speed.find_factor(now) if follows_speed else None,
            crowding=self.crowding,
        )

    def is_ejected(self, now: float) -> bool:
        """Return whether the target is ejected: for a time, then while a trial request runs."""
        if self.ejections == 0:
            return False
        return now < self.ejected_until or self.in_flight > 0


class TargetTable:
    """Table of the targets of one service, with their load and health at one entry."""

    def __init__(self) -> None:
        self._records: dict[str, _TargetState] = {}
        self._baselines: Final = WorkBaselines()

    def update(self, locations: Mapping[str, TargetLocation]) -> None:
        """Replace the set of targets; the state of those that are not in it is dropped."""
        for name, location in locations.items():
            known = self._records.get(name)
            if known is None or not _is_same_incarnation(known.location, location):
                self._records[name] = _TargetState(location)
            else:
                known.location = location
        for removed in set(self._records) - set(locations):
            del self._records[removed]

    def locations(self) -> Mapping[str, TargetLocation]:
        """Return address, data centre and incarnation of all targets, by name."""
        return {name: record.location for name, record in self._records.items()}

    def choose(
        self,
        policy: str,
        origin: Origin,
        *,
        prefer: Collection[str] = (),
        avoid: Collection[str] = (),
        silent: Collection[str] = (),
        leaving: Collection[str] = (),
        now: float,
        randomness: random.Random,
    ) -> TargetChoice | None:
        """Choose a target and count the request as in flight there.

        Args:
            policy: name of the routing policy.
            origin: where the choice is made.
            prefer: preferred targets, used unless they are all excluded by the other
                arguments; empty for no preference.
            avoid: targets that failed this request already; used only if there are no
                others.
            silent: targets without recent heartbeats or responses; used only if there are no others
                but those of ``avoid``.
            leaving: draining targets, which are never chosen.
            now: the clock, in seconds.
            randomness: source of tie breaks.

        Returns:
            The choice, or None when the service has no usable target.
        """
        usable = self._list_usable(now, leaving)
        preferred = _exclude(usable, {*avoid, *silent}) or _exclude(usable, avoid) or usable
        if not preferred:
            return None
        candidates = [name for name in preferred if name in prefer] or preferred
        follows_speed = any(record.speed.reports_slowness for record in self._records.values())
        views = [
            self._records[name].view(name, now, follows_speed=follows_speed) for name in candidates
        ]
        chosen = POLICIES[policy].choose(views, origin, randomness)
        record = self._records[chosen.name]
        record.in_flight += 1
        return _make_choice(chosen.name, record)

    def assign(self, target: str) -> TargetChoice | None:
        """Count a request as in flight at a target that was chosen elsewhere.

        Args:
            target: its name.

        Returns:
            The choice, or None when the target is not in the table.
        """
        record = self._records.get(target)
        if record is None:
            return None
        record.in_flight += 1
        return _make_choice(target, record)

    def count_in_flight(self, target: str) -> int:
        """Return the number of requests of this entry at a target."""
        record = self._records.get(target)
        return record.in_flight if record is not None else 0

    def list_work(self, targets: Sequence[TargetRecord], now: float) -> list[SentWork]:
        """Return what this entry has in flight at targets."""
        return [
            SentWork(
                target=TargetIncarnation.of(target),
                in_flight=self.count_in_flight(target.target),
                slots=target.slots,
                is_crowded=self._is_crowded(target.target, now),
            )
            for target in targets
        ]

    def _is_crowded(self, target: str, now: float) -> bool:
        """Return whether a target runs as much as it can, by its last load report."""
        record = self._records.get(target)
        if record is None or record.reported_at <= 0:
            return False
        others = record.others * _decay(now - record.reported_at, REPORT_HALF_LIFE)
        return record.in_flight + others >= record.slots

    def reset_health(self) -> None:
        """End all ejections, and forget the failures that led to them."""
        for record in self._records.values():
            record.failures = 0
            record.ejections = 0

    def list_ejected(self, now: float) -> set[str]:
        """Return the names of the ejected targets."""
        return {name for name, record in self._records.items() if record.is_ejected(now)}

    def finish(
        self,
        target: str,
        health: HealthSignal,
        now: float,
        *,
        pace: float | None = None,
        report: LoadReport | None = None,
        reported_at: float | None = None,
        work: str = "",
        seconds: float | None = None,
        start: int | None = None,
    ) -> None:
        """Record that a request is no longer in flight.

        Args:
            target: name of the target that it was sent to.
            health: what the outcome says about the target's health.
            now: the clock, in seconds.
            pace: its duration as a multiple of the usual duration of such work.
            report: the load that the target reported in its answer.
            reported_at: when that report arrived; None for now.
            work: the class of its work.
            seconds: its duration, from which the speed of a target that reports its slowness is
                learned; None if it shows no speed.
            start: the incarnation that it was sent to; None to skip the comparison with the
                current one.
        """
        record = self._records.get(target)
        if record is None or start not in (None, record.location.start):
            return
        record.in_flight = max(0, record.in_flight - 1)
        if report is not None:
            # The report includes the request that just completed and those in flight from here.
            record.others = float(max(0, report.held - record.in_flight - 1))
            record.reported_at = now
            record.slots = max(1, report.slots)
            if report.slowness is not None:
                at = now if reported_at is None else reported_at
                record.speed.record_slowness(report.slowness, at)
                share = report.held / record.slots
                record.crowding += CROWDING_WEIGHT * (share - record.crowding)
                if seconds is not None:
                    self._record_seconds(record, report, work, seconds)
        if pace is not None:
            self._record_pace(record, pace, now)
        if health == "bad":
            self._record_failure(record, now)
        elif health == "good":
            record.failures = 0
            record.ejections = 0

    def record_failure(self, target: str, start: int, now: float) -> None:
        """Record that a target failed a request that is still in flight.

        Args:
            target: name of the target.
            start: the incarnation that has the request.
            now: the clock, in seconds.
        """
        record = self._records.get(target)
        if record is not None and start == record.location.start:
            self._record_failure(record, now)

    def _list_usable(self, now: float, leaving: Collection[str]) -> list[str]:
        present = [name for name in self._records if name not in leaving]
        healthy = [name for name in present if not self._records[name].is_ejected(now)]
        min_usable = len(present) - int(len(present) * MAX_EJECTED_SHARE)
        if len(healthy) >= min_usable:
            return healthy
        # With too many ejected, the cause is probably elsewhere: use those ejected for the
        # shortest remaining time.
        ejected = sorted(
            (name for name in present if name not in healthy),
            key=lambda name: self._records[name].ejected_until,
        )
        return healthy + ejected[: min_usable - len(healthy)]

    def _record_failure(self, record: _TargetState, now: float) -> None:
        record.failures += 1
        if record.failures >= FAILURES_TO_EJECT or record.ejections > 0:
            record.ejections += 1
            delay = min(
                MAX_EJECTION_SECONDS, INITIAL_EJECTION_SECONDS * 2 ** (record.ejections - 1)
            )
            record.ejected_until = now + delay

    def _record_seconds(
        self, record: _TargetState, report: LoadReport, work: str, seconds: float
    ) -> None:
        """Record a duration for the speed of a target; one that includes a queue shows none."""
        if report.slowness is None or report.held > report.slots:
            return
        factor = record.speed.time_factor * report.slowness
        ratio = self._baselines.record(work, seconds, factor)
        if ratio is not None:
            record.speed.record_duration(ratio, report.slowness)

    def _record_pace(self, record: _TargetState, pace: float, now: float) -> None:
        low, high = SLOWNESS_RANGE
        sample = min(high, max(low, pace))
        record.slowness += SLOWNESS_WEIGHT * (sample - record.slowness)
        record.measured_at = now


def _make_choice(name: str, record: _TargetState) -> TargetChoice:
    location = record.location
    return TargetChoice(target=name, address=location.address, start=location.start)


def _is_same_incarnation(known: TargetLocation, update: TargetLocation) -> bool:
    """Return whether two records are about the same incarnation of a target."""
    return (known.address, known.start) == (update.address, update.start)


def _exclude(names: Sequence[str], excluded: Collection[str]) -> list[str]:
    return [name for name in names if name not in excluded]


def _decay(age: float, half_life: float) -> float:
    """Return the remaining weight of an old observation, from 1 to 0."""
    return float(0.5 ** (max(0.0, age) / half_life))
