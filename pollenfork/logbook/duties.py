"""Actions of the duty holder (one instance at a time), from the logs of all."""

from collections.abc import Iterable

import msgspec

from pollenfork.logbook import lines


class DutyEvent(msgspec.Struct, frozen=True):
    """One action of the duty holder.

    Attributes:
        at: Seconds since the epoch.
        instance: The instance that acted.
        text: What it did and why.
        is_problem: Whether it shows a fault: lateness, lost data, a refusal.
    """

    at: float
    instance: str
    text: str
    is_problem: bool = False


def list_events(log: Iterable[lines.Line]) -> list[DutyEvent]:
    """Returns all actions, earliest first."""
    ordered = sorted(log, key=lambda line: line.at)
    return [event for line in ordered if (event := _describe(line)) is not None]


def _describe(line: lines.Line) -> DutyEvent | None:
    describer = _DESCRIBERS.get(line.event)
    if describer is None:
        return None
    text, is_problem = describer(line.fields)
    return DutyEvent(line.at, line.instance, text, is_problem)


def _describe_lease(fields: dict[str, str]) -> tuple[str, bool]:
    previous = fields["after"]
    succession = (
        "nobody held before" if previous == "-" else f"after {previous}"
    )
    return f"acts for all by number {fields['fencing']}, {succession}", False


def _describe_failed_write(fields: dict[str, str]) -> tuple[str, bool]:
    return f"couldn't write the holder's row: {fields['trouble']}", False


def _describe_window(fields: dict[str, str]) -> tuple[str, bool]:
    missing = fields["missing"]
    text = f"window {fields['window']}: {fields['requests']} requests"
    if missing == "-":
        return text, False
    return f"{text}, without the last of {missing}", True


def _describe_report(fields: dict[str, str]) -> tuple[str, bool]:
    late = fields["due"] != "True"
    text = (
        f"window {fields['window']} told after {fields['late_ms']} ms:"
        f" {fields['reply']}"
    )
    return (f"{text}, too late" if late else text), late


def _describe_target(fields: dict[str, str]) -> tuple[str, bool]:
    return (
        f"wants {fields['count']} {_name_runners(fields)} (before"
        f" {fields['before']}): {fields['ready']} work, usually"
        f" {fields['usual']}; they have {fields['backlog_ms']} ms to read and"
        f" {fields['taken']} of their places are taken",
        False,
    )


def _describe_order(fields: dict[str, str]) -> tuple[str, bool]:
    text = (
        f"ordered {fields['count']} {_name_runners(fields)}: {fields['reply']}"
    )
    return text, fields["reply"] == "rejected"


def _name_runners(fields: dict[str, str]) -> str:
    kind = "reclaimable" if fields["reclaimable"] == "True" else "firm"
    return f"{kind} runners of {fields['service']} in {fields['data_centre']}"


_DESCRIBERS = {
    "duties_taken": _describe_lease,
    "duty_write_failed": _describe_failed_write,
    "window_summed": _describe_window,
    "window_reported": _describe_report,
    "runners_wanted": _describe_target,
    "runners_ordered": _describe_order,
}
