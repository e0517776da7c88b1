"""Test support: the WSGI application of operators on a fake table."""

import io
import random

import msgspec
import result

from pollenfork import failures
from pollenfork import ids
from pollenfork import metrics
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.membership import messages as membership_messages
from pollenfork.operator import app
from pollenfork.operator import edges
from pollenfork.settings import service
from pollenfork.settings.tests import support as settings_support

REPORTS = (
    edges.InstanceReport(
        instance="entry-1",
        data_centre="amman-1",
        state=membership_messages.MemberStatus.LIVE,
        revision=1,
        age_s=2.5,
    ),
    edges.InstanceReport(
        instance="entry-2",
        data_centre="amman-2",
        state=membership_messages.MemberStatus.SUSPECTED,
        revision=0,
        heard_s_ago=4.0,
    ),
)


class Response(msgspec.Struct):
    """A decoded response."""

    status: int
    headers: dict[str, str]
    body: object

    @property
    def code(self) -> str:
        return self.body["error"]["code"]


class FakeInstances:
    def list_instances(self):
        return REPORTS


class FakeEndpoints:
    """Records drained endpoints; fails while `failing` is set."""

    def __init__(self) -> None:
        self.drained: list[str] = []
        self.failing = False

    def list_endpoints(self):
        live = dispatch_messages.EndpointState.LIVE
        return (
            edges.LiveEndpoint(endpoint="runner-1", state=live, in_flight=3),
        )

    def drain(self, endpoint):
        if self.failing:
            return result.Err(failures.Failure(detail="the table is down"))
        self.drained.append(endpoint)
        return result.Ok(None)


class Harness:
    """The operator interface of one instance with its fakes."""

    def __init__(
        self, table: settings_support.FakeTable | None = None, seed: int = 0
    ) -> None:
        self.site = settings_support.Site(table, seed=seed)
        self.table = self.site.table
        self.endpoints = FakeEndpoints()
        self.metrics = metrics.Metrics()
        self.seed = seed
        self.generated_ids = 0
        self.settings = service.Service(
            self.table,
            self.site.clock,
            random.Random(seed),
            self.site.wait,
            lambda: self.site.in_force,
            self.record_written,
            (settings_support.ROOT_OPERATOR,),
        )
        self.app = app.Operator(
            ids.InstanceId("entry-1"),
            self.settings,
            FakeInstances(),
            self.endpoints,
            self.metrics,
            self.make_write_id,
        )

    def record_written(self, written) -> None:
        self.site.in_force = written.tree

    def make_write_id(self) -> ids.WriteId:
        self.generated_ids += 1
        return ids.WriteId(f"made-{self.seed}-{self.generated_ids}")

    def call(
        self,
        method: str,
        path: str,
        token: str | None = settings_support.ROOT_TOKEN,
        body: bytes = b"",
        query: str = "",
        length: str | None = None,
        **headers: str,
    ) -> Response:
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": f"/operator/{path}",
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(body)) if length is None else length,
            "wsgi.input": io.BytesIO(body),
        }
        if token is not None:
            environ["HTTP_AUTHORIZATION"] = f"Bearer {token}"
        for name, value in headers.items():
            environ[f"HTTP_{name.upper()}"] = value
        sent = []
        chunks = self.app(environ, lambda *start: sent.append(start))
        status, fields = sent[0]
        content = b"".join(chunks)
        header_map = dict(fields)
        assert header_map["Content-Length"] == str(len(content))
        return Response(
            int(status.split()[0]), header_map, msgspec.json.decode(content)
        )

    def put(
        self, path: str, value: object, revision: int, **kwargs
    ) -> Response:
        body = msgspec.json.encode(value)
        return self.call(
            "PUT",
            f"settings/{path}",
            body=body,
            if_match=f'"{revision}"',
            **kwargs,
        )
