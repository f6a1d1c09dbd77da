"""Telling the leader of control which targets ended."""

from collections.abc import Sequence
from typing import Final

from damsonlane.quarantine import QuarantineList, QuarantineNoted
from damsonlane_rpc import ControlClient
from damsonlaned.quarantine._quarantine import Report

#: Seconds for which telling control may take, over all replicas.
SUBMIT_SECONDS: Final = 2.0
#: Seconds for which one replica may take.
ATTEMPT_SECONDS: Final = 0.5


class QuarantineClient:
    """Commits reports at whichever replica leads.

    Args:
        client: client of control, used on the running loop.
    """

    def __init__(self, client: ControlClient) -> None:
        self._client: Final = client

    async def submit(self, reports: Sequence[Report]) -> QuarantineList:
        """Commit reports and return the list that holds then.

        Raises:
            UnavailableError: not confirmed in time.
        """
        replies = await self._client.submit(
            reports, SUBMIT_SECONDS, attempt_seconds=ATTEMPT_SECONDS
        )
        last = replies[-1]
        assert isinstance(last, QuarantineNoted)
        return last.quarantine
