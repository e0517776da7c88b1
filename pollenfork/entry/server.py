"""The HTTP server of an entry instance."""

from collections.abc import Callable
from typing import Any

import waitress
import waitress.server

from pollenfork import config

_REFUSING_THREADS = 32


def create_server(
    app: Callable[..., Any], settings: config.EntryConfig
) -> waitress.server.BaseWSGIServer:
    """Returns a server that has a thread for each caller it admits."""
    threads = settings.streams + settings.waiting + _REFUSING_THREADS
    return waitress.create_server(
        app,
        listen=settings.listen,
        threads=threads,
        connection_limit=threads * 2,
        channel_request_lookahead=1,
        max_request_body_size=settings.body_limit * 2,
        asyncore_use_poll=True,
        ident=None,
    )
