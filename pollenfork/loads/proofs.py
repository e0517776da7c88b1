"""Takes what another instance knows of the store, by when it was told."""

from pollenfork.loads import edges
from pollenfork.loads import messages


def take(
    instance: edges.Instance,
    proof: messages.StoreStatus | None,
    echo: float,
    host: str,
    now: float,
) -> None:
    """Tells this instance what another one's word proves.

    Args:
        instance: This instance.
        proof: The word, if any.
        echo: The moment here of what it answers; 0 where it answers nothing.
        host: Who said it.
        now: Monotonic seconds.
    """
    if proof is None:
        return
    answered_s = proof.answered_s
    if answered_s is None:
        answered_s = proof.age_s
    # Counted from its arrival: where the word was long under way this makes
    # an outage shorter, and entries are kept less rather than wrongly.
    instance.record_store_answer(now - answered_s)
    if not 0.0 < echo <= now:
        # It answers nothing yet, or what was sent before a new start.
        instance.record_store_versions(proof, host)
        return
    # It was written after what it repeats was sent, however long either was
    # under way or this instance stood still.
    instance.record_store_status(proof, echo - proof.age_s, host)
