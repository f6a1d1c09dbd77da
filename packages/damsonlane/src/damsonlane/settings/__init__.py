"""Settings of one box, and the settings tree of the whole system."""

from typing import TYPE_CHECKING

from damsonlane.deferred import import_at_use

if TYPE_CHECKING:
    from damsonlane.settings._box import (
        BoxSettings,
        Capacity,
        Founding,
        Gateway,
        LatePolicy,
        PlatformList,
        Role,
        TlsFiles,
        read_box_settings,
    )
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
        SettingsTree,
        Stage,
        Target,
        check_tree,
        read_tree,
    )
else:
    __getattr__ = import_at_use(
        __name__,
        {
            "_box": (
                "BoxSettings",
                "Capacity",
                "Founding",
                "Gateway",
                "LatePolicy",
                "PlatformList",
                "Role",
                "TlsFiles",
                "read_box_settings",
            ),
            "_edits": (
                "Edit",
                "apply_edits",
            ),
            "_policy": (
                "INHERIT",
                "EffectivePolicy",
                "Inherit",
                "Lane",
                "Level",
                "Origin",
                "Policy",
                "explain_policy",
                "resolve_policy",
            ),
            "_text": (
                "Document",
                "read_document",
            ),
            "_tree": (
                "DataCentre",
                "Event",
                "Operator",
                "Organisation",
                "Pipeline",
                "Service",
                "SettingsTree",
                "Stage",
                "Target",
                "check_tree",
                "read_tree",
            ),
        },
    )

__all__ = [
    "INHERIT",
    "BoxSettings",
    "Capacity",
    "DataCentre",
    "Document",
    "Edit",
    "EffectivePolicy",
    "Founding",
    "Gateway",
    "Event",
    "Inherit",
    "Lane",
    "LatePolicy",
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
    "SettingsTree",
    "apply_edits",
    "check_tree",
    "explain_policy",
    "read_box_settings",
    "read_document",
    "read_tree",
    "resolve_policy",
]
