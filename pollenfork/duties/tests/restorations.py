"""Simulations of a store that comes back from copies, with random faults.

`python -m pollenfork.duties.tests.restorations FIRST LAST` runs a range of
seeds and prints those that fail.
"""

import collections
import logging
import sys

import msgspec

from pollenfork.duties.tests import call_rules
from pollenfork.duties.tests import simulation as simulations

_COPY_INTERVAL_S = 0.1
_MAX_COPY_AGE_S = 8.0
_NOTICE_INTERVAL_S = 0.5
# Windows that end this long after the last restoration must be reported, in
# seconds: by then a new holder has claimed, and knows what it may report.
_SETTLED_S = 7.0
_RECOVERY_S = 14.0


class Result(msgspec.Struct):
    """The result of a seed.

    Attributes:
        seed: The seed.
        violations: Descriptions of the violated rules.
        missing: Windows without a report that must have one.
        reported: How many windows were reported.
    """

    seed: int
    violations: list[str]
    missing: list[int]
    reported: int


class Copies:
    """Copies of the store's rows of the last seconds."""

    def __init__(self, simulation: simulations.Simulation) -> None:
        self._simulation = simulation
        limit = round(_MAX_COPY_AGE_S / _COPY_INTERVAL_S)
        self._kept: collections.deque = collections.deque(maxlen=limit + 1)
        self._save()

    def restore(self, age_s: float) -> None:
        """Restores the store from the copy made so many seconds ago."""
        steps = min(round(age_s / _COPY_INTERVAL_S), len(self._kept) - 1)
        copy = self._kept[-1 - steps]
        self._simulation.store.restore(copy)
        # A copy is as old as the rows that it holds.
        self._kept.extend([copy] * (steps + 1))

    def _save(self) -> None:
        self._kept.append(self._simulation.store.save())
        self._simulation.call_in(_COPY_INTERVAL_S, self._save)


def make_simulation(
    seed: int, machines: int
) -> tuple[simulations.Simulation, Copies]:
    """Returns a simulation whose instances tell as rarely as real ones."""
    simulation = simulations.Simulation(seed, machines)
    simulation.notice_interval_s = _NOTICE_INTERVAL_S
    return simulation, Copies(simulation)


def await_report(simulation: simulations.Simulation) -> simulations.Machine:
    """Runs until the platform accepts a report; returns its sender.

    The sender doesn't know yet that the report was accepted.
    """
    accepted: list[simulations.Machine] = []
    simulation.on_accepted = accepted.append
    while not accepted:
        simulation.run(0.001)
    simulation.on_accepted = lambda machine: None
    return accepted[0]


def run_seed(seed: int, has_late_writes: bool = False) -> Result:
    """Runs a seed.

    Args:
        seed: Draws the faults.
        has_late_writes: Whether calls to the store are lost, or done seconds
            later, until the last restoration.
    """
    simulation, copies = make_simulation(seed, (3, 5, 8)[seed % 3])
    rng = simulation.rng
    if has_late_writes:
        simulation.delayed, simulation.loss = 0.2, 0.1
        simulation.max_latency_s = 0.5
    simulation.run(rng.uniform(10.0, 15.0))
    for _ in range(rng.randint(1, 3)):
        if rng.random() < 0.7:
            holder = await_report(simulation)
            simulation.run(rng.choice((0.0, 0.001, rng.uniform(0.0, 1.0))))
        else:
            holder = rng.choice(simulation.machines)
        _inject_fault(simulation, holder)
        simulation.run(rng.uniform(0.0, 6.0))
        copies.restore(rng.uniform(0.0, _MAX_COPY_AGE_S))
        simulation.run(rng.uniform(0.0, 12.0))
        _heal(simulation)
    simulation.delayed = simulation.loss = simulation.max_latency_s = 0.0
    settled_at = simulation.now + _SETTLED_S
    simulation.run(_SETTLED_S + _RECOVERY_S)
    first = int(settled_at // simulations.WINDOW_S)
    last = int((simulation.now - 1.0) // simulations.WINDOW_S)
    return Result(
        seed,
        call_rules.find_violations(simulation.calls, simulations.ALTERNATION_S),
        [w for w in range(first, last) if w not in simulation.acknowledged],
        len(simulation.acknowledged),
    )


def _inject_fault(
    simulation: simulations.Simulation, machine: simulations.Machine
) -> None:
    rng = simulation.rng
    match rng.randrange(7):
        case 0:
            _kill(simulation, [machine])
        case 1:
            _kill(simulation, simulation.machines)
        case 2:
            simulation.suspend(machine, rng.uniform(0.2, 8.0))
        case 3:
            for each in simulation.machines:
                each.reaches_store = False
        case 4:
            machine.reaches_others = False
            machine.reaches_store = rng.random() < 0.5
        case 5:
            simulation.platform_loss = rng.choice((0.5, 1.0))
        case 6:
            simulation.platform_up = False


def _kill(
    simulation: simulations.Simulation, machines: list[simulations.Machine]
) -> None:
    for each in machines:
        each.alive = False
        seconds = simulation.rng.uniform(0.3, 8.0)
        simulation.call_in(seconds, lambda each=each: _start(each))


def _start(machine: simulations.Machine) -> None:
    if not machine.alive:
        machine.start()


def _heal(simulation: simulations.Simulation) -> None:
    simulation.platform_loss = 0.0
    simulation.platform_up = True
    for each in simulation.machines:
        each.reaches_store = each.reaches_others = True
        each.suspended_until = min(each.suspended_until, simulation.now)
        _start(each)


def main(first: int, last: int) -> int:
    """Runs seeds and prints those that fail; returns the exit status."""
    logging.disable()
    failed = 0
    for seed in range(first, last + 1):
        for has_late_writes in (False, True):
            outcome = run_seed(seed, has_late_writes)
            if outcome.violations or outcome.missing:
                failed += 1
                print(has_late_writes, outcome, flush=True)
    print(f"{last - first + 1} seeds, each in two ways, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
