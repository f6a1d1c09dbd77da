"""Looking whether a target under which an answer broke off still takes connections."""

import asyncio
from dataclasses import dataclass
from typing import Final, Self

from damsonlane.backoff import TargetStart
from damsonlane_rpc import Endpoint

#: Seconds for which a connection that only tells whether a target is there may take.
LOOK_SECONDS: Final = 0.2
#: Seconds after the first look at a target until the second one: an ending process has closed
#: everything by then, and one that is started again takes a few seconds.
LOOK_AGAIN_SECONDS: Final = 0.1


@dataclass(frozen=True, kw_only=True)
class LostTarget:
    """A start of a target under which answers broke off."""

    #: Its name.
    target: str
    #: Its address.
    address: str
    #: Its start, in milliseconds since 1970; 0 where it does not tell.
    start: int
    #: Whether a later start has the same name and tells no start either.
    is_name_kept: bool = False

    @classmethod
    def of(cls, named: TargetStart) -> Self:
        """Return a start of a registered target under which answers broke off."""
        return cls(target=named.target, address=named.address, start=named.start)


async def refuses_connections(address: str) -> bool:
    """Tell whether nothing listens at an address; no answer in time tells nothing."""
    endpoint = Endpoint.parse(address)
    try:
        async with asyncio.timeout(LOOK_SECONDS):
            _, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    except ConnectionRefusedError:
        return True
    except (TimeoutError, OSError):
        return False
    writer.close()
    return False
