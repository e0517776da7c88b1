"""Simulations with random faults.

`python -m pollenfork.duties.tests.schedules FIRST LAST` runs a range of seeds
and prints those that fail.
"""

import logging
import sys

import msgspec

from pollenfork.duties.tests import call_rules
from pollenfork.duties.tests import simulation as simulations

_FAULTS_S = 30.0
_RECOVERY_S = 14.0


class Result(msgspec.Struct):
    """The result of a seed.

    Attributes:
        seed: The seed.
        violations: Descriptions of the violated rules.
        missing: Windows that weren't reported by the end.
        calls: How many calls reached the platform.
    """

    seed: int
    violations: list[str]
    missing: list[int]
    calls: int


def run_seed(seed: int) -> Result:
    """Runs a seed."""
    simulation = simulations.Simulation(seed, machines=(3, 5, 8)[seed % 3])
    simulation.run(4.0)
    first = int(simulation.now // simulations.WINDOW_S)
    started_at = simulation.now
    while simulation.now < started_at + _FAULTS_S:
        _inject_fault(simulation)
        simulation.run(simulation.rng.uniform(0.1, 3.0))
    _heal(simulation)
    simulation.run(_RECOVERY_S)
    last = int((simulation.now - 1.0) // simulations.WINDOW_S)
    return Result(
        seed,
        call_rules.find_violations(simulation.calls, simulations.ALTERNATION_S),
        [w for w in range(first, last) if w not in simulation.acknowledged],
        len(simulation.calls),
    )


def _inject_fault(simulation: simulations.Simulation) -> None:
    rng = simulation.rng
    holders = simulation.list_holders()
    machine = rng.choice(simulation.machines)
    if holders and rng.random() < 0.6:
        machine = holders[0]
    seconds = rng.uniform(0.2, 8.0)
    if rng.random() < 0.4:
        _degrade_services(simulation)
        return
    match rng.randrange(5):
        case 0:
            machine.alive = False
            simulation.call_in(rng.uniform(0.3, 3.0), machine.start)
        case 1:
            simulation.suspend(machine, seconds)
        case 2:
            machine.reaches_store = False
            simulation.call_in(seconds, lambda: _restore_store(machine))
        case 3:
            machine.reaches_others = False
            simulation.call_in(seconds, lambda: _restore_others(machine))
        case 4:
            machine.alive = False
            # The machine is replaced by another one.
            machine.host = f"10.9.0.{rng.randrange(200)}"
            simulation.call_in(rng.uniform(0.3, 3.0), machine.start)


def _degrade_services(simulation: simulations.Simulation) -> None:
    """Changes how the store and the platform reply."""
    rng = simulation.rng
    simulation.loss = rng.choice((0.0, 0.3))
    simulation.delayed = rng.choice((0.0, 0.3))
    simulation.max_latency_s = rng.choice((0.0, 1.0))
    simulation.platform_up = rng.random() < 0.7


def _restore_store(machine: simulations.Machine) -> None:
    machine.reaches_store = True


def _restore_others(machine: simulations.Machine) -> None:
    machine.reaches_others = True


def _heal(simulation: simulations.Simulation) -> None:
    simulation.loss = simulation.delayed = simulation.max_latency_s = 0.0
    simulation.platform_up = True
    for each in simulation.machines:
        each.reaches_store = each.reaches_others = True
        each.suspended_until = min(each.suspended_until, simulation.now)
        if not each.alive:
            each.start()


def main(first: int, last: int) -> int:
    """Runs seeds and prints those that fail; returns the exit status."""
    logging.disable()
    failed = 0
    for seed in range(first, last + 1):
        outcome = run_seed(seed)
        if outcome.violations or outcome.missing:
            failed += 1
            print(outcome, flush=True)
    print(f"{last - first + 1} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
