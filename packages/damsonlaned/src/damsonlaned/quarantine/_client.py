"""Client that commits reports to control."""

from collections.abc import Sequence
from typing import Final

from damsonlane.quarantine import QuarantineList, QuarantineRecorded
from damsonlane_rpc import ControlClient
from damsonlaned.quarantine._quarantine import QuarantineReport

#: Time-out of committing reports, over all replicas, in seconds.
SUBMIT_TIMEOUT_SECONDS: Final = 2.0
#: Time-out of an attempt at one replica, in seconds.
ATTEMPT_TIMEOUT_SECONDS: Final = 0.5


class QuarantineClient:
    """Commits reports at the leader of control.

    Args:
        client: client of control, used on the running loop.
    """

    def __init__(self, client: ControlClient) -> None:
        self._client: Final = client

    async def submit(self, reports: Sequence[QuarantineReport]) -> QuarantineList:
        """Commit reports and return the list after them.

        Raises:
            UnavailableError: not confirmed in time.
        """
        replies = await self._client.submit(
            reports, SUBMIT_TIMEOUT_SECONDS, attempt_seconds=ATTEMPT_TIMEOUT_SECONDS
        )
        last = replies[-1]
        assert isinstance(last, QuarantineRecorded)
        return last.quarantine
