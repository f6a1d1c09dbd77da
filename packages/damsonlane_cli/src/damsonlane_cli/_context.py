"""Shared by all commands: operator settings, calls to control, errors and output."""

import asyncio
import json
import os
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Final, NoReturn, TypeVar

from pydantic import Field
from tabulate import tabulate

from damsonlane.codec import find_adapter
from damsonlane.errors import DamsonlaneError, SettingsError
from damsonlane.findings import Finding, Place
from damsonlane.settings import Document, TlsFiles, read_document
from damsonlane.settings.checks import FORBID_UNKNOWN_KEYS, check_value, locate
from damsonlane_rpc import CALL_ERRORS, ControlClient, make_client_context

#: Exit codes, as docs/operations.md lists them.
EXIT_REFUSED: Final = 1
EXIT_INPUT: Final = 2
EXIT_UNKNOWN: Final = 3
EXIT_CONFLICT: Final = 4
EXIT_NOT_IN_FORCE: Final = 5

#: Connect time-out, in seconds.  It is longer than that of boxes, which can turn to another
#: replica at once: an operator would have to repeat the command.
CONNECT_SECONDS: Final = 5.0

#: Environment variable with the path of the operator settings.
SETTINGS_VARIABLE: Final = "DAMSONLANE_SETTINGS"
#: Path used when the variable is not set.
DEFAULT_PATH: Final = "damsonlane.json"

Result = TypeVar("Result")


@dataclass(frozen=True, kw_only=True)
class OperatorSettings:
    """The settings of the operator's command."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS

    #: Internal addresses of the control replicas.
    control: Annotated[tuple[str, ...], Field(min_length=1)]
    #: File that holds the operator's token and nothing else.
    token_file: str = ""
    #: TLS files for calls to boxes; None for plaintext.
    tls: TlsFiles | None = None


def fail(message: str, code: int) -> NoReturn:
    """Print an error message to standard error, with a prefix on each line, and exit."""
    for line in message.splitlines():
        print(f"damsonlane: {line}", file=sys.stderr)
    sys.exit(code)


def read_text(path: str) -> str:
    """Return the content of a file.

    Raises:
        SettingsError: the file can't be read.
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        place = Place(path="", file=path)
        raise SettingsError([Finding(place=place, message=f"cannot be read: {reason}")]) from None


def read_operator_settings() -> OperatorSettings:
    """Read the operator settings.

    Raises:
        SettingsError: the file can't be read or is invalid; carries all findings.
    """
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)
    document = read_document(read_text(path), path)
    return _parse_settings(document)


def _parse_settings(document: Document) -> OperatorSettings:
    checked = check_value(document.value, find_adapter(OperatorSettings), OperatorSettings)
    if isinstance(checked, OperatorSettings):
        return checked
    raise SettingsError(locate(checked, document))


def call_control(
    work: Callable[[ControlClient, OperatorSettings], Awaitable[Result]],
) -> Result:
    """Run ``work`` with a client of control; on failure, print an error and exit."""
    try:
        settings = read_operator_settings()
        token = read_text(settings.token_file).strip() if settings.token_file else ""
        return asyncio.run(_call(work, settings, token))
    except SettingsError as error:
        fail(str(error), EXIT_INPUT)
    except DamsonlaneError as error:
        fail(str(error), EXIT_UNKNOWN)
    except CALL_ERRORS as error:
        fault = str(error) or type(error).__name__
        fail(f"control did not answer, so the outcome is unknown: {fault}", EXIT_UNKNOWN)


async def _call(
    work: Callable[[ControlClient, OperatorSettings], Awaitable[Result]],
    settings: OperatorSettings,
    token: str,
) -> Result:
    context = make_client_context(settings.tls) if settings.tls else None
    client = ControlClient(
        settings.control, context=context, token=token, connect_seconds=CONNECT_SECONDS
    )
    try:
        return await work(client, settings)
    finally:
        client.close()


def print_rows(rows: Sequence[Mapping[str, Any]], is_json: bool) -> None:
    """Print rows as an aligned table, or as JSON."""
    if is_json:
        print(json.dumps(list(rows), indent=2))
    elif rows:
        print(tabulate(rows, headers="keys", tablefmt="plain"))
    else:
        print("nothing to show")


def print_value(value: Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2, ensure_ascii=False))
