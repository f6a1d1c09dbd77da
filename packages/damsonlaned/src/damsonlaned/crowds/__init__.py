"""Crowds of new connections: which of them this box serves."""

from damsonlaned.crowds._accept_gate import AcceptGate

__all__ = ["AcceptGate"]
