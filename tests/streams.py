"""Helpers that start complete sites and open streams at them."""

import json
import pathlib
import re

import msgspec
import urllib3

from pollenfork.settings import model
from tests import processes
from tests import sites

COMPLETIONS = "/v1/completions"
POSTINGS = "/services/meters/postings"
POSTING = b'{"meter": 7, "kwh": 120}'
DONE = b"data: [DONE]\n\n"
POSITION = re.compile(rb"^id: (\d+)$", re.MULTILINE)
READ_BYTES = 65536


def start_site(
    folder: pathlib.Path, entries: int = 2, engines: int = 2, **engine: object
) -> processes.Site:
    """Starts engines, the meter service and entry instances."""
    started = processes.Site(folder)
    for _ in range(engines):
        started.start_engine(**engine)
    meters = started.start_service()
    tree = sites.make_tree([engine.address for engine in started.engines])
    endpoint = model.EndpointSettings(
        address=meters.address,
        data_centre="a",
        kind=model.EndpointKind.SERVICE,
    )
    root = model.RootSettings(
        ceilings=tree.root.ceilings,
        endpoints={**tree.root.endpoints, "meter-1": endpoint},
        services={"meters": model.ServiceSettings(endpoints=("meter-1",))},
    )
    started.meters = meters
    started.write_tree(model.Tree(root=root, teams=make_waiting_teams(tree)))
    for _ in range(entries):
        started.start_entry()
    return started


def make_waiting_teams(tree: model.Tree) -> dict[str, model.TeamSettings]:
    """Returns the teams with a class that waits rather than be refused."""
    team = tree.teams["linework"]
    morning = msgspec.structs.replace(
        team.classes["morning"], when_late=model.LatePolicy.WAIT
    )
    classes = {**team.classes, "morning": morning}
    return {"linework": msgspec.structs.replace(team, classes=classes)}


def encode_body(prompt: str, tokens: int = 40) -> bytes:
    return json.dumps(
        {
            "model": "lines",
            "prompt": prompt,
            "stream": True,
            "max_tokens": tokens,
        }
    ).encode()


def open_stream(
    site: processes.Site,
    entry: processes.Program,
    prompt: str,
    tokens: int = 40,
) -> tuple[urllib3.BaseHTTPResponse, bytes]:
    """Opens a stream; returns it with its first bytes."""
    response = site.post(
        entry, COMPLETIONS, encode_body(prompt, tokens), preload_content=False
    )
    assert response.status == 200
    return response, response.read1(READ_BYTES)


def read_rest(response: urllib3.BaseHTTPResponse) -> bytes:
    return b"".join(iter(lambda: response.read1(READ_BYTES), b""))


def check_complete(answer: bytes) -> None:
    positions = [int(position) for position in POSITION.findall(answer)]
    assert positions == list(range(len(positions)))
    assert positions
    assert answer.endswith(DONE)
