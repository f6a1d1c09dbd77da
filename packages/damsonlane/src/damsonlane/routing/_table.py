"""What an entry knows of the targets of one service."""

import random
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Final, Literal

from damsonlane.routing._policies import POLICIES
from damsonlane.routing._views import Origin, TargetView

#: Failures in a row after which a target is ejected.
FAILURES_TO_EJECT: Final = 3
#: Seconds of the first ejection; each further one doubles it.
FIRST_EJECTION: Final = 1.0
#: Longest ejection, in seconds.
LONGEST_EJECTION: Final = 30.0
#: Largest share of a service's targets that may be ejected at once.
EJECTED_SHARE: Final = 0.5
#: Weight of a new sample in a target's slowness.
SLOWNESS_WEIGHT: Final = 0.2
#: Seconds in which an idle target's slowness goes half way back to normal.
SLOWNESS_HALF_LIFE: Final = 10.0
#: Seconds in which a report of other entries' requests loses half of its worth.
REPORT_HALF_LIFE: Final = 0.5
#: Bounds of one slowness sample.
SLOWNESS_RANGE: Final = (0.1, 20.0)

#: How an attempt ended as far as the target's health is concerned.
Health = Literal["good", "bad", "neutral"]


@dataclass(frozen=True, kw_only=True)
class Standing:
    """Where a target stands, as settings say."""

    #: Address as an IP number and a port.
    address: str
    #: Its data centre.
    data_centre: str
    #: Its start; what was learnt of another start says nothing of this one.
    start: int = 0


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """What a target said of its load."""

    #: Requests it holds, from all entries, waiting ones included.
    held: int
    #: Requests it runs at once.
    slots: int


@dataclass(frozen=True, kw_only=True)
class Choice:
    """A target that was chosen."""

    #: Its name.
    target: str
    #: Its address.
    address: str
    #: Its start.
    start: int = 0


class _Record:
    """Mutable knowledge of one target."""

    def __init__(self, standing: Standing) -> None:
        self.standing = standing
        self.in_flight = 0
        self.others = 0.0
        self.reported_at = 0.0
        self.slots = 1
        self.slowness = 1.0
        self.measured_at = 0.0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0

    def view(self, name: str, now: float) -> TargetView:
        slowness_fading = _fade(now - self.measured_at, SLOWNESS_HALF_LIFE)
        return TargetView(
            name=name,
            data_centre=self.standing.data_centre,
            in_flight=self.in_flight,
            others=self.others * _fade(now - self.reported_at, REPORT_HALF_LIFE),
            slots=self.slots,
            slowness=self.slowness**slowness_fading,
        )

    def is_ejected(self, now: float) -> bool:
        """Tell whether the target is out: until its time is up, then while its trial runs."""
        if self.ejections == 0:
            return False
        return now < self.ejected_until or self.in_flight > 0


class TargetBook:
    """Targets of one service, with their load and health at one entry."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def update(self, standings: Mapping[str, Standing]) -> None:
        """Take over the targets that settings name; knowledge of the others is dropped."""
        for name, standing in standings.items():
            known = self._records.get(name)
            if known is None or not _is_same(known.standing, standing):
                self._records[name] = _Record(standing)
            else:
                known.standing = standing
        for gone in set(self._records) - set(standings):
            del self._records[gone]

    def standings(self) -> Mapping[str, Standing]:
        """Return where the targets stand, by name."""
        return {name: record.standing for name, record in self._records.items()}

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
    ) -> Choice | None:
        """Choose a target and count the request as in flight there.

        Args:
            policy: name of the routing policy.
            origin: where the choice is made.
            prefer: targets that are taken where one of them is as good as the
                others; empty for all.
            avoid: targets that failed this request already; used only if
                nothing else is left.
            silent: targets that were not heard for long; used only if nothing
                else but those of ``avoid`` is left.
            leaving: targets that get nothing new, whatever is left.
            now: the clock, in seconds.
            randomness: source of tie breaks.

        Returns:
            The choice, or None when the service has no target that may be used.
        """
        usable = self._usable(now, leaving)
        preferred = _leave_out(usable, {*avoid, *silent}) or _leave_out(usable, avoid) or usable
        if not preferred:
            return None
        among = [name for name in preferred if name in prefer] or preferred
        views = [self._records[name].view(name, now) for name in among]
        chosen = POLICIES[policy].choose(views, origin, randomness)
        record = self._records[chosen.name]
        record.in_flight += 1
        return _make_choice(chosen.name, record)

    def take(self, target: str) -> Choice | None:
        """Take a target that was chosen elsewhere, or return None when it is not known."""
        record = self._records.get(target)
        if record is None:
            return None
        record.in_flight += 1
        return _make_choice(target, record)

    def list_ejected(self, now: float) -> set[str]:
        """Return the targets that are out after failures."""
        return {name for name, record in self._records.items() if record.is_ejected(now)}

    def finish(
        self,
        target: str,
        health: Health,
        now: float,
        *,
        pace: float | None = None,
        report: LoadReport | None = None,
        start: int | None = None,
    ) -> None:
        """Count a request as ended.

        Args:
            target: the target it ran at.
            health: what the ending says of the target.
            now: the clock, in seconds.
            pace: its time as a multiple of the usual time for such work.
            report: the load that the target reported with its answer.
            start: the start of the target that it ran at, if it matters.
        """
        record = self._records.get(target)
        if record is None or start not in (None, record.standing.start):
            return
        record.in_flight = max(0, record.in_flight - 1)
        if report is not None:
            # The report counts the request that just ended, and those still in flight here.
            record.others = float(max(0, report.held - record.in_flight - 1))
            record.reported_at = now
            record.slots = max(1, report.slots)
        if pace is not None:
            self._measure(record, pace, now)
        if health == "bad":
            self._count_failure(record, now)
        elif health == "good":
            record.failures = 0
            record.ejections = 0

    def _usable(self, now: float, leaving: Collection[str]) -> list[str]:
        present = [name for name in self._records if name not in leaving]
        healthy = [name for name in present if not self._records[name].is_ejected(now)]
        least = len(present) - int(len(present) * EJECTED_SHARE)
        if len(healthy) >= least:
            return healthy
        # Too many are out, so the fault is probably not theirs: take back the soonest due.
        ejected = sorted(
            (name for name in present if name not in healthy),
            key=lambda name: self._records[name].ejected_until,
        )
        return healthy + ejected[: least - len(healthy)]

    def _count_failure(self, record: _Record, now: float) -> None:
        record.failures += 1
        if record.failures >= FAILURES_TO_EJECT or record.ejections > 0:
            record.ejections += 1
            delay = min(LONGEST_EJECTION, FIRST_EJECTION * 2 ** (record.ejections - 1))
            record.ejected_until = now + delay

    def _measure(self, record: _Record, pace: float, now: float) -> None:
        low, high = SLOWNESS_RANGE
        sample = min(high, max(low, pace))
        record.slowness += SLOWNESS_WEIGHT * (sample - record.slowness)
        record.measured_at = now


def _make_choice(name: str, record: _Record) -> Choice:
    standing = record.standing
    return Choice(target=name, address=standing.address, start=standing.start)


def _is_same(known: Standing, told: Standing) -> bool:
    """Tell whether two standings are of the same start of a target."""
    return (known.address, known.start) == (told.address, told.start)


def _leave_out(names: Sequence[str], unwanted: Collection[str]) -> list[str]:
    return [name for name in names if name not in unwanted]


def _fade(age: float, half_life: float) -> float:
    """Return what is left of an old observation, as a share."""
    return float(0.5 ** (max(0.0, age) / half_life))
