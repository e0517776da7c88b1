"""Rows against golden files, which later versions must still read."""

import pathlib

import pytest
import result

from pollenfork import ids
from pollenfork.endpoints import edges
from pollenfork.endpoints import rows

_GOLDEN = pathlib.Path(__file__).parent / "golden"

LEASE = rows.LeaseRow(
    holder=ids.InstanceId("i1"),
    fencing=ids.FencingNumber(7),
    write_id=ids.WriteId("w1"),
    lease_ms=30_000,
    order_ms=10_000,
    sequence=5,
    pending=rows.PendingOrder(
        sequence=5, kind=edges.OrderKind.LOAD_MODEL, argument="m@2"
    ),
    applied=rows.Applied(
        models=("m@1",), adapters=("a@3",), role="decode", drained="w0"
    ),
)
LOADING = rows.LoadingRow(endpoints=(ids.EndpointId("e1"),))
DRAIN = rows.DrainRow(
    drain_id=ids.WriteId("w2"),
    endpoint=ids.EndpointId("e1"),
    asked_by=ids.InstanceId("i1"),
)


@pytest.mark.parametrize("row", [LEASE, LOADING, DRAIN])
def test_rows_match_the_golden_files(row):
    name = type(row).__name__.lower()
    golden = (_GOLDEN / f"{name}.json").read_bytes().rstrip(b"\n")
    assert rows.encode(row) == golden
    assert rows.decode(golden, type(row)) == result.Ok(row)


@pytest.mark.parametrize(
    "value", [b"", b"{", b"[]", b'{"endpoints":3}', b'{"format":2}']
)
def test_unreadable_rows_are_rejected(value):
    answer = rows.decode(value, rows.LoadingRow)
    assert isinstance(answer.err_value, rows.BadRow)


def test_unknown_fields_are_ignored():
    value = b'{"endpoints":["e1"],"format":1,"since":4}'
    assert rows.decode(value, rows.LoadingRow) == result.Ok(LOADING)
