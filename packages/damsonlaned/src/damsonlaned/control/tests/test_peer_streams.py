"""Streams of a replica that stops while its peers still send.

Guards against a reply that opens a new stream while the others are closed: that changed the
dictionary during the iteration, and the replica stopped with an error and an open journal.
"""

import unittest
from unittest import mock

from damsonlane.consensus import AppendRequest, Envelope
from damsonlaned.control._peer_streams import PeerStream, PeerStreams


def make_envelope(receiver: str) -> Envelope:
    request = AppendRequest(
        term=1, previous_index=0, previous_term=0, entries=(), commit=0, round=1
    )
    return Envelope(cluster="c", sender="own", receiver=receiver, message=request)


class PeerStreamsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_message_sent_during_close_opens_no_stream(self) -> None:
        streams = PeerStreams("127.0.0.1:1", None)
        for number in range(2, 5):
            streams.update_address(f"replica-{number}", f"127.0.0.1:{number}")
        streams.send(make_envelope("replica-2"))
        streams.send(make_envelope("replica-3"))
        close = PeerStream.close
        closed: list[PeerStream] = []

        async def close_and_send(stream: PeerStream) -> None:
            closed.append(stream)
            streams.send(make_envelope("replica-4"))
            await close(stream)

        opened = list(streams._streams.values())
        try:
            with mock.patch.object(PeerStream, "close", close_and_send):
                await streams.close()
        finally:
            remaining = list(streams._streams.values())
            for stream in (*opened, *remaining):
                await close(stream)
        self.assertEqual(len(closed), 2)
        self.assertEqual(remaining, [])


if __name__ == "__main__":
    unittest.main()
