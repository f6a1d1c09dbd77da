"""Findings of a text whose types pydantic has checked."""

from pydantic import ValidationError

from damsonlane.findings._finding import Finding, Place


def list_findings(error: ValidationError, file: str = "") -> list[Finding]:
    """Return a finding for each fault.

    Args:
        error: what pydantic found.
        file: name of the file, or an empty string when the text came by another way.
    """
    return [
        Finding(
            place=Place(path="".join(f"/{part}" for part in item["loc"]), file=file),
            message=str(item["msg"]),
        )
        for item in error.errors()
    ]
