"""Each public name of a package whose modules are imported at use can be imported."""

import importlib
import unittest

_PACKAGES = (
    "damsonlane.cluster",
    "damsonlane.ledger",
    "damsonlane.requests",
    "damsonlane.settings",
    "damsonlane_rpc",
)


class ExportsTest(unittest.TestCase):
    def test_each_public_name_is_found(self) -> None:
        """Guards against a name that is exported, but missing where modules are listed."""
        for name in _PACKAGES:
            package = importlib.import_module(name)
            for public in package.__all__:
                with self.subTest(package=name, public=public):
                    self.assertTrue(hasattr(package, public))
                    # Found again without `__getattr__`.
                    self.assertIn(public, vars(package))

    def test_an_unknown_name_is_an_error(self) -> None:
        for name in _PACKAGES:
            with self.assertRaisesRegex(AttributeError, f"'{name}' has no attribute 'Nothing'"):
                importlib.import_module(name).Nothing  # noqa: B018  (the access itself fails)


if __name__ == "__main__":
    unittest.main()
