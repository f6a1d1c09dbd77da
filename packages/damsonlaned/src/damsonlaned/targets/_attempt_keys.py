"""Keys of attempts in the bodies of responses."""

import json
from collections.abc import Mapping

from damsonlane.requests import AttemptKey


def read_attempt_key(body: Mapping[str, object]) -> AttemptKey:
    """Return the key of the attempt that a response says it answers.

    Raises:
        KeyError, ValueError: a field is missing or invalid.
    """
    return AttemptKey(
        request=str(body["request"]),
        organisation=str(body["organisation"]),
        stage=str(body["stage"]),
        number=int(str(body["attempt"])),
    )


def find_attempt_key(data: bytes) -> AttemptKey | None:
    """Return the key of the attempt that a rejection names, or None.

    Args:
        data: a JSON object with the fields of the key, which engines put under `metadata`.
    """
    try:
        body = json.loads(data)
        return read_attempt_key(body.get("metadata", body))
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
