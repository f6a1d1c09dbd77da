"""The replicated state: settings, routing document, job ledger, costs, membership, targets."""

from typing import TYPE_CHECKING

from damsonlane.deferred import import_at_use

if TYPE_CHECKING:
    from damsonlane.cluster._changes import (
        AcceptedChange,
        ChangeAccepted,
        ChangeConflict,
        ChangeRefused,
        ChangeReply,
        ChangeSettings,
    )
    from damsonlane.cluster._document_store import (
        DocumentRecorded,
        DocumentStore,
        PackedDocument,
        ReplaceDocument,
    )
    from damsonlane.cluster._settings_store import (
        SettingsSnapshot,
        SettingsStore,
        merge_changes,
    )
    from damsonlane.cluster._state import (
        ClusterSnapshot,
        ClusterState,
        Command,
        Reply,
        decode_command,
        encode_command,
    )
else:
    __getattr__ = import_at_use(
        __name__,
        {
            "_changes": (
                "AcceptedChange",
                "ChangeAccepted",
                "ChangeConflict",
                "ChangeRefused",
                "ChangeReply",
                "ChangeSettings",
            ),
            "_document_store": (
                "DocumentRecorded",
                "DocumentStore",
                "PackedDocument",
                "ReplaceDocument",
            ),
            "_settings_store": (
                "SettingsSnapshot",
                "SettingsStore",
                "merge_changes",
            ),
            "_state": (
                "ClusterSnapshot",
                "ClusterState",
                "Command",
                "Reply",
                "decode_command",
                "encode_command",
            ),
        },
    )

__all__ = [
    "AcceptedChange",
    "ChangeAccepted",
    "ChangeConflict",
    "ChangeRefused",
    "ChangeReply",
    "ChangeSettings",
    "ClusterSnapshot",
    "ClusterState",
    "Command",
    "DocumentRecorded",
    "DocumentStore",
    "PackedDocument",
    "ReplaceDocument",
    "Reply",
    "SettingsSnapshot",
    "SettingsStore",
    "decode_command",
    "encode_command",
    "merge_changes",
]
