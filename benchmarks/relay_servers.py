"""The relays that the benchmark compares, each run as its own process."""

import concurrent.futures
import itertools
import socket
import sys
import threading
import time
from typing import Any

import msgspec
import urllib3
import waitress.server

from pollenfork import clock
from pollenfork import config
from pollenfork import ids
from pollenfork.answers import messages
from pollenfork.answers import session
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.entry import replies
from pollenfork.entry import request_handler
from pollenfork.entry import server as entry_server
from tests import sites

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


class _Slots:
    """Grants nothing further and forgets what it is told."""

    def ask_again(
        self, again: dispatch_messages.AskAgain
    ) -> concurrent.futures.Future[Any]:
        raise NotImplementedError

    def report(self, event: Any) -> None:
        del event


def run_relay(engine: int) -> None:
    """The product's server and relay, without admission."""
    now = clock.SystemClock()
    relay = session.Relay(_Slots(), now)
    relay.start()
    numbers = itertools.count()

    def answer(environ: dict[str, Any], start_response: Any) -> Any:
        number = str(next(numbers))
        call = messages.Call(
            request=ids.RequestId(number),
            method="POST",
            path=_PATH,
            headers=(("Content-Type", "application/json"),),
            body=environ["wsgi.input"].read(),
            streamed=True,
            idempotent=True,
            first_token_due=time.monotonic() + 1,
            give_up_at=time.monotonic() + 10,
        )
        grant = dispatch_messages.Grant(
            request=call.request,
            attempt=ids.AttemptId(number),
            endpoint=ids.EndpointId("engine"),
            address=f"{_HOST}:{engine}",
        )
        caller = environ[request_handler.CALLER_KEY]
        opened = relay.open(call, grant, caller).unwrap()
        start_response(f"{opened.status} OK", opened.headers)
        return opened.chunks

    settings = config.EntryConfig(
        instance=ids.InstanceId("entry"),
        data_centre=ids.DataCentre("a"),
        listen=f"{_HOST}:0",
        peer_listen="",
        platform="",
    )
    server = entry_server.create_server(
        answer, settings, replies.make_refusal, clock.SystemClock()
    )
    _announce(int(server.effective_port))
    server.run()


def run_entry(engine: int) -> None:
    """A whole entry instance, the platform's stand-in beside it."""
    site = sites.Site()
    tree = sites.make_tree([f"{_HOST}:{engine}"])
    runner = msgspec.structs.replace(
        tree.root.endpoints[ids.EndpointId("runner-0")], slots=400
    )
    root = msgspec.structs.replace(
        tree.root, endpoints={ids.EndpointId("runner-0"): runner}
    )
    team = tree.teams[ids.Team("linework")]
    account = msgspec.structs.replace(
        team.accounts[ids.AccountId("crew")], max_in_flight=1000
    )
    team = msgspec.structs.replace(
        team, accounts={ids.AccountId("crew"): account}
    )
    site.write_tree(
        msgspec.structs.replace(
            tree, root=root, teams={ids.Team("linework"): team}
        )
    )
    entry = site.start_entry(streams=350, waiting=256, body_limit=1 << 20)
    _announce(int(entry.address.rpartition(":")[2]))
    threading.Event().wait()


def _announce(port: int) -> None:
    print(port, flush=True)


RELAYS = {
    "bare": run_bare,
    "plain": run_plain,
    "relay": run_relay,
    "entry": run_entry,
}

if __name__ == "__main__":
    RELAYS[sys.argv[1]](int(sys.argv[2]))
