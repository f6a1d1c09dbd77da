"""Attempts at one request: a silent one goes on until another one has taken its place."""

from damsonlaned.attempts._sequence import AttemptSequence
from damsonlaned.attempts._turn import AttemptTurn

__all__ = ["AttemptSequence", "AttemptTurn"]
