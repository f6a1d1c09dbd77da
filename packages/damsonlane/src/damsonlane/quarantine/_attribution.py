"""Attribution of target exits to what probably caused them.

When a target exits, all requests in progress there are interrupted, and most of them are not the
cause.  The cause is a whole request, or something that several requests share.  What is part of
the most exits is taken as their cause first; exits that it explains do not count against others.
"""

from collections.abc import Iterable, Mapping, Sequence
from collections.abc import Set as AbstractSet
from typing import Final, Self

from damsonlane.quarantine._causes import is_shared
from damsonlane.quarantine._exits import TargetExit
from damsonlane.records import dataclass

#: Exits of targets after which their cause is quarantined.  With two, requests that were resumed
#: once and were next to the cause both times would be quarantined too: of a recorded burst of 17
#: exits, five uninvolved requests were part of two, one of three, none of more.
EXITS_TO_QUARANTINE: Final = 3
#: Exits after which a cause is quarantined even though others, held by other requests, are part of
#: the same exits.  They can't be told apart, so all are refused rather than more targets lost.
EXITS_TO_QUARANTINE_TIED: Final = 5

#: Name and start of an incarnation.
ExitIdentity = tuple[str, int]


@dataclass(frozen=True, kw_only=True)
class ExitEvidence:
    """What one exit says of its possible causes."""

    #: By name, the shortest time for which a request with it had run, in seconds.
    seconds: Mapping[str, float]
    #: The names of each request that ran.
    runs: tuple[frozenset[str], ...]

    @classmethod
    def of(cls, target_exit: TargetExit) -> Self:
        """Return what an exit says."""
        seconds: dict[str, float] = {}
        for run in target_exit.runs:
            for name in run.names:
                seconds[name] = min(run.seconds, seconds.get(name, run.seconds))
        return cls(seconds=seconds, runs=tuple(frozenset(run.names) for run in target_exit.runs))


#: Exits by their identity.
EvidenceByExit = Mapping[ExitIdentity, ExitEvidence]
#: The exits that each name is part of.
ExitsByName = Mapping[str, AbstractSet[ExitIdentity]]


@dataclass(frozen=True, kw_only=True)
class Cause:
    """The cause of some exits: everything that was always held together by a request there."""

    #: Its names, those of shared causes first.
    names: tuple[str, ...]
    #: The exits that it explains.
    exits: frozenset[ExitIdentity]


def attribute_exits(exits_by_name: ExitsByName, evidence: EvidenceByExit) -> tuple[Cause, ...]:
    """Return the causes of the exits of targets, each with the exits that it explains.

    Names that one request held together in the same exits form one cause: only requests that hold
    all of them are known to make targets exit.  The next exit under a request that holds some of
    them, or an answer to one, tells them apart.

    Args:
        exits_by_name: for each name the exits that it is part of; names that are part of only one
            may be left out.
        evidence: what these exits say.
    """
    seconds = {name: _mean_seconds(name, exits, evidence) for name, exits in exits_by_name.items()}
    remaining = {name: set(exits) for name, exits in exits_by_name.items()}
    causes: list[Cause] = []
    while remaining:
        first = min(remaining, key=lambda name: (-len(remaining[name]), seconds[name], name))
        explained = frozenset(remaining[first])
        if len(explained) < EXITS_TO_QUARANTINE:
            break
        tied = [name for name, exits in remaining.items() if exits == explained]
        groups = _group_by_request(tied, [evidence[identity] for identity in sorted(explained)])
        if len(groups) == 1 or len(explained) >= EXITS_TO_QUARANTINE_TIED:
            causes.extend(Cause(names=group, exits=explained) for group in groups)
            for exits in remaining.values():
                exits -= explained
        for name in tied:
            del remaining[name]
        remaining = {name: exits for name, exits in remaining.items() if exits}
    return tuple(causes)


def list_suspects(
    exits_by_name: ExitsByName, evidence: EvidenceByExit, limit: int
) -> tuple[str, ...]:
    """Return the most suspect names, those in the most exits first.

    Of two in as many exits, the one that ran for a shorter time is the more likely cause.

    Args:
        exits_by_name: for each name the exits that it is part of.
        evidence: what these exits say.
        limit: how many to return at most.
    """
    keys = {
        name: (-len(exits), _mean_seconds(name, exits, evidence), name)
        for name, exits in exits_by_name.items()
    }
    return tuple(sorted(keys, key=keys.__getitem__)[:limit])


def _mean_seconds(name: str, exits: AbstractSet[ExitIdentity], evidence: EvidenceByExit) -> float:
    # Sorted, since all replicas must compute the same sum.
    return sum(evidence[identity].seconds[name] for identity in sorted(exits)) / len(exits)


def _group_by_request(names: Sequence[str], exits: Sequence[ExitEvidence]) -> list[tuple[str, ...]]:
    """Divide names into groups, each of which some request held together in every exit."""
    groups: list[frozenset[str]] = []
    for name in sorted(names, key=_name_key):
        for index, group in enumerate(groups):
            joined = group | {name}
            if all(any(joined <= run for run in target_exit.runs) for target_exit in exits):
                groups[index] = joined
                break
        else:
            groups.append(frozenset((name,)))
    return [tuple(sorted(group, key=_name_key)) for group in groups]


def _name_key(name: str) -> tuple[bool, bool, str]:
    """Return the key that sorts shared causes first, those without a scope before others."""
    return (not is_shared(name), "@" in name, name)


def find_oldest_removable(exits: Sequence[TargetExit], causes: Iterable[str]) -> int:
    """Return the index of the oldest exit without a quarantined cause, or of the oldest one.

    Args:
        exits: all exits, oldest first.
        causes: the names that are quarantined.
    """
    names = set(causes)
    for index, target_exit in enumerate(exits):
        if names.isdisjoint(target_exit.names):
            return index
    return 0
