"""Tests that the example settings are valid."""

import unittest
from pathlib import Path

from damsonlane.settings import read_box_settings, read_document, read_tree

_EXAMPLES = next(
    parent / "examples" for parent in Path(__file__).parents if (parent / "examples").is_dir()
)


class ExamplesTest(unittest.TestCase):
    def test_settings_trees_are_valid(self) -> None:
        for path in sorted(_EXAMPLES.glob("*/tree.json")):
            with self.subTest(path.parent.name):
                tree = read_tree(read_document(path.read_text(), str(path)))
                self.assertEqual((len(tree.organisations), len(tree.data_centres)), (5, 4))

    def test_box_settings_are_valid(self) -> None:
        paths = [*_EXAMPLES.glob("*/control-*.json"), *_EXAMPLES.glob("*/entry-*.json")]
        self.assertEqual(len(paths), 8)
        for path in paths:
            with self.subTest(path.name):
                read_box_settings(read_document(path.read_text(), str(path)))


if __name__ == "__main__":
    unittest.main()
