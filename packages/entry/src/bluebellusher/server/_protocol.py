"""Connection protocol with limits on connections and on the time for a head."""

from typing import Any

from sanic.http.constants import Stage
from sanic.server.protocols.http_protocol import HttpProtocol


class EntryProtocol(HttpProtocol):
    """Protocol that measures the request timeout from the first byte of a request.

    Sanic restarts the timeout with every byte, so that a sender of one byte per second
    could hold a connection for hours. Connections above ``limits.max_connections`` are
    closed.
    """

    def connection_made(self, transport: Any) -> None:
        """Register a new connection, or close it when there are too many."""
        super().connection_made(transport)
        if len(self.connections) > self.app.ctx.n_max_connections:
            self.close()

    def data_received(self, data: bytes) -> None:
        """Process bytes without restarting the timeout while the head is incomplete."""
        previous_time = self._time
        super().data_received(data)
        http: Any = self.http
        if http is not None and http.stage is Stage.REQUEST:
            self._time = previous_time
