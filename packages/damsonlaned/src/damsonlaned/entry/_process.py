"""Run an entry that serves pipelines."""

import logging
from typing import Final

from damsonlane.settings import BoxSettings
from damsonlaned._process import (
    SettingsReloader,
    TlsContexts,
    start_rpc_server,
    stop_rpc_server,
    wait_for_stop,
)
from damsonlaned.entry._node import EntryNode

_LOG: Final = logging.getLogger(__name__)


async def run_entry(settings: BoxSettings, tls_contexts: TlsContexts) -> None:
    """Run the entry until the process is asked to stop."""
    node = EntryNode(settings, tls_contexts.client)
    server = await start_rpc_server(settings, node.peers.service(), tls_contexts)
    await node.start()
    _LOG.info("started")
    await wait_for_stop(SettingsReloader(settings, None, lambda newer: None))
    await node.stop()
    await stop_rpc_server(server)
    _LOG.info("stopped")
