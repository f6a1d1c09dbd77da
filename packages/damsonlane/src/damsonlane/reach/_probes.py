"""Results of probes of targets, and their comparison between boxes."""

from collections.abc import Mapping
from enum import IntEnum


class ProbeResult(IntEnum):
    """How far a probe of a target got."""

    #: No connection.
    FAILED = 0
    #: A connection, and no response on it in time.
    CONNECTED = 1
    #: A response.
    ANSWERED = 2


def is_reached_better(other: Mapping[str, ProbeResult], own: Mapping[str, ProbeResult]) -> bool:
    """Return whether another box reaches a target that this one does not reach as well.

    Args:
        other: results of the other box, by target.
        own: results of this box at the same time, by target.
    """
    return any(result > own[target] for target, result in other.items() if target in own)
