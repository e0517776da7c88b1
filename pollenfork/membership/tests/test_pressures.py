"""Decoded deltas reproduce the pressure that was sent."""

from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest

from pollenfork import ids
from pollenfork.dispatch import messages
from pollenfork.membership import errors
from pollenfork.membership import pressures

_NAME = ids.InstanceId("entry-1")
_TIER = strategies.integers(0, 6)
_DEMANDS = strategies.dictionaries(
    strategies.tuples(strategies.sampled_from("abc"), _TIER),
    strategies.tuples(
        strategies.integers(1, 300), strategies.integers(0, 70_000)
    ),
)
_OCCUPANCIES = strategies.dictionaries(
    strategies.tuples(strategies.text("xyz", max_size=3), _TIER),
    strategies.integers(1, 300),
)
_LEAVING = strategies.lists(strategies.sampled_from("xyz"), unique=True)


def _build(demands, occupancies, leaving=()):
    return messages.Pressure(
        instance=_NAME,
        demands=tuple(
            messages.Demand(*cell, *value) for cell, value in demands.items()
        ),
        occupancies=tuple(
            messages.Occupancy(*cell, count)
            for cell, count in occupancies.items()
        ),
        leaving=tuple(leaving),
    )


def _cells(pressure):
    demands = {
        (d.model, d.tier): (d.waiting, d.oldest_wait_ms)
        for d in pressure.demands
    }
    return demands, set(pressure.occupancies), pressure.leaving


def _assert_same(decoded, sent):
    decoded_demands, *decoded_rest = _cells(decoded)
    sent_demands, *sent_rest = _cells(sent)
    assert decoded_rest == sent_rest
    assert decoded_demands.keys() == sent_demands.keys()
    for cell, (waiting, wait_ms) in sent_demands.items():
        assert decoded_demands[cell][0] == waiting
        assert abs(decoded_demands[cell][1] - wait_ms) <= 100


@given(
    strategies.lists(
        strategies.tuples(
            _DEMANDS, _OCCUPANCIES, _LEAVING, strategies.floats(0, 10)
        ),
        min_size=1,
    ),
    strategies.integers(0, 5),
)
def test_any_series_is_decoded_as_sent(series, lost):
    encoder = pressures.PressureEncoder()
    decoder = pressures.PressureDecoder(_NAME)
    now = 0.0
    for sequence, (demands, occupancies, leaving, step) in enumerate(series, 1):
        now += step
        sent = _build(demands, occupancies, leaving)
        body = encoder.encode_delta(sent, now)
        if sequence == lost:
            continue
        decoded = decoder.apply(sequence, body)
        if sequence == 1 or sequence - 1 == lost:
            failure = decoded.unwrap_err()
            assert isinstance(failure, errors.MissingBase)
            decoded = decoder.apply(sequence, encoder.encode_full())
        _assert_same(decoded.unwrap(), sent)


def test_deltas_ahead_of_full_state_are_buffered():
    encoder = pressures.PressureEncoder()
    decoder = pressures.PressureDecoder(_NAME)
    encoder.encode_delta(_build({}, {("x", 0): 1}), 1.0)
    full = encoder.encode_full()
    for sequence in (2, 3):
        sent = _build({("a", 1): (sequence, 0)}, {("x", 0): sequence})
        decoder.apply(sequence, encoder.encode_delta(sent, 1.0))
    _assert_same(decoder.apply(1, full).unwrap(), sent)
    assert decoder.sequence == 3


def test_old_names_do_not_accumulate():
    encoder = pressures.PressureEncoder()
    decoder = pressures.PressureDecoder(_NAME)
    decoder.apply(0, encoder.encode_full())
    for sequence in range(1, 40):
        names = {(f"runner-{sequence}-{n}", 0): 1 for n in range(100)}
        sent = _build({}, names)
        body = encoder.encode_delta(sent, 1.0)
        _assert_same(decoder.apply(sequence, body).unwrap(), sent)
    assert len(encoder.encode_full()) < 64 * 1024


def test_unchanged_queue_takes_few_bytes():
    demands = {("a", tier): (3, 200) for tier in range(7)}
    occupancies = {(f"runner-{n}", n % 7): 2 for n in range(100)}
    encoder = pressures.PressureEncoder()
    encoder.encode_delta(_build(demands, occupancies), 1.0)
    waited = dict.fromkeys(demands, (3, 1200))
    assert len(encoder.encode_delta(_build(waited, occupancies), 2.0)) < 16


def _pack(*fields):
    return msgspec.msgpack.encode(fields)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xc1" * 50,
        _pack(True, "now"),
        _pack(True, 1, [0, 1]),  # A demand of two numbers.
        _pack(True, 1, [16, 1, 0], [], ["a"]),  # No such model.
        _pack(True, 1, [], [-16, 1], [], ["x"]),
        _pack(True, 1, [], [0, 0], [], ["x"]),  # Removes a missing cell.
        _pack(True, 1, [], [], [], [f"x{n}" for n in range(5000)]),
    ],
)
def test_invalid_delta_is_rejected_and_full_state_needed(body):
    encoder = pressures.PressureEncoder()
    decoder = pressures.PressureDecoder(_NAME)
    sent = _build({}, {("x", 1): 2})
    encoder.encode_delta(sent, 1.0)
    decoder.apply(1, encoder.encode_full())
    failure = decoder.apply(2, body).unwrap_err()
    assert isinstance(failure, errors.Undecodable)
    after = decoder.apply(3, encoder.encode_delta(sent, 1.0)).unwrap_err()
    assert isinstance(after, errors.MissingBase)
    _assert_same(decoder.apply(3, encoder.encode_full()).unwrap(), sent)
