"""Fingerprints of requests."""

import unittest

from damsonlane.quarantine import find_fingerprint

REQUEST = {
    "organisation": "florists",
    "method": "POST",
    "host": "shop.example",
    "target": "/chat/a?b=1",
    "body": b"hello",
}


class FingerprintTest(unittest.TestCase):
    def test_two_attempts_at_one_request_have_the_same_fingerprint(self) -> None:
        self.assertEqual(_find(), _find())

    def test_any_difference_changes_the_fingerprint(self) -> None:
        others = (
            {"organisation": "bakers"},
            {"method": "PUT"},
            {"host": "desk.example"},
            {"target": "/chat/a?b=2"},
            {"body": b"hello "},
            {"method": "POS", "host": "Tshop.example"},
            {"target": "/chat/a?b=1h", "body": b"ello"},
        )
        found = {_find(**other) for other in others}
        self.assertEqual(len(found | {_find()}), len(others) + 1)


def _find(**changes: object) -> str:
    return find_fingerprint(**{**REQUEST, **changes})  # type: ignore[arg-type]


if __name__ == "__main__":
    unittest.main()
