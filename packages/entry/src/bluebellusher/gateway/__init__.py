"""Entry for platforms that keep routes, customers and endpoints in shared tables.

Callers are served by prefix routes over HTTP, and endpoints are reached directly over
HTTP. Every decision is made by the same reducer as in ``bluebellusher serve``.
"""

from bluebellusher.gateway._gateway import Gateway, run_gateway

__all__ = ["Gateway", "run_gateway"]
