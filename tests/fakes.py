"""Fake servers for tests of the complete request path."""

import http.server
import json
import threading


class FakeEngine:
    """A local engine that answers each prompt with fixed events."""

    def __init__(self, tokens: int = 5, finish: bool = True) -> None:
        self.runs = 0
        self._gate: threading.Event | None = None
        engine = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                report = {"running": 0, "waiting": 0, "kv_free": 1.0}
                self._send_json({**report, "models": ["lines"], "ready": True})

            def do_POST(self) -> None:
                engine.runs += 1
                length = int(self.headers["Content-Length"])
                request = json.loads(self.rfile.read(length))
                respond = self._stream if request.get("stream") else self._plain
                respond()

            def _stream(self) -> None:
                self.send_response(200)
                self.send_header("Content-Type", "text/event-stream")
                self.end_headers()
                for position in range(tokens):
                    self.wfile.write(encode_event(position))
                    if engine._gate:
                        engine._gate.wait(20)
                if finish:
                    self.wfile.write(b"data: [DONE]\n\n")

            def _plain(self) -> None:
                self._send_json({"choices": [{"text": "whole"}]})

            def _send_json(self, value: object) -> None:
                body = json.dumps(value).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *args: object) -> None:
                del args

        address = ("127.0.0.1", 0)
        self._server = http.server.ThreadingHTTPServer(address, Handler)
        threading.Thread(
            target=self._server.serve_forever, args=(0.01,), daemon=True
        ).start()
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def hold(self, gate: threading.Event) -> None:
        """Blocks streams after each event until the gate is set."""
        self._gate = gate

    def stop(self) -> None:
        self._server.shutdown()
        self._server.server_close()


def encode_event(position: int) -> bytes:
    data = json.dumps({"choices": [{"text": f"t{position} "}]})
    return f"id: {position}\ndata: {data}\n\n".encode()
