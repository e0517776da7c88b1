"""Checks calls against the platform's rules for its callers."""

import collections

import msgspec

from pollenfork import ids
from pollenfork.duties import messages
from pollenfork.duties import rows


class ReceivedCall(msgspec.Struct, frozen=True):
    """A call as it reached the platform.

    Attributes:
        at: When it arrived, in seconds.
        machine: The host that sent it.
        fencing: Its fencing number.
        work: The report or the order.
        excused: Whether its sender had just been resumed after a suspension.
    """

    at: float
    machine: str
    fencing: int
    work: messages.UsageReport | rows.ScalingOrder
    excused: bool = False


def find_violations(
    calls: list[ReceivedCall], alternation_s: float
) -> list[str]:
    """Returns descriptions of the violated rules.

    Args:
        calls: The calls in the order of their arrival.
        alternation_s: Seconds within which two holders must not alternate.
    """
    violations = _find_conflicting_reports(calls)
    subjects: dict[object, list[ReceivedCall]] = collections.defaultdict(list)
    for call in calls:
        if isinstance(call.work, messages.UsageReport):
            subjects["usage"].append(call)
        else:
            subject = call.work.subject
            subjects[subject.service, subject.data_centre].append(call)
    for target, received in subjects.items():
        counted = [call for call in received if not call.excused]
        violations += _find_shared_fencing(target, received)
        violations += _find_decreasing_fencing(target, counted)
        violations += _find_alternations(target, counted, alternation_s)
    return violations


def _find_conflicting_reports(calls: list[ReceivedCall]) -> list[str]:
    known: dict[int, dict[ids.AccountId, int]] = {}
    violations = []
    for call in calls:
        if isinstance(call.work, messages.UsageReport):
            first = known.setdefault(call.work.window, call.work.counts)
            if first != call.work.counts:
                violations.append(f"window {call.work.window}: two reports")
    return violations


def _find_shared_fencing(
    target: object, calls: list[ReceivedCall]
) -> list[str]:
    machines: dict[int, str] = {}
    return [
        f"{target}: fencing number {call.fencing} of two machines"
        for call in calls
        if machines.setdefault(call.fencing, call.machine) != call.machine
    ]


def _find_decreasing_fencing(
    target: object, calls: list[ReceivedCall]
) -> list[str]:
    highest = 0
    violations = []
    for call in calls:
        if call.fencing < highest:
            violations.append(
                f"{target}: fencing number {call.fencing} after {highest}"
            )
        highest = max(highest, call.fencing)
    return violations


def _find_alternations(
    target: object, calls: list[ReceivedCall], alternation_s: float
) -> list[str]:
    violations = []
    for position, call in enumerate(calls):
        other_called = False
        for before in reversed(calls[:position]):
            if call.at - before.at >= alternation_s:
                break
            other_called = other_called or before.machine != call.machine
            if other_called and before.machine == call.machine:
                violations.append(
                    f"{target}: {call.machine} alternates at {call.at}"
                )
                break
    return violations
