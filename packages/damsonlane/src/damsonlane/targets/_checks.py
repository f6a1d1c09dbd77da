"""Checks of the records that targets send."""

import ipaddress
import math
from typing import Final

from damsonlane.targets._records import TargetRecord

#: Longest name of a target, a service or a data centre, in characters.
MAX_NAME_LENGTH: Final = 200
#: Longest version of a target's software, in characters.
MAX_VERSION_LENGTH: Final = 200
#: Most models that a target may report.
MAX_MODELS: Final = 64
#: Longest warm-up that a target may announce, in seconds.
MAX_WARMUP_SECONDS: Final = 86_400.0


def find_record_error(record: TargetRecord) -> str:
    """Return what is wrong with a record, or an empty string.

    The names of a correct record are valid in headers, its address can be connected to, and its
    numbers can be used in calculations.
    """
    names = {
        "target": record.target,
        "service": record.service,
        "data centre": record.data_centre,
    }
    for field, name in names.items():
        if not _is_name(name):
            return f"the name of the {field} must be 1 to {MAX_NAME_LENGTH} printable characters"
    if not _is_address(record.address):
        return "the address must be an IP number and a port"
    if record.slots < 0 or record.sequence < 0 or record.start < 0:
        return "slots, count and start must not be negative"
    if not 0.0 <= record.cold_seconds <= MAX_WARMUP_SECONDS or math.isnan(record.cold_seconds):
        return f"the time left cold must be 0 to {MAX_WARMUP_SECONDS:.0f} seconds"
    if len(record.version) > MAX_VERSION_LENGTH or not record.version.isprintable():
        return f"the version must be at most {MAX_VERSION_LENGTH} printable characters"
    if len(record.models) > MAX_MODELS or not all(_is_name(known.name) for known in record.models):
        return f"there must be at most {MAX_MODELS} models with names like those of targets"
    return ""


def _is_name(name: str) -> bool:
    return (
        0 < len(name) <= MAX_NAME_LENGTH
        and name.isascii()
        and name.isprintable()
        and " " not in name
    )


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isascii() and port.isdecimal() and 0 < int(port) <= 65_535
