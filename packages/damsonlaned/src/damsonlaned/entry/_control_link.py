"""What an entry sends to control and receives from it, on one event loop."""

import secrets
import ssl
from typing import Final

from damsonlane.ledger import Holder
from damsonlane.settings import BoxSettings
from damsonlane_rpc import ControlClient
from damsonlaned.entry._draining_targets import DrainingTargets
from damsonlaned.entry._job_client import JobClient
from damsonlaned.entry._permit_client import PermitClient
from damsonlaned.entry._settings_follower import SettingsFollower
from damsonlaned.entry._settings_view import SettingsView
from damsonlaned.entry._thread_safe_quarantine import ThreadSafeQuarantine
from damsonlaned.entry._usage_reporter import UsageReporter
from damsonlaned.quarantine import Quarantine, QuarantineClient


class ControlLink:
    """Bundles what an entry exchanges with control, over one client.

    Args:
        settings: settings of the box.
        view: where newer settings are put in force.
        draining: targets that are known to be draining.
        context: TLS context towards other boxes, or None.
    """

    def __init__(
        self,
        settings: BoxSettings,
        view: SettingsView,
        draining: DrainingTargets,
        context: ssl.SSLContext | None,
    ) -> None:
        #: This process, as claims and reports identify it.
        self.holder: Final = Holder(box=settings.name, incarnation=secrets.token_hex(6))
        self._client: Final = ControlClient(settings.control, context=context)
        self.jobs: Final = JobClient(self._client)
        self.usage: Final = UsageReporter(
            self._client, f"{self.holder.box}.{self.holder.incarnation}"
        )
        self.settings: Final = SettingsFollower(
            settings, self.holder, self._client, view, draining, context
        )

        #: Quarantine of requests under which targets exited.
        self.quarantine: Final = ThreadSafeQuarantine(
            Quarantine(self.settings.quarantine, QuarantineClient(self._client).submit)
        )

        #: Requests permits for rate-limited targets.
        self.permits: Final = PermitClient(self._client)

    def start(self) -> None:
        """Start following control."""
        self.settings.start()
        self.usage.start()

    async def stop(self) -> None:
        """Send what is left and stop."""
        await self.quarantine.stop()
        await self.usage.stop()
        await self.settings.stop()
        self._client.close()
