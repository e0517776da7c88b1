"""Pressure as a compact state that is sent whole or as a difference.

Names are sent once; a cell is a name's index times `_TIERS` plus the tier. A
difference lists the changed cells in order, each by its distance to the one
before, so that most numbers take one byte of MessagePack. A demand's age is
kept as the moment the oldest request began to wait: while the same request
waits the cell stays unchanged.
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
    """What changed since the base; with `whole`, since the empty state.

    Attributes:
        now: Sender's monotonic time in units of 100 ms.
        demands: Triples of distance, requests waiting and age in units.
        occupancies: Pairs of distance and requests in flight.
        models: Names that follow those of the base.
        endpoints: Names that follow those of the base.
        leaving: Endpoints said to be leaving; None for no change.
    """

    whole: bool
    now: _Number
    demands: tuple[_Number, ...] = ()
    occupancies: tuple[_Number, ...] = ()
    models: tuple[ids.ModelName, ...] = ()
    endpoints: tuple[ids.EndpointId, ...] = ()
    leaving: tuple[ids.EndpointId, ...] | None = None


_DECODER = msgspec.msgpack.Decoder(Delta)


class _State:
    """The names and cells that sender and receiver agree on."""

    def __init__(self) -> None:
        self.models: dict[ids.ModelName, int] = {}
        self.endpoints: dict[ids.EndpointId, int] = {}
        self.demands: dict[int, tuple[int, int]] = {}
        self.occupancies: dict[int, int] = {}
        self.leaving: tuple[ids.EndpointId, ...] = ()


class PressureEncoder:
    """Turns each new pressure of this instance into a difference."""

    def __init__(self) -> None:
        self._state = _State()
        self._now = 0

    def encode_delta(self, pressure: messages.Pressure, now: float) -> bytes:
        """Returns the difference to the last pressure encoded.

        Args:
            pressure: The whole pressure as of now.
            now: Monotonic seconds.
        """
        whole = self._forget_old_names()
        state = self._state
        self._now = int(now * 1000) // _UNIT_MS
        models = _add_names(state.models, (d.model for d in pressure.demands))
        endpoints = _add_names(
            state.endpoints, (o.endpoint for o in pressure.occupancies)
        )
        demands = _find_demands(state, pressure, now)
        occupancies = _find_occupancies(state, pressure)
        difference = Delta(
            whole=whole,
            now=self._now,
            demands=_flatten_demands(state.demands, demands, self._now),
            occupancies=_flatten_occupancies(state.occupancies, occupancies),
            models=models,
            endpoints=endpoints,
            leaving=_find_leaving(state, pressure),
        )
        state.demands = demands
        state.occupancies = occupancies
        state.leaving = pressure.leaving
        return msgspec.msgpack.encode(difference)

    def _forget_old_names(self) -> bool:
        """Starts from the empty state when names have piled up."""
        known = len(self._state.models) + len(self._state.endpoints)
        if known <= _MAX_NAMES // 2:
            return False
        self._state = _State()
        return True

    def encode_full(self) -> bytes:
        """Returns the last pressure encoded, for who has no base."""
        state = self._state
        return msgspec.msgpack.encode(
            Delta(
                whole=True,
                now=self._now,
                demands=_flatten_demands({}, state.demands, self._now),
                occupancies=_flatten_occupancies({}, state.occupancies),
                models=tuple(state.models),
                endpoints=tuple(state.endpoints),
                leaving=state.leaving,
            )
        )


class PressureDecoder:
    """The pressure of one peer, kept up to date by its differences."""

    def __init__(self, instance: ids.InstanceId) -> None:
        self._instance = instance
        self._state = _State()
        self._slots: dict[int, messages.Occupancy] = {}
        self._pending: dict[int, Delta] = {}
        self.sequence: int | None = None  # Of the pressure returned last.

    def apply(
        self, sequence: int, body: bytes
    ) -> result.Result[messages.Pressure, errors.PeerFailure]:
        """Returns the peer's newest pressure after taking in `body`.

        `MissingBase` where the difference follows a sequence never seen: the
        whole state must be fetched. Differences that come before it does are
        kept, as it may be older than they are.
        """
        try:
            difference = _DECODER.decode(body)
            return self._apply(sequence, difference)
        except (msgspec.MsgspecError, ValueError, LookupError) as error:
            self.sequence = None
            return result.Err(errors.Undecodable(detail=str(error)))

    def _apply(
        self, sequence: int, difference: Delta
    ) -> result.Result[messages.Pressure, errors.PeerFailure]:
        follows = self.sequence is not None and self.sequence == sequence - 1
        if not difference.whole and not follows:
            self._keep(sequence, difference)
            detail = f"have {self.sequence}, heard {sequence}"
            return result.Err(errors.MissingBase(detail=detail))
        if difference.whole:
            self._state = _State()
            self._slots = {}
        now = difference.now
        self._update(difference)
        while later := self._pending.pop(sequence + 1, None):
            sequence += 1
            now = later.now
            self._update(later)
        self._pending.clear()
        pressure = self._build(now)
        self.sequence = sequence
        return result.Ok(pressure)

    def _update(self, difference: Delta) -> None:
        state = self._state
        _add_names(state.models, difference.models)
        _add_names(state.endpoints, difference.endpoints)
        _update_demands(state.demands, difference)
        _update_occupancies(self._slots, tuple(state.endpoints), difference)
        if difference.leaving is not None:
            state.leaving = difference.leaving

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
            occupancies=tuple(self._slots.values()),
            leaving=self._state.leaving,
        )

    def _keep(self, sequence: int, difference: Delta) -> None:
        self._pending[sequence] = difference
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


def _find_demands(
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


def _find_occupancies(
    state: _State, pressure: messages.Pressure
) -> dict[int, int]:
    return {
        state.endpoints[occupancy.endpoint] * _TIERS
        + occupancy.tier: occupancy.in_flight
        for occupancy in pressure.occupancies
        if occupancy.in_flight
    }


def _find_leaving(
    state: _State, pressure: messages.Pressure
) -> tuple[ids.EndpointId, ...] | None:
    return None if pressure.leaving == state.leaving else pressure.leaving


def _changed_cells(old: Mapping, new: Mapping) -> Iterator[tuple[int, int]]:
    """Yields each changed cell and its distance to the one before."""
    cells = {cell for cell, value in new.items() if old.get(cell) != value}
    cells.update(cell for cell in old if cell not in new)
    before = 0
    for cell in sorted(cells):
        yield cell, cell - before
        before = cell


def _flatten_demands(
    old: Mapping[int, tuple[int, int]],
    new: Mapping[int, tuple[int, int]],
    now: int,
) -> tuple[int, ...]:
    numbers: list[int] = []
    for cell, distance in _changed_cells(old, new):
        waiting, since = new.get(cell, (0, now))
        numbers.extend((distance, waiting, now - since))
    return tuple(numbers)


def _flatten_occupancies(
    old: Mapping[int, int], new: Mapping[int, int]
) -> tuple[int, ...]:
    numbers: list[int] = []
    for cell, distance in _changed_cells(old, new):
        numbers.extend((distance, new.get(cell, 0)))
    return tuple(numbers)


def _update_demands(
    cells: dict[int, tuple[int, int]], difference: Delta
) -> None:
    cell = 0
    numbers = iter(difference.demands)
    for distance, waiting, age in zip(numbers, numbers, numbers, strict=True):
        cell += distance
        if waiting:
            cells[cell] = (waiting, difference.now - age)
        else:
            del cells[cell]


def _update_occupancies(
    slots: dict[int, messages.Occupancy],
    endpoints: tuple[ids.EndpointId, ...],
    difference: Delta,
) -> None:
    """Replaces what changed; building all of them anew cost half the CPU."""
    cell = 0
    numbers = iter(difference.occupancies)
    for distance, in_flight in zip(numbers, numbers, strict=True):
        cell += distance
        if not in_flight:
            del slots[cell]
            continue
        slots[cell] = messages.Occupancy(
            endpoint=endpoints[cell // _TIERS],
            tier=ids.Tier(cell % _TIERS),
            in_flight=in_flight,
        )
