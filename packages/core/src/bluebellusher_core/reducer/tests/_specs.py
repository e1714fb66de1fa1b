"""Request specifications that the tests of the reducer share."""

from bluebellusher_core.events import Priority, RequestSpec


def make_spec(request_id="r", **options):
    """Return an idempotent request for the service ``s``."""
    values = {
        "request_id": request_id,
        "customer_id": "c",
        "service_id": "s",
        "model": "",
        "adapter": "",
        "priority": Priority.NORMAL,
        "deadline_ms": 8_000,
        "is_idempotent": True,
        "idempotency_key": None,
        "fingerprint": request_id,
        "prefix_hashes": (),
        "n_input_tokens": 1,
        "n_max_output_tokens": 1,
        "n_max_attempts": 2,
    }
    return RequestSpec(**{**values, **options})
