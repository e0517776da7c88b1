"""Pressure as an instance under the design's peak would have it.

100 endpoints, 5 models times 7 tiers all queued, 200 answers under way, 10
requests a second arriving: an even 1/360 of 3,600 a second.
"""

import random

from pollenfork import ids
from pollenfork.dispatch import messages

ENDPOINTS = 100
MODELS = 5
TIERS = 7
RUNNING = 200
ARRIVALS_PER_S = 10.0
_ANSWER_S = 20.0


class Load:
    """The queues and slots of one instance, moved on by `advance`."""

    def __init__(self, instance: ids.InstanceId, seed: int) -> None:
        self._instance = instance
        self._rng = random.Random(seed)
        self._now = 0.0
        self._endpoints = [
            ids.EndpointId(f"amman-1-runner-{n:03d}") for n in range(ENDPOINTS)
        ]
        self._answers = [
            self._start_answer(self._rng.uniform(0, _ANSWER_S))
            for _ in range(RUNNING)
        ]
        self._queues = {
            (ids.ModelName(f"defect-model-{m}"), ids.Tier(tier)): (3, 0.0)
            for m in range(MODELS)
            for tier in range(TIERS)
        }

    def advance(self, seconds: float) -> messages.Pressure:
        """Returns the pressure after `seconds` more of arrivals and ends."""
        self._now += seconds
        self._answers = [a for a in self._answers if a[0] > self._now]
        while len(self._answers) < RUNNING:
            length = self._rng.expovariate(1 / _ANSWER_S)
            self._answers.append(self._start_answer(self._now + length))
        for cell in self._queues:
            self._move_queue(cell, seconds)
        return self._read()

    def _start_answer(self, end: float) -> tuple[float, str, int]:
        endpoint = self._rng.choice(self._endpoints)
        return end, endpoint, self._rng.randrange(TIERS)

    def _move_queue(self, cell: tuple, seconds: float) -> None:
        waiting, since = self._queues[cell]
        chance = ARRIVALS_PER_S / len(self._queues) * seconds
        if self._rng.random() < min(1.0, 2 * chance):
            waiting = max(1, waiting + self._rng.choice((-1, 1)))
        if self._rng.random() < min(1.0, chance):
            since = self._now - 2 * self._rng.random()
        self._queues[cell] = (waiting, since)

    def _read(self) -> messages.Pressure:
        slots: dict[tuple, int] = {}
        for _, endpoint, tier in self._answers:
            slots[endpoint, tier] = slots.get((endpoint, tier), 0) + 1
        return messages.Pressure(
            instance=self._instance,
            demands=tuple(
                messages.Demand(*cell, waiting, int((self._now - since) * 1000))
                for cell, (waiting, since) in self._queues.items()
            ),
            occupancies=tuple(
                messages.Occupancy(endpoint, ids.Tier(tier), count)
                for (endpoint, tier), count in sorted(slots.items())
            ),
        )
