"""Prefix hashes, token estimate and fingerprint of a request body."""

import hashlib

from bluebellusher_core.prefix import compute_prefix_hashes

# Number of prompt bytes that are hashed. A longer common prefix does not change the
# choice of the endpoint.
N_MAX_PREFIX_BYTES = 32 * 1024
_BYTES_PER_TOKEN = 4


def compute_prompt_hashes(model: str, prompt: bytes) -> tuple[int, ...]:
    """Return the hashes of a prompt's blocks, by which engines report cached blocks."""
    return compute_prefix_hashes(model, prompt[:N_MAX_PREFIX_BYTES])


def estimate_tokens(prompt: bytes) -> int:
    """Return an estimate of the prompt's length in tokens, at 4 bytes per token."""
    return max(1, len(prompt) // _BYTES_PER_TOKEN)


def compute_fingerprint(service_id: str, body: bytes) -> str:
    """Return the hash of service and body that is equal for repeats of a request."""
    digest = hashlib.blake2b(service_id.encode() + b"\0", digest_size=16)
    digest.update(body)
    return digest.hexdigest()
