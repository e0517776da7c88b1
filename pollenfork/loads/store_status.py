"""Passes received store statuses on, with a bound on how old they are."""

from pollenfork.loads import edges
from pollenfork.loads import messages


def receive(
    instance: edges.Instance,
    status: messages.StoreStatus | None,
    echo: float,
    host: str,
    now: float,
) -> None:
    """Passes a received store status on to this instance.

    Args:
        instance: This instance.
        status: The status, if the message had one.
        echo: When the message that it answers was sent, in monotonic seconds
            here; 0 where it answers none.
        host: The sender.
        now: Monotonic seconds.
    """
    if status is None:
        return
    answered_s = status.answered_s
    if answered_s is None:
        answered_s = status.age_s
    # Counted from the arrival: a slow message makes an outage look shorter, so
    # entries are removed too early rather than kept wrongly.
    instance.record_store_answer(now - answered_s)
    if not 0.0 < echo <= now:
        # It answers nothing, or a message from before this instance restarted.
        instance.record_store_versions(status, host)
        return
    # The status was written after the echoed message was sent, so this bound
    # holds however long either was in transit or this process was suspended.
    instance.record_store_status(status, echo - status.age_s, host)
