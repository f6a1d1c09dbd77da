"""What becomes of the pieces of a call to a target of a stage pool."""

from damsonlaned.pools._call_results import CallResults

__all__ = ["CallResults"]
