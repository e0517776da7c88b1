"""Builds the admission ask for a request from its class and account."""

from typing import Any

from pollenfork import ids
from pollenfork.admission import messages
from pollenfork.entry import request
from pollenfork.entry import request_log
from pollenfork.settings import model
from pollenfork.settings import snapshot

_MS = 1000


def make_model_ask(
    identity: request.Identity,
    settings: snapshot.Snapshot,
    log: request_log.RequestLog,
    prompt: request.Prompt,
) -> messages.Ask:
    """Returns the admission ask for a completion."""
    return messages.Ask(
        **_make_common_fields(identity, settings, log),
        model=ids.ModelName(prompt.model),
        prefix=request.hash_prefix(prompt),
        prompt_tokens=request.estimate_tokens(prompt),
        max_tokens=prompt.get_max_tokens(),
    )


def make_service_ask(
    identity: request.Identity,
    settings: snapshot.Snapshot,
    log: request_log.RequestLog,
    service: ids.ServiceName,
    idempotent: bool,
) -> messages.Ask:
    """Returns the admission ask for a call to a plain service."""
    return messages.Ask(
        **_make_common_fields(identity, settings, log),
        model=ids.ModelName(""),
        service=service,
        idempotent=idempotent,
    )


def _make_common_fields(
    identity: request.Identity,
    settings: snapshot.Snapshot,
    log: request_log.RequestLog,
) -> dict[str, Any]:
    chosen = identity.service_class
    caller = identity.caller
    arrived_at = log.arrived_at
    answer_due = None
    if chosen.target_answer_ms:
        answer_due = arrived_at + chosen.target_answer_ms / _MS
    return {
        "request": log.request,
        "team": caller.team,
        "account": caller.account,
        "class_name": identity.class_name,
        "tier": ids.Tier(chosen.tier),
        "arrived": arrived_at,
        "first_token_due": arrived_at + chosen.target_first_token_ms / _MS,
        "answer_due": answer_due,
        "give_up_at": arrived_at + chosen.max_wait_ms / _MS,
        "late_refused": chosen.when_late is model.LatePolicy.REFUSE,
        "protected": chosen.protected,
        "max_waiting": chosen.max_waiting,
        "minimum_share": chosen.minimum_share,
        "account_limit": caller.settings.max_in_flight,
        "team_limit": settings.tree.teams[caller.team].max_in_flight,
        "retry_ratio": chosen.retry_ratio,
        "hedge": chosen.hedge,
    }
