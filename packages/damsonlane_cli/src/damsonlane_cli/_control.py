"""``damsonlane control``: shows and changes the group of control replicas."""

import asyncio
import time
from typing import Final

from damsonlane.errors import UnavailableError
from damsonlane_cli._context import (
    EXIT_INPUT,
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    OperatorSettings,
    call_control,
    fail,
    print_rows,
)
from damsonlane_rpc import (
    ADD_REPLICA,
    FOUND_GROUP,
    REMOVE_REPLICA,
    AddReplicaRequest,
    BoxesQuery,
    BoxesView,
    ControlClient,
    Forbidden,
    FoundGroupRequest,
    GroupChangeDenied,
    GroupReply,
    QueryRequest,
    RemoveReplicaRequest,
    StatusReply,
)

#: Default time-out of a change of the group, in seconds.
DEFAULT_SECONDS: Final = 30.0
#: Seconds without a report after which a box is shown as suspected.
SUSPECTED_SECONDS: Final = 3.5
_POLL_SECONDS: Final = 0.1
_CALL_SECONDS: Final = 2.0


class ControlCommands:
    """Show and change the group of control replicas."""

    def status(self, json: bool = False) -> None:
        """Show the status of each control replica."""
        statuses = call_control(_read_statuses)
        rows = [_make_status_row(address, status) for address, status in statuses.items()]
        print_rows(rows, json)

    def boxes(self, json: bool = False) -> None:
        """Show the boxes that report to control, and the versions of settings in force there."""
        print_rows(call_control(_read_boxes), json)

    def found(self, address: str) -> None:
        """Found a group whose first member is the control box at an address."""

        async def work(client: ControlClient, _: OperatorSettings) -> None:
            reply = await FOUND_GROUP.unary(client.channel(address))(
                FoundGroupRequest(), timeout=DEFAULT_SECONDS
            )
            _require_done(reply)
            print(f"founded a group at {address}")

        call_control(work)

    def add(self, address: str, seconds: float = DEFAULT_SECONDS) -> None:
        """Add the control box at an address and wait until it votes."""

        async def work(client: ControlClient, _: OperatorSettings) -> None:
            await _add_replica(client, address, seconds)

        call_control(work)

    def remove(self, replica: str, seconds: float = DEFAULT_SECONDS) -> None:
        """Remove the replica with this name."""

        async def work(client: ControlClient, settings: OperatorSettings) -> None:
            await _remove_replica(client, settings, str(replica), seconds)

        call_control(work)

    def replace(self, replica: str, address: str, seconds: float = DEFAULT_SECONDS) -> None:
        """Add the control box at an address, then remove a replica that was lost."""

        async def work(client: ControlClient, settings: OperatorSettings) -> None:
            await _add_replica(client, address, seconds)
            await _remove_replica(client, settings, str(replica), seconds)

        call_control(work)


async def _add_replica(client: ControlClient, address: str, seconds: float) -> None:
    status = await client.status(address, _CALL_SECONDS)
    request = AddReplicaRequest(replica=status.replica, address=address)
    deadline = time.monotonic() + seconds
    while True:
        reply = await client.change_group(ADD_REPLICA, request, seconds)
        if (
            not isinstance(reply.outcome, GroupChangeDenied)
            or "under way" not in reply.outcome.detail
        ):
            _require_done(reply)
            break
        if time.monotonic() >= deadline:
            _require_done(reply)
        await asyncio.sleep(_POLL_SECONDS)
    print(f"{status.replica} is learning")
    while time.monotonic() < deadline:
        status = await client.status(address, _CALL_SECONDS)
        if status.members.is_voter(status.replica) and status.leader:
            print(f"{status.replica} votes")
            return
        await asyncio.sleep(_POLL_SECONDS)
    fail(f"{status.replica} does not vote yet; see 'damsonlane control status'", EXIT_UNKNOWN)


async def _remove_replica(
    client: ControlClient, settings: OperatorSettings, replica: str, seconds: float
) -> None:
    deadline = time.monotonic() + seconds
    while True:
        request = RemoveReplicaRequest(replica=replica)
        reply = await client.change_group(REMOVE_REPLICA, request, seconds)
        is_busy = (
            isinstance(reply.outcome, GroupChangeDenied) and "under way" in reply.outcome.detail
        )
        if not is_busy or time.monotonic() >= deadline:
            _require_done(reply)
            break
        await asyncio.sleep(_POLL_SECONDS)
    print(f"{replica} is removed")


async def _read_statuses(
    client: ControlClient, settings: OperatorSettings
) -> dict[str, StatusReply | None]:
    statuses: dict[str, StatusReply | None] = {}
    for address in settings.control:
        try:
            statuses[address] = await client.status(address, _CALL_SECONDS)
        except UnavailableError:
            statuses[address] = None
    return statuses


async def _read_boxes(client: ControlClient, settings: OperatorSettings) -> list[dict[str, object]]:
    reply = await client.query(QueryRequest(query=BoxesQuery()), DEFAULT_SECONDS)
    assert isinstance(reply.outcome, BoxesView)
    statuses = await _read_statuses(client, settings)
    statuses_by_box = {
        box.box: box for status in statuses.values() if status is not None for box in status.boxes
    }
    rows: list[dict[str, object]] = []
    for record in reply.outcome.boxes:
        status = statuses_by_box.get(record.box)
        is_suspected = status is None or status.silent_seconds > SUSPECTED_SECONDS
        row = {
            "box": record.box,
            "data centre": record.data_centre,
            "standing": "suspected" if is_suspected else record.standing,
            "version": status.version if status else 0,
            "cores": record.capacity or "unknown",
            "overloaded": record.is_overloaded,
            "does not reach": ",".join(record.unreached) or "-",
            "address": record.address,
            "heard by": record.via,
        }
        rows.append(row)
    return rows


def _make_status_row(address: str, status: StatusReply | None) -> dict[str, object]:
    if status is None:
        return {"address": address, "standing": "does not answer"}
    return {
        "address": address,
        "replica": status.replica,
        "standing": status.standing,
        "term": status.term,
        "commit": status.commit,
        "last": status.last_index,
        "settings": status.version,
        "votes": status.members.is_voter(status.replica),
    }


def _require_done(reply: GroupReply) -> None:
    outcome = reply.outcome
    if isinstance(outcome, GroupChangeDenied):
        fail(outcome.detail, EXIT_INPUT)
    if isinstance(outcome, Forbidden):
        fail(outcome.detail, EXIT_REFUSED)
