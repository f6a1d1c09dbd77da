"""Operator for tests and measurements: changes settings and records the accepted changes."""

import asyncio
import secrets
import threading
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

from damsonlane.cluster import (
    AcceptedChange,
    ChangeAccepted,
    ChangeConflict,
    ChangeSettings,
    Reply,
)
from damsonlane.errors import UnavailableError
from damsonlane.settings import Edit, TlsFiles
from damsonlane_bench.fleet import Box, Fleet
from damsonlane_rpc import (
    CALL_ERRORS,
    STATUS,
    ControlClient,
    HistoryQuery,
    HistoryView,
    QueryRequest,
    SettingsQuery,
    SettingsView,
    StatusReply,
    StatusRequest,
    make_client_context,
    open_channel,
)

#: Time limit of one call to the leader, in seconds.
_CALL_SECONDS: Final = 60.0
#: Time limit, in seconds, of a status call that may stay unanswered.
_STATUS_SECONDS: Final = 1.0
#: Maximum number of changes that a read of the history returns.
_HISTORY_LIMIT: Final = 100_000

Result = TypeVar("Result")


class OperatorLoop:
    """Runs an operator's client of control on an asyncio loop in a thread of its own."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet: Final = fleet
        self._loop: Final = asyncio.new_event_loop()
        self._thread: Final = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        #: Ids of the accepted changes, by version.
        self.accepted: dict[int, str] = {}
        self._changing: Any = None
        self._client: Final = self._run_in_loop(self._make_client())

    def close(self) -> None:
        """Close the client and stop the loop."""
        self._loop.call_soon_threadsafe(self._client.close)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def change(self, count: int) -> None:
        """Make changes one after another, each once the one before is accepted."""
        self._run_in_loop(self._change(count))

    def start_changing(self, count: int) -> None:
        """Make changes in the background."""
        self._changing = asyncio.run_coroutine_threadsafe(self._change(count), self._loop)

    def finish_changing(self) -> None:
        """Wait for the changes that `start_changing` began."""
        self._changing.result()

    def race(self, count: int) -> list[str]:
        """Send concurrent changes of the same version and return the kinds of their replies."""
        return [reply.kind for reply in self._run_in_loop(self._race(count))]

    def history(self) -> tuple[AcceptedChange, ...]:
        """Return all accepted changes in the current history of control."""
        return self._run_in_loop(self._read_history())

    def version_at(self, box: Box) -> int:
        """Return the current settings version, read through one box."""
        return self._run_in_loop(self._read_version_through(box))

    def status(self, box: Box) -> StatusReply:
        """Return the status of a control replica."""
        return self._run_in_loop(self._client.status(box.internal_address, _CALL_SECONDS))

    def statuses(self) -> list[StatusReply]:
        """Return the status of each control replica that answers."""
        return self._run_in_loop(self._read_statuses())

    def answers_without_tls(self, box: Box) -> bool:
        """Return whether a box answers a client without TLS."""
        return self._run_in_loop(self._ask_without_tls(box))

    def _run_in_loop(self, work: Coroutine[Any, Any, Result]) -> Result:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(_CALL_SECONDS * 10)

    async def _make_client(self, *addresses: str) -> ControlClient:
        control = addresses or [box.internal_address for box in self._fleet.controls()]
        return ControlClient(list(control), context=make_client_context(self._tls_files()))

    def _tls_files(self) -> TlsFiles:
        folder = self._fleet.folder / "keys"
        return TlsFiles(
            certificate=str(folder / "operator.pem"),
            key=str(folder / "operator.key"),
            authority=str(folder / "authority.pem"),
        )

    async def _change(self, count: int) -> None:
        version = await self._read_current_version()
        for _ in range(count):
            reply = await self._submit(version, secrets.token_hex(8))
            assert isinstance(reply, ChangeAccepted), reply
            version = reply.version

    async def _submit(self, version: int, change: str) -> Reply:
        edit = Edit(path="/policy/weight", value=1 + version % 100)
        command = ChangeSettings(
            change=change, expected_version=version, operator="", at=0.0, edits=(edit,)
        )
        while True:
            try:
                (reply,) = await self._client.submit([command], _CALL_SECONDS)
            except UnavailableError:
                continue
            if isinstance(reply, ChangeAccepted):
                self.accepted[reply.version] = change
            assert isinstance(reply, ChangeAccepted | ChangeConflict), reply
            return reply

    async def _race(self, count: int) -> list[Any]:
        version = await self._read_current_version()
        submissions = (self._submit(version, secrets.token_hex(8)) for _ in range(count))
        return list(await asyncio.gather(*submissions))

    async def _read_current_version(self) -> int:
        return await self._read_version(self._client)

    async def _read_version(self, client: ControlClient) -> int:
        reply = await client.query(QueryRequest(query=SettingsQuery()), _CALL_SECONDS)
        assert isinstance(reply.outcome, SettingsView)
        return reply.outcome.version

    async def _read_version_through(self, box: Box) -> int:
        client = await self._make_client(box.internal_address)
        try:
            return await self._read_version(client)
        finally:
            client.close()

    async def _read_history(self) -> tuple[AcceptedChange, ...]:
        query = HistoryQuery(limit=_HISTORY_LIMIT)
        reply = await self._client.query(QueryRequest(query=query), _CALL_SECONDS)
        assert isinstance(reply.outcome, HistoryView)
        return reply.outcome.changes

    async def _read_statuses(self) -> list[StatusReply]:
        found = []
        for box in self._fleet.controls():
            try:
                found.append(await self._client.status(box.internal_address, _STATUS_SECONDS))
            except UnavailableError:
                continue
        return found

    async def _ask_without_tls(self, box: Box) -> bool:
        channel = open_channel(box.internal_address, None)
        try:
            await STATUS.unary(channel)(StatusRequest(), timeout=_STATUS_SECONDS)
        except CALL_ERRORS:
            return False
        finally:
            channel.close()
        return True
