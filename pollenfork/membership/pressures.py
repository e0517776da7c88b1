"""Compact encoding of pressure, sent in full or as a delta.

Names are sent once; a cell is a name's index times `_TIERS` plus the tier. A
delta lists the changed cells in order, each by its distance to the previous
one, so that most numbers take one byte of MessagePack. A demand's age is stored
as the time at which the oldest request began to wait: while the same request
waits, the cell stays unchanged.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Annotated, TypeVar

import msgspec
import result

from pollenfork import ids
from pollenfork.dispatch import messages
from pollenfork.membership import errors

_TIERS = 16
_UNIT_MS = 100
_MAX_NAMES = 4096
_MAX_PENDING = 8

T = TypeVar("T")
_Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Changes since the base; with `full`, since the empty state.

    Attributes:
        now: Sender's monotonic time in units of 100 ms.
        demands: Triples of distance, requests waiting and age in units.
        occupancies: Pairs of distance and requests in flight.
        models: Names appended to those of the base.
        endpoints: Names appended to those of the base.
        leaving: Endpoints that are leaving; None for no change.
    """

    full: bool
    now: _Number
    demands: tuple[_Number, ...] = ()
    occupancies: tuple[_Number, ...] = ()
    models: tuple[ids.ModelName, ...] = ()
    endpoints: tuple[ids.EndpointId, ...] = ()
    leaving: tuple[ids.EndpointId, ...] | None = None


_DECODER = msgspec.msgpack.Decoder(Delta)


class _State:
    """The names and cells that sender and receiver share."""

    def __init__(self) -> None:
        self.models: dict[ids.ModelName, int] = {}
        self.endpoints: dict[ids.EndpointId, int] = {}
        self.demands: dict[int, tuple[int, int]] = {}
        self.occupancies: dict[int, int] = {}
        self.leaving: tuple[ids.EndpointId, ...] = ()


class PressureEncoder:
    """Encodes each new pressure of this instance as a delta."""

    def __init__(self) -> None:
        self._state = _State()
        self._now = 0

    def encode_delta(self, pressure: messages.Pressure, now: float) -> bytes:
        """Returns the delta to the last pressure encoded.

        Args:
            pressure: The complete current pressure.
            now: Monotonic seconds.
        """
        full = self._reset_if_crowded()
        state = self._state
        self._now = int(now * 1000) // _UNIT_MS
        models = _add_names(state.models, (d.model for d in pressure.demands))
        endpoints = _add_names(
            state.endpoints, (o.endpoint for o in pressure.occupancies)
        )
        demands = _index_demands(state, pressure, now)
        occupancies = _index_occupancies(state, pressure)
        delta = Delta(
            full=full,
            now=self._now,
            demands=_encode_demands(state.demands, demands, self._now),
            occupancies=_encode_occupancies(state.occupancies, occupancies),
            models=models,
            endpoints=endpoints,
            leaving=_diff_leaving(state, pressure),
        )
        state.demands = demands
        state.occupancies = occupancies
        state.leaving = pressure.leaving
        return msgspec.msgpack.encode(delta)

    def _reset_if_crowded(self) -> bool:
        """Starts from the empty state when many names have accumulated."""
        known = len(self._state.models) + len(self._state.endpoints)
        if known <= _MAX_NAMES // 2:
            return False
        self._state = _State()
        return True

    def encode_full(self) -> bytes:
        """Returns the last pressure in full, for peers without the base."""
        state = self._state
        return msgspec.msgpack.encode(
            Delta(
                full=True,
                now=self._now,
                demands=_encode_demands({}, state.demands, self._now),
                occupancies=_encode_occupancies({}, state.occupancies),
                models=tuple(state.models),
                endpoints=tuple(state.endpoints),
                leaving=state.leaving,
            )
        )


class PressureDecoder:
    """Maintains the pressure of one peer from its deltas."""

    def __init__(self, instance: ids.InstanceId) -> None:
        self._instance = instance
        self._state = _State()
        self._occupancies: dict[int, messages.Occupancy] = {}
        self._pending: dict[int, Delta] = {}
        self.sequence: int | None = None  # Of the pressure returned last.

    def apply(
        self, sequence: int, body: bytes
    ) -> result.Result[messages.Pressure, errors.PeerFailure]:
        """Applies `body` and returns the peer's latest pressure.

        Returns `MissingBase` if the delta's base was never received: the full
        state must be fetched. Deltas that arrive before it are buffered, as
        the full state may be older than they are.
        """
        try:
            delta = _DECODER.decode(body)
            return self._apply(sequence, delta)
        except (msgspec.MsgspecError, ValueError, LookupError) as error:
            self.sequence = None
            return result.Err(errors.Undecodable(detail=str(error)))

    def _apply(
        self, sequence: int, delta: Delta
    ) -> result.Result[messages.Pressure, errors.PeerFailure]:
        follows = self.sequence is not None and self.sequence == sequence - 1
        if not delta.full and not follows:
            self._buffer(sequence, delta)
            detail = f"have sequence {self.sequence}, received {sequence}"
            return result.Err(errors.MissingBase(detail=detail))
        if delta.full:
            self._state = _State()
            self._occupancies = {}
        now = delta.now
        self._apply_delta(delta)
        while buffered := self._pending.pop(sequence + 1, None):
            sequence += 1
            now = buffered.now
            self._apply_delta(buffered)
        self._pending.clear()
        pressure = self._build(now)
        self.sequence = sequence
        return result.Ok(pressure)

    def _apply_delta(self, delta: Delta) -> None:
        state = self._state
        _add_names(state.models, delta.models)
        _add_names(state.endpoints, delta.endpoints)
        _update_demands(state.demands, delta)
        _update_occupancies(self._occupancies, tuple(state.endpoints), delta)
        if delta.leaving is not None:
            state.leaving = delta.leaving

    def _build(self, now: int) -> messages.Pressure:
        models = tuple(self._state.models)
        demands = tuple(
            messages.Demand(
                model=models[cell // _TIERS],
                tier=ids.Tier(cell % _TIERS),
                waiting=waiting,
                oldest_wait_ms=(now - since) * _UNIT_MS,
            )
            for cell, (waiting, since) in self._state.demands.items()
        )
        return messages.Pressure(
            instance=self._instance,
            demands=demands,
            occupancies=tuple(self._occupancies.values()),
            leaving=self._state.leaving,
        )

    def _buffer(self, sequence: int, delta: Delta) -> None:
        self._pending[sequence] = delta
        if len(self._pending) > _MAX_PENDING:
            del self._pending[min(self._pending)]


def _add_names(known: dict[T, int], names: Iterable[T]) -> tuple[T, ...]:
    added: list[T] = []
    for name in names:
        if name in known:
            continue
        if len(known) >= _MAX_NAMES:
            raise ValueError("too many names")
        known[name] = len(known)
        added.append(name)
    return tuple(added)


def _index_demands(
    state: _State, pressure: messages.Pressure, now: float
) -> dict[int, tuple[int, int]]:
    now_ms = int(now * 1000)
    return {
        state.models[demand.model] * _TIERS + demand.tier: (
            demand.waiting,
            (now_ms - max(demand.oldest_wait_ms, 0)) // _UNIT_MS,
        )
        for demand in pressure.demands
        if demand.waiting
    }


def _index_occupancies(
    state: _State, pressure: messages.Pressure
) -> dict[int, int]:
    return {
        state.endpoints[occupancy.endpoint] * _TIERS
        + occupancy.tier: occupancy.in_flight
        for occupancy in pressure.occupancies
        if occupancy.in_flight
    }


def _diff_leaving(
    state: _State, pressure: messages.Pressure
) -> tuple[ids.EndpointId, ...] | None:
    return None if pressure.leaving == state.leaving else pressure.leaving


def _iter_changed_cells(
    old: Mapping, new: Mapping
) -> Iterator[tuple[int, int]]:
    """Yields each changed cell and its distance to the one before."""
    cells = {cell for cell, value in new.items() if old.get(cell) != value}
    cells.update(cell for cell in old if cell not in new)
    previous = 0
    for cell in sorted(cells):
        yield cell, cell - previous
        previous = cell


def _encode_demands(
    old: Mapping[int, tuple[int, int]],
    new: Mapping[int, tuple[int, int]],
    now: int,
) -> tuple[int, ...]:
    numbers: list[int] = []
    for cell, distance in _iter_changed_cells(old, new):
        waiting, since = new.get(cell, (0, now))
        numbers.extend((distance, waiting, now - since))
    return tuple(numbers)


def _encode_occupancies(
    old: Mapping[int, int], new: Mapping[int, int]
) -> tuple[int, ...]:
    numbers: list[int] = []
    for cell, distance in _iter_changed_cells(old, new):
        numbers.extend((distance, new.get(cell, 0)))
    return tuple(numbers)


def _update_demands(cells: dict[int, tuple[int, int]], delta: Delta) -> None:
    cell = 0
    numbers = iter(delta.demands)
    for distance, waiting, age in zip(numbers, numbers, numbers, strict=True):
        cell += distance
        if waiting:
            cells[cell] = (waiting, delta.now - age)
        else:
            del cells[cell]


def _update_occupancies(
    occupancies: dict[int, messages.Occupancy],
    endpoints: tuple[ids.EndpointId, ...],
    delta: Delta,
) -> None:
    """Replaces only changed cells: rebuilding all took half the CPU."""
    cell = 0
    numbers = iter(delta.occupancies)
    for distance, in_flight in zip(numbers, numbers, strict=True):
        cell += distance
        if not in_flight:
            del occupancies[cell]
            continue
        occupancies[cell] = messages.Occupancy(
            endpoint=endpoints[cell // _TIERS],
            tier=ids.Tier(cell % _TIERS),
            in_flight=in_flight,
        )
