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
SLOTS = 2  # Slots of the runner.
QUICK_MAX_WAIT_MS = 300  # Maximum wait of the class `quick`.
TOKENS = 4
CHAT_RESPONSE = msgspec.json.encode(
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
CHAT_BODY = {
    "model": "lines",
    "messages": [{"role": "user", "content": "Tower 7"}],
}


def make_stream() -> list[endpoints.Part]:
    """Returns the parts of a complete stream."""
    events = [
        endpoints.encode_event(n, last=n == TOKENS - 1) for n in range(TOKENS)
    ]
    return [endpoints.encode_stream_head(), *events, endpoints.DONE]


def play_engine(call: endpoints.Call) -> Iterable[endpoints.Part]:
    """Responds like an engine."""
    if call.path == "/v1/cancel":
        outcome = b'{"outcome": "cancelled"}'
        return [endpoints.encode_response("200 OK", outcome)]
    if b'"stream": true' in call.body:
        return make_stream()
    return [endpoints.encode_response("200 OK", CHAT_RESPONSE)]


def play_service(call: endpoints.Call) -> Iterable[endpoints.Part]:
    """Echoes the request in the response."""
    if call.method == "HEAD":
        return [b"HTTP/1.1 200 OK\r\nX-Kept: yes\r\n\r\n"]
    echo = f"{call.method} {call.path}".encode() + b"\n" + call.body
    return [endpoints.encode_response("200 OK", echo, "X-Kept: yes")]


class Site:
    """A site whose scripts can be replaced between requests.

    Attributes:
        release: An event for scripts to wait for.
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
        """Address of the entry instance."""
        return self.entry.address

    def stop(self) -> None:
        """Stops everything."""
        self._site.stop()
        self.engine.stop()
        self.service.stop()

    def count_runs(self) -> int:
        """Returns the number of requests that reached an endpoint."""
        return len(self.engine.calls) + len(self.service.calls)

    def wait_until_idle(self) -> bool:
        """Waits for the requests in progress; returns whether all ended."""
        return self.entry._front.in_progress.wait_until_idle(WAIT_S)

    def count_in_progress(self) -> int:
        """Returns the number of requests in progress."""
        return self.entry._front.in_progress.count

    def read_series(self) -> dict[str, float]:
        """Returns the metric samples by series name."""
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
        unreachable = msgspec.structs.replace(
            service, address=find_closed_port()
        )
        services = {
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
                "gone-1": unreachable,
            },
            services=services,
        )
        wait = model.LatePolicy.WAIT
        classes = {
            "morning": model.ServiceClass(tier=0, protected=True),
            "logs": model.ServiceClass(tier=6, when_late=wait),
            "quick": model.ServiceClass(
                tier=3, when_late=wait, max_wait_ms=QUICK_MAX_WAIT_MS
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


def encode_chat(**fields: object) -> bytes:
    """Encodes a chat request with these fields changed."""
    body = json.dumps({**CHAT_BODY, **fields}).encode()
    return callers.encode_request("POST", CHAT, body)


def reset(site: Site) -> Site:
    """Resets the site to its default scripts and no recorded calls."""
    site.engine_script = play_engine
    site.service_script = play_service
    site.engine.calls.clear()
    site.service.calls.clear()
    return site


def find_closed_port() -> str:
    """Returns an address on which nothing listens."""
    endpoint = endpoints.ScriptedEndpoint(play_service)
    endpoint.stop()
    return endpoint.address
