"""The relay's behaviour on each fault: what the caller receives."""

import json
import socket
from typing import NamedTuple

import pytest

from pollenfork import failures
from pollenfork.answers import errors
from pollenfork.answers.tests import fakes

HEAD = fakes.STREAM_HEAD
V1_HEAD, V2_HEAD = (
    HEAD.replace(b"\r\n\r\n", b"\r\nX-Software-Version: %b\r\n\r\n" % name)
    for name in (b"v1", b"v2")
)
EVENTS = fakes.encode_events
WHOLE = fakes.encode_stream(5)
UNKNOWN_STREAM = fakes.UNKNOWN_STREAM
ERROR = b'data: {"error": {"message": "out of memory"}}\n\n'
PARTIAL_EVENT = fakes.encode_event(2)[:17]
UNNUMBERED = b"".join(
    fakes.encode_event(n).split(b"\n", 1)[1] for n in range(5)
)
USAGE = b'data: {"choices": [], "usage": {"completion_tokens": 5}}\n\n'
REFUSAL = fakes.encode_response("503 Busy", b"{}", X_Outcome="not_run")
SERVER_ERROR = fakes.encode_response("500 Oops", b"{}")
UNFRAMED = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf an ans"
BAD_REQUEST = fakes.encode_response("400 Bad", b'{"error":{}}')


class Case(NamedTuple):
    """One fault: the scripts of the two engines and the expected result."""

    first: tuple[bytes, ...]
    resumes: tuple[bytes, ...] = ()
    second: tuple[bytes, ...] = ()
    complete: bool = True
    received: bytes = WHOLE
    resumed: int = 0
    retried: int = 0
    continued: int = 0
    saved: int = 0
    repeats: int = 0
    idempotent: bool = True
    ends: tuple[tuple[str, str, int], ...] = (("a0", "finished", 5),)


RETRIED = (("a0", "broken_before_first", 0), ("a1", "finished", 5))
CONTINUED = (("a0", "broken_midway", 3), ("a1", "finished", 2))
BROKEN = (("a0", "broken_midway", 3),)

STREAM_CASES = {
    "no_fault": Case((HEAD + WHOLE,)),
    "not_idempotent_no_fault": Case((HEAD + WHOLE,), idempotent=False),
    "crash_before_head": Case(
        (fakes.NO_RESPONSE,), (), (HEAD + WHOLE,), resumed=1, retried=1,
        ends=RETRIED,
    ),
    "crash_before_first_event": Case(
        (HEAD,), (), (HEAD + WHOLE,), resumed=1, retried=1, ends=RETRIED
    ),
    "cut_before_first_event_resumed": Case(
        (HEAD,), (HEAD + WHOLE,), resumed=1
    ),
    "not_idempotent_cut_before_head_resumed": Case(
        (fakes.NO_RESPONSE,), (HEAD + WHOLE,), resumed=1, idempotent=False
    ),
    "cut_inside_event_resumed": Case(
        (HEAD + EVENTS(0, 2) + PARTIAL_EVENT,),
        (HEAD + EVENTS(2, 5) + fakes.DONE,), resumed=1,
    ),
    "cut_before_done_resumed": Case(
        (HEAD + EVENTS(0, 5),), (HEAD + fakes.DONE,), resumed=1
    ),
    "cut_inside_done": Case((HEAD + EVENTS(0, 5) + b"data: [DONE]\n",)),
    "cut_twice_resumed": Case(
        (HEAD + EVENTS(0, 2),),
        (HEAD + EVENTS(2, 4) + PARTIAL_EVENT, HEAD + EVENTS(4, 5) + fakes.DONE),
        resumed=2,
    ),
    # Guards against a failing program's words that reach the caller.
    "foreign_text_resumed": Case(
        (HEAD + EVENTS(0, 2) + b"Traceback\n\n",),
        (HEAD + EVENTS(2, 5) + fakes.DONE,), resumed=1,
    ),
    "repeats_within_a_run": Case(
        (HEAD + EVENTS(0, 3) + EVENTS(1, 5) + fakes.DONE,), repeats=2,
    ),
    # Guards against two texts joined by their numbers.
    "resume_begins_early_continued": Case(
        (HEAD + EVENTS(0, 3),), (HEAD + EVENTS(1, 5) + fakes.DONE,),
        (HEAD + EVENTS(3, 5) + fakes.DONE,),
        resumed=1, continued=1, saved=3, ends=CONTINUED,
    ),
    "resume_begins_again": Case(
        (HEAD + EVENTS(0, 3),), (HEAD + WHOLE,),
        complete=False, received=EVENTS(0, 3), resumed=1, ends=BROKEN,
    ),
    "repeats_of_usage_after_resume": Case(
        (HEAD + EVENTS(0, 5) + USAGE,), (HEAD + USAGE + fakes.DONE,),
        resumed=1, received=EVENTS(0, 5) + USAGE + fakes.DONE,
    ),
    "gap_resumed": Case(
        (HEAD + EVENTS(0, 2) + EVENTS(3, 5) + fakes.DONE,),
        (HEAD + EVENTS(2, 5) + fakes.DONE,), resumed=1,
    ),
    "gap_remains_continued": Case(
        (HEAD + EVENTS(0, 3) + EVENTS(4, 5),),
        (HEAD + EVENTS(4, 5), HEAD + EVENTS(4, 5)),
        (HEAD + EVENTS(3, 5) + fakes.DONE,),
        resumed=2, continued=1, saved=3, ends=CONTINUED,
    ),
    "crash_midway_continued": Case(
        (HEAD + EVENTS(0, 3) + PARTIAL_EVENT,), (UNKNOWN_STREAM,),
        (HEAD + EVENTS(3, 5) + fakes.DONE,),
        resumed=1, continued=1, saved=3, ends=CONTINUED,
    ),
    "crash_at_last_event_continued": Case(
        (HEAD + EVENTS(0, 5),), (UNKNOWN_STREAM,), (HEAD + fakes.DONE,),
        resumed=1, continued=1, saved=5,
        ends=(("a0", "broken_midway", 5), ("a1", "finished", 0)),
    ),
    "error_event_continued": Case(
        (HEAD + EVENTS(0, 3) + ERROR,), (),
        (HEAD + EVENTS(3, 5) + fakes.DONE,),
        continued=1, saved=3, ends=CONTINUED,
    ),
    "other_engine_begins_again": Case(
        (HEAD + EVENTS(0, 3),), (), (HEAD + WHOLE,),
        complete=False, received=EVENTS(0, 3), resumed=1, continued=1,
        ends=(("a0", "broken_midway", 3), ("a1", "broken_before_first", 0)),
    ),
    "continued_at_the_same_version": Case(
        (V1_HEAD + EVENTS(0, 3),), (UNKNOWN_STREAM,),
        (V1_HEAD + EVENTS(3, 5) + fakes.DONE,),
        resumed=1, continued=1, saved=3, ends=CONTINUED,
    ),
    # Guards against an answer that two versions of the engine wrote.
    "not_continued_at_another_version": Case(
        (V1_HEAD + EVENTS(0, 3),), (UNKNOWN_STREAM,),
        (V2_HEAD + EVENTS(3, 5) + fakes.DONE,),
        complete=False, received=EVENTS(0, 3), resumed=1, continued=1,
        ends=(("a0", "broken_midway", 3), ("a1", "broken_before_first", 0)),
    ),
    "not_resumed_at_an_engine_updated_meanwhile": Case(
        (V1_HEAD + EVENTS(0, 3),), (V2_HEAD + EVENTS(3, 5) + fakes.DONE,),
        complete=False, received=EVENTS(0, 3), resumed=1, ends=BROKEN,
    ),
    "no_other_engine": Case(
        (HEAD + EVENTS(0, 3),), (UNKNOWN_STREAM,),
        complete=False, received=EVENTS(0, 3), resumed=1, ends=BROKEN,
    ),
    "not_idempotent_never_continued": Case(
        (HEAD + EVENTS(0, 3),), (UNKNOWN_STREAM,), (HEAD + EVENTS(3, 5),),
        complete=False, received=EVENTS(0, 3), resumed=1, idempotent=False,
        ends=BROKEN,
    ),
    "unnumbered_whole": Case(
        (HEAD + UNNUMBERED + fakes.DONE,), received=UNNUMBERED + fakes.DONE
    ),
    "unnumbered_cut": Case(
        (HEAD + UNNUMBERED,), (), (HEAD + UNNUMBERED + fakes.DONE,),
        complete=False, received=UNNUMBERED, ends=(("a0", "broken_midway", 5),),
    ),
    "refused_before_run": Case(
        (REFUSAL,), (), (HEAD + WHOLE,), retried=1,
        ends=(("a0", "refused_by_endpoint", 0), ("a1", "finished", 5)),
    ),
    "server_error": Case(
        (SERVER_ERROR,), (), (HEAD + WHOLE,), retried=1, ends=RETRIED
    ),
}  # fmt: skip


@pytest.mark.parametrize("pumped", [False, True], ids=["worker", "pump"])
@pytest.mark.parametrize("case", STREAM_CASES.values(), ids=STREAM_CASES)
def test_stream_is_whole_or_ends_with_an_error(
    case: Case, pumped: bool
) -> None:
    first = fakes.ScriptedEngine(case.first, case.resumes)
    second = fakes.ScriptedEngine(case.second)
    others = [second.address] if case.second else []
    slots = fakes.FakeSlots(others)
    relay = fakes.make_relay(slots)
    call = fakes.make_call(idempotent=case.idempotent)

    opened = relay.open(call, fakes.make_grant(first.address))
    received = fakes.read_all(opened.unwrap(), pumped)
    relay.stop()

    if case.complete:
        assert received == case.received
    else:
        assert received.startswith(case.received)
        rest = received[len(case.received) :]
        error = json.loads(rest.removeprefix(b"data: "))["error"]
        assert (error["code"], error["outcome"]) == ("answer_broken", "unknown")
    counters = relay.counters
    assert counters.resumes.total() == case.resumed
    assert counters.retries.total() == case.retried
    assert counters.continuations.total() == case.continued
    assert counters.tokens_saved == case.saved
    assert counters.duplicates_dropped == case.repeats
    assert counters.finished == case.complete
    assert counters.broken.total() == (not case.complete)
    assert sorted(slots.list_ends()) == sorted(case.ends)
    if case.saved:
        text = "".join(f"t{n} " for n in range(case.saved))
        continuation = second.bodies[0]["continue_from"]
        assert continuation == {"text": text, "tokens": case.saved}


NOT_RUN = failures.Outcome.NOT_RUN
UNKNOWN = failures.Outcome.UNKNOWN
Cause = errors.Cause


class FailureCase(NamedTuple):
    """A request that gets no answer, and what is known of its effect."""

    script: bytes | None
    cause: errors.Cause
    outcome: failures.Outcome
    streamed: bool = True
    idempotent: bool = True
    cancelled: str = "cancelled"
    engine: bool = True
    cancels: int = 0


FAILING_CASES = {
    "nothing_listens": FailureCase(None, Cause.NEVER_SENT, NOT_RUN),
    "refused": FailureCase(REFUSAL, Cause.REFUSED, NOT_RUN),
    "not_idempotent_refused_is_not_sent_again": FailureCase(
        REFUSAL, Cause.REFUSED, NOT_RUN, idempotent=False
    ),
    "crash_before_head": FailureCase(
        fakes.NO_RESPONSE, Cause.STREAM_UNKNOWN, UNKNOWN, cancels=1
    ),
    "not_idempotent_crash": FailureCase(
        HEAD, Cause.STREAM_UNKNOWN, UNKNOWN, idempotent=False, cancels=1
    ),
    "not_idempotent_server_error": FailureCase(
        SERVER_ERROR, Cause.SERVER_ERROR, UNKNOWN, idempotent=False, cancels=1
    ),
    "cancel_proves_not_run": FailureCase(
        fakes.NO_RESPONSE, Cause.NO_HEAD, NOT_RUN,
        streamed=False, idempotent=False, cancelled="not_run", cancels=1,
    ),
    "cancel_proves_nothing": FailureCase(
        fakes.NO_RESPONSE, Cause.NO_HEAD, UNKNOWN,
        streamed=False, idempotent=False, cancelled="unknown_request",
        cancels=1,
    ),
    "service_is_not_cancelled": FailureCase(
        fakes.NO_RESPONSE, Cause.NO_HEAD, UNKNOWN,
        streamed=False, idempotent=False, engine=False,
    ),
    "short_body": FailureCase(
        fakes.encode_response("200 OK", b"{}", Content_Length="9"),
        Cause.CLOSED, UNKNOWN, streamed=False, idempotent=False, cancels=1,
    ),
    # Guards against a cut answer that is taken for whole, as a killed
    # engine's connections are closed in order.
    "unframed_body": FailureCase(
        UNFRAMED, Cause.CLOSED, UNKNOWN,
        streamed=False, idempotent=False, cancels=1,
    ),
    "unframed_body_of_a_stream_request": FailureCase(
        UNFRAMED, Cause.STREAM_UNKNOWN, UNKNOWN, idempotent=False, cancels=1,
    ),
}  # fmt: skip


@pytest.mark.parametrize("case", FAILING_CASES.values(), ids=FAILING_CASES)
def test_failure_claims_only_what_is_proved(case: FailureCase) -> None:
    script = () if case.script is None else (case.script,)
    engine = fakes.ScriptedEngine(script, cancelled=case.cancelled)
    address = engine.address if script else find_free_address()
    slots = fakes.FakeSlots([])
    relay = fakes.make_relay(slots)
    call = fakes.make_call(case.streamed, case.idempotent, engine=case.engine)

    opened = relay.open(call, fakes.make_grant(address))
    relay.stop()

    failure = opened.unwrap_err()
    assert (failure.cause, failure.outcome) == (case.cause, case.outcome)
    assert len(slots.list_ends()) == 1
    assert relay.counters.failed == {case.cause.value: 1}
    assert engine.calls.count("POST /v1/cancel") == case.cancels


def test_earlier_attempt_in_doubt_keeps_the_outcome_unknown() -> None:
    first = fakes.ScriptedEngine((SERVER_ERROR,))
    second = fakes.ScriptedEngine((REFUSAL,))
    relay = fakes.make_relay(fakes.FakeSlots([second.address]))
    opened = relay.open(fakes.make_call(), fakes.make_grant(first.address))
    relay.stop()
    assert opened.unwrap_err().cause is Cause.REFUSED
    assert opened.unwrap_err().outcome is UNKNOWN


PLAIN_CASES = {
    "whole": (
        fakes.encode_response("200 OK", b'{"a": 1}'), b'{"a": 1}', 200, 0,
    ),
    "chunked": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        b"abcde", 200, 0,
    ),
    "endpoints_own_refusal": (BAD_REQUEST, b'{"error":{}}', 400, 0),
    "short": (
        fakes.encode_response("200 OK", b"{}", Content_Length="9"),
        b"second", 200, 1,
    ),
    "chunks_cut": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"second", 200, 1,
    ),
    # Guards against a cut answer that is taken for whole, as a killed
    # engine's connections are closed in order.
    "unframed": (UNFRAMED, b"second", 200, 1),
    "unframed_1_0": (
        UNFRAMED.replace(b"/1.1", b"/1.0"), b"second", 200, 1,
    ),
    "length_not_a_number": (
        fakes.encode_response("200 OK", b"{}", Content_Length="2x"),
        b"second", 200, 1,
    ),
    "no_body_by_status": (
        b"HTTP/1.1 204 No Content\r\n\r\n", b"", 204, 0,
    ),
}  # fmt: skip


@pytest.mark.parametrize(
    ("script", "body", "status", "retried"),
    PLAIN_CASES.values(),
    ids=PLAIN_CASES,
)
def test_unstreamed_answer_is_complete(
    script: bytes, body: bytes, status: int, retried: int
) -> None:
    first = fakes.ScriptedEngine((script,))
    reply = fakes.encode_response("200 OK", b"second")
    second = fakes.ScriptedEngine((reply,))
    relay = fakes.make_relay(fakes.FakeSlots([second.address]))
    call = fakes.make_call(streamed=False)
    answer = relay.open(call, fakes.make_grant(first.address)).unwrap()
    assert answer.status == status
    assert fakes.read_all(answer, pumped=False) == body
    assert ("Content-Length", str(len(body))) in answer.headers
    relay.stop()
    assert relay.counters.retries.total() == retried


def test_refused_stream_relays_the_endpoints_body() -> None:
    engine = fakes.ScriptedEngine((BAD_REQUEST,))
    relay = fakes.make_relay(fakes.FakeSlots([]))
    opened = relay.open(fakes.make_call(), fakes.make_grant(engine.address))
    relay.stop()
    assert opened.unwrap().status == 400
    assert fakes.read_all(opened.unwrap(), False) == b'{"error":{}}'


def find_free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"
