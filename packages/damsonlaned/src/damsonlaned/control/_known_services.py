"""The services that the routing document in force has."""

from damsonlane.cluster import PackedDocument
from damsonlane.errors import SettingsError
from damsonlaned.dialects import Dialect


class KnownServices:
    """Reads each version of the document once.

    Args:
        dialect: reads documents.
    """

    def __init__(self, dialect: Dialect) -> None:
        self._dialect = dialect
        self._version = 0
        self._names: frozenset[str] = frozenset()

    def has(self, document: PackedDocument, service: str) -> bool:
        """Tell whether a service may have targets: any may while there is no document."""
        if document.version == 0:
            return True
        if document.version != self._version:
            self._names = self._read_names(document)
            self._version = document.version
        return service in self._names

    def _read_names(self, document: PackedDocument) -> frozenset[str]:
        try:
            services = self._dialect.read_document(document.unpack()).services
        except SettingsError:
            # It was checked before it was accepted, by a program of another version.
            return frozenset()
        return frozenset(service.name for service in services)
