"""What one instance at a time did for all, by the logs of all of them."""

from collections.abc import Iterable

import msgspec

from pollenfork.logbook import lines


class Step(msgspec.Struct, frozen=True):
    """Something that was done, in a sentence.

    Attributes:
        at: Seconds since the epoch.
        instance: Who did it.
        what: What, and why.
        alarming: Whether it should not have come to that.
    """

    at: float
    instance: str
    what: str
    alarming: bool = False


def follow(log: Iterable[lines.Line]) -> list[Step]:
    """Returns all steps in the order in which they were done."""
    told = sorted(log, key=lambda line: line.at)
    return [step for line in told if (step := _read(line)) is not None]


def _read(line: lines.Line) -> Step | None:
    writer = _WRITERS.get(line.event)
    if writer is None:
        return None
    what, alarming = writer(line.fields)
    return Step(line.at, line.instance, what, alarming)


def _write_taken(fields: dict[str, str]) -> tuple[str, bool]:
    before = fields["after"]
    after = "nobody held before" if before == "-" else f"after {before}"
    return f"acts for all by number {fields['fencing']}, {after}", False


def _write_failed(fields: dict[str, str]) -> tuple[str, bool]:
    return f"couldn't write the holder's row: {fields['trouble']}", False


def _write_summed(fields: dict[str, str]) -> tuple[str, bool]:
    missing = fields["missing"]
    what = f"window {fields['window']}: {fields['requests']} requests"
    if missing == "-":
        return what, False
    return f"{what}, without the last of {missing}", True


def _write_reported(fields: dict[str, str]) -> tuple[str, bool]:
    late = fields["due"] != "True"
    what = (
        f"window {fields['window']} told after {fields['late_ms']} ms:"
        f" {fields['reply']}"
    )
    return (f"{what}, too late" if late else what), late


def _write_wanted(fields: dict[str, str]) -> tuple[str, bool]:
    return (
        f"wants {fields['count']} {_name_kind(fields)} (before"
        f" {fields['before']}): {fields['ready']} work, usually"
        f" {fields['usual']}; they have {fields['backlog_ms']} ms to read and"
        f" {fields['taken']} of their places are taken",
        False,
    )


def _write_ordered(fields: dict[str, str]) -> tuple[str, bool]:
    what = f"ordered {fields['count']} {_name_kind(fields)}: {fields['reply']}"
    return what, fields["reply"] == "rejected"


def _name_kind(fields: dict[str, str]) -> str:
    kind = "reclaimable" if fields["reclaimable"] == "True" else "firm"
    return f"{kind} runners of {fields['service']} in {fields['data_centre']}"


_WRITERS = {
    "duties_taken": _write_taken,
    "duty_write_failed": _write_failed,
    "window_summed": _write_summed,
    "window_reported": _write_reported,
    "runners_wanted": _write_wanted,
    "runners_ordered": _write_ordered,
}
