"""What a gateway learns from answers, and that no attempt keeps tokens."""

import asyncio
import logging

import msgspec
import pytest

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import messages as fleet_messages
from pollenfork.fleet import model as fleet
from pollenfork.fleet.tests import test_registry
from pollenfork.gateway import admission
from pollenfork.gateway import attempt
from pollenfork.gateway import buffers
from pollenfork.gateway import cluster_state
from pollenfork.gateway import context
from pollenfork.gateway import exchange
from pollenfork.gateway import messages
from pollenfork.gateway import request_log
from pollenfork.gateway import retries
from pollenfork.gateway import room_observer
from pollenfork.gateway.events import progress
from pollenfork.gateway.tests import support
from pollenfork.room import expectation
from pollenfork.routes import lookup
from pollenfork.routes import model as routes

STREAM = routes.Kind.STREAM
PARTS = fleet.Part(b"a", 900), fleet.Part(b"b", 560)
DEMAND = candidates.RequestProfile(
    support.SERVICE,
    PARTS,
    forecast=True,
    needed_tokens=1_640,
    cache_tokens=50_000,
)
WHOLE = support.write_stream(support.write_events(0, 44), whole=True)
HALF = support.write_stream(support.write_events(0, 2), whole=False)
REST = support.write_stream(support.write_events(3, 44), whole=True)


REST_EVENTS = support.write_events(2, 4)


class Codec(support.Codec):
    """Adds a length hint of 60 tokens to each request."""

    def decode_request(self, headers):
        head = super().decode_request(headers)
        return msgspec.structs.replace(head, parts=PARTS, length_hint=60)


def serve(*scripts, count: int = 1, route=None):
    """Returns the gateway's state after requests that runners answer."""

    async def run():
        runners = [
            support.Runner(f"r{number}", *script)
            for number, script in enumerate(scripts)
        ]
        shown = route or support.make_route(STREAM, resumable=True)
        async with support.run_gateway(shown, *runners) as gateway:
            gateway.deps = msgspec.structs.replace(gateway.deps, codec=Codec())
            gateway.demand = DEMAND
            for _ in range(count):
                await support.ask(gateway)
            chooser = gateway.deps.chooser
            held = [
                chooser.count_held(
                    chooser.get_state(
                        ids.EndpointId(runner.name)
                    ).incarnation_hash
                )
                for runner in runners
            ]
            assert chooser.list_loads() == {}
            return held, gateway.deps.learned

    return asyncio.run(run())


@pytest.mark.parametrize(
    "scripts",
    [
        ([WHOLE],),
        ([HALF], [REST]),
        ([HALF], [b""]),
        ([b""], [b""]),
        ([support.REFUSED], [WHOLE]),
        ([support.REFUSED], [support.REFUSED]),
        ([support.DISPLACED], [WHOLE]),
        ([support.write_answer(b"no", 500)],),
    ],
    ids=[
        "whole",
        "resumed",
        "broken",
        "failed",
        "retried",
        "refused",
        "displaced",
        "error",
    ],
)
def test_no_tokens_are_held_after_an_attempt_ended(scripts) -> None:
    # Guards against runners that fill up, in the books, with every failure.
    held, _ = serve(*scripts)
    assert set(held) == {0}


def test_tokens_are_held_while_it_runs_and_not_after_the_caller_left() -> None:
    # Guards against cancelled requests that are never settled.
    async def run():
        runner = support.Runner("r0", support.HANG)
        async with support.run_gateway(
            support.make_route(STREAM), runner
        ) as gateway:
            gateway.demand = DEMAND
            chooser = gateway.deps.chooser
            _, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            writer.write(b"GET /p HTTP/1.1\r\nx-id: q\r\n\r\n")
            while not runner.got:
                await asyncio.sleep(0)
            [during] = chooser.list_loads().values()
            writer.close()
            async with asyncio.timeout(5):
                await runner.closed.wait()
            state = chooser.get_state(ids.EndpointId("r0"))
            return during.held_tokens, chooser.count_held(
                state.incarnation_hash
            )

    assert asyncio.run(run()) == (1_640, 0)


def test_whole_answers_set_the_ratio_of_their_route() -> None:
    # Guards against an expectation that never learns: 45 events of 1 token
    # for a hint of 60.
    _, learned = serve([WHOLE] * 5, count=5)
    assert learned.outputs.get_ratio("r") == 0.75
    assert learned.get_typical_s(support.SERVICE) < 1.0


@pytest.mark.parametrize("second", [REST, b""], ids=["resumed", "broken"])
def test_an_answer_of_two_runners_teaches_nothing(second) -> None:
    # Guards against an answer's time that counts its last part only. One
    # answer is enough to set the typical time.
    _, learned = serve([HALF], [second])
    assert learned.get_typical_s(support.SERVICE) == 1.0


class Clock:
    """An event loop's clock that the test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def time(self) -> float:
        return self.now


def make_admitted(demand, **head) -> context.AdmittedRequest:
    call = messages.Request(
        method=b"POST", target=b"/p", headers=[], body=b"", arrived=100.0
    )
    fields = {
        "attempt": ids.AttemptId("q"),
        "key": None,
        "wait_s": None,
        "parts": PARTS,
        "tokens": (1_460, 400),
        "last_event": None,
        "length_hint": 60,
    }
    return context.AdmittedRequest(
        call=call,
        head=messages.RequestHead(**{**fields, **head}),
        route=support.make_route(STREAM, gap_s=0.2),
        demand=msgspec.structs.replace(demand, event_tokens=4),
        prefill_limit_s=None,
        account=None,
        tier=ids.Tier(0),
        version=1,
        age_s=0.0,
        deadline=110.0,
        digest=ids.RequestDigest(1),
    )


class Fake:
    """An observer with a clock that the test sets, of a granted request."""

    def __init__(self, demand=DEMAND, **head) -> None:
        gateway = support.Gateway(support.make_route(STREAM))
        gateway.runners.put(test_registry.make_runner("r0"))
        self.clock = Clock()
        self.deps = msgspec.structs.replace(gateway.deps, loop=self.clock)
        admitted = make_admitted(demand, **head)
        log = request_log.RequestLog(
            self.clock, self.deps.counters, lambda: None, admitted
        )
        self.observer = room_observer.RoomObserver(self.deps, admitted, log)
        self.grant = self.deps.chooser.choose(demand, set(), 0.0)
        self.observer.start(self.grant)

    def observe(self, *times: float) -> None:
        for now in times:
            self.observer.observe_events(now)

    def end(self, end=fleet_messages.End.WHOLE, status=200, sent=1) -> None:
        relay = attempt.StreamRelay(progress.StreamProgress(), None, None)
        relay.progress.forwarded = 30
        history = retries.AttemptHistory()
        history.sent = sent
        head = messages.ResponseHead(
            status=status,
            attempt=ids.AttemptId("q"),
            sealed=True,
            not_run=False,
            events=True,
            headers=[],
        )
        ended = attempt.AttemptResult(end, head)
        self.observer.record_end(ended, history, relay, 98.5)

    def read_learned(self) -> tuple[float, float]:
        learned = self.deps.learned
        return (
            learned.outputs.get_ratio("r"),
            learned.get_typical_s(support.SERVICE),
        )


def run_fake(check) -> None:
    """Runs a check in an event loop, which no clock of the check uses."""

    async def run():
        check()

    asyncio.run(run())


def test_a_suspected_preemption_is_logged_and_counted_once(caplog) -> None:
    # Guards against a preemption that operators can't trace to a full runner.
    caplog.set_level(logging.INFO, "pollenfork.gateway.request_log")

    def check():
        fake = Fake()
        fake.observe(101.0, 101.1, 102.1, 104.1)
        output = fake.deps.counters.write()
        assert b"pollenfork_preemptions_suspected_total 1" in output

    run_fake(check)
    lines = [each for each in caplog.messages if "preemption" in each]
    assert lines == [
        "event=preemption_suspected request=q route=r runner=r0 gap_ms=1000 "
        "held=1640 capacity=50000"
    ]


def test_pauses_of_slow_callers_and_of_other_services_are_not_counted() -> None:
    # Guards against blaming runners for a caller that doesn't read, and
    # against new log lines in services that aren't forecast.
    def check():
        slow = Fake()
        slow.observe(101.0)
        slow.observer.interrupt()
        slow.observe(109.0)
        plain = Fake(msgspec.structs.replace(DEMAND, forecast=False))
        plain.observe(101.0, 109.0)
        for fake in (slow, plain):
            output = fake.deps.counters.write()
            assert b"pollenfork_preemptions_suspected_total 0" in output

    run_fake(check)


class Caller:
    """A caller's connection that takes everything."""

    def __init__(self) -> None:
        self.buffers = buffers.CallerBuffers(buffers.Account(), self)

    def write(self, data: bytes) -> None:
        pass


def test_an_exchange_reports_pauses_but_not_those_of_its_caller() -> None:
    # Guards against an observer that the exchange doesn't tell of slow
    # callers.
    def count(is_slow: bool) -> int:
        fake = Fake()
        served = exchange.Exchange(fake.deps, make_admitted(DEMAND), Caller())
        served._observer.on_sent(fake.grant)
        for now in (101.0, 109.0):
            fake.clock.now = now
            served._relay.progress.forwarded += 1
            served._write_events(b"id: 1\n\n")
            if is_slow:
                served._on_backpressure(True)
                served._on_backpressure(False)
        return fake.deps.counters._preemptions_suspected

    def check():
        assert (count(False), count(True)) == (1, 0)

    run_fake(check)


def test_a_runner_that_pauses_is_named(caplog) -> None:
    # Guards against an observer that the exchange doesn't tell of attempts.
    caplog.set_level(logging.INFO, "pollenfork.gateway.request_log")

    class PausingRunner(support.Runner):
        async def _serve(self, reader, writer) -> None:
            rest = support.write_stream(REST_EVENTS, True)
            try:
                self.got.append(await reader.readuntil(b"\r\n\r\n"))
                writer.write(
                    support.write_stream(support.write_events(0, 1), False)
                )
                await asyncio.sleep(0.1)
                writer.write(rest.split(b"\r\n\r\n", 1)[1])
            except asyncio.IncompleteReadError:
                pass
            finally:
                writer.close()

    async def run():
        route = support.make_route(STREAM, gap_s=0.01)
        async with support.run_gateway(route, PausingRunner("r0")) as gateway:
            gateway.demand = DEMAND
            await support.ask(gateway)

    asyncio.run(run())
    assert (
        "event=preemption_suspected request=q route=r runner=r0" in caplog.text
    )


def test_output_is_counted_in_tokens_and_time_from_the_sending() -> None:
    # Guards against a ratio in events, which is a quarter of that in tokens.
    def check():
        fake = Fake()
        for _ in range(5):
            fake.end()
        assert fake.read_learned() == (2.0, 1.5)

    run_fake(check)


@pytest.mark.parametrize(
    ("head", "end"),
    [
        ({}, {"end": fleet_messages.End.BROKEN}),
        ({}, {"status": 500}),
        ({}, {"sent": 2}),
        ({"last_event": 20}, {}),
    ],
    ids=["broken", "error", "retried", "resumed"],
)
def test_answers_that_are_not_one_whole_run_teach_nothing(head, end) -> None:
    # Guards against ratios and times learned from parts of answers.
    def check():
        fake = Fake(**head)
        for _ in range(9):
            fake.end(**end)
        assert fake.read_learned() == (1.0, 1.0)

    run_fake(check)


def test_services_that_are_not_forecast_teach_nothing() -> None:
    # Guards against memory and time spent on the earlier deployments.
    def check():
        fake = Fake(msgspec.structs.replace(DEMAND, forecast=False))
        for _ in range(9):
            fake.end()
        assert fake.read_learned() == (1.0, 1.0)

    run_fake(check)


@pytest.mark.parametrize(("target_s", "needed"), [(1.2, 1_640), (0.4, 0)])
def test_admission_states_the_tokens_that_a_request_needs(
    target_s, needed
) -> None:
    # Guards against requests of forecast services that hold nothing, and of
    # others that hold something.
    state = cluster_state.ClusterState(None, None)
    route = support.make_route(STREAM, target_s=target_s)
    route = msgspec.structs.replace(route, prefix_affinity=True)
    state.lookup = lookup.Lookup(
        routes.Configuration(
            version=1,
            routes=(route,),
            services={
                support.SERVICE: routes.Service(
                    support.SERVICE, "/", 9, 50_000, event_tokens=4
                )
            },
            limits=routes.CallerLimits(),
            accounts=None,
        )
    )
    outputs = expectation.OutputExpectation()
    for _ in range(5):
        outputs.record("r", 100, 300)
    request = make_admitted(DEMAND)
    call = request.call
    call.headers = [(b"host", b"h")]
    admitted = admission.admit(state, call, request.head, 100.0, outputs)
    demand = admitted.unwrap().demand
    assert demand.forecast is bool(needed)
    # 1,460 of the prompt, and three times the hint of 60.
    assert demand.needed_tokens == needed
    assert demand.cache_tokens == 50_000
    assert demand.event_tokens == 4
