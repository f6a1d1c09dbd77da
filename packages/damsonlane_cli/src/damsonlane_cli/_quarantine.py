"""``damsonlane quarantine``: shows and releases quarantined requests."""

from datetime import UTC, datetime
from typing import Final

from damsonlane.quarantine import QuarantineList, QuarantineRecorded, ReleaseRequest
from damsonlane_cli._context import (
    EXIT_INPUT,
    EXIT_REFUSED,
    OperatorSettings,
    call_control,
    fail,
    print_rows,
)
from damsonlane_rpc import (
    ControlClient,
    ForbiddenError,
    QuarantineQuery,
    QuarantineView,
    QueryRequest,
)

#: Default time-out of calls to control, in seconds.
DEFAULT_SECONDS: Final = 10.0
#: Hexadecimal digits of a fingerprint.
_FINGERPRINT_LENGTH: Final = 24


class QuarantineCommands:
    """Show and release quarantined requests, under which targets repeatedly exited."""

    def list(self, json: bool = False) -> None:
        """Show the quarantined requests, how many targets exited under each, and until when."""
        quarantine = _read_list()
        rows = [
            {
                "fingerprint": request.fingerprint,
                "ends": request.ends,
                "until": datetime.fromtimestamp(request.until, UTC).isoformat(timespec="seconds"),
            }
            for request in quarantine.held
        ]
        print_rows(rows, json)

    def release(self, fingerprint: str, seconds: float = DEFAULT_SECONDS) -> None:
        """Allow a request to be sent to targets again, for example after they were fixed.

        Args:
            fingerprint: its fingerprint, as `damsonlane quarantine list` and logs show it.
            seconds: time-out of the call to control, in seconds.
        """
        name = _check_fingerprint(fingerprint)
        command = ReleaseRequest(fingerprint=name, operator="", at=0.0)

        async def work(client: ControlClient, _: OperatorSettings) -> QuarantineList:
            try:
                reply = (await client.submit([command], seconds))[0]
            except ForbiddenError as error:
                fail(str(error), EXIT_REFUSED)
            assert isinstance(reply, QuarantineRecorded)
            return reply.quarantine

        quarantined = {request.fingerprint for request in _read_list().held}
        call_control(work)
        print(f"{name} is {'released' if name in quarantined else 'not held'}")


def _read_list() -> QuarantineList:
    async def work(client: ControlClient, _: OperatorSettings) -> QuarantineList:
        reply = await client.query(QueryRequest(query=QuarantineQuery()), DEFAULT_SECONDS)
        assert isinstance(reply.outcome, QuarantineView)
        return reply.outcome.quarantine

    return call_control(work)


def _check_fingerprint(fingerprint: object) -> str:
    """Return a fingerprint in lower case, or exit if it is invalid."""
    text = str(fingerprint).lower()
    if len(text) != _FINGERPRINT_LENGTH or any(digit not in "0123456789abcdef" for digit in text):
        fail(
            f"{text!r} is not a fingerprint: expected {_FINGERPRINT_LENGTH} hexadecimal digits, as "
            "'damsonlane quarantine list' shows them",
            EXIT_INPUT,
        )
    return text
