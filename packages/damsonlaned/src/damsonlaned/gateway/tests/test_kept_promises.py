"""Requests that must run once are refused with a promise only if they have not run."""

import unittest

from damsonlaned.gateway.tests.harness import Entry, FakeTarget, Response
from damsonlaned.gateway.tests.scripted_target import Script, ScriptedTarget, render

DEADLINE_MS = 800
#: Attempts that an entry makes at a target that rejects a request.
ATTEMPT_COUNT = 3


def always(status: int) -> Script:
    """Return the script of a target that runs each request, and answers it with a status."""
    return lambda request_id, _: [render(status, request_id)]


class KeptPromisesTest(unittest.IsolatedAsyncioTestCase):
    async def start_entry(self, *targets: ScriptedTarget | FakeTarget) -> Entry:
        entry = Entry()
        records = [await target.start() for target in targets]
        for target in targets:
            self.addAsyncCleanup(target.stop)
        await entry.start(*records)
        self.addAsyncCleanup(entry.stop)
        return entry

    async def call_once(self, entry: Entry, request_id: str, path: str = "/once/a") -> Response:
        return await entry.call(path, request_id=request_id, deadline_ms=DEADLINE_MS)

    async def test_a_second_copy_of_a_rejection_is_no_answer_to_the_next_attempt(self) -> None:
        for path in ("/once/a", "/draft/a"):
            with self.subTest(path):
                # The only target runs the third attempt.  A kept connection brings a second copy
                # of the last rejection before the answer.
                attempts: list[str] = []

                def answer(request_id: str, number: int, seen: list[str] = attempts) -> list[bytes]:
                    seen.append(request_id)
                    rejection = render(503, request_id, has_run=False)
                    if len(seen) < ATTEMPT_COUNT:
                        return [rejection]
                    return [*([rejection] if number > 1 else []), render(200, request_id)]

                target = ScriptedTarget(answer)
                entry = await self.start_entry(target)
                response = await self.call_once(entry, "r1", path)
                self.assertEqual(response.status, 200)
                self.assertEqual(target.requests, [["r1"]] * ATTEMPT_COUNT)

    async def test_a_rejection_that_names_no_request_on_a_kept_connection_is_no_promise(
        self,
    ) -> None:
        for path in ("/once/a", "/draft/a"):
            with self.subTest(path):
                # The target runs the second request, after a late rejection of something else.
                entry = await self.start_entry(
                    ScriptedTarget(
                        lambda request_id, number: (
                            [render(200, request_id)]
                            if number == 1
                            else [render(503, has_run=False)]
                        )
                    )
                )
                first = await self.call_once(entry, "r1", path)
                second = await self.call_once(entry, "r2", path)
                self.assertEqual((first.status, second.status), (200, 504))

    async def test_the_answer_after_a_rejection_that_names_no_request_is_delivered(self) -> None:
        entry = await self.start_entry(
            ScriptedTarget(
                lambda request_id, number: (
                    [render(200, request_id)]
                    if number == 1
                    else [render(503, has_run=False), render(200, request_id)]
                )
            )
        )
        responses = [await self.call_once(entry, f"r{number}") for number in range(3)]
        self.assertEqual([response.status for response in responses], [200, 200, 200])

    async def test_a_rejection_that_names_no_request_is_one_on_a_new_connection(self) -> None:
        entry = await self.start_entry(ScriptedTarget(lambda *_: [render(503, has_run=False)]))
        self.assertEqual((await self.call_once(entry, "r1")).status, 503)

    async def test_a_status_of_a_target_that_has_run_it_is_no_promise(self) -> None:
        for path in ("/once/a", "/draft/a"):
            for status in (408, 429, 503):
                with self.subTest(path, status=status):
                    target = ScriptedTarget(always(status))
                    response = await self.call_once(await self.start_entry(target), "r1", path)
                    self.assertEqual(response.status, 502)
                    self.assertIn(b'"run": "unknown"', response.data)
                    self.assertEqual(target.requests, [["r1"]])

    async def test_such_a_status_reaches_callers_that_may_repeat_the_request(self) -> None:
        target = ScriptedTarget(always(429))
        response = await self.call_once(await self.start_entry(target), "r1", "/ping/a")
        self.assertEqual(response.status, 429)


if __name__ == "__main__":
    unittest.main()
