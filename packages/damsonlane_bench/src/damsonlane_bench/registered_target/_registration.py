"""Registration of a stand-in at control replicas."""

import asyncio
import logging
from dataclasses import replace
from typing import Final

from damsonlane.codec import encode_bytes
from damsonlane.targets import TargetRecord
from damsonlaned.http import ConnectionPool, HttpRequest, IncompleteResponseError, NotSentError

_LOG: Final = logging.getLogger(__name__)

#: Seconds between heartbeats.
HEARTBEAT_SECONDS: Final = 0.5
#: Timeout of one heartbeat, in seconds.
_HEARTBEAT_TIMEOUT_SECONDS: Final = 1.0
#: Seconds for which a draining target continues to serve.
_DRAINING_SECONDS: Final = 1.5


class Registration:
    """Reports a target to control replicas, from its start until it leaves.

    Args:
        record: the first record of the target.
        registries: addresses of control replicas.
    """

    def __init__(self, record: TargetRecord, registries: list[str]) -> None:
        self._record = record
        self._registries: Final = registries
        self._heartbeats: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start sending heartbeats."""
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def leave(self) -> None:
        """Report that the target is draining, let it serve for a while, and deregister it."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        self._record = self._record.with_standing("leaving")
        await self._report("PUT")
        await asyncio.sleep(_DRAINING_SECONDS)
        await self._report("DELETE")

    async def _send_heartbeats(self) -> None:
        while True:
            await self._report("PUT")
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _report(self, method: str) -> None:
        """Send a heartbeat or deregistration to the first registry that accepts it."""
        self._record = replace(self._record, sequence=self._record.sequence + 1)
        request = HttpRequest(
            method=method,
            target=f"/v1/targets/{self._record.target}",
            headers=((b"Host", b"control"),),
            body=encode_bytes(self._record, TargetRecord) if method == "PUT" else b"",
        )
        for address in self._registries:
            if await self._send_report(address, request):
                return
        _LOG.warning("no registry accepted the heartbeat", extra={"target": self._record.target})

    async def _send_report(self, address: str, request: HttpRequest) -> bool:
        pool = ConnectionPool(address, 1)
        try:
            async with asyncio.timeout(_HEARTBEAT_TIMEOUT_SECONDS):
                exchange = await pool.send(request, _HEARTBEAT_TIMEOUT_SECONDS)
                try:
                    head = await exchange.read_head()
                    await exchange.body.read_all()
                finally:
                    exchange.finish()
        except (NotSentError, IncompleteResponseError, TimeoutError):
            return False
        finally:
            pool.close()
        return head.status == 200
