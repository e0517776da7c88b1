"""Requests with an idempotency key: each outcome is recorded once."""

from collections.abc import Iterator
import tracemalloc
from typing import Any

import msgspec
import pytest
import result

from pollenfork import clock
from pollenfork import failures
from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.answers import messages as answer_messages
from pollenfork.answers import session
from pollenfork.entry import errors
from pollenfork.entry import idempotency
from pollenfork.ledger import errors as ledger_errors
from pollenfork.ledger import keys
from pollenfork.ledger import records

EVENT = b'data: {"text": " data: [DONE]"}\n\n'
DONE = b"data: [DONE]\n\n"
ERROR = b'data: {"error": {"code": "answer_broken"}}\n\n'


class Claim:
    """Keeps the first recorded outcome, like the ledger's claim."""

    def __init__(self) -> None:
        self.recorded_outcome: tuple[Any, ...] | None = None

    def may_send(self) -> bool:
        return True

    def record_done(self, status: int, headers: Any, body: bytes) -> None:
        self._record("done", status, list(headers), body)

    def record_not_run(self) -> None:
        self._record("not_run")

    def record_unknown(self) -> None:
        self._record("unknown")

    def _record(self, *recorded_outcome: Any) -> None:
        self.recorded_outcome = self.recorded_outcome or recorded_outcome


class Claims:
    def __init__(self, refusal: Any = None) -> None:
        self.granted_claim = Claim()
        self.claimed: list[tuple[keys.RequestKey, bytes]] = []
        self._refusal = refusal

    def claim(
        self, key: keys.RequestKey, fingerprint: bytes, now: float
    ) -> Any:
        self.claimed.append((key, fingerprint))
        if self._refusal:
            return result.Err(self._refusal)
        return result.Ok(self.granted_claim)


ASK = admission_messages.Ask(
    request=ids.RequestId("r"),
    team=ids.Team("linework"),
    account=ids.AccountId("crew"),
    class_name=ids.ClassName("morning"),
    tier=ids.Tier(0),
    model=ids.ModelName("lines"),
    arrived=0,
    first_token_due=1,
    give_up_at=1,
)
CALL = answer_messages.Call(
    request=ids.RequestId("r"),
    method="POST",
    path="/v1/completions",
    headers=(),
    body=b"{}",
    streamed=True,
    idempotent=True,
    first_token_due=1,
    give_up_at=1,
)


def run(
    claims: Claims | None,
    served: Any = None,
    header: str = "k",
    ask: admission_messages.Ask = ASK,
) -> Any:
    def run_once(may_send: Any) -> Any:
        if isinstance(served, Exception):
            raise served
        return served

    guard = idempotency.IdempotencyGuard(claims, clock.ManualClock())
    return guard.run(header, ask, CALL, run_once)


def answer(parts: list[bytes], status: int = 200) -> Any:
    def make() -> Iterator[bytes]:
        yield from parts

    return result.Ok(session.Answer(status, [("A", "b")], make()))


@pytest.mark.parametrize("read", [0, 1, 9])
@pytest.mark.parametrize(
    ("parts", "status", "recorded_outcome"),
    [
        ([EVENT, DONE], 200, "done"),
        ([EVENT + DONE], 200, "done"),
        ([DONE], 200, "done"),
        ([EVENT, DONE[:5], DONE[5:]], 200, "done"),
        ([EVENT, ERROR], 200, "unknown"),
        ([EVENT], 200, "unknown"),
        ([], 200, "unknown"),
        ([b"bad request"], 400, "done"),
        ([b"lost"], 500, "unknown"),
    ],
)
def test_answer_is_recorded_only_if_complete_even_after_a_disconnect(
    parts: list[bytes], status: int, recorded_outcome: str, read: int
) -> None:
    claims = Claims()
    chunks = run(claims, answer(parts, status)).unwrap().chunks
    for _ in range(read):
        next(chunks, None)
    chunks.close()
    done = ("done", status, [("A", "b")], b"".join(parts))
    expected = done if recorded_outcome == "done" else ("unknown",)
    assert claims.granted_claim.recorded_outcome == expected


@pytest.mark.parametrize(
    ("outcome", "recorded_outcome"),
    [
        (failures.Outcome.NOT_RUN, "not_run"),
        (failures.Outcome.UNKNOWN, "unknown"),
    ],
)
def test_refusal_releases_the_key_only_if_not_run(
    outcome: failures.Outcome, recorded_outcome: str
) -> None:
    claims = Claims()
    refused = errors.Refusal(
        status=503,  # type: ignore[arg-type]
        code=errors.Code.ENDPOINT_FAILED,
        outcome=outcome,
    )
    assert run(claims, result.Err(refused)).is_err()
    assert claims.granted_claim.recorded_outcome == (recorded_outcome,)


def test_exception_leaves_the_outcome_unknown() -> None:
    claims = Claims()
    with pytest.raises(OSError, match="lost"):
        run(claims, OSError("lost"))
    assert claims.granted_claim.recorded_outcome == ("unknown",)


@pytest.mark.parametrize(
    ("refusal", "status", "code", "outcome"),
    [
        (ledger_errors.Running(), 409, "idempotent_request_running", "unknown"),
        (ledger_errors.UnknownOutcome(), 409, "outcome_unknown", "unknown"),
        (ledger_errors.KeyReused(), 422, "idempotency_key_reused", "not_run"),
        (ledger_errors.AnswerNotKept(), 409, "answer_not_kept", "done"),
        (ledger_errors.AnswerUnavailable(), 503, "record_unavailable", "done"),
        (ledger_errors.LedgerDown(), 503, "record_unavailable", "not_run"),
    ],
)
def test_refused_claim_is_mapped_to_an_error(
    refusal: Any, status: int, code: str, outcome: str
) -> None:
    refused = run(Claims(refusal), OSError("ran")).unwrap_err()
    assert refused.status == status
    assert refused.code.value == code
    assert refused.outcome.value == outcome
    assert refused.detail


def test_retry_gets_the_recorded_answer() -> None:
    recorded = records.Answer(201, (("A", "b"),), b"whole")
    replayed = run(
        Claims(ledger_errors.Replay(answer=recorded)), OSError("ran")
    ).unwrap()
    assert replayed.status == 201
    assert replayed.headers == [("A", "b"), ("Idempotent-Replayed", "true")]
    assert b"".join(replayed.chunks) == b"whole"


@pytest.mark.parametrize("header", ["", '""', "a b", '"a', "k" * 256, "ä"])
def test_bad_key_is_refused_without_a_claim(header: str) -> None:
    claims = Claims()
    refused = run(claims, OSError("ran"), header).unwrap_err()
    assert refused.status == 400
    assert refused.code is errors.Code.BAD_IDEMPOTENCY_KEY
    assert claims.claimed == []


def test_request_with_a_key_is_refused_without_a_ledger() -> None:
    refused = run(None, OSError("ran")).unwrap_err()
    assert refused.code is errors.Code.RECORD_UNAVAILABLE
    assert refused.outcome is failures.Outcome.NOT_RUN


def test_keys_differ_by_team_and_fingerprints_by_service() -> None:
    claims = Claims()
    replace = msgspec.structs.replace
    for ask in (
        ASK,
        replace(ASK, team=ids.Team("ledger")),
        replace(ASK, service=ids.ServiceName("meter")),
        replace(ASK, service=ids.ServiceName("prices")),
    ):
        run(claims, answer([]), ask=ask).unwrap()
    (first, other_team, meter, prices) = claims.claimed
    assert first[0].row != other_team[0].row
    assert first[0].row == meter[0].row
    assert len({first[1], meter[1], prices[1]}) == 3


# Guards against an answer in short events that takes many times its bytes until
# it is recorded, as each event was kept as an object and joined at the end.
def test_a_recorded_answer_takes_memory_as_its_bytes() -> None:
    event = b"data: x\n\n"
    count = 100_000

    def make() -> Iterator[bytes]:
        for _ in range(count):
            yield bytes(bytearray(event))
        yield DONE

    claims = Claims()
    served = result.Ok(session.Answer(200, [("A", "b")], make()))
    chunks = run(claims, served).unwrap().chunks
    tracemalloc.start()
    try:
        for _ in chunks:
            pass
        _, most = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    _, _, _, body = claims.granted_claim.recorded_outcome
    assert body == event * count + DONE
    assert most <= 1.5 * len(body)
