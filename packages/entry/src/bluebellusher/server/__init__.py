"""HTTP server of ``bluebellusher serve`` for callers and operators."""

from bluebellusher.server._app import HttpServer
from bluebellusher.server._parse import BadRequestError, RequestDraft, RequestParser
from bluebellusher.server._status import Pages, StatusSource

__all__ = [
    "BadRequestError",
    "HttpServer",
    "Pages",
    "RequestDraft",
    "RequestParser",
    "StatusSource",
]
