"""Times of a request, with a clock that the test sets."""

import asyncio
import unittest
from unittest import mock

from damsonlaned.requests._request_times import RequestTimes


class RequestTimesTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_longest_pause_is_between_events(self) -> None:
        cases: tuple[tuple[str, tuple[float, ...], float | None], ...] = (
            ("no event", (), None),
            ("one event, however late", (5.0,), None),
            ("several", (5.0, 5.1, 5.9, 6.0), 0.8),
        )
        for name, moments, expected in cases:
            with self.subTest(name):
                times = RequestTimes(0.0)
                for moment in moments:
                    loop = asyncio.get_running_loop()
                    with mock.patch.object(loop, "time", return_value=moment):
                        times.record_event()
                self.assertEqual(times.log_fields()["longest_pause_seconds"], expected)


if __name__ == "__main__":
    unittest.main()
