"""Frozen data classes whose generated methods are compiled at their first use.

`dataclasses.dataclass` compiles six methods for each frozen class.  A process defines hundreds of
classes and uses few of them before it listens, and this compilation took a third of the processor
time of its start.  The classes are data classes in every other way, also for pydantic.
"""

import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final, NoReturn

__all__ = ["dataclass"]

#: Methods that are compiled together, at the first use of one of them.
_COMPILED: Final = ("__init__", "__repr__", "__eq__", "__hash__")

if TYPE_CHECKING:
    from dataclasses import dataclass
else:

    def dataclass(*, frozen: bool, kw_only: bool) -> Callable[[type], type]:
        """Return the decorator of a frozen data class with keyword-only fields.

        Args:
            frozen: must be true.
            kw_only: must be true.

        Raises:
            TypeError: for other classes; `dataclasses.dataclass` is for them.
        """
        if not (frozen and kw_only):
            raise TypeError("only for frozen data classes with keyword-only fields")
        return _define


def _define(cls: type) -> type:
    """Make a class a data class, with stubs for the methods that are compiled later."""
    if any(dataclasses.is_dataclass(base) for base in cls.__mro__[1:]):
        raise TypeError(f"{cls.__name__} inherits from a data class")
    if any(name in vars(cls) for name in _COMPILED):
        raise TypeError(f"{cls.__name__} defines a method that is generated")
    if cls.__doc__ is None:
        # Otherwise the signature would be computed, for a generated text.
        cls.__doc__ = cls.__name__
    dataclasses.dataclass(init=False, repr=False, eq=False, kw_only=True)(cls)
    parameters = vars(cls)["__dataclass_params__"]
    for parameter in ("init", "repr", "eq", "frozen"):
        setattr(parameters, parameter, True)
    for name in _COMPILED:
        setattr(cls, name, _make_stub(cls, name))
    setattr(cls, "__setattr__", _refuse_assignment)  # noqa: B010  (mypy: a method)
    setattr(cls, "__delattr__", _refuse_deletion)  # noqa: B010  (mypy: a method)
    return cls


def _make_stub(cls: type, name: str) -> Callable[..., Any]:
    """Return a method that compiles all methods of a class and calls the one with its name."""

    def stub(self: object, *arguments: Any, **fields: Any) -> Any:
        _compile(cls)
        return getattr(cls, name)(self, *arguments, **fields)

    return stub


def _compile(cls: Any) -> None:
    """Replace the stubs of a class by the methods that `dataclasses` generates.

    They are generated for a class of the same name with the same fields: they depend on nothing
    else.  Two threads that do so at once set equal methods.
    """
    fields = {field.name: field for field in dataclasses.fields(cls)}
    namespace: dict[str, Any] = {
        **fields,
        "__annotations__": {name: field.type for name, field in fields.items()},
        "__doc__": cls.__doc__,
        "__module__": cls.__module__,
        "__qualname__": cls.__qualname__,
    }
    if hasattr(cls, "__post_init__"):
        namespace["__post_init__"] = cls.__post_init__
    twin: type = dataclasses.dataclass(frozen=True, kw_only=True)(type(cls.__name__, (), namespace))
    for name in _COMPILED:
        setattr(cls, name, vars(twin)[name])


def _refuse_assignment(_: object, name: str, __: object) -> NoReturn:
    raise dataclasses.FrozenInstanceError(f"cannot assign to field {name!r}")


def _refuse_deletion(_: object, name: str) -> NoReturn:
    raise dataclasses.FrozenInstanceError(f"cannot delete field {name!r}")
