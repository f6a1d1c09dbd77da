"""Run an entry that serves routes."""

import logging
from typing import Final

from damsonlane.settings import BoxSettings, Gateway
from damsonlane_rpc import RpcService
from damsonlaned._process import (
    Reload,
    SettingsReloader,
    TlsContexts,
    start_rpc_server,
    stop_rpc_server,
    wait_for_stop,
)
from damsonlaned.gateway._node import GatewayNode

_LOG: Final = logging.getLogger(__name__)


async def run_gateway(
    settings: BoxSettings, gateway: Gateway, tls_contexts: TlsContexts, reload: Reload | None
) -> None:
    """Run the entry until the process is asked to stop."""
    node = GatewayNode(settings, gateway, tls_contexts.client)

    reloader = SettingsReloader(settings, reload, node.apply_settings)
    server = await start_rpc_server(settings, RpcService(dict(node.handlers())), tls_contexts)
    await node.start()
    _LOG.info("started")
    await wait_for_stop(reloader)
    await node.stop()
    await stop_rpc_server(server)
    _LOG.info("stopped")
