"""Sockets that notice a peer which is gone."""

import asyncio
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


async def is_listening(host: str, port: int, timeout_ms: int) -> bool | None:
    """Return whether a process listens at an address.

    Returns None when nothing answers within ``timeout_ms`` or the address cannot be
    reached, which says nothing of the process.
    """
    sock = make_socket((socket.AF_INET, socket.SOCK_STREAM, 0))
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            await loop.sock_connect(sock, (host, port))
    except ConnectionRefusedError:
        return False
    except OSError:
        # TimeoutError is one too.
        return None
    finally:
        sock.close()
    return True


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
