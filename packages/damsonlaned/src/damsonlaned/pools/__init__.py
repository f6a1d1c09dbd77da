"""Calls to targets of a stage pool: a batch of pieces enters, results or the pieces leave."""

from damsonlaned.pools._call_results import CallResults
from damsonlaned.pools._call_runner import CallRunner

__all__ = ["CallResults", "CallRunner"]
