"""Entry for platforms that keep routes, customers and endpoints in shared tables.

Callers send HTTP requests, which the entry routes by host and path prefix. Attempts go
to the endpoints directly over HTTP. The same reducer makes all decisions here and in
``bluebellusher serve``.
"""

from bluebellusher.gateway._gateway import QUEUE_FACTOR, Gateway, run_gateway

__all__ = ["QUEUE_FACTOR", "Gateway", "run_gateway"]
