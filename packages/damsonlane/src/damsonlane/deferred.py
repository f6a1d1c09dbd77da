"""Packages whose modules are imported when one of their names is first used.

A process of one role imports a package for a few of its names; the modules with the other names
would cost it processor time at its start.
"""

import importlib
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any

__all__ = ["import_at_use"]


def import_at_use(package: str, names: Mapping[str, Sequence[str]]) -> Callable[[str], Any]:
    """Return the function ``__getattr__`` of a package, which imports its names at their first use.

    Args:
        package: name of the package.
        names: public names by the module of the package that defines them.
    """
    modules = {name: module for module, group in names.items() for name in group}

    def find(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(importlib.import_module(f"{package}.{modules[name]}"), name)
        setattr(sys.modules[package], name, value)
        return value

    return find
