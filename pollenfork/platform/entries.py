"""The runners' entries, checked and decoded.

Runners write them, but whoever else can write to the table may leave anything
there. An entry names a runner only if every field that runners write is there
and means something; one that doesn't is told with the first thing wrong.
"""

import ipaddress
import math
import re
from typing import Any

import msgspec
import result

from pollenfork import ids
from pollenfork.fleet import errors
from pollenfork.fleet import model as fleet

_Fault = errors.EntryFault
_Faulty = result.Err[errors.BadEntry]

_LARGEST_PORT = 65_535
# More places than any runner has; a larger number is nobody's.
_LARGEST_SLOTS = 1_000_000
_READY = "ready"
_STATES = frozenset({_READY, "draining"})
# An id goes into the head of each request to its runner.
_ID = re.compile(r"[!-~]{1,200}")


class _Entry(msgspec.Struct, rename="kebab"):
    """What runners write, but for what isn't used and may be missing.

    `born` is missing where a runner says nothing of its start, `stage` and
    `models` at plain services.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    cold_remaining_ms: float
    sequence: int
    spot: bool = False
    born: int | msgspec.UnsetType = msgspec.UNSET
    stage: str | msgspec.UnsetType = msgspec.UNSET
    models: list[Any] | msgspec.UnsetType = msgspec.UNSET


_REQUIRED = frozenset(
    field.encode_name
    for field in msgspec.structs.fields(_Entry)
    if field.required
)


def read(
    key: str, value: bytes
) -> result.Result[fleet.Runner, errors.BadEntry]:
    """Decodes one runner's entry.

    Args:
        key: The row's key, which is the runner's id.
        value: The row's bytes.
    """
    return _decode(value).and_then(lambda entry: _check(key, entry))


def read_start(born: int | msgspec.UnsetType) -> ids.RunnerStart | None:
    """Returns when a runner started; None where it doesn't say."""
    return None if born is msgspec.UNSET else ids.RunnerStart(born)


def _decode(value: bytes) -> result.Result[_Entry, errors.BadEntry]:
    try:
        told = msgspec.json.decode(value)
    except (msgspec.MsgspecError, RecursionError) as error:
        return _fail(_Fault.NOT_DECODABLE, str(error))
    if not isinstance(told, dict):
        return _fail(_Fault.NOT_DECODABLE, "not an object")
    missing = _REQUIRED - told.keys()
    if missing:
        return _fail(_Fault.MISSING_FIELD, ", ".join(sorted(missing)))
    try:
        return result.Ok(msgspec.convert(told, _Entry))
    except msgspec.ValidationError as error:
        return _fail(_Fault.OTHER_TYPE, str(error))


def _check(
    key: str, entry: _Entry
) -> result.Result[fleet.Runner, errors.BadEntry]:
    wrong = _find_out_of_range(key, entry)
    if wrong is not None:
        return _fail(_Fault.OUT_OF_RANGE, wrong)
    if entry.state not in _STATES:
        return _fail(_Fault.UNKNOWN_STATE, entry.state)
    address = _read_address(entry.address)
    if address is None:
        return _fail(_Fault.NO_ADDRESS, entry.address)
    host, port = address
    return result.Ok(
        fleet.Runner(
            id=ids.EndpointId(key),
            service=ids.ServiceName(entry.service),
            host=host,
            port=port,
            data_centre=ids.DataCentre(entry.zone),
            slots=entry.slots,
            leaving=entry.state != _READY,
            cold_s=entry.cold_remaining_ms / 1000.0,
            start=read_start(entry.born),
            sequence=entry.sequence,
            reclaimable=entry.spot,
        )
    )


def _find_out_of_range(key: str, entry: _Entry) -> str | None:
    """Returns the name of a field whose value can't be a runner's."""
    cold_ms = entry.cold_remaining_ms
    fits = {
        "id": _ID.fullmatch(key) is not None,
        "service": bool(entry.service),
        "zone": bool(entry.zone),
        "slots": 0 < entry.slots <= _LARGEST_SLOTS,
        "cold-remaining-ms": math.isfinite(cold_ms) and cold_ms >= 0.0,
        "sequence": entry.sequence >= 0,
        "born": entry.born is msgspec.UNSET or entry.born >= 0,
    }
    return next((name for name, holds in fits.items() if not holds), None)


def _read_address(text: str) -> tuple[str, int] | None:
    """Returns host and port; None where nothing can be connected to."""
    host, _, digits = text.rpartition(":")
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        return None
    is_number = digits.isascii() and digits.isdigit() and len(digits) <= 5
    port = int(digits) if is_number else 0
    if not 0 < port <= _LARGEST_PORT or address.is_unspecified:
        return None
    return host, port


def _fail(fault: _Fault, detail: str) -> _Faulty:
    return result.Err(errors.BadEntry(detail=detail, fault=fault))
