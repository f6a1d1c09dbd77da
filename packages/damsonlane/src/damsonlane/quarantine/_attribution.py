"""Attribution of target exits to the requests that probably caused them.

When a target exits, all requests in progress there are interrupted, and most of them are not the
cause.  The request that is part of the most exits is taken as their cause first; exits that it
explains do not count against other requests.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from damsonlane.quarantine._exits import TargetExit

#: Exits of targets after which a request that was in progress there is quarantined.  With two,
#: requests that were resumed once and were next to the cause both times would be quarantined too:
#: of a recorded burst of 17 exits, five uninvolved requests were part of two, one of three, none of
#: more.
EXITS_TO_QUARANTINE: Final = 3
#: Exits after which a request is quarantined even though another one is part of the same exits.
#: Such requests can't be told apart, so all of them are refused rather than more targets lost.
EXITS_TO_QUARANTINE_TIED: Final = 6

#: Exits by their identity.
ExitsByIdentity = Mapping[tuple[str, int], TargetExit]


def attribute_exits(
    exits_by_request: Mapping[str, ExitsByIdentity],
) -> dict[str, tuple[TargetExit, ...]]:
    """Return the requests that caused the exits of targets, each with the exits it explains.

    Args:
        exits_by_request: for each request the exits that it is part of; requests that are part
            of only one may be left out.
    """
    remaining = dict(exits_by_request)
    causes: dict[str, tuple[TargetExit, ...]] = {}
    while remaining:
        first = min(remaining, key=lambda name: _sort_key(name, remaining[name]))
        if len(remaining[first]) < EXITS_TO_QUARANTINE:
            break
        tied = [name for name in remaining if remaining[name].keys() == remaining[first].keys()]
        explained = remaining[first]
        if len(tied) == 1 or len(explained) >= EXITS_TO_QUARANTINE_TIED:
            causes.update({name: tuple(explained.values()) for name in tied})
            remaining = _drop_explained(remaining, explained)
        for name in tied:
            remaining.pop(name, None)
    return causes


def list_suspects(exits_by_request: Mapping[str, ExitsByIdentity], limit: int) -> tuple[str, ...]:
    """Return the most suspect requests, those in the most exits first.

    Args:
        exits_by_request: for each request the exits that it is part of.
        limit: how many to return at most.
    """
    return tuple(
        sorted(exits_by_request, key=lambda name: _sort_key(name, exits_by_request[name]))[:limit]
    )


def _sort_key(name: str, exits: ExitsByIdentity) -> tuple[int, float, str]:
    """Return the key that sorts requests by suspicion, the most suspect first.

    Of two requests in as many exits, the one that ran for a shorter time is the more likely cause.
    """
    seconds = sum(
        run.seconds
        for target_exit in exits.values()
        for run in target_exit.runs
        if run.fingerprint == name
    )
    return (-len(exits), seconds, name)


def _drop_explained(
    exits_by_request: Mapping[str, ExitsByIdentity], explained: ExitsByIdentity
) -> dict[str, ExitsByIdentity]:
    """Return the exits of each request without those that are explained."""
    remaining = {
        name: {
            identity: target_exit
            for identity, target_exit in exits.items()
            if identity not in explained
        }
        for name, exits in exits_by_request.items()
    }
    return {name: exits for name, exits in remaining.items() if exits}


def find_oldest_removable(exits: Sequence[TargetExit], causes: Iterable[str]) -> int:
    """Return the index of the oldest exit without a quarantined request, or of the oldest one.

    Args:
        exits: all exits, oldest first.
        causes: the requests that are quarantined.
    """
    names = set(causes)
    for index, target_exit in enumerate(exits):
        if not any(run.fingerprint in names for run in target_exit.runs):
            return index
    return 0
