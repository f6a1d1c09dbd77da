"""Placement: which engine prefills a prompt, decided by one owner for the whole fleet."""

from damsonlane.placing._engine_table import EngineBook
from damsonlane.placing._prompts import InputPlace, Placement, PromptOrder, PromptPart, PromptRead

__all__ = [
    "EngineBook",
    "InputPlace",
    "Placement",
    "PromptOrder",
    "PromptPart",
    "PromptRead",
]
