"""Requests under a key: every ending is recorded, none twice."""

from collections.abc import Iterator
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
    """Notes the first ending, as the ledger's claim does."""

    def __init__(self) -> None:
        self.ending: tuple[Any, ...] | None = None

    def may_send(self) -> bool:
        return True

    def record_done(self, status: int, headers: Any, body: bytes) -> None:
        self._end("done", status, list(headers), body)

    def record_not_run(self) -> None:
        self._end("not_run")

    def record_unknown(self) -> None:
        self._end("unknown")

    def _end(self, *ending: Any) -> None:
        self.ending = self.ending or ending


class Claims:
    def __init__(self, refusal: Any = None) -> None:
        self.claim_made = Claim()
        self.asked: list[tuple[keys.RequestKey, bytes]] = []
        self._refusal = refusal

    def claim(
        self, key: keys.RequestKey, fingerprint: bytes, now: float
    ) -> Any:
        self.asked.append((key, fingerprint))
        if self._refusal:
            return result.Err(self._refusal)
        return result.Ok(self.claim_made)


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

    keeper = idempotency.IdempotencyGuard(claims, clock.ManualClock())
    return keeper.run(header, ask, CALL, run_once)


def answer(parts: list[bytes], status: int = 200) -> Any:
    def make() -> Iterator[bytes]:
        yield from parts

    return result.Ok(session.Answer(status, [("A", "b")], make()))


@pytest.mark.parametrize("read", [0, 1, 9])
@pytest.mark.parametrize(
    ("parts", "status", "ending"),
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
def test_answer_is_kept_only_whole_even_if_its_caller_goes(
    parts: list[bytes], status: int, ending: str, read: int
) -> None:
    claims = Claims()
    chunks = run(claims, answer(parts, status)).unwrap().chunks
    for _ in range(read):
        next(chunks, None)
    chunks.close()
    done = ("done", status, [("A", "b")], b"".join(parts))
    expected = done if ending == "done" else ("unknown",)
    assert claims.claim_made.ending == expected


@pytest.mark.parametrize(
    ("outcome", "ending"),
    [
        (failures.Outcome.NOT_RUN, "not_run"),
        (failures.Outcome.UNKNOWN, "unknown"),
    ],
)
def test_refusal_frees_the_key_only_with_proof(
    outcome: failures.Outcome, ending: str
) -> None:
    claims = Claims()
    refused = errors.Refusal(
        status=503,  # type: ignore[arg-type]
        code=errors.Code.ENDPOINT_FAILED,
        outcome=outcome,
    )
    assert run(claims, result.Err(refused)).is_err()
    assert claims.claim_made.ending == (ending,)


def test_failure_of_the_router_leaves_the_outcome_unknown() -> None:
    claims = Claims()
    with pytest.raises(OSError, match="lost"):
        run(claims, OSError("lost"))
    assert claims.claim_made.ending == ("unknown",)


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
def test_claim_refused(
    refusal: Any, status: int, code: str, outcome: str
) -> None:
    refused = run(Claims(refusal), OSError("ran")).unwrap_err()
    assert refused.status == status
    assert refused.code.value == code
    assert refused.outcome.value == outcome
    assert refused.detail


def test_repeat_gets_the_kept_answer() -> None:
    kept = records.Answer(201, (("A", "b"),), b"whole")
    replayed = run(
        Claims(ledger_errors.Replay(answer=kept)), OSError("ran")
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
    assert claims.asked == []


def test_without_a_ledger_nothing_runs_under_a_key() -> None:
    refused = run(None, OSError("ran")).unwrap_err()
    assert refused.code is errors.Code.RECORD_UNAVAILABLE
    assert refused.outcome is failures.Outcome.NOT_RUN


def test_keys_are_apart_by_team_and_prints_by_service() -> None:
    claims = Claims()
    replace = msgspec.structs.replace
    for ask in (
        ASK,
        replace(ASK, team=ids.Team("ledger")),
        replace(ASK, service=ids.ServiceName("meter")),
        replace(ASK, service=ids.ServiceName("prices")),
    ):
        run(claims, answer([]), ask=ask).unwrap()
    (first, other_team, meter, prices) = claims.asked
    assert first[0].row != other_team[0].row
    assert first[0].row == meter[0].row
    assert len({first[1], meter[1], prices[1]}) == 3
