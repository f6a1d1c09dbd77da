"""Detection of peers that have failed."""

import itertools
import unittest
from collections.abc import Iterable

from damsonlane.membership import CHECK_SECONDS, SilenceDetector


def find_silence(message_times: Iterable[float], until: float) -> float | None:
    """Return when a peer with messages at some times is detected as failed, or None."""
    detector = SilenceDetector(0.0)
    events = [(at, True) for at in message_times]
    checks = itertools.takewhile(lambda at: at < until, itertools.count(0.0, CHECK_SECONDS))
    events.extend((at, False) for at in checks)
    for at, is_message in sorted(events):
        if is_message:
            detector.record_message(at)
        elif detector.is_silent(at):
            return at
    return None


class SilenceDetectorTest(unittest.TestCase):
    def test_an_owner_that_slows_down_is_not_taken_for_failed(self) -> None:
        self.assertIsNone(find_silence((0.25, 0.6, 1.2, 2.2, 3.2, 4.3), until=4.5))

    def test_an_owner_that_stops_is_detected_within_a_second(self) -> None:
        silent_at = find_silence((0.25, 0.5, 0.75), until=4.0)
        assert silent_at is not None
        self.assertLess(silent_at, 0.75 + 1.0 + CHECK_SECONDS)

    def test_a_slow_owner_that_stops_is_detected(self) -> None:
        self.assertIsNotNone(find_silence((0.25, 0.6, 1.2, 2.2), until=6.0))

    def test_an_entry_that_was_frozen_does_not_replace_its_owners(self) -> None:
        # After a freeze, timers run before the messages that arrived meanwhile are read.
        detector = SilenceDetector(0.0)
        detector.record_message(0.25)
        self.assertFalse(detector.is_silent(0.4))
        self.assertFalse(detector.is_silent(9.0))
        detector.record_message(9.01)
        self.assertFalse(detector.is_silent(9.2))


if __name__ == "__main__":
    unittest.main()
