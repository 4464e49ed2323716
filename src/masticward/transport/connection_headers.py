"""Headers that hold for one connection and are not passed on to the next one."""

# RFC 9110, section 7.6.1, and the headers that older clients and proxies use in the same way.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "http2-settings",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Each side of the system writes these for its own connections.
FRAMING = frozenset(("content-length", "expect", "host"))
