"""Attribution of target exits to what probably caused them.

When a target exits, all requests in progress there are interrupted, and most of them are not the
cause.  The cause is a whole request, or something that several requests share.  What is part of
the most exits is taken as their cause first; exits that it explains do not count against others.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

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

#: Exits by their identity.
ExitsByIdentity = Mapping[tuple[str, int], TargetExit]


@dataclass(frozen=True, kw_only=True)
class Cause:
    """The cause of some exits: everything that was always held together by a request there."""

    #: Its names, those of shared causes first.
    names: tuple[str, ...]
    #: The exits that it explains.
    exits: tuple[TargetExit, ...]


def attribute_exits(exits_by_name: Mapping[str, ExitsByIdentity]) -> tuple[Cause, ...]:
    """Return the causes of the exits of targets, each with the exits that it explains.

    Names that one request held together in the same exits form one cause: only requests that hold
    all of them are known to make targets exit.  The next exit under a request that holds some of
    them, or an answer to one, tells them apart.

    Args:
        exits_by_name: for each name the exits that it is part of; names that are part of only one
            may be left out.
    """
    remaining = dict(exits_by_name)
    causes: list[Cause] = []
    while remaining:
        first = min(remaining, key=lambda name: _sort_key(name, remaining[name]))
        explained = remaining[first]
        if len(explained) < EXITS_TO_QUARANTINE:
            break
        tied = [name for name in remaining if remaining[name].keys() == explained.keys()]
        groups = _group_by_request(tied, explained)
        if len(groups) == 1 or len(explained) >= EXITS_TO_QUARANTINE_TIED:
            exits = tuple(explained.values())
            causes.extend(Cause(names=group, exits=exits) for group in groups)
            remaining = _drop_explained(remaining, explained)
        for name in tied:
            remaining.pop(name, None)
    return tuple(causes)


def list_suspects(exits_by_name: Mapping[str, ExitsByIdentity], limit: int) -> tuple[str, ...]:
    """Return the most suspect names, those in the most exits first.

    Args:
        exits_by_name: for each name the exits that it is part of.
        limit: how many to return at most.
    """
    return tuple(
        sorted(exits_by_name, key=lambda name: _sort_key(name, exits_by_name[name]))[:limit]
    )


def _group_by_request(names: Sequence[str], exits: ExitsByIdentity) -> list[tuple[str, ...]]:
    """Divide names into groups, each of which some request held together in every exit."""
    groups: list[list[str]] = []
    for name in sorted(names, key=_name_key):
        for group in groups:
            if all(target_exit.has_run_with(name, group) for target_exit in exits.values()):
                group.append(name)
                break
        else:
            groups.append([name])
    return [tuple(group) for group in groups]


def _name_key(name: str) -> tuple[bool, bool, str]:
    """Return the key that sorts shared causes first, those without a scope before others."""
    return (not is_shared(name), "@" in name, name)


def _sort_key(name: str, exits: ExitsByIdentity) -> tuple[int, float, str]:
    """Return the key that sorts names by suspicion, the most suspect first.

    Of two in as many exits, the one that ran for a shorter time is the more likely cause.
    """
    seconds = sum(
        min(run.seconds for run in target_exit.runs if name in run.names)
        for target_exit in exits.values()
    )
    return (-len(exits), seconds, name)


def _drop_explained(
    exits_by_name: Mapping[str, ExitsByIdentity], explained: ExitsByIdentity
) -> dict[str, ExitsByIdentity]:
    """Return the exits of each name without those that are explained."""
    remaining = {
        name: {
            identity: target_exit
            for identity, target_exit in exits.items()
            if identity not in explained
        }
        for name, exits in exits_by_name.items()
    }
    return {name: exits for name, exits in remaining.items() if exits}


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
