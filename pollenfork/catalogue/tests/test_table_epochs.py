"""Tables passed between instances while the store is restored."""

import msgspec

from pollenfork import versions
from pollenfork.catalogue import messages
from pollenfork.catalogue import table_copy
from pollenfork.loads import messages as loads


def make_copy(epoch: int) -> table_copy.TableCopy:
    copy = table_copy.TableCopy()
    row = messages.Row("a", b"x", versions.combine(epoch, 7))
    copy.apply(messages.Changes((row,), versions.combine(epoch, 9)))
    return copy


def test_a_table_carries_its_epoch() -> None:
    rows = table_copy.decode(make_copy(3).encode()).unwrap()
    assert rows.version == versions.combine(3, 9)
    assert rows.last_change == versions.combine(3, 7)
    assert [row.version for row in rows.rows] == [versions.combine(3, 7)]


# An earlier build reads plain versions, and sends a shorter list without epoch.
def test_tables_and_statuses_of_an_earlier_build_are_of_no_epoch() -> None:
    encoded = msgspec.msgpack.decode(make_copy(3).encode())
    assert encoded[0] == 9 and encoded[3] == 7
    rows = table_copy.decode(msgspec.msgpack.encode(encoded[:4])).unwrap()
    assert versions.get_epoch(rows.version) == 0
    status = msgspec.msgpack.decode(
        msgspec.msgpack.encode([7, 8, 0.5]), type=loads.StoreStatus
    )
    assert status.versions == (7, 8)


class StatusBefore(msgspec.Struct, array_like=True):
    """A status as the build before this one sends and reads it."""

    configuration: int
    runners: int
    age_s: float
    answered_s: float | None = None
    configuration_epoch: int = 0
    runners_epoch: int = 0


def test_statuses_with_and_without_a_configuration_are_read_by_both() -> None:
    sent = loads.StoreStatus(7, 8, 0.5, 0.1, 2, 2, in_force=41)
    before = msgspec.msgpack.decode(
        msgspec.msgpack.encode(sent), type=StatusBefore
    )
    assert before == StatusBefore(7, 8, 0.5, 0.1, 2, 2)
    read = msgspec.msgpack.decode(
        msgspec.msgpack.encode(before), type=loads.StoreStatus
    )
    assert read == msgspec.structs.replace(sent, in_force=0)
