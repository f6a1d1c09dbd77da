"""Streams of envelopes to the other replicas."""

import asyncio
import contextlib
import ssl
from collections import deque
from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from grpclib.client import Stream

from damsonlane.agreement import Envelope, Member
from damsonlane_rpc import CALL_FAULTS, EXCHANGE, ExchangeEnd, open_channel
from damsonlaned.tasks import start_task

#: Envelopes kept for a replica that does not take them; older ones are dropped.
QUEUE_LENGTH: Final = 256
#: Seconds between attempts to reach a replica.
RECONNECT_SECONDS: Final = 0.1


class Link:
    """A stream to one replica, opened again whenever it breaks."""

    def __init__(self, address: str, context: ssl.SSLContext | None) -> None:
        self._address: Final = address
        self._context: Final = context
        self._queue: deque[Envelope] = deque(maxlen=QUEUE_LENGTH)
        self._has_more = asyncio.Event()
        self._is_closed = False
        self._task = start_task(self._run(), "stream to a replica")

    def send(self, envelope: Envelope) -> None:
        """Queue an envelope; it may get lost."""
        self._queue.append(envelope)
        self._has_more.set()

    async def close(self) -> None:
        """Stop sending."""
        # The library may turn a cancellation into the fault of a stream that breaks
        # at the same moment, so the task is told in another way too.
        self._is_closed = True
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        while not self._is_closed:
            try:
                await self._stream()
            except CALL_FAULTS:
                # What was queued for a broken stream is old; the leader sends again.
                self._queue.clear()
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _stream(self) -> None:
        channel = open_channel(self._address, self._context)
        try:
            async with EXCHANGE.upload(channel).open() as stream:
                await stream.send_request()
                # The other side answers only at its end; a link that did not listen
                # would go on sending to a process that is gone.
                ended = asyncio.create_task(stream.recv_message())
                sending = asyncio.create_task(self._send_queued(stream))
                try:
                    done, _ = await asyncio.wait(
                        {ended, sending}, return_when=asyncio.FIRST_COMPLETED
                    )
                    for task in done:
                        # A fault must leave by raising: at a quiet end the library
                        # waits for an answer, which a frozen replica never gives.
                        task.result()
                finally:
                    ended.cancel()
                    sending.cancel()
                    await asyncio.gather(ended, sending, return_exceptions=True)
        finally:
            channel.close()

    async def _send_queued(self, stream: Stream[Envelope, ExchangeEnd]) -> None:
        while True:
            await self._has_more.wait()
            self._has_more.clear()
            while self._queue:
                await stream.send_message(self._queue.popleft())


class Links:
    """Streams to all other members."""

    def __init__(self, own_address: str, context: ssl.SSLContext | None) -> None:
        self._own_address: Final = own_address
        self._context: Final = context
        self._links: dict[str, Link] = {}
        self._addresses: dict[str, str] = {}
        self._is_closed = False

    def follow(self, members: Iterable[Member]) -> None:
        """Learn the addresses of the members."""
        self._addresses.update({member.replica: member.address for member in members})

    def learn(self, replica: str, address: str) -> None:
        """Learn the address of a replica from its own word."""
        if address:
            self._addresses[replica] = address

    def send(self, envelope: Envelope) -> None:
        """Send an envelope if its receiver's address is known."""
        address = self._addresses.get(envelope.receiver)
        if self._is_closed or address is None or address == self._own_address:
            return
        if address not in self._links:
            self._links[address] = Link(address, self._context)
        self._links[address].send(replace(envelope, sender_address=self._own_address))

    async def close(self) -> None:
        """Close all streams, and open none any more: messages still arrive meanwhile."""
        self._is_closed = True
        for link in self._links.values():
            await link.close()
        self._links.clear()
