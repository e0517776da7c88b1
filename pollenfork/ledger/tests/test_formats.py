"""Keys, golden files of the formats, and the rule for retries."""

import pathlib

import pytest
import result

from pollenfork import failures
from pollenfork.ledger import keys
from pollenfork.ledger import records
from pollenfork.ledger import retries
from pollenfork.settings import model

GOLDEN = pathlib.Path(__file__).parent / "golden"
ANSWER = records.Answer(
    201, (("Content-Type", "application/json"), ("X-A", "é")), b"\x00\xff{}"
)
RECORD = records.Record(
    state=records.State.DONE,
    account="settlement",
    fingerprint=bytes(range(32)),
    attempt="0123456789abcdef",
    owner="entry-1",
    incarnation=1_700_000_000_000,
    claimed_ms=1_700_000_000_001,
    changed_ms=1_700_000_009_999,
    answer_digest=records.compute_digest(records.encode_answer(ANSWER)),
)


def read_golden(name):
    return bytes.fromhex((GOLDEN / name).read_text())


@pytest.mark.parametrize(
    ("name", "value", "encode", "decode"),
    [
        ("record-1", RECORD, records.encode_record, records.decode_record),
        ("answer-1", ANSWER, records.encode_answer, records.decode_answer),
    ],
)
def test_stored_data_matches_the_golden_files(name, value, encode, decode):
    stored = read_golden(f"{name}.hex")
    assert encode(value) == stored
    assert decode(stored) == result.Ok(value)
    appended = stored[:1] + bytes([stored[1] + 1]) + stored[2:] + b"\xc3"
    assert decode(appended) == result.Ok(value)  # Written by a later version.


@pytest.mark.parametrize("stored", [b"", b"\x02\x90", b"\x01", b"\x01\x93\x09"])
def test_other_formats_and_corrupt_data_are_reported(stored):
    for decode in (records.decode_record, records.decode_answer):
        failure = decode(stored).unwrap_err()
        assert isinstance(failure, records.UnreadableRecord)


def test_numbers_of_the_states_are_stable():
    assert [(state.name, state.value) for state in records.State] == [
        ("OPEN", 1),
        ("DONE", 2),
        ("NOT_RUN", 3),
        ("UNKNOWN", 4),
    ]


@pytest.mark.parametrize(
    ("header", "key"),
    [
        ('"8e03978e-40d5"', "8e03978e-40d5"),
        (" 8e03978e-40d5 ", "8e03978e-40d5"),
        (r'"a \"b\" \\"', r'a "b" \\'[:-1]),
        ('"' + "k" * 255 + '"', "k" * 255),
        ('"' + "k" * 256 + '"', None),
        ('""', None),
        ("", None),
        ('"open', None),
        ("two words", None),
        ('"é"', None),
        ('"a\tb"', None),
        (r'"\a"', None),
    ],
)
def test_header_parsing(header, key):
    read = keys.read_header("settlement", header)
    if key is None:
        assert isinstance(read.unwrap_err(), keys.BadKey)
    else:
        assert read.unwrap() == keys.RequestKey("settlement", key)


def test_rows_differ_by_account_and_key():
    pairs = [("a", "bc"), ("ab", "c"), ("a", "bd"), ("abc", ""), ("", "abc")]
    assert len({keys.RequestKey(*pair).row for pair in pairs}) == len(pairs)
    assert keys.RequestKey("a", "bc").row == (
        "ledger/"
        "3fafa1cf2f19a7c1129beb20cf0983f73a489a221fc0dd2f16d1be292d089205"
    )


def test_fingerprints_differ_by_method_path_and_body():
    arguments = [
        ("POST", "/a", b"x"),
        ("PUT", "/a", b"x"),
        ("POST", "/b", b"x"),
        ("POST", "/a", b"y"),
        ("POST", "/ax", b""),
    ]
    fingerprints = {keys.compute_fingerprint(*one) for one in arguments}
    assert len(fingerprints) == len(arguments)


POSTINGS = model.ServiceSettings(
    endpoints=("meter-1",), repeatable_methods=("GET", "PUT")
)
DONE, NOT_RUN, UNKNOWN = (
    failures.Outcome.DONE,
    failures.Outcome.NOT_RUN,
    failures.Outcome.UNKNOWN,
)


@pytest.mark.parametrize(
    ("method", "service", "has_key", "outcome", "sent", "expected"),
    [
        ("POST", POSTINGS, False, UNKNOWN, True, "forbidden"),
        ("POST", POSTINGS, False, NOT_RUN, True, "forbidden"),
        ("POST", POSTINGS, False, NOT_RUN, False, "never_sent"),
        ("POST", POSTINGS, False, UNKNOWN, False, "forbidden"),
        ("POST", POSTINGS, True, UNKNOWN, True, "forbidden"),
        ("POST", POSTINGS, True, NOT_RUN, True, "not_run_under_key"),
        ("POST", POSTINGS, True, NOT_RUN, False, "never_sent"),
        ("POST", POSTINGS, True, DONE, True, "forbidden"),
        ("GET", POSTINGS, False, UNKNOWN, True, "idempotent"),
        ("put", POSTINGS, True, UNKNOWN, True, "idempotent"),
        ("PUT", POSTINGS, False, DONE, True, "forbidden"),
        ("POST", None, False, UNKNOWN, True, "idempotent"),
        ("POST", None, False, DONE, True, "forbidden"),
    ],
)
def test_retry_rule(method, service, has_key, outcome, sent, expected):
    arguments = (method, service, has_key, outcome, sent)
    assert retries.decide_retry(*arguments) is retries.RetryRule(expected)
    assert retries.may_retry(*arguments) is (expected != "forbidden")
