"""Attempts at requests and pieces: a silent one goes on until another one has replaced it."""

from damsonlaned.attempts._piece_calls import PieceCalls
from damsonlaned.attempts._sequence import AttemptSequence
from damsonlaned.attempts._turn import AttemptTurn

__all__ = ["AttemptSequence", "AttemptTurn", "PieceCalls"]
