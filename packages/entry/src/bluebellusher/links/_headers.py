"""HTTP headers that apply to one connection only."""

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
"""Lower-case names of headers that an entry sets itself instead of relaying them."""
