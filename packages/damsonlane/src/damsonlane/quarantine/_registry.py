"""The registry of quarantined requests and shared causes: part of the replicated state."""

from collections.abc import Collection, Iterable
from dataclasses import replace
from typing import Final, Literal

from damsonlane.quarantine._attribution import (
    EXITS_TO_QUARANTINE,
    Cause,
    ExitEvidence,
    ExitIdentity,
    attribute_exits,
    find_oldest_removable,
    list_suspects,
)
from damsonlane.quarantine._exits import (
    ForgetTargetExits,
    InterruptedRequest,
    RecordServed,
    RecordTargetExit,
    ReleaseRequest,
    TargetExit,
)
from damsonlane.records import dataclass

#: Most exits that are stored: some minutes of a fleet that loses one target a second.
MAX_EXITS: Final = 256
#: Most requests that are stored for one exit; those that ran for the shortest time are kept.
MAX_RUNS: Final = 48
#: Most names of shared causes that are stored for one exit.
MAX_SHARED_NAMES: Final = 192
#: Most targets that the list names as evidence for one cause, the newest exits first.
MAX_LISTED_TARGETS: Final = 5
#: Seconds for which an exit counts.  A request that crashes targets costs three of them in this
#: time.
EXIT_WINDOW_SECONDS: Final = 3_600.0
#: Seconds within which reports of entries are taken to be about the same exit of a target that
#: keeps its name: entries notice it at once, and a restart takes longer.
SAME_EXIT_SECONDS: Final = 0.2
#: Exits from which on a request is a suspect: entries report if it is served after all.
EXITS_TO_SUSPECT: Final = 2
#: Most suspects that are sent to entries.
MAX_SUSPECTS: Final = 128

#: The commands that change the registry.
QuarantineCommand = RecordTargetExit | RecordServed | ReleaseRequest | ForgetTargetExits


@dataclass(frozen=True, kw_only=True)
class QuarantinedRequest:
    """A quarantined request, or something that requests share."""

    #: Its fingerprint, or the name of the shared cause.
    fingerprint: str
    #: Names that a request must hold besides, for lack of evidence which one is the cause.
    others: tuple[str, ...] = ()
    #: Some of the targets that exited, the newest exit first.
    targets: tuple[str, ...] = ()
    #: Number of exits that are attributed to it.
    ends: int
    #: When it is released unless more exits are attributed to it, in seconds since 1970.
    until: float

    @property
    def names(self) -> tuple[str, ...]:
        """All its names; a request that holds all of them is refused."""
        return (self.fingerprint, *self.others)


@dataclass(frozen=True, kw_only=True)
class QuarantineList:
    """The quarantine as sent to entries, at a revision."""

    #: Number of changes so far; a lower one is older.
    revision: int = 0
    #: Quarantined requests and shared causes.
    held: tuple[QuarantinedRequest, ...] = ()
    #: Names of others that are part of several exits.
    suspects: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class QuarantineRecorded:
    """The reply to all commands: the current list."""

    kind: Literal["quarantine-noted"] = "quarantine-noted"
    #: The list after the command.
    quarantine: QuarantineList


@dataclass(frozen=True, kw_only=True)
class QuarantineSnapshot:
    """The complete state."""

    #: Number of changes of the list so far.
    revision: int = 0
    #: Exits that count, oldest first.
    ends: tuple[TargetExit, ...] = ()


class QuarantineRegistry:
    """Applies commands of entries and operators about requests that crash targets."""

    def __init__(self, snapshot: QuarantineSnapshot | None = None) -> None:
        start = snapshot or QuarantineSnapshot()
        self._exits: dict[ExitIdentity, TargetExit] = {}
        self._evidence: dict[ExitIdentity, ExitEvidence] = {}
        self._exits_by_name: dict[str, set[ExitIdentity]] = {}
        #: Whether a name of several exits has lost one since the list was built.
        self._is_list_outdated = False
        self._replace_exits(start.ends)
        self._list = self._make_list(start.revision)

    @property
    def revision(self) -> int:
        """Number of changes of the list so far."""
        return self._list.revision

    def snapshot(self) -> QuarantineSnapshot:
        """Return the complete state."""
        return QuarantineSnapshot(revision=self.revision, ends=tuple(self._exits.values()))

    def list_for_entries(self) -> QuarantineList:
        """Return the list that is sent to entries."""
        return self._list

    def has_expired_exits(self, now: float) -> bool:
        """Return whether some exit no longer counts.

        Args:
            now: seconds since 1970.
        """
        return any(
            target_exit.at < now - EXIT_WINDOW_SECONDS for target_exit in self._exits.values()
        )

    def apply(self, command: QuarantineCommand) -> QuarantineRecorded:
        """Apply one command."""
        match command:
            case RecordTargetExit():
                self._record_exit(command)
            case RecordServed(fingerprints=fingerprints):
                self._release(fingerprints)
            case ReleaseRequest(fingerprint=fingerprint):
                self._release(self._find_group(fingerprint))
            case ForgetTargetExits(before=before):
                self._replace_exits(
                    [
                        target_exit
                        for target_exit in self._exits.values()
                        if target_exit.at >= before
                    ]
                )
        if (
            not isinstance(command, RecordTargetExit)
            or self._is_list_outdated
            or self._has_suspects(command.runs)
        ):
            self._update_list()
        return QuarantineRecorded(quarantine=self._list)

    def _record_exit(self, command: RecordTargetExit) -> None:
        start = self._find_start(command) if command.is_name_kept else command.start
        target_exit = TargetExit(
            target=command.target, start=start, at=command.at, runs=command.runs
        )
        known = self._exits.get(target_exit.identity)
        if known is not None:
            target_exit = replace(known, runs=(*known.runs, *command.runs))
        self._store(replace(target_exit, runs=_keep_shortest(target_exit.runs)))
        while len(self._exits) > MAX_EXITS:
            exits = list(self._exits.values())
            quarantined = [name for request in self._list.held for name in request.names]
            self._remove(exits[find_oldest_removable(exits, quarantined)])

    def _store(self, target_exit: TargetExit) -> None:
        """Store an exit, replacing an earlier record of it.

        A later report can push requests out of the stored runs, which then no longer count there.
        """
        known = self._exits.get(target_exit.identity)
        self._exits[target_exit.identity] = target_exit
        self._evidence[target_exit.identity] = ExitEvidence.of(target_exit)
        for name in target_exit.names:
            self._exits_by_name.setdefault(name, set()).add(target_exit.identity)
        for name in known.names - target_exit.names if known is not None else ():
            self._remove_from_index(name, target_exit.identity)

    def _remove(self, target_exit: TargetExit) -> None:
        del self._exits[target_exit.identity]
        del self._evidence[target_exit.identity]
        for name in target_exit.names:
            self._remove_from_index(name, target_exit.identity)

    def _remove_from_index(self, name: str, identity: ExitIdentity) -> None:
        """Remove an exit from those of a name."""
        identities = self._exits_by_name[name]
        if len(identities) >= EXITS_TO_SUSPECT:
            self._is_list_outdated = True
        identities.discard(identity)
        if not identities:
            del self._exits_by_name[name]

    def _replace_exits(self, exits: Iterable[TargetExit]) -> None:
        """Replace all exits."""
        self._exits.clear()
        self._evidence.clear()
        self._exits_by_name.clear()
        for target_exit in exits:
            self._store(target_exit)

    def _has_suspects(self, runs: Iterable[InterruptedRequest]) -> bool:
        """Return whether some names are part of several exits; if not, the list is unchanged.

        When a rack of targets is lost, hundreds of reports come, and hardly a request is part of
        two exits.  Rebuilding the list for each of them would take seconds.
        """
        return any(
            len(self._exits_by_name.get(name, ())) >= EXITS_TO_SUSPECT
            for run in runs
            for name in run.names
        )

    def _find_start(self, command: RecordTargetExit) -> int:
        """Return the start that identifies the exit of a target that keeps its name."""
        for target_exit in self._exits.values():
            is_near = abs(target_exit.at - command.at) < SAME_EXIT_SECONDS
            if target_exit.target == command.target and is_near:
                return target_exit.start
        return -round(1_000 * command.at)

    def _find_group(self, name: str) -> frozenset[str]:
        """Return a name with all that are quarantined together with it."""
        groups = [request.names for request in self._list.held if name in request.names]
        return frozenset((name, *(other for group in groups for other in group)))

    def _release(self, names: Collection[str]) -> None:
        """Remove some names from all exits."""
        released = [
            replace(target_exit, runs=_drop_empty(run.without(names) for run in target_exit.runs))
            for target_exit in self._exits.values()
        ]
        self._replace_exits([target_exit for target_exit in released if target_exit.runs])

    def _update_list(self) -> None:
        self._is_list_outdated = False
        newer = self._make_list(self.revision + 1)
        if replace(newer, revision=self.revision) != self._list:
            self._list = newer

    def _make_list(self, revision: int) -> QuarantineList:
        """Build the list from the exits that count."""
        exits_by_name = {
            name: exits
            for name, exits in self._exits_by_name.items()
            if len(exits) >= EXITS_TO_SUSPECT
        }
        causes = attribute_exits(exits_by_name, self._evidence)
        quarantined = sorted(map(self._quarantine, causes), key=lambda found: found.fingerprint)
        names = {name for cause in causes for name in cause.names}
        others = {name: exits for name, exits in exits_by_name.items() if name not in names}
        suspects = list_suspects(others, self._evidence, MAX_SUSPECTS)
        return QuarantineList(revision=revision, held=tuple(quarantined), suspects=suspects)

    def _quarantine(self, cause: Cause) -> QuarantinedRequest:
        """Return a quarantined cause; its release is when too few of its exits count."""
        exits = sorted(
            (self._exits[identity] for identity in cause.exits),
            key=lambda target_exit: (-target_exit.at, target_exit.identity),
        )
        return QuarantinedRequest(
            fingerprint=cause.names[0],
            others=cause.names[1:],
            targets=tuple(target_exit.target for target_exit in exits[:MAX_LISTED_TARGETS]),
            ends=len(exits),
            until=exits[EXITS_TO_QUARANTINE - 1].at + EXIT_WINDOW_SECONDS,
        )


def _drop_empty(runs: Iterable[InterruptedRequest]) -> tuple[InterruptedRequest, ...]:
    """Return the runs that still name a possible cause."""
    return tuple(run for run in runs if run.names)


def _keep_shortest(runs: tuple[InterruptedRequest, ...]) -> tuple[InterruptedRequest, ...]:
    """Return the shortest run of each request, limited to the number that is stored."""
    shortest: dict[tuple[str, ...], InterruptedRequest] = {}
    for run in runs:
        key = (run.fingerprint,) if run.fingerprint else run.shared
        known = shortest.get(key)
        if known is None or run.seconds < known.seconds:
            shortest[key] = run
    # Runs with the same shared causes say as much as one of them, and go after the others.
    ordered = sorted(shortest.values(), key=lambda run: (run.seconds, run.names))
    seen: set[str] = set()
    repeated: list[InterruptedRequest] = []
    first: list[InterruptedRequest] = []
    for run in ordered:
        is_new = not run.shared or not seen.issuperset(run.shared)
        (first if is_new else repeated).append(run)
        seen.update(run.shared)
    return _limit_names((*first, *repeated)[:MAX_RUNS])


def _limit_names(runs: tuple[InterruptedRequest, ...]) -> tuple[InterruptedRequest, ...]:
    """Return runs with as many names of shared causes as are stored for one exit."""
    left = MAX_SHARED_NAMES
    limited: list[InterruptedRequest] = []
    for run in runs:
        limited.append(replace(run, shared=run.shared[:left]) if run.shared else run)
        left -= len(limited[-1].shared)
    return _drop_empty(limited)
