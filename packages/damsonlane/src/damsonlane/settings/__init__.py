"""Settings: of one box, and the tree that governs all of them."""

from damsonlane.settings._box import BoxSettings, PlatformList, Role, TlsFiles, read_box_settings
from damsonlane.settings._edits import Edit, apply_edits
from damsonlane.settings._policy import (
    INHERIT,
    EffectivePolicy,
    Inherit,
    Lane,
    Level,
    Origin,
    Policy,
    explain_policy,
    resolve_policy,
)
from damsonlane.settings._text import Document, read_document
from damsonlane.settings._tree import (
    DataCentre,
    Event,
    Operator,
    Organisation,
    Pipeline,
    Service,
    Stage,
    Target,
    Tree,
    check_tree,
    read_tree,
)

__all__ = [
    "INHERIT",
    "BoxSettings",
    "DataCentre",
    "Document",
    "Edit",
    "EffectivePolicy",
    "Event",
    "Inherit",
    "Lane",
    "Level",
    "Operator",
    "Organisation",
    "Origin",
    "Pipeline",
    "PlatformList",
    "Policy",
    "Role",
    "Service",
    "Stage",
    "Target",
    "TlsFiles",
    "Tree",
    "apply_edits",
    "check_tree",
    "explain_policy",
    "read_box_settings",
    "read_document",
    "read_tree",
    "resolve_policy",
]
