"""Responses to callers after each kind of failure at the runners."""

import asyncio
import logging
import re
import time

import msgspec
import pytest

from pollenfork import ids
from pollenfork.fleet import messages as fleet_messages
from pollenfork.gateway.tests import support
from pollenfork.routes import model

REPEATABLE = model.Kind.REPEATABLE
ONCE = model.Kind.AT_MOST_ONCE
STREAM = model.Kind.STREAM
GOOD = support.write_answer(b"good")


def run_request(route, *scripts, data=None):
    """Returns the caller's answer and the requests sent to each runner."""

    async def run():
        runners = [
            support.Runner(f"r{number}", *script)
            for number, script in enumerate(scripts)
        ]
        async with support.run_gateway(route, *runners) as gateway:
            given = {} if data is None else {"data": data}
            answer = await support.ask(gateway, **given)
        return answer, [len(runner.got) for runner in runners]

    return asyncio.run(run())


def read_status(answer: bytes) -> int:
    return int(answer.split(b" ", 2)[1])


def test_a_whole_answer_comes_back_with_its_seal() -> None:
    answer, asked = run_request(support.make_route(ONCE), [GOOD])
    assert answer.endswith(b"\r\n\r\ngood")
    assert b"x-seal: z" in answer
    assert asked == [1]


# Incomplete or invalid answers to the request, as failing runners send them.
BROKEN = {
    "closed": b"",
    "cut": support.write_answer(b"good")[:-2],
    "cut_head": support.write_answer(b"good")[:20],
    "garbage": b"no HTTP at all\r\n\r\n",
    "unsealed": b"HTTP/1.1 200 X\r\nx-id: q\r\ncontent-length: 4\r\n\r\ngood",
    "foreign": support.write_answer(b"evil", request="other"),
}


@pytest.mark.parametrize("broken", BROKEN.values(), ids=BROKEN)
def test_a_broken_answer_is_retried_on_a_repeatable_route(broken) -> None:
    answer, asked = run_request(
        support.make_route(REPEATABLE), [broken], [GOOD, GOOD]
    )
    assert answer.endswith(b"good")
    assert asked == [1, 1]


@pytest.mark.parametrize("broken", BROKEN.values(), ids=BROKEN)
def test_a_broken_answer_on_an_at_most_once_route_gives_502(broken) -> None:
    answer, asked = run_request(support.make_route(ONCE), [broken], [GOOD])
    assert read_status(answer) == 502
    assert b"retry-after" not in answer
    assert asked == [1, 0]


def test_a_refused_request_is_retried_at_another_runner() -> None:
    for kind in (REPEATABLE, ONCE, STREAM):
        answer, asked = run_request(
            support.make_route(kind), [support.REFUSED], [GOOD]
        )
        assert answer.endswith(b"good")
        assert asked == [1, 1]


def test_a_displaced_runner_gets_no_more_requests(caplog) -> None:
    async def run():
        moved = support.Runner("r0", support.DISPLACED, GOOD)
        there = support.Runner("r1", GOOD, GOOD)
        route = support.make_route(ONCE)
        async with support.run_gateway(route, moved, there) as gateway:
            answers = [await support.ask(gateway) for _ in range(2)]
        return answers, len(moved.got)

    answers, asked = asyncio.run(run())
    assert all(answer.endswith(b"good") for answer in answers)
    assert asked == 1
    assert "event=runner_shunned runner=r0 request=q end=displaced" in (
        caplog.text
    )


def test_a_request_refused_everywhere_gives_503_and_retry_after() -> None:
    route = support.make_route(ONCE, attempts=1)
    answer, asked = run_request(route, [support.REFUSED], [GOOD])
    assert read_status(answer) == 503
    assert re.search(rb"retry-after: 0\.\d+", answer)
    assert asked == [1, 0]


def test_a_request_that_may_have_run_before_a_refusal_gives_502() -> None:
    answer, asked = run_request(
        support.make_route(REPEATABLE), [b""], [support.REFUSED]
    )
    assert read_status(answer) == 502
    assert asked == [1, 1]


def test_without_runners_a_request_gives_503() -> None:
    answer, _ = run_request(support.make_route(ONCE))
    assert read_status(answer) == 503
    assert b"no_runner" in answer


def test_a_runners_server_error_is_retried_or_forwarded() -> None:
    failed = support.write_answer(b"sorry", status=500)
    route = support.make_route(REPEATABLE)
    assert run_request(route, [failed], [GOOD])[0].endswith(b"good")
    answer, asked = run_request(route, [failed], [failed])
    assert read_status(answer) == 500 and answer.endswith(b"sorry")
    answer, asked = run_request(support.make_route(ONCE), [failed], [GOOD])
    assert read_status(answer) == 500
    assert asked == [1, 0]


def test_a_silent_runner_is_abandoned_on_a_repeatable_route() -> None:
    answer, asked = run_request(
        support.make_route(REPEATABLE), [support.HANG], [GOOD]
    )
    assert answer.endswith(b"good")
    assert asked == [1, 1]


def test_the_time_limit_of_a_request_that_may_have_run_gives_504() -> None:
    route = support.make_route(ONCE, time_limit_s=0.4)
    answer, asked = run_request(route, [support.HANG], [GOOD])
    assert read_status(answer) == 504
    assert asked == [1, 0]


def test_an_unreachable_runner_does_not_count_as_an_attempt() -> None:
    async def run():
        gone = support.Runner("r0")
        there = support.Runner("r1", GOOD)
        route = support.make_route(ONCE, attempts=1)
        async with support.run_gateway(route, gone, there) as gateway:
            gone.stop()
            return await support.ask(gateway)

    assert asyncio.run(run()).endswith(b"good")


def test_unreachable_runners_are_not_tried_until_a_probe_succeeds(
    caplog,
) -> None:
    caplog.set_level(logging.INFO, "pollenfork.gateway.probing")

    async def run():
        gone = support.Runner("r0", GOOD)
        route = support.make_route(ONCE)
        async with support.run_gateway(route, gone) as gateway:
            entry = gateway.runners.find(ids.EndpointId("r0"))
            gone.stop()
            tried = [await support.ask(gateway) for _ in range(2)]
            made = gateway.deps.pool.counters.opened
            refused = await support.ask(gateway)
            assert gateway.deps.pool.counters.opened == made
            await gone.start(entry.port)
            while "event=runner_tried" not in caplog.text:
                await asyncio.sleep(0.01)
            return tried, refused, await support.ask(gateway)

    tried, refused, served = asyncio.run(run())
    for answer in (*tried, refused):
        assert read_status(answer) == 503 and b"retry-after" in answer
    assert b"unreachable" in refused
    assert served.endswith(b"good")
    assert "runner=r0 reachable=True tries=" in caplog.text


def test_a_runner_known_to_be_unreachable_is_skipped() -> None:
    async def run():
        gone = support.Runner("r0")
        there = support.Runner("r1", *[GOOD] * 4)
        route = support.make_route(ONCE)
        async with support.run_gateway(route, gone, there) as gateway:
            gone.stop()
            seen = gateway.deps.chooser.get_state(ids.EndpointId("r0"))
            for _ in range(2):
                seen.record_end(fleet_messages.End.UNSENT, False, 0.0)
            made = gateway.deps.pool.counters.unreachable
            answer = await support.ask(gateway)
            return answer, gateway.deps.pool.counters.unreachable - made

    answer, unreachable = asyncio.run(run())
    assert answer.endswith(b"good") and unreachable == 0


def test_an_answer_without_length_is_complete_at_end_of_file() -> None:
    unframed = b"HTTP/1.1 200 X\r\nx-id: q\r\nx-seal: z\r\n\r\ngood"
    answer, _ = run_request(support.make_route(ONCE), [unframed])
    assert answer.endswith(b"content-length: 4\r\n\r\ngood")


def test_a_late_answer_to_another_request_is_discarded() -> None:
    late = support.write_answer(b"evil", request="other")
    answer, _ = run_request(support.make_route(ONCE), [late + GOOD])
    assert answer.endswith(b"good")
    assert b"evil" not in answer


def test_an_unsolicited_answer_is_discarded() -> None:
    async def run():
        runner = support.Runner("r0", GOOD + GOOD, GOOD)
        runner.keeps = True
        route = support.make_route(ONCE)
        async with support.run_gateway(route, runner) as gateway:
            answers = [await support.ask(gateway) for _ in range(2)]
        return answers, runner.connections

    answers, connections = asyncio.run(run())
    assert [answer.count(b"good") for answer in answers] == [1, 1]
    assert connections == 2


def test_a_persistent_connection_is_reused() -> None:
    async def run():
        runner = support.Runner("r0", GOOD, GOOD)
        runner.keeps = True
        route = support.make_route(REPEATABLE)
        async with support.run_gateway(route, runner) as gateway:
            for _ in range(2):
                await support.ask(gateway)
        return runner.connections

    assert asyncio.run(run()) == 1


def test_a_disconnected_caller_cancels_its_request(caplog) -> None:
    caplog.set_level(logging.INFO, "pollenfork.gateway.request_log")

    async def run():
        runner = support.Runner("r0", support.HANG)
        route = support.make_route(ONCE)
        async with support.run_gateway(route, runner) as gateway:
            _, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            writer.write(b"GET /p HTTP/1.1\r\nx-id: q\r\n\r\n")
            while not runner.got:
                await asyncio.sleep(0)
            writer.close()
            async with asyncio.timeout(5):
                await runner.closed.wait()
            return gateway.deps.chooser.list_loads()

    assert asyncio.run(run()) == {}
    assert "event=caller_gone request=q route=r runner=r0 sent=1" in caplog.text


def test_an_internal_error_after_sending_gives_502(caplog) -> None:
    class Codec(support.Codec):
        def encode_request(self, call, sending):
            raise ValueError("broken")

    async def run(route):
        async with support.run_gateway(route, support.Runner("r0")) as gateway:
            gateway.deps = msgspec.structs.replace(gateway.deps, codec=Codec())
            answer = await support.ask(gateway)
            return answer, gateway.deps.chooser.list_loads()

    answer, loads = asyncio.run(run(support.make_route(ONCE)))
    # The request already counted as sent, so it may have run.
    assert read_status(answer) == 502
    assert loads == {}
    assert "event=request_failed request=q" in caplog.text
    assert "ValueError: broken" in caplog.text


def test_each_failed_attempt_is_logged_with_the_next_step(caplog) -> None:
    run_request(support.make_route(REPEATABLE), [b""], [support.REFUSED])
    logged = re.findall(r"runner=(\w+) end=(\w+) .* sequel=(\w+)", caplog.text)
    assert logged == [
        ("r0", "broken", "repeated"),
        ("r1", "refused", "attempts_spent"),
    ]
    assert "event=runner_shunned runner=r0 request=q" in caplog.text


# Streams.

WHOLE = support.write_stream(support.write_events(0, 4), whole=True)
HALF = support.write_stream(
    support.write_events(0, 2) + b"id: 3\nda", whole=False
)


def read_stream(answer: bytes) -> tuple[bytes, bool]:
    """Returns the events of a chunked answer and whether it is complete."""
    body = answer.partition(b"\r\n\r\n")[2]
    events = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            return events, True
        events += body[:length]
        body = body[length + 2 :]
    return events, False


def test_events_arrive_complete_and_in_order() -> None:
    answer, _ = run_request(support.make_route(STREAM), [WHOLE])
    assert read_stream(answer) == (support.write_events(0, 4), True)


def test_a_broken_stream_is_not_terminated() -> None:
    answer, asked = run_request(support.make_route(STREAM), [HALF], [WHOLE])
    assert answer == b"reset" or not read_stream(answer)[1]
    assert asked == [1, 0]


def test_a_broken_stream_resumes_elsewhere_on_a_resumable_route() -> None:
    async def run():
        rest = support.write_stream(support.write_events(3, 4), whole=True)
        runners = support.Runner("r0", HALF), support.Runner("r1", rest)
        route = support.make_route(STREAM, resumable=True)
        async with support.run_gateway(route, *runners) as gateway:
            return await support.ask(gateway), runners[1].got

    answer, got = asyncio.run(run())
    assert read_stream(answer) == (support.write_events(0, 4), True)
    assert b"x-after: 2" in got[0]


# Guards against a begun stream that ended as complete, as the runner that it
# went on at answered with something else than events.
@pytest.mark.parametrize("status", [200, 201, 204, 302, 400, 404])
def test_a_begun_stream_does_not_end_with_another_answer(status) -> None:
    other = support.write_answer(b"other", status=status)
    if status == 204:
        other = other.replace(b"content-length: 5\r\n\r\nother", b"\r\n")
    rest = support.write_stream(support.write_events(3, 4), whole=True)
    route = support.make_route(STREAM, resumable=True, attempts=3)
    answer, asked = run_request(route, [HALF], [other], [rest])
    assert read_stream(answer) == (support.write_events(0, 4), True)
    assert asked == [1, 1, 1]


# Guards against text of two runs: what follows the events that a runner repeats
# may be the continuation of another text.
def test_a_run_that_repeats_events_is_left_for_another_one() -> None:
    again = support.write_stream(
        support.write_events(1, 4).replace(b"data: t", b"data: u"), whole=True
    )
    rest = support.write_stream(support.write_events(3, 4), whole=True)
    route = support.make_route(STREAM, resumable=True, attempts=3)
    answer, asked = run_request(route, [HALF], [again], [rest])
    assert read_stream(answer) == (support.write_events(0, 4), True)
    assert asked == [1, 1, 1]


def test_a_resumed_stream_with_a_gap_is_not_terminated() -> None:
    gap = support.write_stream(support.write_events(4, 5), whole=True)
    route = support.make_route(STREAM, resumable=True)
    answer, _ = run_request(route, [HALF], [gap])
    assert answer == b"reset" or not read_stream(answer)[1]


def test_a_stream_that_ends_inside_an_event_is_broken() -> None:
    torn = support.write_stream(b"id: 0\ndata: t", whole=True)
    answer, _ = run_request(support.make_route(STREAM), [torn])
    assert read_status(answer) == 502


def test_a_stream_that_broke_before_its_first_event_gives_502() -> None:
    empty = support.write_stream(b"id: 0\nda", whole=False)
    answer, asked = run_request(support.make_route(STREAM), [empty], [WHOLE])
    assert read_status(answer) == 502
    assert asked == [1, 0]


def run_restart(route: model.Route, opened_before: bool) -> tuple:
    """Restarts the first runner, in the registry, while it runs a request.

    Returns:
        The caller's answer, the number of requests sent to each runner, and
        seconds from the registry's update to the answer.
    """

    async def run():
        loop = asyncio.get_running_loop()
        first = support.Runner("r0", support.HANG)
        second = support.Runner("r1", GOOD)
        async with support.run_gateway(route, first, second) as gateway:
            asking = asyncio.create_task(support.ask(gateway))
            async with asyncio.timeout(5):
                while not first.got:
                    await asyncio.sleep(0)
            await asyncio.sleep(0.05)
            since_ms = 10 if opened_before else -60_000
            known = gateway.runners.find(ids.EndpointId("r0"))
            start = ids.RunnerStart(int(time.time() * 1000) + since_ms)
            gateway.runners.put(msgspec.structs.replace(known, start=start))
            told_at = loop.time()
            answer = await asking
            took_s = loop.time() - told_at
            return answer, [len(first.got), len(second.got)], took_s

    return asyncio.run(run())


def make_patient_route(kind: model.Kind, **given) -> model.Route:
    return support.make_route(
        kind, time_limit_s=15.0, target_s=20.0, gap_s=20.0, **given
    )


def test_a_request_at_an_old_incarnation_is_retried_at_once() -> None:
    route = make_patient_route(REPEATABLE)
    answer, asked, took_s = run_restart(route, opened_before=True)
    assert answer.endswith(b"good")
    assert asked == [1, 1] and took_s < 2.0


def test_an_at_most_once_request_fails_when_its_runner_restarts() -> None:
    route = make_patient_route(ONCE)
    answer, asked, took_s = run_restart(route, opened_before=True)
    # The request may have run, so the status must not deny that.
    assert read_status(answer) == 502
    assert asked == [1, 0] and took_s < 2.0


def test_a_request_at_the_new_incarnation_is_unaffected() -> None:
    route = support.make_route(ONCE, time_limit_s=0.5)
    answer, asked, _ = run_restart(route, opened_before=False)
    assert read_status(answer) == 504
    assert asked == [1, 0]


def write_unframed(body: bytes, events: bool = True) -> bytes:
    """Returns an answer without a length or chunks."""
    kind = "content-type: text/events\r\n" if events else ""
    head = f"HTTP/1.1 200 OK\r\nx-id: q\r\nx-seal: z\r\n{kind}\r\n"
    return head.encode() + body


# Guards against answers whose end only their connection shows.
def test_a_stream_that_ends_with_its_connection_is_passed_on() -> None:
    events = support.write_events(0, 2)
    answer, asked = run_request(
        support.make_route(STREAM, resumable=True), [write_unframed(events)]
    )
    assert events in answer
    assert answer.endswith(b"0\r\n\r\n")
    assert asked == [1]


def test_a_stream_that_ends_inside_an_event_has_broken_off() -> None:
    broken = write_unframed(support.write_events(0, 2)[:-4])
    rest = support.write_stream(support.write_events(2, 4), whole=True)
    answer, asked = run_request(
        support.make_route(STREAM, resumable=True), [broken], [rest]
    )
    assert asked == [1, 1]
    assert answer.endswith(b"0\r\n\r\n")
    assert answer.count(b"id: ") == 5


def test_an_unframed_stream_without_events_has_broken_off() -> None:
    whole = support.write_stream(support.write_events(0, 2), whole=True)
    answer, asked = run_request(
        support.make_route(STREAM, resumable=True),
        [write_unframed(b"")],
        [whole],
    )
    assert asked == [1, 1]
    assert answer.endswith(b"0\r\n\r\n")


class CrashingRunner(support.Runner):
    """Listens no more from its first request on, which it answers."""

    async def _serve(self, reader, writer) -> None:
        self.stop()
        await super()._serve(reader, writer)


# Guards against a crash that looks like an answer: it reached the caller, and
# cleared its request.
@pytest.mark.parametrize("crashes", [False, True])
def test_an_unframed_answer_counts_once_its_runner_is_known_to_live(
    crashes,
) -> None:
    kind = CrashingRunner if crashes else support.Runner

    async def run():
        runner = kind("r0", write_unframed(b"good", events=False))
        route = support.make_route(REPEATABLE)
        async with support.run_gateway(route, runner) as gateway:
            answer = await support.ask(gateway)
            async with asyncio.timeout(5):
                while gateway.deps.crash_probes.busy:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.01)  # A probe's end is told just after it.
            tracked = gateway.deps.request_quarantine.tracker
            return answer, tracked.counts["ends"], tracked.answered_count

    answer, ends, answered = asyncio.run(run())
    assert answer.endswith(b"good") is not crashes
    assert read_status(answer) == (502 if crashes else 200)
    assert (ends, answered) == ((1, 0) if crashes else (0, 1))


# Guards against a stream that looks complete because its runner was killed.
@pytest.mark.parametrize("resumable", [False, True])
def test_an_unframed_stream_is_complete_once_its_runner_is_known_to_live(
    resumable,
) -> None:
    async def run():
        begun = write_unframed(support.write_events(0, 2))
        rest = support.write_stream(support.write_events(3, 4), whole=True)
        runners = CrashingRunner("r0", begun), support.Runner("r1", rest)
        route = support.make_route(STREAM, resumable=resumable)
        async with support.run_gateway(route, *runners) as gateway:
            answer = await support.ask(gateway)
            return answer, len(runners[1].got)

    answer, asked = asyncio.run(run())
    last = 4 if resumable else 2
    assert read_stream(answer) == (support.write_events(0, last), resumable)
    assert asked == int(resumable)


# Guards against two unframed answers that end beside each other: the probe of
# the first one proves nothing about the second.
def test_a_probe_that_began_before_an_end_is_no_proof_of_it() -> None:
    async def run():
        runner = support.Runner("r0", GOOD)
        route = support.make_route(REPEATABLE)
        async with support.run_gateway(route, runner) as gateway:
            probes = gateway.deps.crash_probes
            entry = gateway.runners.find(ids.EndpointId("r0"))
            await probes.probe(entry).connected
            runner.stop()
            return await probes.is_alive(entry)

    assert not asyncio.run(run())
