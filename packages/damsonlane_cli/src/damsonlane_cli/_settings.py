"""``damsonlane settings``: shows and changes the settings tree."""

import asyncio
import difflib
import json
import secrets
import sys
import time
from collections.abc import Sequence
from typing import Final

from pydantic import JsonValue

from damsonlane.cluster import (
    ChangeAccepted,
    ChangeConflict,
    ChangeRefused,
    ChangeReply,
    ChangeSettings,
)
from damsonlane.errors import SettingsError, UnavailableError
from damsonlane.settings import Edit, SettingsTree, check_tree, read_document, read_tree
from damsonlane_cli._context import (
    EXIT_CONFLICT,
    EXIT_INPUT,
    EXIT_NOT_IN_FORCE,
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    OperatorSettings,
    call_control,
    fail,
    print_rows,
    print_value,
    read_text,
)
from damsonlane_rpc import (
    BoxesQuery,
    BoxesView,
    ChangeQuery,
    ChangeView,
    ControlClient,
    ForbiddenError,
    HistoryQuery,
    HistoryView,
    QueryRequest,
    SettingsQuery,
    SettingsView,
)

#: Default time-out of calls to control, in seconds.
DEFAULT_SECONDS: Final = 10.0
#: Seconds between polls of the boxes while waiting until a change is in force.
POLL_SECONDS: Final = 0.2


class SettingsCommands:
    """Show and change the settings tree."""

    def check(self, file: str) -> None:
        """Check a file with a whole settings tree offline."""
        try:
            read_tree(read_document(read_text(str(file)), str(file)))
        except SettingsError as error:
            fail(str(error), EXIT_INPUT)
        print(f"{file}: no findings")

    def get(self, path: str = "") -> None:
        """Print the settings tree, or the subtree at a path."""
        value = _read_current().document
        for segment in [part for part in str(path).split("/") if part]:
            if not isinstance(value, dict) or segment not in value:
                fail(f"no value is set at {path}; see 'damsonlane settings explain'", EXIT_INPUT)
            value = value[segment]
        print_value(value)

    def set(
        self,
        path: str,
        value: str,
        change: str = "",
        version: int = 0,
        wait: bool = True,
        seconds: float = DEFAULT_SECONDS,
    ) -> None:
        """Set one value and wait until it is in force everywhere.

        Args:
            path: such as /policy/deadline_seconds.
            value: JSON, or text that is not JSON.
            change: id of the change, to retry it safely after an unknown outcome.
            version: expected version of the tree; the current one by default.
            wait: whether to wait until the change is in force at every box.
            seconds: time-out, in seconds.
        """
        edit = Edit(path=str(path), value=_check_json(value))
        _change((edit,), change, version, wait, seconds)

    def remove(
        self,
        path: str,
        change: str = "",
        version: int = 0,
        wait: bool = True,
        seconds: float = DEFAULT_SECONDS,
    ) -> None:
        """Remove the value at a path, so that the inherited one applies again."""
        _change((Edit(path=str(path), action="remove"),), change, version, wait, seconds)

    def apply(
        self,
        file: str,
        change: str = "",
        version: int = 0,
        wait: bool = True,
        seconds: float = DEFAULT_SECONDS,
    ) -> None:
        """Replace the whole tree by the content of a file."""
        try:
            document = read_document(read_text(str(file)), str(file))
            read_tree(document)
        except SettingsError as error:
            fail(str(error), EXIT_INPUT)
        _change((Edit(path="", value=document.value),), change, version, wait, seconds)

    def diff(self, file: str) -> None:
        """Show what applying a file would change."""
        try:
            document = read_document(read_text(str(file)), str(file))
        except SettingsError as error:
            fail(str(error), EXIT_INPUT)
        old, new = _render_lines(_read_current().document), _render_lines(document.value)
        sys.stdout.writelines(difflib.unified_diff(old, new, "in force", str(file)))

    def explain(
        self, organisation: str, pipeline: str, data_centre: str = "", json: bool = False
    ) -> None:
        """Show the effective values of a pipeline and where each is set."""
        tree = check_tree(_read_current().document)
        if not isinstance(tree, SettingsTree):
            fail(tree[0].render(), EXIT_INPUT)
        settings = tree.organisations.get(organisation)
        if settings is None or pipeline not in settings.pipelines:
            fail(f"no pipeline '{organisation}/{pipeline}'", EXIT_INPUT)
        origins = tree.explain(data_centre, organisation, pipeline)
        rows = [
            {"value": origin.name, "is": origin.value, "from": origin.path} for origin in origins
        ]
        print_rows(rows, json)

    def history(self, limit: int = 20, json: bool = False) -> None:
        """Show the latest accepted changes."""
        view = call_control(lambda client, _: _query_history(client, limit))
        rows = [
            {
                "version": change.version,
                "when": time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(change.at)),
                "who": change.operator,
                "change": change.change,
                "what": ", ".join(f"{edit.action} {edit.path or '/'}" for edit in change.edits),
            }
            for change in view.changes
        ]
        print_rows(rows, json)

    def outcome(self, change: str) -> None:
        """Show the outcome of an earlier change by its id."""
        view = call_control(lambda client, _: _query_change(client, str(change)))
        if view.reply is None:
            print(f"change {change}: never arrived; it is safe to send it again")
            return
        _print_reply(view.reply, str(change))


def _read_current() -> SettingsView:
    return call_control(lambda client, _: _query_settings(client))


async def _query_settings(client: ControlClient) -> SettingsView:
    reply = await client.query(QueryRequest(query=SettingsQuery()), DEFAULT_SECONDS)
    assert isinstance(reply.outcome, SettingsView)
    return reply.outcome


async def _query_history(client: ControlClient, limit: int) -> HistoryView:
    reply = await client.query(QueryRequest(query=HistoryQuery(limit=limit)), DEFAULT_SECONDS)
    assert isinstance(reply.outcome, HistoryView)
    return reply.outcome


async def _query_change(client: ControlClient, change: str) -> ChangeView:
    reply = await client.query(QueryRequest(query=ChangeQuery(change=change)), DEFAULT_SECONDS)
    assert isinstance(reply.outcome, ChangeView)
    return reply.outcome


def _change(edits: Sequence[Edit], change: str, version: int, wait: bool, seconds: float) -> None:
    change_id = str(change) or secrets.token_hex(8)

    async def work(client: ControlClient, settings: OperatorSettings) -> None:
        reply = await _submit(client, edits, change_id, version, seconds)
        accepted = _print_reply(reply, change_id)
        if wait:
            await _wait_in_force(client, settings, accepted.version, seconds)

    call_control(work)


async def _submit(
    client: ControlClient, edits: Sequence[Edit], change: str, version: int, seconds: float
) -> ChangeReply:
    expected = version or (await _query_settings(client)).version
    command = ChangeSettings(
        change=change, expected_version=expected, operator="", at=0.0, edits=tuple(edits)
    )
    try:
        replies = await client.submit([command], seconds)
    except ForbiddenError as error:
        fail(f"refused: {error}", EXIT_REFUSED)
    except UnavailableError as error:
        message = (
            f"the outcome is unknown: {error}\n"
            f"check it with 'damsonlane settings outcome {change}', or retry with --change={change}"
        )
        fail(message, EXIT_UNKNOWN)
    reply = replies[0]
    assert isinstance(reply, ChangeAccepted | ChangeConflict | ChangeRefused)
    return reply


def _print_reply(reply: ChangeReply, change: str) -> ChangeAccepted:
    """Print the outcome of a change; exit if it was not accepted."""
    if isinstance(reply, ChangeAccepted):
        print(f"accepted as version {reply.version} (change {change})")
        return reply
    if isinstance(reply, ChangeConflict):
        winner = reply.winner
        author = f" by {winner.operator} (change {winner.change})" if winner else ""
        fail(
            f"conflict: version {reply.version} was accepted first{author}; check it and retry",
            EXIT_CONFLICT,
        )
    message = "\n".join(finding.render() for finding in reply.findings)
    return fail(message, EXIT_REFUSED)


async def _wait_in_force(
    client: ControlClient, settings: OperatorSettings, version: int, seconds: float
) -> None:
    deadline = time.monotonic() + seconds
    while True:
        boxes = await read_versions(client, settings)
        outdated = sorted(box for box, current in boxes.items() if current < version)
        if not outdated:
            print(f"in force at {len(boxes)} boxes")
            return
        if time.monotonic() >= deadline:
            fail(f"accepted, but not in force at: {', '.join(outdated)}", EXIT_NOT_IN_FORCE)
        await asyncio.sleep(POLL_SECONDS)


async def read_versions(client: ControlClient, settings: OperatorSettings) -> dict[str, int]:
    """Return the version in force at each box that control knows; 0 where none was reported."""
    reply = await client.query(QueryRequest(query=BoxesQuery()), DEFAULT_SECONDS)
    assert isinstance(reply.outcome, BoxesView)
    boxes = {record.box: 0 for record in reply.outcome.boxes}
    for address in settings.control:
        try:
            status = await client.status(address, POLL_SECONDS * 5)
        except UnavailableError:
            continue
        for box in status.boxes:
            if box.box in boxes:
                boxes[box.box] = max(box.version, boxes.get(box.box, 0))
    return boxes


def _check_json(value: object) -> JsonValue:
    """Return a value that the command line has already parsed, or exit if it is not JSON."""
    try:
        checked: JsonValue = json.loads(json.dumps(value))
    except TypeError:
        fail(f"'{value}' is not JSON", EXIT_INPUT)
    return checked


def _render_lines(value: JsonValue) -> list[str]:
    text = json.dumps(value, indent=2, sort_keys=True, ensure_ascii=False)
    return [f"{line}\n" for line in text.splitlines()]
