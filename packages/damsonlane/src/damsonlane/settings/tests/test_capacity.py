"""Settings of the capacity and of the buffers of a box."""

import json
import unittest

from damsonlane.errors import SettingsError
from damsonlane.settings import BoxSettings, read_box_settings, read_document

BOX = {
    "name": "entry-1",
    "data_centre": "dha",
    "role": "entry",
    "data_folder": "/tmp/none",
    "internal_address": "127.0.0.1:1",
    "admin_address": "127.0.0.1:2",
    "control": ["127.0.0.1:3"],
    "caller_address": "127.0.0.1:4",
}
CAPACITY = {"cores": 0.387, "memory_bytes": 160_000_000, "link_bits": 3.75e6}


def read(**fields: object) -> BoxSettings:
    return read_box_settings(read_document(json.dumps({**BOX, **fields}), "box.json"))


class CapacityTest(unittest.TestCase):
    def test_the_capacity_may_be_absent(self) -> None:
        """Guards against boxes of unknown capacity that don't start."""
        self.assertIsNone(read().capacity)
        capacity = read(capacity=CAPACITY).capacity
        assert capacity is not None
        self.assertEqual(capacity.cores, 0.387)

    def test_a_wrong_value_is_an_error_that_names_its_location(self) -> None:
        """Guards against a box that owns everything, or nothing, by a mistyped capacity."""
        for field in CAPACITY:
            for wrong in (0, -1, 10**15, "many", None):
                with self.subTest(field, wrong=wrong):
                    with self.assertRaises(SettingsError) as caught:
                        read(capacity={**CAPACITY, field: wrong})
                    self.assertIn("box.json", str(caught.exception))
                    self.assertIn(f"/capacity/{field}", str(caught.exception))
        for wrong in (-1, 2**47, "many"):
            with self.assertRaises(SettingsError) as caught:
                read(gateway={"dialect": "damsonlane", "buffer_bytes": wrong})
            self.assertIn("/gateway/buffer_bytes", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
