"""Judges calls to the platform as its rules do."""

import collections

import msgspec

from pollenfork import ids
from pollenfork.duties import messages
from pollenfork.duties import rows


class Called(msgspec.Struct, frozen=True):
    """A call as it reached the platform.

    Attributes:
        at: Seconds.
        machine: The host that it came from.
        fencing: The number that it bore.
        work: What it said.
        excused: Whether its sender had stood still until just now.
    """

    at: float
    machine: str
    fencing: int
    work: messages.Report | rows.Order
    excused: bool = False


def find_broken(calls: list[Called], alternation_s: float) -> list[str]:
    """Returns what of the promise doesn't hold.

    Args:
        calls: In the order in which they came.
        alternation_s: Seconds within which holders must not act by turns.
    """
    broken = _find_two_reports(calls)
    subjects: dict[object, list[Called]] = collections.defaultdict(list)
    for call in calls:
        if isinstance(call.work, messages.Report):
            subjects["usage"].append(call)
        else:
            subject = call.work.subject
            subjects[subject.service, subject.data_centre].append(call)
    for about, found in subjects.items():
        counted = [call for call in found if not call.excused]
        broken += _find_shared_numbers(about, found)
        broken += _find_lower_numbers(about, counted)
        broken += _find_turns(about, counted, alternation_s)
    return broken


def _find_two_reports(calls: list[Called]) -> list[str]:
    known: dict[int, dict[ids.AccountId, int]] = {}
    broken = []
    for call in calls:
        if isinstance(call.work, messages.Report):
            first = known.setdefault(call.work.window, call.work.counts)
            if first != call.work.counts:
                broken.append(f"window {call.work.window}: two reports")
    return broken


def _find_shared_numbers(about: object, calls: list[Called]) -> list[str]:
    machines: dict[int, str] = {}
    return [
        f"{about}: number {call.fencing} of two machines"
        for call in calls
        if machines.setdefault(call.fencing, call.machine) != call.machine
    ]


def _find_lower_numbers(about: object, calls: list[Called]) -> list[str]:
    highest = 0
    broken = []
    for call in calls:
        if call.fencing < highest:
            broken.append(f"{about}: {call.fencing} after {highest}")
        highest = max(highest, call.fencing)
    return broken


def _find_turns(
    about: object, calls: list[Called], alternation_s: float
) -> list[str]:
    broken = []
    for position, call in enumerate(calls):
        others = False
        for before in reversed(calls[:position]):
            if call.at - before.at >= alternation_s:
                break
            others = others or before.machine != call.machine
            if others and before.machine == call.machine:
                broken.append(f"{about}: {call.machine} by turns at {call.at}")
                break
    return broken
