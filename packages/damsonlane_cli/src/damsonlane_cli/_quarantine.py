"""``damsonlane quarantine``: shows and releases quarantined requests."""

from datetime import UTC, datetime
from typing import Final

from damsonlane.quarantine import QuarantineList, QuarantineRecorded, ReleaseRequest, is_shared
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
    """Show and release quarantined requests, and what they share, under which targets exited."""

    def list(self, json: bool = False) -> None:
        """Show what is quarantined, how many targets exited under it and which, and until when.

        Names of one row stand with a plus sign between them: requests that have all are refused.
        """
        quarantine = _read_list()
        rows = [
            {
                "fingerprint": "+".join(request.names),
                "ends": request.ends,
                "targets": ",".join(request.targets),
                "until": datetime.fromtimestamp(request.until, UTC).isoformat(timespec="seconds"),
            }
            for request in quarantine.held
        ]
        print_rows(rows, json)

    def release(self, fingerprint: str, seconds: float = DEFAULT_SECONDS) -> None:
        """Allow requests to be sent to targets again, for example after they were fixed.

        Args:
            fingerprint: fingerprint of a request, or name of what requests share, as `damsonlane
                quarantine list` and logs show it.  What stands in the same row is released too.
            seconds: time-out of the call to control, in seconds.
        """
        name = _check_name(fingerprint)
        command = ReleaseRequest(fingerprint=name, operator="", at=0.0)

        async def work(client: ControlClient, _: OperatorSettings) -> QuarantineList:
            try:
                reply = (await client.submit([command], seconds))[0]
            except ForbiddenError as error:
                fail(str(error), EXIT_REFUSED)
            assert isinstance(reply, QuarantineRecorded)
            return reply.quarantine

        quarantined = {name for request in _read_list().held for name in request.names}
        call_control(work)
        print(f"{name} is {'released' if name in quarantined else 'not held'}")


def _read_list() -> QuarantineList:
    async def work(client: ControlClient, _: OperatorSettings) -> QuarantineList:
        reply = await client.query(QueryRequest(query=QuarantineQuery()), DEFAULT_SECONDS)
        assert isinstance(reply.outcome, QuarantineView)
        return reply.outcome.quarantine

    return call_control(work)


def _check_name(name: object) -> str:
    """Return a fingerprint in lower case, or the name of a shared cause; exit if it is neither."""
    text = str(name)
    if is_shared(text):
        return text
    text = text.lower()
    if len(text) != _FINGERPRINT_LENGTH or any(digit not in "0123456789abcdef" for digit in text):
        fail(
            f"{text!r} is not a fingerprint: expected {_FINGERPRINT_LENGTH} hexadecimal digits, or "
            "a name such as part:5c1e07a2, as 'damsonlane quarantine list' shows them",
            EXIT_INPUT,
        )
    return text
