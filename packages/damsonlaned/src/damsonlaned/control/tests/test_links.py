"""Streams of a replica that stops while its fellows still send.

A replica that was told to stop ended with a trace once, in a test beside hunts: "dictionary changed
size during iteration", while it closed its streams one after the other.  Its server still took
envelopes then, and an answer to a box that it had no stream to opened another one.  The journal
was not closed, and the process would have ended with an error.
"""

import unittest
from unittest import mock

from damsonlane.agreement import AppendRequest, Envelope
from damsonlaned.control._links import Link, Links


def make_envelope(receiver: str) -> Envelope:
    request = AppendRequest(
        term=1, previous_index=0, previous_term=0, entries=(), commit=0, round=1
    )
    return Envelope(cluster="c", sender="own", receiver=receiver, message=request)


class LinksTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_message_sent_while_the_streams_are_closed(self) -> None:
        links = Links("127.0.0.1:1", None)
        for number in range(2, 5):
            links.learn(f"replica-{number}", f"127.0.0.1:{number}")
        links.send(make_envelope("replica-2"))
        links.send(make_envelope("replica-3"))
        close = Link.close
        closed: list[Link] = []

        async def close_and_send(link: Link) -> None:
            closed.append(link)
            links.send(make_envelope("replica-4"))
            await close(link)

        opened = list(links._links.values())
        try:
            with mock.patch.object(Link, "close", close_and_send):
                await links.close()
        finally:
            left = list(links._links.values())
            for link in (*opened, *left):
                await close(link)
        self.assertEqual(len(closed), 2)
        self.assertEqual(left, [])


if __name__ == "__main__":
    unittest.main()
