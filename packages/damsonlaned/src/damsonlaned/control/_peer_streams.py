"""Streams that send consensus messages to the other replicas."""

import asyncio
import contextlib
import ssl
from collections import deque
from collections.abc import Callable, Iterable
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
    """A stream to one replica, reopened after each failure.

    Args:
        address: internal address of its box.
        context: TLS context, or None.
        on_refused: called when the box begins to refuse connections.
    """

    def __init__(
        self, address: str, context: ssl.SSLContext | None, on_refused: Callable[[], None]
    ) -> None:
        #: Whether the box refused the last connection, so that no process listens there.
        self.is_refused = False
        self._on_refused: Final = on_refused
        self._opened_at = float("-inf")
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
            except CALL_ERRORS as error:
                # Envelopes queued for a failed stream are stale; the leader sends again.
                self._queue.clear()
                self._record_failure(error)
            if not self._has_just_broken():
                await asyncio.sleep(RECONNECT_SECONDS)

    def _record_failure(self, error: BaseException) -> None:
        was_refused, self.is_refused = self.is_refused, isinstance(error, ConnectionRefusedError)
        if self.is_refused and not was_refused:
            self._on_refused()

    def _has_just_broken(self) -> bool:
        """Return whether a stream that was open for a while has failed.

        The next attempt is made at once, to learn whether the process has ended.
        """
        opened_at, self._opened_at = self._opened_at, float("-inf")
        is_old = asyncio.get_running_loop().time() - opened_at > RECONNECT_SECONDS
        return is_old and opened_at > float("-inf")

    async def _run_stream(self) -> None:
        channel = open_channel(self._address, self._context)
        try:
            async with EXCHANGE.upload(channel).open() as stream:
                await stream.send_request()
                self.is_refused = False
                self._opened_at = asyncio.get_running_loop().time()
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
        #: Called when the box of a member begins to refuse connections.
        self.on_refused: Callable[[], None] = lambda: None
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
            self._streams[address] = PeerStream(address, self._context, lambda: self.on_refused())
        self._streams[address].send(replace(envelope, sender_address=self._own_address))

    def is_refused(self, replica: str) -> bool:
        """Return whether the box of a replica refused the last connection."""
        stream = self._streams.get(self._addresses.get(replica, ""))
        return stream is not None and stream.is_refused

    async def close(self) -> None:
        """Close all streams and prevent new ones: replies to late messages would open them."""
        self._is_closed = True
        for stream in self._streams.values():
            await stream.close()
        self._streams.clear()
