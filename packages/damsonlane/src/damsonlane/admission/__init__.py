"""Admission: who may enter, decided at once and without a queue."""

from damsonlane.admission._gate import Gate, Visitor

__all__ = ["Gate", "Visitor"]
