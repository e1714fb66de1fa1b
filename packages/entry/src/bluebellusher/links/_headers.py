"""Headers that concern one connection."""

CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
"""Lower-case names that a server does not pass on, because it sets its own."""
