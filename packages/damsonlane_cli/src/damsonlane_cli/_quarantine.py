"""``damsonlane quarantine``: requests that are kept from targets since targets ended under them."""

from datetime import UTC, datetime
from typing import Final

from damsonlane.quarantine import QuarantineList, QuarantineNoted, ReleaseRequest
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

#: Seconds to wait for control, unless the operator says otherwise.
SECONDS: Final = 10.0
#: Characters of a fingerprint.
_LENGTH: Final = 24


class QuarantineCommands:
    """Show requests that are kept from targets, and release them."""

    def list(self, json: bool = False) -> None:
        """Show which requests are held, how many targets ended under each, and until when."""
        held = _read_list()
        rows = [
            {
                "fingerprint": request.fingerprint,
                "ends": request.ends,
                "until": datetime.fromtimestamp(request.until, UTC).isoformat(timespec="seconds"),
            }
            for request in held.held
        ]
        print_rows(rows, json)

    def release(self, fingerprint: str, seconds: float = SECONDS) -> None:
        """Have a request sent to targets again, say after they were mended.

        Args:
            fingerprint: the request, as `damsonlane quarantine list` and logs name it.
            seconds: how long to wait for control.
        """
        name = _check(fingerprint)
        command = ReleaseRequest(fingerprint=name, operator="", at=0.0)

        async def work(client: ControlClient, _: OperatorSettings) -> QuarantineList:
            try:
                reply = (await client.submit([command], seconds))[0]
            except ForbiddenError as error:
                fail(str(error), EXIT_REFUSED)
            assert isinstance(reply, QuarantineNoted)
            return reply.quarantine

        known = {request.fingerprint for request in _read_list().held}
        call_control(work)
        print(f"{name} is {'released' if name in known else 'not held'}")


def _read_list() -> QuarantineList:
    async def work(client: ControlClient, _: OperatorSettings) -> QuarantineList:
        reply = await client.query(QueryRequest(query=QuarantineQuery()), SECONDS)
        assert isinstance(reply.outcome, QuarantineView)
        return reply.outcome.quarantine

    return call_control(work)


def _check(fingerprint: object) -> str:
    """Return a fingerprint, or exit if it can't be one."""
    text = str(fingerprint).lower()
    if len(text) != _LENGTH or any(digit not in "0123456789abcdef" for digit in text):
        fail(
            f"{text!r} is no fingerprint: {_LENGTH} hexadecimal digits, as "
            "'damsonlane quarantine list' shows them",
            EXIT_INPUT,
        )
    return text
