"""Counts in the headers of callers."""

import unittest

from damsonlaned.dialects import DIALECTS, BadRequestError, CallerRequest
from damsonlaned.http import HttpRequest


def read(**headers: str) -> CallerRequest:
    items = {"Request-Id": "r", "Deadline-Ms": "1000", **headers}
    encoded = tuple(
        (f"Damsonlane-{name.replace('_', '-')}".encode(), value.encode())
        for name, value in items.items()
    )
    request = HttpRequest(method="POST", target="/chat/a", headers=encoded)
    return DIALECTS["damsonlane"].read_caller(request)


class CountTest(unittest.TestCase):
    def test_counts_beyond_all_calculations_are_malformed(self) -> None:
        """Guards against errors at the owner of engines, which serves other requests too."""
        for digits in (400, 5_000):
            with self.subTest(digits=digits):
                count = "9" * digits
                request = read(Tokens=f"{count},{count}", Prefix=f"s:{count}")
                counts = (request.prompt_tokens, request.max_output_tokens)
                self.assertEqual((*counts, request.prefix_segments[0].tokens), (0, 0, 0))
                with self.assertRaises(BadRequestError):
                    read(Pieces=count)


if __name__ == "__main__":
    unittest.main()
