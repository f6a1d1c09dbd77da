"""What this entry knows of the fleet; it only ever moves forward."""

import logging
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Final

from damsonlane.cluster import PackedDocument
from damsonlane.errors import SettingsError
from damsonlane.membership import BoxRecord
from damsonlane.routes import RouteTable
from damsonlane.targets import TargetChanges, TargetRecord
from damsonlaned.dialects import Dialect

_LOG: Final = logging.getLogger(__name__)

#: Targets that are logged one by one.  A list of more comes when an entry starts or was
#: cut off for long; its lines would take longer to write than the list to read.
MOST_LINES: Final = 40


class FleetView:
    """Document in force, targets and entries, as control last said.

    Args:
        dialect: reads documents.
    """

    def __init__(self, dialect: Dialect) -> None:
        self._dialect: Final = dialect
        #: The document in force, or None until the first one was heard.
        self.table: RouteTable | None = None
        #: Revision of the registry of targets.
        self.targets_revision = 0
        #: Entries that take requests, this one included once control lists it.
        self.entries: tuple[BoxRecord, ...] = ()
        self._targets: dict[str, TargetRecord] = {}
        self._listeners: list[Callable[[], None]] = []
        self._entry_listeners: list[Callable[[], None]] = []

    def version(self) -> int:
        """Return the version in force, 0 when there is none."""
        return self.table.version if self.table is not None else 0

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function after each change of document or targets."""
        self._listeners.append(listener)

    def on_entries(self, listener: Callable[[], None]) -> None:
        """Call a function after each change of the list of entries."""
        self._entry_listeners.append(listener)

    def targets_of(self, service: str) -> tuple[TargetRecord, ...]:
        """Return the records of a service's targets."""
        return tuple(record for record in self._targets.values() if record.service == service)

    def data_centre_at(self, address: str) -> str:
        """Return the data centre of the target at an address, or an empty string."""
        for record in self._targets.values():
            if record.address == address:
                return record.data_centre
        return ""

    def put_document(self, document: PackedDocument) -> None:
        """Put a document in force if it is newer than the one held."""
        if document.version <= self.version():
            return
        try:
            self.table = RouteTable(self._dialect.read_document(document.unpack()))
        except SettingsError as error:
            # Control checked it with the same dialect, so this box is the older program.
            _LOG.error("document not understood", extra={"fault": str(error)})
            return
        _LOG.info("document in force", extra={"version": document.version})
        self._tell()

    def put_targets(self, changes: TargetChanges) -> None:
        """Take over changes of targets unless they are older than what is held."""
        if changes.revision < self.targets_revision:
            return
        self.targets_revision = changes.revision
        news = [record for record in changes.records if self._is_news(record)]
        if changes.is_whole:
            self._targets = {record.target: record for record in changes.records}
        else:
            self._targets.update({record.target: record for record in changes.records})
        for name in changes.gone:
            self._targets.pop(name, None)
        _log_targets(news, changes)
        self._tell()

    def put_entries(self, entries: tuple[BoxRecord, ...]) -> None:
        """Take over the list of entries."""
        self.entries = tuple(entry for entry in entries if entry.standing == "live")
        for listener in self._entry_listeners:
            listener()

    def _is_news(self, record: TargetRecord) -> bool:
        """Tell whether a target is new here or stands otherwise than before."""
        known = self._targets.get(record.target)
        return known is None or known.standing != record.standing

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()


def _log_targets(news: Sequence[TargetRecord], changes: TargetChanges) -> None:
    """Log what is new of targets: a line each, or one line for a long list."""
    if len(news) > MOST_LINES:
        counts = Counter(record.standing for record in news)
        fields = {"standings": dict(counts), "revision": changes.revision}
        _LOG.info("targets known", extra=fields)
    else:
        for record in news:
            _LOG.info(
                "target known",
                extra={
                    "target": record.target,
                    "service": record.service,
                    "standing": record.standing,
                    "revision": changes.revision,
                },
            )
    if changes.gone:
        _LOG.info("targets gone", extra={"targets": changes.gone})
