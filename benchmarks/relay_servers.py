"""The relays that the benchmark compares, each run as its own process."""

import socket
import sys
import threading
from typing import Any

import urllib3
import waitress.server

_HOST = "127.0.0.1"
_PATH = "/v1/chat/completions"


def run_bare(engine: int) -> None:
    """Bytes from socket to socket, a thread for each stream, no HTTP."""
    listener = socket.create_server((_HOST, 0), backlog=1024)
    _announce(listener.getsockname()[1])

    def copy(caller: socket.socket) -> None:
        request = caller.recv(65536)
        with caller, socket.create_connection((_HOST, engine)) as upstream:
            upstream.sendall(request)
            while data := upstream.recv(65536):
                caller.sendall(data)

    while True:
        caller, _ = listener.accept()
        caller.setsockopt(socket.SOL_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=copy, args=(caller,), daemon=True).start()


def run_plain(engine: int) -> None:
    """Waitress and urllib3's `read1` as they come, no logic."""
    pool = urllib3.PoolManager(maxsize=400)

    def answer(environ: dict[str, Any], start_response: Any) -> Any:
        response = pool.request(
            "POST",
            f"http://{_HOST}:{engine}{_PATH}",
            body=environ["wsgi.input"].read(),
            preload_content=False,
        )
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        while data := response.read1(65536):
            yield data

    server = waitress.server.create_server(
        answer,
        listen=f"{_HOST}:0",
        threads=400,
        connection_limit=1000,
        channel_request_lookahead=1,
        asyncore_use_poll=True,
    )
    _announce(int(server.effective_port))
    server.run()


def _announce(port: int) -> None:
    print(port, flush=True)


RELAYS = {"bare": run_bare, "plain": run_plain}

if __name__ == "__main__":
    RELAYS[sys.argv[1]](int(sys.argv[2]))
