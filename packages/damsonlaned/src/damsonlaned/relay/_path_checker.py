"""Compares how far this box and others get at the targets of a service."""

import asyncio
import random
import ssl
from collections.abc import Mapping, Sequence
from typing import Final, Protocol

from damsonlane.membership import BoxRecord
from damsonlane.reach import HelperCandidate, HelperChoice, ProbeResult, ServiceReach
from damsonlane.records import dataclass
from damsonlane.routes import RouteTable
from damsonlane.targets import TargetRecord
from damsonlaned.relay._path_prober import PathProber

#: Targets that are probed to compare this box with others.
MAX_PROBED: Final = 3
#: Boxes that are asked whether they reach the targets.
MAX_ASKED: Final = 3
#: Rounds in which further boxes are asked, while none is found that reaches the targets.
MAX_ROUNDS: Final = 3
#: Targets to which a connection shows that there is a path.
QUICK_PROBES: Final = 2
#: Targets that a probe of an unreached service connects to.
RECOVERY_TARGETS: Final = 2
#: Rounds of probes, one after another, that targets must answer to be tried again.
ANSWERED_ROUNDS: Final = 2
#: The same for rounds in which no other box gets further than this one.
EQUAL_ROUNDS: Final = 4


class Fleet(Protocol):
    """What is known of the fleet."""

    @property
    def entries(self) -> tuple[BoxRecord, ...]:
        """The entries that control lists."""

    @property
    def table(self) -> RouteTable | None:
        """The routing document in force."""

    def open_targets_of(self, service: str) -> tuple[TargetRecord, ...]:
        """Return the targets of a service that may get new work."""

    def has_rejection_limits(self, service: str) -> bool:
        """Return whether a target of a service fails if it rejects too many requests."""


@dataclass(frozen=True, kw_only=True)
class CheckResult:
    """What a check of the path to the targets of a service found."""

    #: Results of this box in the last round, by target.
    own: Mapping[str, ProbeResult]
    #: Addresses of the boxes that were asked, one for each time.
    asked: tuple[str, ...]
    #: Addresses of those that did not answer in the last round.
    silent: tuple[str, ...]
    #: Addresses of those that got further than this one.
    reached_by: tuple[str, ...]

    def log_fields(self) -> dict[str, object]:
        """Return the fields of a log line."""
        return {
            "own": {target: result.name.lower() for target, result in self.own.items()},
            "asked": self.asked,
            "silent": self.silent,
            "reached_by": self.reached_by,
        }


class PathChecker:
    """Chooses what is probed and which boxes are asked, and compares what they find.

    Args:
        fleet: targets and entries.
        address: internal address of this box.
        data_centre: its data centre.
        context: TLS context towards other boxes, or None.
    """

    def __init__(
        self, fleet: Fleet, address: str, data_centre: str, context: ssl.SSLContext | None
    ) -> None:
        self._fleet: Final = fleet
        self._address: Final = address
        self._randomness: Final = random.Random()
        #: Probes targets.
        self.prober: Final = PathProber(context)
        #: Chooses the boxes that serve in place of this one.
        self.helpers: Final = HelperChoice(data_centre, self._randomness)
        #: Boxes that were last found to reach a service that this one does not.
        self.reaching: Final[dict[str, tuple[str, ...]]] = {}

    # The targets of a service.

    def list_names(self, service: str) -> list[str]:
        """Return the names of the targets of a service that may get new work."""
        return [record.target for record in self._fleet.open_targets_of(service)]

    def find_health_path(self, service: str) -> str:
        """Return the path of the health check that probes use; empty for none."""
        found = self._fleet.table.service(service) if self._fleet.table is not None else None
        # A full target rejects health checks like requests.
        if found is None or self._fleet.has_rejection_limits(service):
            return ""
        return found.health_path

    def find_named(self, service: str, names: Sequence[str]) -> list[TargetRecord]:
        """Return the targets with some names, as many as are probed at once."""
        records = self._fleet.open_targets_of(service)
        return [record for record in records if record.target in names][:MAX_PROBED]

    def draw_probed(self, service: str, reach: ServiceReach) -> list[TargetRecord]:
        """Return targets to probe: those that failed, and some of the others."""
        failed = reach.evidence.list_failed(
            self.list_names(service), asyncio.get_running_loop().time()
        )
        records = list(self._fleet.open_targets_of(service))
        self._randomness.shuffle(records)
        records.sort(key=lambda record: record.target not in failed)
        # At least one of the others, if there is one, shows whether only those that failed fail.
        return [*records[: MAX_PROBED - 1], *records[-1:]] if len(records) > MAX_PROBED else records

    # Other boxes.

    def list_candidates(self, service: str) -> list[HelperCandidate]:
        """Return the other boxes that have not announced that they don't reach a service."""
        return [
            HelperCandidate(
                address=entry.address, data_centre=entry.data_centre, capacity=entry.capacity
            )
            for entry in self._fleet.entries
            if entry.address != self._address and service not in entry.unreached
        ]

    def choose_helper(self, service: str) -> HelperCandidate | None:
        """Return the box that gets the next request of a service; None if none can take one."""
        candidates = self.list_candidates(service)
        known = [item for item in candidates if item.address in self.reaching.get(service, ())]
        now = asyncio.get_running_loop().time()
        return self.helpers.choose(known, now) or self.helpers.choose(candidates, now)

    # Comparisons.

    async def check(self, service: str, records: Sequence[TargetRecord]) -> CheckResult:
        """Probe targets, and have other boxes do the same, until one of them gets further."""
        asked: list[str] = []
        silent: tuple[str, ...] = ()
        reached_by: tuple[str, ...] = ()
        own: Mapping[str, ProbeResult] = {}
        hints: tuple[str, ...] = ()
        for _ in range(MAX_ROUNDS):
            # A box that did not answer in time may reach the targets all the same.
            drawn = self._draw_asked(service, hints, asked) or silent
            if not drawn or reached_by:
                break
            path = self.find_health_path(service)
            comparison = await self.prober.compare(service, path, records, drawn)
            asked += drawn
            own, reached_by, hints = comparison.own, comparison.reached_by, comparison.hints
            silent = comparison.silent
        self.reaching[service] = reached_by
        return CheckResult(own=own, asked=tuple(asked), silent=silent, reached_by=reached_by)

    async def reaches_some(
        self,
        service: str,
        reach: ServiceReach,
        records: Sequence[TargetRecord],
        *,
        is_thorough: bool,
    ) -> bool:
        """Return whether connections alone show that this box has a path to targets.

        They don't where several targets are silent, or break connections at the first request: a
        proxy or a firewall may accept connections in their place.

        Args:
            service: the service.
            reach: its state.
            records: the targets that the check probes.
            is_thorough: whether a connection alone does not show that it is reached.
        """
        names, now = self.list_names(service), asyncio.get_running_loop().time()
        if reach.evidence.is_doubtful(names, now) and reach.evidence.has_lost_requests():
            return False
        path = self.find_health_path(service) if is_thorough else ""
        least = ProbeResult.ANSWERED if path else ProbeResult.CONNECTED
        results = await self.prober.probe(path, records[-QUICK_PROBES:], is_fresh=True)
        return any(result >= least for result in results.values())

    async def find_progress(self, service: str) -> float:
        """Probe some targets; return the share of the rounds needed that this one counts for."""
        records = self._fleet.open_targets_of(service)
        drawn = self._randomness.sample(records, min(RECOVERY_TARGETS, len(records)))
        asked = self._draw_asked(service, (), ())
        path = self.find_health_path(service)
        comparison = await self.prober.compare(service, path, drawn, asked)
        lowest = min(comparison.own.values(), default=ProbeResult.FAILED)
        if lowest is ProbeResult.ANSWERED:
            return 1.0 / ANSWERED_ROUNDS
        if asked and len(comparison.silent) == len(asked):
            return 0.0
        # Targets that are busy or have failed look the same from other boxes.
        return 0.0 if comparison.reached_by else 1.0 / EQUAL_ROUNDS

    async def stop(self) -> None:
        """Stop all probes."""
        await self.prober.stop()

    def _draw_asked(self, service: str, hints: Sequence[str], asked: Sequence[str]) -> list[str]:
        """Return addresses of boxes to ask: those of hints, one that may know, and others."""
        known = [*hints, *self.reaching.get(service, ())]
        others = [entry for entry in self._fleet.entries if entry.address != self._address]
        announced = [entry.address for entry in others if service in entry.unreached]
        drawn = [
            candidate.address
            for candidate in self.helpers.sample(self.list_candidates(service), len(others))
        ]
        listed = {entry.address for entry in others}
        order = dict.fromkeys([*known, *announced[:1], *drawn])
        return [name for name in order if name in listed and name not in asked][:MAX_ASKED]
