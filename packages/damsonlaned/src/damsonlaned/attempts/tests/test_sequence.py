"""What becomes of a silent attempt while another one is prepared, sent, rejected or lost."""

import asyncio
import contextlib
import unittest
from collections.abc import Awaitable, Callable
from typing import Final

from damsonlaned.attempts import AttemptSequence, AttemptTurn

#: Seconds after which an attempt of these tests is silent.
SILENT_SECONDS: Final = 0.02
#: Seconds after which another target rejects or accepts the request.
REJECT_SECONDS: Final = 0.5
TEST_TIMEOUT_SECONDS: Final = 10.0

Make = Callable[[AttemptTurn], Awaitable[str | None]]


class SequenceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.failures: list[str] = []
        self.written: list[str] = []
        self.spares: list[AttemptTurn] = []
        self.silent_end = asyncio.Event()

    async def play(self, replace: Make, *, may_replace: bool = True) -> str | None:
        """Run a silent attempt beside which another one is prepared."""

        async def prepare(turn: AttemptTurn) -> str | None:
            self.spares.append(turn)
            return await replace(turn)

        sequence = AttemptSequence[str](lambda: may_replace, prepare, self.failures.append)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            return await sequence.run(self.read_silent)

    async def read_silent(self, turn: AttemptTurn) -> str | None:
        with turn.expect(lambda: SILENT_SECONDS):
            await self.silent_end.wait()
        await turn.wait()
        self.written.append("silent")
        return None

    async def test_a_silent_attempt_without_a_replacement_goes_on(self) -> None:
        async def deny(_: AttemptTurn) -> str | None:
            if len(self.spares) == 2:
                self.silent_end.set()
            return "denied"

        self.assertIsNone(await self.play(deny))
        self.assertEqual(self.written, ["silent"])
        self.assertEqual(self.failures, ["denied", "denied"])

    async def test_nothing_is_prepared_where_no_other_attempt_is_allowed(self) -> None:
        asyncio.get_running_loop().call_later(5 * SILENT_SECONDS, self.silent_end.set)

        async def fail(_: AttemptTurn) -> str | None:
            raise AssertionError

        self.assertIsNone(await self.play(fail, may_replace=False))
        self.assertEqual(self.written, ["silent"])

    async def test_a_preparation_ends_when_the_silence_ends(self) -> None:
        ended = asyncio.Event()

        async def prepare(_: AttemptTurn) -> str | None:
            self.silent_end.set()
            try:
                await asyncio.Event().wait()
            finally:
                ended.set()
            return None

        self.assertIsNone(await self.play(prepare))
        self.assertEqual((self.written, ended.is_set()), (["silent"], True))

    async def test_a_request_is_not_sent_again_after_the_silence_has_ended(self) -> None:
        """Guards against events that the caller gets twice."""
        taken: list[bool] = []

        async def prepare(turn: AttemptTurn) -> str | None:
            self.silent_end.set()
            await asyncio.sleep(0)
            taken.append(turn.take())
            return "late"

        self.assertIsNone(await self.play(prepare))
        self.assertEqual((self.written, taken), (["silent"], [False]))

    async def test_nothing_is_written_for_the_silent_target_once_the_request_is_sent_again(
        self,
    ) -> None:
        async def replace(turn: AttemptTurn) -> str | None:
            self.assertTrue(turn.take())
            turn.replace()
            self.silent_end.set()
            await turn.wait()
            self.written.append("other")
            return None

        self.assertIsNone(await self.play(replace))
        self.assertEqual(self.written, ["other"])

    async def test_a_silent_target_goes_on_after_the_other_one_rejected_the_request(self) -> None:
        async def reject(turn: AttemptTurn) -> str | None:
            self.assertTrue(turn.take())
            await asyncio.sleep(REJECT_SECONDS)
            asyncio.get_running_loop().call_later(2 * SILENT_SECONDS, self.silent_end.set)
            return "rejected"

        self.assertIsNone(await self.play(reject))
        self.assertEqual((self.written, self.failures), (["silent"], ["rejected"]))

    async def test_a_silent_target_is_given_up_once_the_other_one_has_accepted_the_request(
        self,
    ) -> None:
        """Guards against streams that are cut for a target which rejects them."""
        held: list[bool] = []

        async def replace(turn: AttemptTurn) -> str | None:
            self.assertTrue(turn.take())
            await asyncio.sleep(REJECT_SECONDS)
            held.append(not turn.has_replaced)
            turn.replace()
            self.assertTrue(turn.has_replaced)
            return "lost"

        self.assertEqual(await self.play(replace), "lost")
        self.assertEqual((held, self.written, self.failures), ([True], [], []))

    async def test_a_target_that_goes_on_before_the_other_one_has_accepted_keeps_the_request(
        self,
    ) -> None:
        """Guards against two targets that work on one stream."""
        ended: list[str] = []

        async def replace(turn: AttemptTurn) -> str | None:
            self.assertTrue(turn.take())
            turn.on_withdrawn = lambda: ended.append("withdrawn")
            turn.on_given_up = lambda: ended.append("given up")
            self.silent_end.set()
            try:
                await asyncio.Event().wait()
            finally:
                ended.append("stopped")
            return None

        self.assertIsNone(await self.play(replace))
        self.assertEqual((self.written, self.failures), (["silent"], []))
        self.assertEqual(ended, ["withdrawn", "stopped"])

    async def test_a_second_target_that_is_silent_is_replaced_while_the_first_one_is_held(
        self,
    ) -> None:
        given_up: list[str] = []

        async def replace(turn: AttemptTurn) -> str | None:
            self.assertTrue(turn.take())
            turn.on_given_up = lambda: given_up.append("second")
            if len(self.spares) == 1:
                with turn.expect(lambda: SILENT_SECONDS):
                    await asyncio.Event().wait()
            turn.replace()
            await turn.wait()
            self.written.append("third")
            return None

        self.assertIsNone(await self.play(replace))
        self.assertEqual((self.written, given_up), (["third"], ["second"]))

    async def test_a_target_that_goes_on_while_a_silent_replacement_ends_is_taken_for_silent(
        self,
    ) -> None:
        """Guards against events that a slow caller gets twice."""
        spoken, sent = asyncio.Event(), asyncio.Event()
        taken: list[bool] = []

        async def read(turn: AttemptTurn) -> str | None:
            with turn.expect(lambda: SILENT_SECONDS):
                await spoken.wait()
            await turn.wait()
            self.written.append("first")
            await sent.wait()
            return None

        async def replace(turn: AttemptTurn) -> str | None:
            taken.append(turn.take())
            if len(taken) == 1:
                try:
                    with turn.expect(lambda: SILENT_SECONDS):
                        await asyncio.Event().wait()
                finally:
                    spoken.set()
                    while not self.written:
                        await asyncio.sleep(0)
            sent.set()
            return "late"

        asyncio.get_running_loop().call_later(20 * SILENT_SECONDS, sent.set)
        sequence = AttemptSequence[str](lambda: True, replace, self.failures.append)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            self.assertIsNone(await sequence.run(read))
        self.assertNotIn(True, taken[1:])

    async def test_a_failure_of_the_silent_target_counts_where_the_other_one_rejects(self) -> None:
        broken = asyncio.Event()

        async def read(turn: AttemptTurn) -> str | None:
            with contextlib.suppress(ConnectionError), turn.expect(lambda: SILENT_SECONDS):
                await broken.wait()
                raise ConnectionResetError
            return "broken"

        async def reject(turn: AttemptTurn) -> str | None:
            self.assertTrue(turn.take())
            broken.set()
            await asyncio.sleep(2 * SILENT_SECONDS)
            return "rejected"

        sequence = AttemptSequence[str](lambda: True, reject, self.failures.append)
        self.assertEqual(await sequence.run(read), "broken")
        self.assertEqual(self.failures, ["rejected"])

    async def test_both_attempts_end_with_the_request(self) -> None:
        """Guards against targets that work for a caller that has left."""
        ended: list[str] = []

        async def run_for_ever(turn: AttemptTurn) -> str | None:
            name = "other" if turn.is_replacement else "silent"
            try:
                with turn.expect(lambda: SILENT_SECONDS):
                    await asyncio.Event().wait()
            finally:
                ended.append(name)
            return None

        sequence = AttemptSequence[str](lambda: True, run_for_ever, self.failures.append)
        task = asyncio.create_task(sequence.run(run_for_ever))
        await asyncio.sleep(3 * SILENT_SECONDS)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(sorted(ended), ["other", "silent"])


if __name__ == "__main__":
    unittest.main()
