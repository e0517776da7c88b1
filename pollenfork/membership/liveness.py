"""Signs of members, read from heartbeats and from summaries."""

import msgspec

from pollenfork import ids
from pollenfork.membership import messages
from pollenfork.membership import periods
from pollenfork.membership import wire


class Evidence(msgspec.Struct, frozen=True, kw_only=True):
    """A sign of a member, from itself or from another.

    Attributes:
        direct: The member itself was heard.
        silence_s: Silence after which it is suspected.
        removal_s: Further silence after which it is removed.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    sequence: int
    status: messages.MemberStatus
    data_centre: ids.DataCentre
    address: str
    revision: ids.Revision
    direct: bool
    silence_s: float
    removal_s: float


def from_heartbeat(heartbeat: wire.Heartbeat, address: str) -> Evidence:
    """Returns what a heartbeat from `address` proves of its sender."""
    period_s = heartbeat.period_ms / 1000
    return Evidence(
        instance=heartbeat.instance,
        incarnation=heartbeat.incarnation,
        sequence=heartbeat.sequence,
        status=heartbeat.status,
        data_centre=heartbeat.data_centre,
        address=address,
        revision=heartbeat.revision,
        direct=True,
        silence_s=periods.compute_silence_timeout_s(period_s),
        removal_s=periods.compute_removal_timeout_s(period_s),
    )


def from_summary_entry(
    entry: wire.Entry, data_centre: ids.DataCentre, period_s: float
) -> Evidence:
    """Returns what another data centre's summary says of a member.

    Args:
        entry: The member's line in the summary.
        data_centre: Where the summary comes from.
        period_s: Seconds between two summaries.
    """
    return Evidence(
        instance=entry.note.instance,
        incarnation=entry.note.incarnation,
        sequence=entry.note.sequence,
        status=entry.note.status,
        data_centre=data_centre,
        address=entry.note.address,
        revision=entry.revision,
        direct=False,
        silence_s=periods.compute_silence_timeout_s(period_s),
        removal_s=periods.compute_removal_timeout_s(period_s),
    )
