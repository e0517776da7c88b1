"""The engine stand-in's HTTP front: docs/engine-protocol.md.

One asyncio thread owns the core: it takes requests in, runs the steps on
time and writes each step's tokens to the connections that wait for them.
"""

import asyncio
import functools
import logging

import msgspec
import result

from pollenfork import clock as clocks
from pollenfork import ids
from pollenfork.endpoints import edges
from pollenfork.standin import http
from pollenfork.standin.engine import config as configs
from pollenfork.standin.engine import core
from pollenfork.standin.engine import jobs
from pollenfork.standin.engine import prompt as prompts
from pollenfork.standin.engine import render
from pollenfork.standin.engine import sinks

_LOG = logging.getLogger(__name__)
_LONGEST_SLEEP_S = 0.02  # So that a manual clock's advance is soon seen.
_NOT_RUN = (("X-Outcome", "not_run"),)
_REFUSAL_STATUS = {
    jobs.Refusal.LEAVING: 503,
    jobs.Refusal.REFUSING: 503,
    jobs.Refusal.QUEUE_FULL: 429,
    jobs.Refusal.UNKNOWN_MODEL: 404,
    jobs.Refusal.TOO_LARGE: 400,
}


class _Cancel(msgspec.Struct):
    request_id: str


class _Exported(msgspec.Struct):
    prompt: prompts.Prompt
    next_position: int


class EngineStandin:
    """One engine stand-in, serving in a thread of its own."""

    def __init__(
        self, config: configs.EngineConfig, clock: clocks.Clock
    ) -> None:
        self.core = core.Engine(config)
        self._clock = clock
        self._server = http.Server(
            config.listen, self._handle, config.keep_alive
        )
        self._refused = 0
        self._sinks: dict[int, sinks.Sink] = {}
        self._work = asyncio.Event()
        self._routes: dict[tuple[str, str], http.Handler] = {
            ("POST", "/v1/chat/completions"): functools.partial(
                self._complete, True
            ),
            ("POST", "/v1/completions"): functools.partial(
                self._complete, False
            ),
            ("POST", "/v1/cancel"): self._cancel,
            ("GET", "/v1/load"): self._report_load,
            ("GET", "/v1/models"): self._list_models,
            ("GET", "/v1/cache-events"): self._list_cache_events,
            ("POST", "/v1/kv/export"): self._export,
            ("POST", "/v1/kv/import"): self._import,
            ("POST", "/v1/orders"): self._carry_out_order,
            ("GET", "/healthz"): self._report_health,
            ("GET", "/runs"): self._report_runs,
            ("GET", "/refusals"): self._report_refusals,
            ("GET", "/faults"): self._report_faults,
            ("POST", "/faults"): self._change_faults,
        }

    def start(self) -> str:
        """Listens; returns the address as `host:port`."""
        address = self._server.start()
        self._server.spawn(self._run_steps())
        return address

    def stop(self) -> None:
        """Breaks every connection and ends the thread."""
        self._server.stop()

    def set_faults(self, faults: configs.Faults) -> None:
        """Puts faults in force; for any thread."""
        self._server.call(self._set_faults(faults))

    async def _set_faults(self, faults: configs.Faults) -> None:
        self._advance()
        self.core.change_faults(faults, self._clock.monotonic())
        if faults.down:
            self._sinks.clear()
            self._server.drop_all()

    async def _run_steps(self) -> None:
        while True:
            due = self.core.next_due()
            if due is None:
                self._work.clear()
                await self._work.wait()
                continue
            delay = due - self._clock.monotonic()
            await asyncio.sleep(min(max(delay, 0), _LONGEST_SLEEP_S))
            self._advance()

    def _advance(self) -> float:
        """Runs the steps that are due; returns the time."""
        now = self._clock.monotonic()
        self._deliver(self.core.advance(now))
        return now

    def _deliver(self, events: list[jobs.Event]) -> None:
        for event in events:
            sink = self._sinks.get(event.job)
            if sink is None:
                continue
            sink.take(event)
            if event.kind is not jobs.EventKind.TOKEN:
                del self._sinks[event.job]

    async def _handle(
        self, request: http.Request, exchange: http.Exchange
    ) -> None:
        if self.core.faults.down and request.path not in ("/faults", "/runs"):
            exchange.drop()
            return
        route = self._routes.get((request.method, request.path))
        if route:
            await route(request, exchange)
        elif request.method == "GET" and request.path.startswith(
            "/v1/streams/"
        ):
            await self._resume(request, exchange)
        else:
            body = render.render_error("not_found", request.path)
            exchange.send(404, body)

    async def _complete(
        self, chat: bool, request: http.Request, exchange: http.Exchange
    ) -> None:
        stated = request.headers.get("x-answer-tokens")
        parsed = prompts.parse(
            request.body,
            chat,
            self.core.config.default_length,
            int(stated) if stated else None,
        )
        if isinstance(parsed, result.Err):
            body = render.render_error("bad_request", parsed.err_value.detail)
            exchange.send(400, body, _NOT_RUN)
            return
        now = self._advance()
        prompt = parsed.ok_value
        job = self.core.submit(
            ids.AttemptId(request.headers.get("x-request-id", "")),
            prompt,
            int(request.headers.get("x-priority", "0")),
            now,
        )
        if isinstance(job, jobs.Refusal):
            self._refuse(exchange, job)
            return
        sink: sinks.Sink = sinks.PlainSink(exchange, prompt)
        if prompt.stream:
            sink = sinks.StreamSink(exchange, prompt)
        await self._carry(job, sink)

    async def _resume(
        self, request: http.Request, exchange: http.Exchange
    ) -> None:
        self._advance()
        name = request.path.removeprefix("/v1/streams/")
        job = self.core.resume(ids.AttemptId(name))
        if job is None:
            body = render.render_error("unknown_stream", name)
            exchange.send(404, body)
            return
        start = int(request.query.get("from", "0"))
        sink = sinks.StreamSink(exchange, job.prompt, start)
        for position in range(start, job.next_position):
            sink.take(jobs.Event(job.number, jobs.EventKind.TOKEN, position))
        if job.state is jobs.JobState.FINISHED:
            sink.take(jobs.Event(job.number, jobs.EventKind.FINISHED))
            return
        await self._carry(job, sink)

    async def _carry(self, job: jobs.Job, sink: sinks.Sink) -> None:
        """Holds the connection until the job's last event."""
        replaced = self._sinks.get(job.number)
        if replaced:
            replaced.take(jobs.Event(job.number, jobs.EventKind.BROKEN))
        self._sinks[job.number] = sink
        self._work.set()
        try:
            await sink.ended.wait()
        except asyncio.CancelledError:
            if self._sinks.get(job.number) is sink:
                del self._sinks[job.number]
                self.core.detach(job, self._advance())
            raise

    async def _cancel(
        self, request: http.Request, exchange: http.Exchange
    ) -> None:
        asked = msgspec.json.decode(request.body, type=_Cancel)
        now = self._advance()
        outcome, events = self.core.cancel(ids.AttemptId(asked.request_id), now)
        self._deliver(events)
        exchange.send(200, msgspec.json.encode({"outcome": outcome}))

    async def _report_load(
        self, request: http.Request, exchange: http.Exchange
    ) -> None:
        del request
        report = self.core.report_load(self._advance())
        exchange.send(200, msgspec.json.encode(report))

    async def _list_models(
        self, request: http.Request, exchange: http.Exchange
    ) -> None:
        del request
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "engine"}
            for name in self.core.orders.models
        ]
        body = msgspec.json.encode({"object": "list", "data": models})
        exchange.send(200, body)

    async def _list_cache_events(
        self, request: http.Request, exchange: http.Exchange
    ) -> None:
        events = self.core.cache.fetch_events(
            int(request.query.get("after", "0")),
            self._advance(),
            self.core.faults,
        )
        exchange.send(200, msgspec.json.encode({"events": events}))

    async def _export(
        self, request: http.Request, exchange: http.Exchange
    ) -> None:
        asked = msgspec.json.decode(request.body, type=_Cancel)
        self._advance()
        job = self.core.find_stream(ids.AttemptId(asked.request_id))
        if job is None:
            body = render.render_error("unknown_stream", asked.request_id)
            exchange.send(404, body)
            return
        state = _Exported(job.prompt, job.next_position)
        exchange.send(
            200,
            msgspec.msgpack.encode(state),
            content_type="application/octet-stream",
        )

    async def _import(
        self, request: http.Request, exchange: http.Exchange
    ) -> None:
        name = request.headers.get("x-request-id", "")
        state = msgspec.msgpack.decode(request.body, type=_Exported)
        prompt = msgspec.structs.replace(
            state.prompt, first=state.next_position
        )
        job = self.core.import_job(ids.AttemptId(name), prompt, self._advance())
        if isinstance(job, jobs.Refusal):
            self._refuse(exchange, job)
            return
        self._work.set()
        exchange.send(200, b"{}")

    async def _carry_out_order(
        self, request: http.Request, exchange: http.Exchange
    ) -> None:
        order = msgspec.json.decode(request.body, type=edges.Order)
        ignore = self.core.faults.ignore_fencing
        if self.core.orders.carry_out(order, ignore):
            exchange.send(200, b"{}")
        else:
            body = render.render_error("fenced", "old fencing number")
            exchange.send(409, body)

    def _refuse(self, exchange: http.Exchange, refusal: jobs.Refusal) -> None:
        self._refused += 1
        body = render.render_error(refusal.value, "refused before it ran")
        exchange.send(_REFUSAL_STATUS[refusal], body, _NOT_RUN)

    async def _report_refusals(
        self, request: http.Request, exchange: http.Exchange
    ) -> None:
        del request
        exchange.send(200, msgspec.json.encode({"refused": self._refused}))

    async def _report_health(
        self, request: http.Request, exchange: http.Exchange
    ) -> None:
        del request
        exchange.send(200 if self.core.is_ready else 503, b"{}")

    async def _report_runs(
        self, request: http.Request, exchange: http.Exchange
    ) -> None:
        del request
        self._advance()
        exchange.send(200, self.core.runs.encode())

    async def _report_faults(
        self, request: http.Request, exchange: http.Exchange
    ) -> None:
        del request
        exchange.send(200, msgspec.json.encode(self.core.faults))

    async def _change_faults(
        self, request: http.Request, exchange: http.Exchange
    ) -> None:
        present = msgspec.to_builtins(self.core.faults)
        changed = {**present, **msgspec.json.decode(request.body, type=dict)}
        try:
            faults = msgspec.convert(changed, type=configs.Faults)
        except msgspec.ValidationError as error:
            exchange.send(400, render.render_error("bad_faults", str(error)))
            return
        exchange.send(200, msgspec.json.encode(faults))
        await self._set_faults(faults)
