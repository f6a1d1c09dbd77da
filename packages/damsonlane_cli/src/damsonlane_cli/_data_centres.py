"""``damsonlane data-centre``: evacuates and restores data centres."""

import secrets
from datetime import UTC, datetime
from typing import Final

from damsonlane.evacuation import EvacuateDataCentre, EvacuationRecorded, RestoreDataCentre
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
    EvacuationsQuery,
    EvacuationsView,
    ForbiddenError,
    QueryRequest,
)

#: Default time-out of calls to control, in seconds.
DEFAULT_SECONDS: Final = 10.0


class DataCentreCommands:
    """Evacuate data centres, whose targets then get no new requests, and restore them."""

    def evacuate(self, name: str, seconds: float = DEFAULT_SECONDS) -> None:
        """Stop new requests to the targets of a data centre; running ones complete there."""
        call = secrets.token_hex(6)
        command = EvacuateDataCentre(data_centre=_check_name(name), call=call, operator="", at=0.0)
        _submit(command, seconds)

    def restore(self, name: str, seconds: float = DEFAULT_SECONDS) -> None:
        """Send requests to the targets of a data centre again, few while they warm up."""
        call = secrets.token_hex(6)
        command = RestoreDataCentre(data_centre=_check_name(name), call=call, operator="", at=0.0)
        _submit(command, seconds)

    def list(self, json: bool = False) -> None:
        """Show the evacuated data centres, who evacuated them, and when."""

        async def work(client: ControlClient, _: OperatorSettings) -> EvacuationsView:
            reply = await client.query(QueryRequest(query=EvacuationsQuery()), DEFAULT_SECONDS)
            assert isinstance(reply.outcome, EvacuationsView)
            return reply.outcome

        rows = [
            {
                "data centre": item.data_centre,
                "since": datetime.fromtimestamp(item.at, UTC).isoformat(timespec="seconds"),
                "operator": item.operator,
                "call": item.call,
            }
            for item in call_control(work).evacuations
        ]
        print_rows(rows, json)


def _check_name(name: object) -> str:
    """Return the name of a data centre as text, or exit if it is invalid."""
    text = str(name)
    if not text or not text.isprintable() or "/" in text or " " in text:
        fail(f"{text!r} is not a valid name of a data centre", EXIT_INPUT)
    return text


def _submit(command: EvacuateDataCentre | RestoreDataCentre, seconds: float) -> None:
    """Commit a command and print its outcome."""

    async def work(client: ControlClient, _: OperatorSettings) -> None:
        try:
            reply = (await client.submit([command], seconds))[0]
        except ForbiddenError as error:
            fail(str(error), EXIT_REFUSED)
        is_changed = isinstance(reply, EvacuationRecorded) and reply.is_changed
        state = "evacuated" if isinstance(command, EvacuateDataCentre) else "in use"
        print(f"{command.data_centre} is {state}{'' if is_changed else ', as before'}")

    call_control(work)
