"""Conversion of pydantic's validation errors to findings."""

from pydantic import ValidationError

from damsonlane.findings._finding import Finding, Place


def list_findings(error: ValidationError, file: str = "") -> list[Finding]:
    """Return one finding per validation error.

    Args:
        error: errors of one validation.
        file: name of the file, or an empty string if the document is not from a file.
    """
    return [
        Finding(
            place=Place(path="".join(f"/{part}" for part in item["loc"]), file=file),
            message=str(item["msg"]),
        )
        for item in error.errors()
    ]
