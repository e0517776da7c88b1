import base64
import json

from hypothesis import given
from hypothesis import strategies
import pytest
import result

from pollenfork.catalogue import messages
from pollenfork.fleet import errors
from pollenfork.fleet import model as fleet
from pollenfork.platform import rows
from pollenfork.platform import store

Fault = errors.EntryFault
PLATFORM = store.Store("h")

ENTRY = {
    "service": "huvo",
    "address": "10.128.0.9:8080",
    "zone": "amman-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold-remaining-ms": 1500,
    "sequence": 4,
}
ENGINE = {**ENTRY, "stage": "combined", "models": [{"name": "m"}]}


def decode(value: bytes, key: str = "i-7"):
    return PLATFORM.decode_runner(messages.Row(key, value, 1))


def find_fault(entry: object, key: str = "i-7") -> Fault | None:
    decoded = decode(json.dumps(entry).encode(), key)
    return decoded.err_value.fault if isinstance(decoded, result.Err) else None


@pytest.mark.parametrize("entry", [ENTRY, ENGINE, {**ENTRY, "later": 1}])
@pytest.mark.parametrize("born", [{}, {"born": 0}, {"born": 1764712843123}])
def test_entries_that_runners_write_are_accepted(
    entry: dict, born: dict
) -> None:
    assert find_fault({**entry, **born}) is None


def test_a_runners_entry_is_decoded() -> None:
    runner = decode(json.dumps(ENTRY).encode()).unwrap()
    assert (runner.id, runner.host, runner.port) == ("i-7", "10.128.0.9", 8080)
    assert not runner.leaving and runner.cold_s == 1.5
    leaving = {**ENTRY, "state": "draining"}
    assert decode(json.dumps(leaving).encode()).unwrap().leaving


@pytest.mark.parametrize("field", list(ENTRY))
def test_an_entry_with_a_missing_field_is_rejected(field: str) -> None:
    rest = {name: value for name, value in ENTRY.items() if name != field}
    assert find_fault(rest) is Fault.MISSING_FIELD


@pytest.mark.parametrize("field", [*ENGINE, "born"])
@pytest.mark.parametrize("value", [None, True, {}, [3], "7", 2.5])
def test_a_field_of_the_wrong_type_is_rejected(
    field: str, value: object
) -> None:
    types = {
        "service": str,
        "address": str,
        "zone": str,
        "version": str,
        "state": str,
        "stage": str,
        "models": list,
        "cold-remaining-ms": float,
    }
    if type(value) is not types.get(field, int):
        assert find_fault({**ENGINE, field: value}) is Fault.OTHER_TYPE


@pytest.mark.parametrize(
    ("field", "value", "fault"),
    [
        ("slots", 0, Fault.OUT_OF_RANGE),
        ("slots", -4, Fault.OUT_OF_RANGE),
        ("slots", 10**9, Fault.OUT_OF_RANGE),
        ("sequence", -1, Fault.OUT_OF_RANGE),
        ("born", -1, Fault.OUT_OF_RANGE),
        pytest.param(
            "born", 10**399, Fault.OUT_OF_RANGE, id="born-of-400-digits"
        ),
        ("born", 2**63, Fault.OUT_OF_RANGE),
        pytest.param(
            "sequence", 10**399, Fault.OUT_OF_RANGE, id="sequence-of-400-digits"
        ),
        ("born", 1764712843123.0, Fault.OTHER_TYPE),
        ("born", 1764712843123.5, Fault.OTHER_TYPE),
        ("cold-remaining-ms", -1, Fault.OUT_OF_RANGE),
        ("service", "", Fault.OUT_OF_RANGE),
        ("zone", "", Fault.OUT_OF_RANGE),
        ("state", "", Fault.UNKNOWN_STATE),
        ("state", "READY", Fault.UNKNOWN_STATE),
        ("state", "sleeping", Fault.UNKNOWN_STATE),
        ("address", "", Fault.NO_ADDRESS),
        ("address", "10.128.0.9", Fault.NO_ADDRESS),
        ("address", ":8080", Fault.NO_ADDRESS),
        ("address", "10.128.0.9:0", Fault.NO_ADDRESS),
        ("address", "10.128.0.9:99999", Fault.NO_ADDRESS),
        ("address", "10.128.0.9:-1", Fault.NO_ADDRESS),
        ("address", "10.128.0.9:8\u0660", Fault.NO_ADDRESS),
        ("address", "10.128.0.900:8080", Fault.NO_ADDRESS),
        ("address", "0.0.0.0:8080", Fault.NO_ADDRESS),
        ("address", "runner.example:8080", Fault.NO_ADDRESS),
        ("address", "10.128.0.9\r\nx: y:8080", Fault.NO_ADDRESS),
    ],
)
def test_an_invalid_value_is_rejected(field, value, fault) -> None:
    assert find_fault({**ENTRY, field: value}) is fault


@pytest.mark.parametrize(
    "key", ["", "a b", "i-7\r\nx: y", "i-\u00e9", "i" * 201]
)
def test_an_id_that_is_no_valid_header_value_is_rejected(key: str) -> None:
    assert find_fault(ENTRY, key) is Fault.OUT_OF_RANGE


@pytest.mark.parametrize(
    "value", [b"", b"\xff\x00", b"{", b"[]", b"7", b'"x"', b"[" * 100_000]
)
def test_bytes_that_are_no_json_object_are_rejected(value: bytes) -> None:
    assert decode(value).err_value.fault is Fault.NOT_DECODABLE


_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=5,
)


@given(
    key=strategies.text(max_size=30),
    changes=strategies.dictionaries(
        strategies.sampled_from([*ENGINE, "born"]), _VALUES
    ),
)
def test_any_entry_is_rejected_or_gives_a_usable_runner(
    key: str, changes: dict
) -> None:
    decoded = decode(json.dumps({**ENGINE, **changes}).encode(), key)
    if isinstance(decoded, result.Err):
        assert isinstance(decoded.err_value, errors.BadEntry)
        return
    runner = decoded.ok_value
    assert isinstance(runner, fleet.Runner)
    assert 0 < runner.port < 65536 and runner.slots > 0
    assert "\n" not in runner.id + runner.host


@given(strategies.binary(max_size=200), strategies.text(max_size=20))
def test_arbitrary_bytes_raise_no_exception(value: bytes, key: str) -> None:
    assert isinstance(decode(value, key), result.Err)


def test_invalid_base64_in_one_row_leaves_the_others_readable() -> None:
    valid = base64.b64encode(json.dumps(ENTRY).encode()).decode()
    encoded = [
        {"key": "a", "value": valid, "row-version": 3},
        {"key": "b", "value": valid[:-3], "row-version": 4},
        {"key": "c", "value": "\u00e9" + valid, "row-version": 5},
        {"key": "d", "value": valid, "row-version": 6},
    ]
    body = json.dumps({"row-version": 7, "rows": encoded}).encode()
    decoded = rows.decode(body).unwrap().rows
    accepted = [
        row.key
        for row in decoded
        if isinstance(PLATFORM.decode_runner(row), result.Ok)
    ]
    assert accepted == ["a", "d"]
    assert [row.version for row in decoded] == [3, 4, 5, 6]


def test_the_software_version_is_decoded_and_fits_in_a_datagram() -> None:
    entry = json.dumps({**ENTRY, "version": "v1.2"}).encode()
    assert decode(entry).ok_value.version == "v1.2"
    long = [
        decode(json.dumps({**ENTRY, "version": text * 65}).encode()).ok_value
        for text in "ab"
    ]
    assert all(len(each.version) <= 64 for each in long)
    assert long[0].version != long[1].version
