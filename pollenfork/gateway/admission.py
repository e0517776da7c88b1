"""Decides whether a request is admitted, and under which route and account."""

import result

from pollenfork.fleet import candidates
from pollenfork.gateway import cluster_state
from pollenfork.gateway import context
from pollenfork.gateway import messages
from pollenfork.gateway import replies
from pollenfork.gateway.shedding import limits as shedding_limits
from pollenfork.poison import digests
from pollenfork.room import expectation
from pollenfork.routes import lookup
from pollenfork.routes import model as routes

_Reason = replies.Reason
Refusal = replies.Refusal

# A caller refused by one instance usually finds another that can serve it.
_RETRY_AFTER_S = 0.1


def admit(
    state: cluster_state.ClusterState,
    call: messages.Request,
    head: messages.RequestHead,
    now: float,
    outputs: expectation.OutputExpectation,
) -> result.Result[context.AdmittedRequest, replies.Refusal]:
    """Determines a request's route, account, service and deadline.

    Args:
        state: The instance's view of the configuration.
        call: The request.
        head: Values decoded from its headers.
        now: Monotonic seconds.
        outputs: Expects the output of requests.
    """
    settings = state.lookup
    if settings is None:
        return _refuse(503, _Reason.NO_SETTINGS)
    if not head.attempt:
        return _refuse(400, _Reason.NO_ATTEMPT_ID)
    route = settings.find_route(find_host(call), find_path(call))
    if route is None:
        if not state.freshness.trusts_keys(now):
            return _refuse(503, _Reason.SETTINGS_STALE)
        return _refuse(404, _Reason.NO_ROUTE)
    account = None
    if settings.needs_key(route):
        if not state.freshness.trusts_keys(now):
            return _refuse(503, _Reason.SETTINGS_STALE)
        account = settings.find_account(head.key)
        if account is None:
            return _refuse(401, _Reason.UNKNOWN_KEY)
    age_s = state.freshness.age(now) or 0.0
    return result.Ok(
        _admit(settings, call, head, route, account, age_s, outputs)
    )


def _admit(
    settings: lookup.Lookup,
    call: messages.Request,
    head: messages.RequestHead,
    route: routes.Route,
    account: routes.Account | None,
    age_s: float,
    outputs: expectation.OutputExpectation,
) -> context.AdmittedRequest:
    limit_s = route.time_limit_s
    if head.wait_s is not None:
        limit_s = min(limit_s, head.wait_s)
    service = lookup.choose_service(route, head.attempt.encode())
    route_tiers = settings.list_tiers(service)
    quick = route.tier <= route_tiers[0] if len(route_tiers) > 1 else None
    tiers = settings.list_request_tiers(service)
    config = settings.configuration.services.get(service)
    tier = settings.get_tier(route, account)
    forecast = bool(head.parts) and settings.is_forecast(service)
    demand = candidates.RequestProfile(
        service,
        head.parts,
        quick,
        config.copy_s if config else None,
        tier,
        retriable=route.attempts > 1,
        idempotent=route.idempotent,
        forecast=forecast,
        target_s=route.target_s,
        gap_s=route.gap_s,
        needed_tokens=_find_needed(route, head, outputs) if forecast else 0,
        cache_tokens=config.cache_tokens if config else 0,
        event_tokens=config.event_tokens if config else 1,
        resumable=route.kind is routes.Kind.STREAM and route.resumable,
    )
    return context.AdmittedRequest(
        call=call,
        head=head,
        route=route,
        demand=demand,
        prefill_limit_s=shedding_limits.find_prefill_limit(
            route, tier, tiers, demand
        ),
        tiers=tiers,
        tier_targets=settings.list_targets(service),
        account=account,
        tier=tier,
        version=settings.configuration.version,
        age_s=age_s,
        deadline=call.arrived + limit_s,
        digest=digests.compute(
            account.id if account else None, call.method, call.target, call.body
        ),
    )


def _find_needed(
    route: routes.Route,
    head: messages.RequestHead,
    outputs: expectation.OutputExpectation,
) -> int:
    """Returns the KV cache tokens that a request occupies when it ends."""
    prompt, maximum = head.tokens
    prompt = max(prompt, sum(part.tokens for part in head.parts))
    return outputs.find_needed(route.name, prompt, head.length_hint, maximum)


def find_host(call: messages.Request) -> str:
    """Returns the value of the host header, or an empty string."""
    for name, value in call.headers:
        if name == b"host":
            return value.decode("latin-1")
    return ""


def find_path(call: messages.Request) -> str:
    """Returns a request's path without its query."""
    return call.target.partition(b"?")[0].decode("latin-1")


def _refuse(
    status: int, reason: _Reason
) -> result.Result[context.AdmittedRequest, replies.Refusal]:
    retry_after_s = _RETRY_AFTER_S if status == 503 else None
    return result.Err(Refusal(status, reason, retry_after_s))
