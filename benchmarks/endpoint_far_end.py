"""A far end that answers control calls at once, for `endpoint_probes`."""

from collections.abc import Iterator
import contextlib
import http.server
import threading

_LOAD = b'{"running":3,"waiting":1,"kv_free":0.5,"models":["m"],"age_ms":100}'


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    wbufsize = 4096  # One write for each answer, else the far end waits.
    disable_nagle_algorithm = True

    def do_GET(self) -> None:  # The library's name.
        """Answers readiness and load."""
        body = _LOAD if self.path == "/v1/load" else b""
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def log_message(self, *args: object) -> None:
        """Writes nothing."""


@contextlib.contextmanager
def serve() -> Iterator[str]:
    """Serves on a free port; gives `host:port`."""
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _Handler)
    server.daemon_threads = True
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{server.server_address[1]}"
    finally:
        server.shutdown()
        server.server_close()
