"""Mutual authentication of a new connection by a shared secret.

The accepting side sends a ``Hello`` with a nonce and an empty MAC. The connecting
side answers with its own ``Hello``, whose MAC covers both nonces, and the accepting
side then authenticates itself the same way. A recorded handshake cannot be replayed
because each side uses a fresh nonce.
"""

import hashlib
import hmac
from typing import Any

NONCE_BYTES = 16


def compute_hello_mac(secret: bytes, challenge: bytes, hello: Any) -> bytes:
    """Return the HMAC-SHA256 of a ``Hello`` under ``secret``.

    ``challenge`` is the nonce that the other side sent. Each field is preceded by its
    length in bytes, so that different messages never produce the same input.
    """
    fields = (
        challenge,
        hello.nonce,
        str(hello.protocol_version).encode(),
        hello.instance_id.encode(),
        str(hello.incarnation).encode(),
        hello.failure_domain.encode(),
        str(hello.role).encode(),
    )
    digest = hmac.new(secret, digestmod=hashlib.sha256)
    for field in fields:
        digest.update(len(field).to_bytes(4, "big"))
        digest.update(field)
    return digest.digest()


def verify_hello(secret: bytes, challenge: bytes, hello: Any) -> bool:
    """Return whether the MAC of ``hello`` was computed with ``secret``."""
    expected = compute_hello_mac(secret, challenge, hello)
    return hmac.compare_digest(expected, hello.mac or b"")
