"""What routing reads from the body of a model request."""

import hashlib

from bluebellusher_core.prefix import compute_prefix_hashes

# A longer common prefix than 32 KiB does not change the choice of the endpoint.
N_MAX_PREFIX_BYTES = 32 * 1024
_BYTES_PER_TOKEN = 4


def hash_prefix(model: str, prompt: bytes) -> tuple[int, ...]:
    """Return the hashes by which engines name the cached blocks of a prompt."""
    return compute_prefix_hashes(model, prompt[:N_MAX_PREFIX_BYTES])


def count_tokens(prompt: bytes) -> int:
    """Return an estimate of the prompt length in tokens."""
    return max(1, len(prompt) // _BYTES_PER_TOKEN)


def compute_fingerprint(service_id: str, body: bytes) -> str:
    """Return the hash of service and body that identifies repeated requests."""
    digest = hashlib.blake2b(service_id.encode() + b"\0", digest_size=16)
    digest.update(body)
    return digest.hexdigest()
