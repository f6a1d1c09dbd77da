"""Targets of pipelines that send bytes without end: each attempt ends early, as a failure."""

import time
import tracemalloc
import unittest
import zlib
from concurrent.futures import ThreadPoolExecutor

from damsonlane.requests import AttemptKey
from damsonlaned.entry.tests.raw_target import KINDS, RawTarget, run_attempt, run_attempts
from damsonlaned.gateway.tests.endless_target import (
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    ENDLESS_STREAMS,
    EndlessForm,
    EndlessTarget,
)
from damsonlaned.http import CollectionBudget
from damsonlaned.targets import TARGET_PROTOCOLS, Connections, TargetCall, TargetReply
from damsonlaned.targets._connections import LateError

#: Seconds until the deadline of an attempt.  An endless response would be read until then.
_DEADLINE_SECONDS = 60.0
_MOST_SENT_BYTES = 32 * 2**20
#: Size of a compressed body once it is expanded, in bytes.
_EXPANDED_BYTES = 64 * 2**20
#: Size of a body whose rest does not come, in bytes, and how many of them a budget holds.
_PART_BYTES = 400_000
_PARTS_KEPT = 3
_CALLERS = 8
_KEY = AttemptKey(request="r", organisation="o", stage="encode", number=1)


class EndlessResponsesTest(unittest.TestCase):
    def call(self, kind: str, endless: EndlessTarget) -> TargetReply:
        connections = Connections()
        self.addCleanup(connections.close)
        address = endless.start().address
        self.addCleanup(endless.stop)
        call = TargetCall(
            address=address,
            key=_KEY,
            text="text",
            model="m",
            deadline_at=time.monotonic() + _DEADLINE_SECONDS,
        )
        attempt = TARGET_PROTOCOLS[kind].call(connections, call)
        while True:
            try:
                next(attempt)
            except StopIteration as stopped:
                reply = stopped.value
                assert isinstance(reply, TargetReply)
                return reply

    def test_attempts_fail_before_their_deadline(self) -> None:
        """Guards against callers' threads that are lost, and against bodies that fill memory."""
        forms: dict[str, EndlessForm] = {
            **{f"head: {name}": form for name, form in ENDLESS_HEADS.items()},
            **{f"body: {name}": form for name, form in ENDLESS_BODIES.items()},
            **{f"stream: {name}": form for name, form in ENDLESS_STREAMS.items()},
        }
        for kind in ("pool", "engine"):
            for name, form in forms.items():
                with self.subTest(kind=kind, form=name):
                    endless = EndlessTarget("t1", form)
                    reply = self.call(kind, endless)
                    self.assertIn(reply.result.outcome, ("failed", "refused"))
                    self.assertNotIn(LateError.__name__, reply.result.fault)
                    self.assertLessEqual(max(endless.sent, default=0), _MOST_SENT_BYTES)

    def test_compressed_bodies_are_not_expanded(self) -> None:
        """Guards against a short body that takes a thousand times its size in memory."""
        compressor = zlib.compressobj(wbits=31)
        body = compressor.compress(bytes(_EXPANDED_BYTES)) + compressor.flush()
        answer = (
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Encoding: gzip\r\n"
            + f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        for kind in KINDS:
            with self.subTest(kind):
                tracemalloc.start()
                (reply,) = run_attempts(kind, answer)
                _, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertEqual(reply.result.outcome, "failed")
                self.assertLess(peak, _EXPANDED_BYTES // 8)

    def test_the_sum_of_bodies_under_way_is_limited(self) -> None:
        """Guards against many threads that each collect a body below the limit of one."""
        answer = (
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            + f"Content-Length: {2 * _PART_BYTES}\r\n\r\n".encode()
            + bytes(_PART_BYTES)
        )
        connections = Connections(CollectionBudget(_PARTS_KEPT * _PART_BYTES + _PART_BYTES // 2))
        targets = [RawTarget(answer, closes=False) for _ in range(_CALLERS)]
        with ThreadPoolExecutor(_CALLERS) as threads:
            attempts = [
                threads.submit(run_attempt, "pool", connections, target.address, number)
                for number, target in enumerate(targets)
            ]
            faults = [attempt.result().result.fault for attempt in attempts]
        connections.close()
        for target in targets:
            target.stop()
        # Those that are kept wait for the rest of their bodies until the deadline.
        kept = [fault for fault in faults if "Timeout" in fault or LateError.__name__ in fault]
        self.assertEqual((len(kept), len(faults)), (_PARTS_KEPT, _CALLERS), faults)


if __name__ == "__main__":
    unittest.main()
