"""Requests that are kept from targets: part of the replicated state."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from typing import Final, Literal

from damsonlane.quarantine._attribution import (
    ENDS_TO_HOLD,
    EndsByIdentity,
    find_blamed,
    find_oldest_unneeded,
    list_suspects,
)
from damsonlane.quarantine._exits import (
    BrokenRun,
    ForgetTargetEnds,
    NoteSurvived,
    NoteTargetEnd,
    ReleaseRequest,
    TargetEnd,
)

#: Ends that are remembered: some minutes of a fleet that loses one target a second.
MOST_ENDS: Final = 256
#: Requests that are remembered of one end, those first that ran for the shortest time.
MOST_RUNS: Final = 48
#: Seconds for which an end counts: a request that ends targets costs three of them an hour.
COUNTED_SECONDS: Final = 3_600.0
#: Seconds within which word of entries is of one end of a target that keeps its name: they
#: notice it at once, and a process takes longer to start again and be sent something.
SAME_END_SECONDS: Final = 0.2
#: Ends from which on entries tell that a request was served after all.
ENDS_TO_SUSPECT: Final = 2
#: Requests that entries are told to look out for so.
MOST_SUSPECTS: Final = 128

#: What changes the book.
QuarantineCommand = NoteTargetEnd | NoteSurvived | ReleaseRequest | ForgetTargetEnds


@dataclass(frozen=True, kw_only=True)
class HeldRequest:
    """A request that is kept from targets."""

    #: Its fingerprint.
    fingerprint: str
    #: Number of targets that ended under it.
    ends: int
    #: Until when it is held if nothing else comes, in seconds since 1970.
    until: float


@dataclass(frozen=True, kw_only=True)
class QuarantineList:
    """What entries are told, at a revision."""

    #: Number of changes that led there; a lower one is older.
    revision: int = 0
    #: Requests that are kept from targets.
    held: tuple[HeldRequest, ...] = ()
    #: Fingerprints of others that some targets ended under.
    suspects: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class QuarantineNoted:
    """The reply to all commands: what holds now."""

    kind: Literal["quarantine-noted"] = "quarantine-noted"
    #: The list after the command.
    quarantine: QuarantineList


@dataclass(frozen=True, kw_only=True)
class QuarantineSnapshot:
    """The whole state."""

    #: Number of changes of the list so far.
    revision: int = 0
    #: Ends that count, oldest first.
    ends: tuple[TargetEnd, ...] = ()


class QuarantineBook:
    """Applies what entries and operators say about requests that end targets."""

    def __init__(self, snapshot: QuarantineSnapshot | None = None) -> None:
        start = snapshot or QuarantineSnapshot()
        self._ends: dict[tuple[str, int], TargetEnd] = {}
        self._under: dict[str, set[tuple[str, int]]] = {}
        self._replace_ends(start.ends)
        self._list = self._make_list(start.revision)

    @property
    def revision(self) -> int:
        """Number of changes of the list so far."""
        return self._list.revision

    def snapshot(self) -> QuarantineSnapshot:
        """Return the whole state."""
        return QuarantineSnapshot(revision=self.revision, ends=tuple(self._ends.values()))

    def list_for_entries(self) -> QuarantineList:
        """Return what entries are told."""
        return self._list

    def is_forgetful_at(self, now: float) -> bool:
        """Tell whether some end has stopped to count.

        Args:
            now: seconds since 1970.
        """
        return any(end.at < now - COUNTED_SECONDS for end in self._ends.values())

    def apply(self, command: QuarantineCommand) -> QuarantineNoted:
        """Apply one command."""
        match command:
            case NoteTargetEnd():
                self._note_end(command)
            case NoteSurvived(fingerprints=fingerprints):
                self._clear(fingerprints)
            case ReleaseRequest(fingerprint=fingerprint):
                self._clear((fingerprint,))
            case ForgetTargetEnds(before=before):
                self._replace_ends([end for end in self._ends.values() if end.at >= before])
        if not isinstance(command, NoteTargetEnd) or self._has_repeated(command.runs):
            self._renew_list()
        return QuarantineNoted(quarantine=self._list)

    def _note_end(self, command: NoteTargetEnd) -> None:
        start = self._reckon_start(command) if command.is_name_kept else command.start
        end = TargetEnd(target=command.target, start=start, at=command.at, runs=command.runs)
        known = self._ends.get(end.identity)
        if known is not None:
            end = replace(known, runs=(*known.runs, *command.runs))
        self._put(replace(end, runs=_keep_shortest(end.runs)))
        while len(self._ends) > MOST_ENDS:
            ends = list(self._ends.values())
            held = [request.fingerprint for request in self._list.held]
            self._drop(ends[find_oldest_unneeded(ends, held)])

    def _put(self, end: TargetEnd) -> None:
        """Keep an end, in place of what was known of it."""
        self._ends[end.identity] = end
        for run in end.runs:
            self._under.setdefault(run.fingerprint, set()).add(end.identity)

    def _drop(self, end: TargetEnd) -> None:
        del self._ends[end.identity]
        for run in end.runs:
            self._under[run.fingerprint].discard(end.identity)
            if not self._under[run.fingerprint]:
                del self._under[run.fingerprint]

    def _replace_ends(self, ends: Iterable[TargetEnd]) -> None:
        """Keep some ends and no others."""
        self._ends.clear()
        self._under.clear()
        for end in ends:
            self._put(end)

    def _has_repeated(self, runs: Iterable[BrokenRun]) -> bool:
        """Tell whether some requests stand in several ends; if not, the list stays as it is.

        When a rack of targets is lost, hundreds of reports come and hardly a request stands in
        two; with the whole list made anew each time, 200 of them took 9.48 s of a processor, and
        0.02 s so (one run each, 24 requests a report, 256 older ends of 40 requests).
        """
        return any(len(self._under.get(run.fingerprint, ())) >= ENDS_TO_SUSPECT for run in runs)

    def _reckon_start(self, command: NoteTargetEnd) -> int:
        """Return what tells the end of a target with a fixed name from its other ends."""
        for end in self._ends.values():
            is_near = abs(end.at - command.at) < SAME_END_SECONDS
            if end.target == command.target and is_near:
                return end.start
        return -round(1_000 * command.at)

    def _clear(self, fingerprints: Collection[str]) -> None:
        """Take all that stands against some requests back."""
        cleared = [
            replace(end, runs=tuple(run for run in end.runs if run.fingerprint not in fingerprints))
            for end in self._ends.values()
        ]
        self._replace_ends([end for end in cleared if end.runs])

    def _renew_list(self) -> None:
        newer = self._make_list(self.revision + 1)
        if replace(newer, revision=self.revision) != self._list:
            self._list = newer

    def _make_list(self, revision: int) -> QuarantineList:
        """Return what follows from the ends that count."""
        under = self._find_repeated()
        blamed = find_blamed(under)
        held = tuple(_hold(name, blamed[name]) for name in sorted(blamed))
        others = {name: ends for name, ends in under.items() if name not in blamed}
        suspects = list_suspects(others, MOST_SUSPECTS)
        return QuarantineList(revision=revision, held=held, suspects=suspects)

    def _find_repeated(self) -> dict[str, EndsByIdentity]:
        """Return the requests that stand in several ends, with these."""
        return {
            name: {identity: self._ends[identity] for identity in sorted(identities)}
            for name, identities in self._under.items()
            if len(identities) >= ENDS_TO_SUSPECT
        }


def _hold(fingerprint: str, ends: tuple[TargetEnd, ...]) -> HeldRequest:
    """Return a request as it is held: for as long as enough of its ends count."""
    times = sorted((end.at for end in ends), reverse=True)
    return HeldRequest(
        fingerprint=fingerprint,
        ends=len(ends),
        until=times[ENDS_TO_HOLD - 1] + COUNTED_SECONDS,
    )


def _keep_shortest(runs: tuple[BrokenRun, ...]) -> tuple[BrokenRun, ...]:
    """Return each request once, by its shortest run, and no more than are remembered."""
    shortest: dict[str, BrokenRun] = {}
    for run in runs:
        known = shortest.get(run.fingerprint)
        if known is None or run.seconds < known.seconds:
            shortest[run.fingerprint] = run
    ordered = sorted(shortest.values(), key=lambda run: (run.seconds, run.fingerprint))
    return tuple(ordered[:MOST_RUNS])
