"""Targets that send an answer once more, late, on a kept connection."""

import asyncio
import json
import unittest

from damsonlane.targets import TargetRecord
from damsonlaned.gateway.tests.harness import Entry, FakeTarget, stream_events
from damsonlaned.gateway.tests.scripted_target import ScriptedTarget, render
from damsonlaned.tests.addresses import find_free_address

REQUEST_COUNT = 6


class RepeatingPoolTarget:
    """A pool target that sends each result again before the next one on the connection.

    Args:
        repeats_ids: whether its answers repeat the id of their calls.
        repeats_results: whether it sends them again.
    """

    def __init__(self, *, repeats_ids: bool, repeats_results: bool = True) -> None:
        self._repeats_ids = repeats_ids
        self._repeats_results = repeats_results
        self._address = find_free_address()
        #: Connections that it accepted.
        self.accepted = 0

    async def start(self) -> TargetRecord:
        host, _, port = self._address.partition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        return TargetRecord(
            target="p0",
            service="pool",
            address=self._address,
            data_centre="gulberg",
            slots=4,
            standing="live",
            sequence=1,
        )

    async def stop(self) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        last = b""
        while head := await self._read_head(reader):
            body = await reader.readexactly(int(head["content-length"]))
            answer = self._answer(head.get("damsonlane-request-id", ""), body)
            if self._repeats_results and b"handle" in answer:
                writer.write(last)
                last = answer
            writer.write(answer)
        writer.close()

    async def _read_head(self, reader: asyncio.StreamReader) -> dict[str, str]:
        """Return the headers of a call; none at the end of the connection."""
        try:
            lines = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
        except (asyncio.IncompleteReadError, ConnectionResetError):
            return {}
        fields = (line.partition(": ") for line in lines[1:] if line)
        return {name: value for name, _, value in fields}

    def _answer(self, call_id: str, body: bytes) -> bytes:
        pieces = json.loads(body).get("pieces", ())
        handles = [{"handle": f"{self._address}/{piece['request']}"} for piece in pieces]
        data = json.dumps({"pieces": handles}).encode()
        named = f"Damsonlane-Request-Id: {call_id}\r\n" if self._repeats_ids else ""
        return f"HTTP/1.1 200 OK\r\n{named}Content-Length: {len(data)}\r\n\r\n".encode() + data


class LateAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def call_all(self, target: RepeatingPoolTarget) -> None:
        """Check that each request gets the results of its own stage."""
        desk = FakeTarget("t0", stream_events(1, 2))
        entry = Entry()
        await entry.start(await desk.start(), await target.start())
        for part in (entry, desk, target):
            self.addAsyncCleanup(part.stop)
        for number in range(REQUEST_COUNT):
            headers = "Damsonlane-Pieces: 1\r\nDamsonlane-Material-Key: m\r\n"
            response = await entry.call("/staged-chat/a", headers=headers, request_id=f"r{number}")
            self.assertEqual(response.status, 200)
            inputs = desk.requests[-1].find(b"damsonlane-inputs") or ""
            self.assertTrue(inputs.endswith(f"/r{number}"), inputs)

    async def test_an_answer_that_comes_again_is_not_taken_for_that_of_the_next_call(self) -> None:
        target = RepeatingPoolTarget(repeats_ids=True)
        await self.call_all(target)
        self.assertLessEqual(target.accepted, REQUEST_COUNT)

    async def test_results_without_an_id_that_come_again_are_not_taken_for_others(self) -> None:
        await self.call_all(RepeatingPoolTarget(repeats_ids=False))

    async def test_connections_of_targets_that_repeat_no_id_are_kept(self) -> None:
        target = RepeatingPoolTarget(repeats_ids=False, repeats_results=False)
        await self.call_all(target)
        self.assertLessEqual(target.accepted, 2)

    async def test_the_answer_that_comes_some_time_after_a_late_one_is_delivered(self) -> None:
        for path in ("/once/a", "/draft/a"):
            with self.subTest(path):
                target = ScriptedTarget(
                    lambda request_id, number: (
                        *([render(200, "earlier")] if number > 1 else ()),
                        render(200, request_id),
                    )
                )
                entry = Entry()
                await entry.start(await target.start())
                self.addAsyncCleanup(entry.stop)
                self.addAsyncCleanup(target.stop)
                responses = [await entry.call(path, request_id=f"r{n}") for n in range(3)]
                self.assertEqual([response.status for response in responses], [200, 200, 200])
                self.assertEqual(target.requests, [["r0", "r1", "r2"]])


if __name__ == "__main__":
    unittest.main()
