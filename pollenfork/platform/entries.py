"""Validates and decodes the entries of runners in the registry.

Runners write them, but any other writer of the table may leave anything there.
An entry is accepted only if every field that runners write is present and
valid; otherwise the first fault found is returned.
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
_Decoded = result.Result[fleet.Runner, errors.BadEntry]
_Failed = result.Err[errors.BadEntry]

_MAX_PORT = 65_535
# More slots than any runner has; larger values are rejected.
_MAX_SLOTS = 1_000_000
_MAX_SEQUENCE = 2**63 - 1
_READY = "ready"
_STATES = frozenset({_READY, "draining"})
# The id is sent in a header of each request to the runner.
_ID = re.compile(r"[!-~]{1,200}")


class _Entry(msgspec.Struct, rename="kebab"):
    """The fields of an entry, without unused optional ones.

    `born` is missing if a runner doesn't report its start; plain services
    have no `stage` and `models`.
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


def decode(key: str, value: bytes) -> _Decoded:
    """Decodes one runner's entry.

    Args:
        key: The row's key, which is the runner's id.
        value: The row's bytes.
    """
    return _parse(value).and_then(lambda entry: _validate(key, entry))


def decode_start(born: int | msgspec.UnsetType) -> ids.RunnerStart | None:
    """Returns when a runner started; None if it isn't reported."""
    return None if born is msgspec.UNSET else ids.RunnerStart(born)


def _parse(value: bytes) -> result.Result[_Entry, errors.BadEntry]:
    try:
        fields = msgspec.json.decode(value)
    except (msgspec.MsgspecError, RecursionError) as error:
        return _fail(_Fault.NOT_DECODABLE, str(error))
    if not isinstance(fields, dict):
        return _fail(_Fault.NOT_DECODABLE, "not an object")
    missing = _REQUIRED - fields.keys()
    if missing:
        return _fail(_Fault.MISSING_FIELD, ", ".join(sorted(missing)))
    try:
        return result.Ok(msgspec.convert(fields, _Entry))
    except msgspec.ValidationError as error:
        return _fail(_Fault.OTHER_TYPE, str(error))


def _validate(key: str, entry: _Entry) -> _Decoded:
    field = _find_out_of_range(key, entry)
    if field is not None:
        return _fail(_Fault.OUT_OF_RANGE, field)
    if entry.state not in _STATES:
        return _fail(_Fault.UNKNOWN_STATE, entry.state)
    address = _parse_address(entry.address)
    if address is None:
        return _fail(_Fault.NO_ADDRESS, entry.address)
    return result.Ok(
        fleet.Runner(
            id=ids.EndpointId(key),
            service=ids.ServiceName(entry.service),
            host=address[0],
            port=address[1],
            data_centre=ids.DataCentre(entry.zone),
            slots=entry.slots,
            leaving=entry.state != _READY,
            cold_s=entry.cold_remaining_ms / 1000.0,
            start=decode_start(entry.born),
            sequence=entry.sequence,
            reclaimable=entry.spot,
            version=fleet.make_version(entry.version),
        )
    )


def _find_out_of_range(key: str, entry: _Entry) -> str | None:
    """Returns the name of the first field whose value is out of range."""
    cold_ms = entry.cold_remaining_ms
    valid = {
        "id": _ID.fullmatch(key) is not None,
        "service": bool(entry.service),
        "zone": bool(entry.zone),
        "slots": 0 < entry.slots <= _MAX_SLOTS,
        "cold-remaining-ms": math.isfinite(cold_ms) and cold_ms >= 0.0,
        "sequence": 0 <= entry.sequence <= _MAX_SEQUENCE,
        "born": fleet.is_possible_start(decode_start(entry.born)),
    }
    return next((name for name, passed in valid.items() if not passed), None)


def _parse_address(text: str) -> tuple[str, int] | None:
    """Returns host and port; None if they aren't a usable address."""
    host, _, digits = text.rpartition(":")
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        return None
    is_number = digits.isascii() and digits.isdigit() and len(digits) <= 5
    port = int(digits) if is_number else 0
    if not 0 < port <= _MAX_PORT or address.is_unspecified:
        return None
    return host, port


def _fail(fault: _Fault, detail: str) -> _Failed:
    return result.Err(errors.BadEntry(detail=detail, fault=fault))
