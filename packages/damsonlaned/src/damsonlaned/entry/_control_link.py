"""The entry's side of control, on one asyncio loop."""

import secrets
import ssl
from typing import Final

from damsonlane.ledger import Holder
from damsonlane.settings import BoxSettings
from damsonlane_rpc import ControlClient
from damsonlaned.entry._draining_targets import LeavingTargets
from damsonlaned.entry._job_client import JobLink
from damsonlaned.entry._permit_client import ThreadPermits
from damsonlaned.entry._settings_follower import SettingsLink
from damsonlaned.entry._settings_view import SettingsView
from damsonlaned.entry._thread_safe_quarantine import ThreadQuarantine
from damsonlaned.entry._usage_reporter import Accounts
from damsonlaned.quarantine import Quarantine, QuarantineClient


class Uplink:
    """Settings, jobs and accounts, over one client of control.

    Args:
        settings: settings of the box.
        view: where newer settings are put in force.
        leaving: targets that are known to be leaving.
        context: TLS context towards other boxes, or None.
    """

    def __init__(
        self,
        settings: BoxSettings,
        view: SettingsView,
        leaving: LeavingTargets,
        context: ssl.SSLContext | None,
    ) -> None:
        #: This process, as claims and reports name it.
        self.holder: Final = Holder(box=settings.name, incarnation=secrets.token_hex(6))
        self._client: Final = ControlClient(settings.control, context=context)
        self.jobs: Final = JobLink(self._client)
        self.accounts: Final = Accounts(
            self._client, f"{self.holder.box}.{self.holder.incarnation}"
        )
        self.settings: Final = SettingsLink(
            settings, self.holder, self._client, view, leaving, context
        )

        #: Keeps requests that end targets from them.
        self.quarantine: Final = ThreadQuarantine(
            Quarantine(self.settings.quarantine, QuarantineClient(self._client).submit)
        )

        #: Asks control for permits to send to limited targets.
        self.permits: Final = ThreadPermits(self._client)

    def start(self) -> None:
        """Start following control."""
        self.settings.start()
        self.accounts.start()

    async def stop(self) -> None:
        """Hand over what is left and stop."""
        await self.quarantine.stop()
        await self.accounts.stop()
        await self.settings.stop()
        self._client.close()
