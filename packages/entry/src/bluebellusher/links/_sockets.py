"""Sockets that detect a peer that no longer responds."""

import asyncio
import socket
from typing import Any

# TCP keepalive: idle time before the first probe, interval between probes, and number
# of unanswered probes after which the connection fails. An unresponsive peer is thus
# detected after 3 s; other disturbances of a connection are over by then.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_N_KEEPALIVE_PROBES = 2
# Time, in ms, in which the peer must acknowledge sent data.
_USER_TIMEOUT_MS = 2_500
# Size of the receive buffer of connections to endpoints, in bytes. It bounds a read,
# and with it the memory of what is read of an answer in one step. An informational
# answer, for example, occupies a hundred times its bytes once it is parsed.
_ENDPOINT_RECEIVE_BYTES = 16 * 1024


def make_keepalive_socket(address_info: Any) -> socket.socket:
    """Create a socket with keepalive, as ``socket_factory`` of an aiohttp connector."""
    family, kind, protocol, *_ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    enable_keepalive(sock)
    return sock


def make_endpoint_socket(address_info: Any) -> socket.socket:
    """Create a socket like ``make_keepalive_socket`` that receives in small parts.

    For connections to endpoints, which may send without end.
    """
    sock = make_keepalive_socket(address_info)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _ENDPOINT_RECEIVE_BYTES)
    return sock


async def is_listening(host: str, port: int, timeout_ms: int) -> bool | None:
    """Return whether a process listens at an address.

    Return None when the address does not answer within ``timeout_ms`` or cannot be
    reached; the process may then be running or not.
    """
    sock = make_keepalive_socket((socket.AF_INET, socket.SOCK_STREAM, 0))
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            await loop.sock_connect(sock, (host, port))
    except ConnectionRefusedError:
        return False
    except OSError:
        # TimeoutError is a subclass of OSError.
        return None
    finally:
        sock.close()
    return True


def enable_keepalive(sock: socket.socket) -> None:
    """Make a connection fail when its peer no longer responds.

    Nagle's algorithm is disabled too.
    """
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
