"""Sanic's connection protocol with a limit on the time for a request's head."""

from typing import Any

from sanic.http.constants import Stage
from sanic.server.protocols.http_protocol import HttpProtocol


class EntryProtocol(HttpProtocol):
    """Count the time limit from the first byte of a request.

    Sanic restarts its limit with every byte, so that a sender of one byte per
    second could hold a connection for hours.
    """

    def connection_made(self, transport: Any) -> None:
        """Close a connection above the limit at once."""
        super().connection_made(transport)
        if len(self.connections) > self.app.ctx.n_max_connections:
            self.close()

    def data_received(self, data: bytes) -> None:
        """Keep the time of the first byte while the head is incomplete."""
        before = self._time
        super().data_received(data)
        http: Any = self.http
        if http is not None and http.stage is Stage.REQUEST:
            self._time = before
