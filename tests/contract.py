"""A site with scripted endpoints: one runner and two services."""

from collections.abc import Iterable
import json
import threading

import msgspec

from pollenfork.settings import model
from tests import callers
from tests import endpoints
from tests import sites

BODY_LIMIT = 10_000
WAIT_S = 20.0
SLOTS = 2  # Of the runner.
QUICK_MS = 300  # The longest wait of the class `quick`.
TOKENS = 4
WHOLE = msgspec.json.encode(
    {
        "id": "chatcmpl-1",
        "object": "chat.completion",
        "created": 1_700_000_000,
        "model": "lines",
        "choices": [
            {
                "index": 0,
                "finish_reason": "stop",
                "message": {"role": "assistant", "content": "whole"},
            }
        ],
        "usage": {
            "prompt_tokens": 1,
            "completion_tokens": 1,
            "total_tokens": 2,
        },
    }
)
CHAT = "/v1/chat/completions"
ASK = {"model": "lines", "messages": [{"role": "user", "content": "Tower 7"}]}


def write_stream() -> list[endpoints.Part]:
    """Returns the parts of a whole stream."""
    events = [
        endpoints.write_event(n, last=n == TOKENS - 1) for n in range(TOKENS)
    ]
    return [endpoints.write_stream_head(), *events, endpoints.DONE]


def play_engine(call: endpoints.Call) -> Iterable[endpoints.Part]:
    """Answers as an engine does."""
    if call.path == "/v1/cancel":
        outcome = b'{"outcome": "cancelled"}'
        return [endpoints.write_answer("200 OK", outcome)]
    if b'"stream": true' in call.body:
        return write_stream()
    return [endpoints.write_answer("200 OK", WHOLE)]


def play_service(call: endpoints.Call) -> Iterable[endpoints.Part]:
    """Answers with what it was asked."""
    if call.method == "HEAD":
        return [b"HTTP/1.1 200 OK\r\nX-Kept: yes\r\n\r\n"]
    said = f"{call.method} {call.path}".encode() + b"\n" + call.body
    return [endpoints.write_answer("200 OK", said, "X-Kept: yes")]


class Site:
    """The site; each script can be replaced between requests.

    Attributes:
        release: For scripts to wait for.
    """

    def __init__(self) -> None:
        self.release = threading.Event()
        self.engine_script: endpoints.Script = play_engine
        self.service_script: endpoints.Script = play_service
        self.engine = endpoints.ScriptedEndpoint(
            lambda call: self.engine_script(call)
        )
        self.service = endpoints.ScriptedEndpoint(
            lambda call: self.service_script(call)
        )
        self._site = sites.Site()
        self._site.write_tree(self._make_tree())
        self.entry = self._site.start_entry(body_limit=BODY_LIMIT)
        self._started = self.read_series()

    @property
    def address(self) -> str:
        """Of the entry instance."""
        return self.entry.address

    def stop(self) -> None:
        """Stops everything."""
        self._site.stop()
        self.engine.stop()
        self.service.stop()

    def count_runs(self) -> int:
        """Returns how many requests reached an endpoint."""
        return len(self.engine.calls) + len(self.service.calls)

    def wait_until_idle(self) -> bool:
        """Returns whether every request in progress ended."""
        return self.entry._front.in_progress.wait_until_idle(WAIT_S)

    def count_in_progress(self) -> int:
        """Returns how many requests are in progress."""
        return self.entry._front.in_progress.count

    def read_series(self) -> dict[str, float]:
        """Returns the samples of the metrics."""
        lines = self.entry.metrics.render()[0].decode().splitlines()
        pairs = (line.rsplit(" ", 1) for line in lines if line[0] != "#")
        return {name: float(value) for name, value in pairs}

    def _make_tree(self) -> model.Tree:
        tree = sites.make_tree([self.engine.address])
        service = model.EndpointSettings(
            address=self.service.address,
            data_centre="a",
            kind=model.EndpointKind.SERVICE,
        )
        gone = msgspec.structs.replace(service, address=find_closed_port())
        named = {
            "meter": model.ServiceSettings(endpoints=("meter-1",)),
            "gone": model.ServiceSettings(endpoints=("gone-1",)),
        }
        root = msgspec.structs.replace(
            tree.root,
            endpoints={
                "runner-0": msgspec.structs.replace(
                    tree.root.endpoints["runner-0"], slots=SLOTS
                ),
                "meter-1": service,
                "gone-1": gone,
            },
            services=named,
        )
        wait = model.LatePolicy.WAIT
        classes = {
            "morning": model.ServiceClass(tier=0, protected=True),
            "logs": model.ServiceClass(tier=6, when_late=wait),
            "quick": model.ServiceClass(
                tier=3, when_late=wait, max_wait_ms=QUICK_MS
            ),
        }
        team = tree.teams["linework"]
        account = msgspec.structs.replace(
            team.accounts["crew"], classes=tuple(classes)
        )
        team = msgspec.structs.replace(
            team, classes=classes, accounts={"crew": account}
        )
        teams = {"linework": team}
        return msgspec.structs.replace(tree, root=root, teams=teams)


def write_chat(**fields: object) -> bytes:
    """Returns a chat request with these fields changed."""
    body = json.dumps({**ASK, **fields}).encode()
    return callers.write_request("POST", CHAT, body)


def reset(site: Site) -> Site:
    """Returns the site with its first scripts and no calls noted."""
    site.engine_script = play_engine
    site.service_script = play_service
    site.engine.calls.clear()
    site.service.calls.clear()
    return site


def find_closed_port() -> str:
    """Returns an address where nothing listens."""
    endpoint = endpoints.ScriptedEndpoint(play_service)
    endpoint.stop()
    return endpoint.address
