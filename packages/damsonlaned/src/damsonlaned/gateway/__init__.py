"""An entry that serves routes: whole answers and event streams, stages made in shared pools."""

from damsonlaned.gateway._node import GatewayNode

__all__ = ["GatewayNode"]
