"""Services of the routing document in force."""

from damsonlane.cluster import PackedDocument
from damsonlane.errors import SettingsError
from damsonlaned.dialects import Dialect


class KnownServices:
    """Caches the names of the services of the routing document.

    Args:
        dialect: parses documents.
    """

    def __init__(self, dialect: Dialect) -> None:
        self._dialect = dialect
        self._version = 0
        self._names: frozenset[str] = frozenset()

    def has(self, document: PackedDocument, service: str) -> bool:
        """Return whether the document has a service; without a document, always True."""
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
            # Another version of the program accepted it, with other checks.
            return frozenset()
        return frozenset(service.name for service in services)
