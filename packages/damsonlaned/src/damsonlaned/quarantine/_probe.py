"""Probes of targets whose answers were interrupted: do they still accept connections?"""

import asyncio
from typing import Final, Self

from damsonlane.backoff import TargetIncarnation
from damsonlane.records import dataclass
from damsonlane_rpc import Endpoint

#: Time-out of a probe, in seconds.
PROBE_TIMEOUT_SECONDS: Final = 0.2
#: Seconds between the first and the second probe of a target: by then a process that exits has
#: closed its sockets, and a restart takes a few seconds.
SECOND_PROBE_SECONDS: Final = 0.1


@dataclass(frozen=True, kw_only=True)
class LostTarget:
    """An incarnation of a target whose answers were interrupted."""

    #: Name of the target.
    target: str
    #: Its address.
    address: str
    #: Its start, in milliseconds since 1970; 0 where it is not reported.
    start: int
    #: Whether a later incarnation has the same name and reports no start either.
    is_name_kept: bool = False

    @classmethod
    def of(cls, incarnation: TargetIncarnation) -> Self:
        """Return the incarnation of a registered target whose answers were interrupted."""
        return cls(target=incarnation.target, address=incarnation.address, start=incarnation.start)


async def refuses_connections(address: str) -> bool:
    """Return whether connections to an address are refused; a time-out counts as not refused."""
    endpoint = Endpoint.parse(address)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    except ConnectionRefusedError:
        return True
    except (TimeoutError, OSError):
        return False
    writer.close()
    return False
