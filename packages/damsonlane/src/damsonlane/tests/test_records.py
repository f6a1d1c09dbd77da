"""Data classes with methods compiled at first use behave as `dataclasses.dataclass` makes them."""

import copy
import dataclasses
import pickle
import unittest
from dataclasses import FrozenInstanceError, field, replace
from typing import Annotated, Any

from pydantic import Field, ValidationError

from damsonlane.codec import decode_bytes, encode_bytes
from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class _Lazy:
    """A class as this module makes it."""

    name: str
    size: Annotated[int, Field(ge=0)] = 3
    tags: tuple[str, ...] = ()
    secret: str = field(default="", repr=False, compare=False)
    items: list[int] = field(default_factory=list, hash=False)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Eager:
    """The same class as the standard library makes it."""

    name: str
    size: Annotated[int, Field(ge=0)] = 3
    tags: tuple[str, ...] = ()
    secret: str = field(default="", repr=False, compare=False)
    items: list[int] = field(default_factory=list, hash=False)


class RecordsTest(unittest.TestCase):
    """Guards against a difference from the standard data classes."""

    def test_each_method_works_as_the_first_one_used(self) -> None:
        def define() -> Any:
            @dataclass(frozen=True, kw_only=True)
            class Fresh:
                """A class none of whose methods was used."""

                name: str = ""

            return Fresh

        def make(cls: Any) -> Any:
            value = object.__new__(cls)
            object.__setattr__(value, "name", "a")
            return value

        self.assertEqual(define()(name="a").name, "a")
        self.assertTrue(repr(make(define())).endswith("Fresh(name='a')"))
        self.assertEqual(hash(make(define())), hash(("a",)))
        cls = define()
        self.assertEqual(make(cls), make(cls))
        self.assertNotEqual(make(define()), make(define()))

    def test_values_are_compared_printed_and_hashed_as_before(self) -> None:
        for fields in ({"name": "a"}, {"name": "b", "size": 4, "tags": ("x",), "secret": "s"}):
            lazy, eager = _Lazy(**fields), _Eager(**fields)
            self.assertEqual(repr(lazy), repr(eager).replace("_Eager", "_Lazy"))
            self.assertEqual(hash(lazy), hash(eager))
            self.assertEqual(lazy, _Lazy(**{**fields, "secret": "other"}))  # type: ignore[arg-type]
            self.assertNotEqual(lazy, eager)
            self.assertEqual(dataclasses.asdict(lazy), dataclasses.asdict(eager))
            self.assertEqual(copy.deepcopy(lazy), lazy)
            self.assertEqual(pickle.loads(pickle.dumps(lazy)), lazy)
        self.assertIsNot(_Lazy(name="a").items, _Lazy(name="a").items)

    def test_wrong_arguments_have_the_same_error(self) -> None:
        for fields in ({}, {"name": "a", "nmae": "b"}):
            with self.assertRaises(TypeError) as lazy:
                _Lazy(**fields)  # type: ignore[arg-type]
            with self.assertRaises(TypeError) as eager:
                _Eager(**fields)  # type: ignore[arg-type]
            self.assertEqual(str(lazy.exception), str(eager.exception).replace("_Eager", "_Lazy"))

    def test_values_are_frozen(self) -> None:
        value = _Lazy(name="a")
        with self.assertRaisesRegex(FrozenInstanceError, "cannot assign to field 'name'"):
            value.name = "b"  # type: ignore[misc]
        with self.assertRaisesRegex(FrozenInstanceError, "cannot delete field 'name'"):
            del value.name
        self.assertEqual(replace(value, name="b").name, "b")

    def test_pydantic_reads_and_writes_the_same_bytes_and_errors(self) -> None:
        data = encode_bytes(_Lazy(name="a", tags=("x",)), _Lazy)
        self.assertEqual(data, encode_bytes(_Eager(name="a", tags=("x",)), _Eager))
        self.assertEqual(decode_bytes(data, _Lazy), _Lazy(name="a", tags=("x",)))
        for text in ('{"size": 1}', '{"name": "a", "size": -1}', '{"name": 5}', "{"):
            with self.assertRaises(ValidationError) as lazy:
                decode_bytes(text, _Lazy)
            with self.assertRaises(ValidationError) as eager:
                decode_bytes(text, _Eager)
            self.assertEqual(lazy.exception.errors(), eager.exception.errors())

    def test_other_kinds_of_classes_are_refused(self) -> None:
        with self.assertRaises(TypeError):
            dataclass(frozen=False, kw_only=True)
        decorate = dataclass(frozen=True, kw_only=True)
        with self.assertRaises(TypeError):
            decorate(type("Derived", (_Eager,), {}))
        with self.assertRaises(TypeError):
            decorate(type("Own", (), {"__eq__": lambda *_: True}))


if __name__ == "__main__":
    unittest.main()
