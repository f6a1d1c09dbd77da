"""JSON encoding and decoding of typed values, with pydantic."""

from functools import lru_cache
from typing import Any, TypeVar, cast

from pydantic import TypeAdapter

Value = TypeVar("Value")


@lru_cache(maxsize=256)
def _adapter(shape: Any) -> TypeAdapter[Any]:
    return TypeAdapter(shape)


def find_adapter(shape: type[Value]) -> TypeAdapter[Value]:
    """Return the adapter of a shape, built at its first use: that takes long on small boxes."""
    return _adapter(cast(Any, shape))


def encode_bytes(value: Any, shape: Any) -> bytes:
    """Return ``value`` as JSON, encoded as its declared ``shape``."""
    return _adapter(shape).dump_json(value)


def decode_bytes(data: bytes | str, shape: type[Value]) -> Value:
    """Return the value of ``shape`` in JSON ``data``.

    Raises:
        pydantic.ValidationError: the data does not match the shape.
    """
    return cast(Value, _adapter(cast(Any, shape)).validate_json(data))


def encode_text(value: Any, shape: Any) -> str:
    """Return ``value`` as JSON text, encoded as its declared ``shape``."""
    return encode_bytes(value, shape).decode()


def decode_value(data: bytes | str, shape: Any) -> Any:
    """Return the value in JSON ``data`` for a shape that is not a class, such as a union.

    Raises:
        pydantic.ValidationError: the data does not match the shape.
    """
    return _adapter(shape).validate_json(data)
