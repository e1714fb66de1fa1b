"""Sockets that notice a peer which is gone."""

import socket
from typing import Any

# Seconds of silence before the first probe, between probes, and probes without an
# answer after which the connection fails. Other disturbances are over in 3 s.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_N_KEEPALIVE_PROBES = 2
_USER_TIMEOUT_MS = 2_500


def make_socket(address_info: Any) -> socket.socket:
    """Return a socket for an address, as ``aiohttp.TCPConnector`` asks for it."""
    family, kind, protocol, *_ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    watch_peer(sock)
    return sock


def watch_peer(sock: socket.socket) -> None:
    """Let a connection fail when its peer does not answer any more."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _N_KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
        (socket.TCP_NODELAY, 1),
    )
    for option, value in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
