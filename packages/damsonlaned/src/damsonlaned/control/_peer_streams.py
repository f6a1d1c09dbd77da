"""Streams that send consensus messages to the other replicas."""

import asyncio
import contextlib
import ssl
from collections import deque
from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from grpclib.client import Stream

from damsonlane.consensus import Envelope, Member
from damsonlane_rpc import CALL_ERRORS, EXCHANGE, ExchangeEnd, open_channel
from damsonlaned.tasks import start_task

#: Envelopes queued for a replica that does not accept them; the oldest are dropped first.
QUEUE_LENGTH: Final = 256
#: Seconds between attempts to reach a replica.
RECONNECT_SECONDS: Final = 0.1


class PeerStream:
    """A stream to one replica, reopened after each failure."""

    def __init__(self, address: str, context: ssl.SSLContext | None) -> None:
        self._address: Final = address
        self._context: Final = context
        self._queue: deque[Envelope] = deque(maxlen=QUEUE_LENGTH)
        self._has_queued = asyncio.Event()
        self._is_closed = False
        self._task = start_task(self._run(), "stream to a replica")

    def send(self, envelope: Envelope) -> None:
        """Queue an envelope; delivery is not guaranteed."""
        self._queue.append(envelope)
        self._has_queued.set()

    async def close(self) -> None:
        """Stop sending and close the stream."""
        # grpclib may replace a cancellation by the error of a stream that fails at the same
        # moment, so the task also checks this flag.
        self._is_closed = True
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        while not self._is_closed:
            try:
                await self._run_stream()
            except CALL_ERRORS:
                # Envelopes queued for a failed stream are stale; the leader sends again.
                self._queue.clear()
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _run_stream(self) -> None:
        channel = open_channel(self._address, self._context)
        try:
            async with EXCHANGE.upload(channel).open() as stream:
                await stream.send_request()
                # The peer replies only when it closes the stream; without waiting for that,
                # this side would keep sending to a process that has exited.
                reply = asyncio.create_task(stream.recv_message())
                sending = asyncio.create_task(self._send_queued(stream))
                try:
                    done, _ = await asyncio.wait(
                        {reply, sending}, return_when=asyncio.FIRST_COMPLETED
                    )
                    for task in done:
                        # An error must propagate: when the context manager exits without one,
                        # grpclib waits for a reply, which a frozen replica never sends.
                        task.result()
                finally:
                    reply.cancel()
                    sending.cancel()
                    await asyncio.gather(reply, sending, return_exceptions=True)
        finally:
            channel.close()

    async def _send_queued(self, stream: Stream[Envelope, ExchangeEnd]) -> None:
        while True:
            await self._has_queued.wait()
            self._has_queued.clear()
            while self._queue:
                await stream.send_message(self._queue.popleft())


class PeerStreams:
    """Streams to all other members of the group."""

    def __init__(self, own_address: str, context: ssl.SSLContext | None) -> None:
        self._own_address: Final = own_address
        self._context: Final = context
        self._streams: dict[str, PeerStream] = {}
        self._addresses: dict[str, str] = {}
        self._is_closed = False

    def update_members(self, members: Iterable[Member]) -> None:
        """Store the addresses of the members."""
        self._addresses.update({member.replica: member.address for member in members})

    def update_address(self, replica: str, address: str) -> None:
        """Store the address that a replica reported for itself, unless it is empty."""
        if address:
            self._addresses[replica] = address

    def send(self, envelope: Envelope) -> None:
        """Send an envelope, or drop it if the address of its receiver is not known."""
        address = self._addresses.get(envelope.receiver)
        if self._is_closed or address is None or address == self._own_address:
            return
        if address not in self._streams:
            self._streams[address] = PeerStream(address, self._context)
        self._streams[address].send(replace(envelope, sender_address=self._own_address))

    async def close(self) -> None:
        """Close all streams and prevent new ones: replies to late messages would open them."""
        self._is_closed = True
        for stream in self._streams.values():
            await stream.close()
        self._streams.clear()
