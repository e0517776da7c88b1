"""Evidence of members' state, from heartbeats and summaries."""

import msgspec

from pollenfork import ids
from pollenfork.membership import messages
from pollenfork.membership import periods
from pollenfork.membership import wire


class Evidence(msgspec.Struct, frozen=True, kw_only=True):
    """What one message shows about a member.

    Attributes:
        direct: The member itself sent the message.
        silence_timeout_s: Silence after which the member is suspected.
        removal_timeout_s: Further silence after which it is removed.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    sequence: int
    status: messages.MemberStatus
    data_centre: ids.DataCentre
    address: str
    revision: ids.Revision
    direct: bool
    silence_timeout_s: float
    removal_timeout_s: float


def from_heartbeat(heartbeat: wire.Heartbeat, address: str) -> Evidence:
    """Returns the evidence that a heartbeat from `address` gives."""
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
        silence_timeout_s=periods.compute_silence_timeout_s(period_s),
        removal_timeout_s=periods.compute_removal_timeout_s(period_s),
    )


def from_summary_entry(
    entry: wire.Entry, data_centre: ids.DataCentre, period_s: float
) -> Evidence:
    """Returns the evidence that another data centre's summary gives.

    Args:
        entry: The member's entry in the summary.
        data_centre: The data centre that sent the summary.
        period_s: Seconds between two summaries.
    """
    return Evidence(
        instance=entry.update.instance,
        incarnation=entry.update.incarnation,
        sequence=entry.update.sequence,
        status=entry.update.status,
        data_centre=data_centre,
        address=entry.update.address,
        revision=entry.revision,
        direct=False,
        silence_timeout_s=periods.compute_silence_timeout_s(period_s),
        removal_timeout_s=periods.compute_removal_timeout_s(period_s),
    )
