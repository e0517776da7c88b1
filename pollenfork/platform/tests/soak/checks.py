"""The promises, judged by what callers and runners saw."""

from collections.abc import Iterable

from pollenfork.duties.tests import call_rules
from pollenfork.platform.tests.soak import caller
from pollenfork.platform.tests.soak import records
from pollenfork.platform.tests.soak import site as sites
from pollenfork.platform.tests.soak import stream_judge

_PROMISES = frozenset({408, 421, 429, 503})
# `max-attempts` of the routes whose requests may run more than once.
_MAX_RUNS = 2
# Runners that a request may end, and sends of it that may follow later.
_ENDS = 3
# What the rule on rate limits counts, and allows beyond one and a half times.
_LIMIT_WINDOW_S = 4.0
_LIMIT_EXTRA = 5
# What the rule on pauses excludes after a refusal, and allows until their end.
_PAUSE_SLACK_S = 0.5
_PAUSE_ALLOWED = 2
# Brittle runners that may fall over in one time, beside a tenth of them.
_FALLS = 2
# A request may be under way this long between its sending and its run.
_SLACK_S = 0.6
# A gateway that was disturbed knows news again after this long.
_TOUCH_S = 3.0


def find_broken(site: sites.Site, asked: Iterable[caller.Asked]) -> list[str]:
    """Returns every promise that was broken, a line each."""
    broken = list(site.record.wrong)
    runs: dict[str, list[records.Run]] = {}
    for run in site.record.runs:
        runs.setdefault(run.attempt, []).append(run)
    for each in asked:
        broken += _judge(each, runs.pop(each.attempt, []), site)
    broken += [f"{attempt}: nobody asked for it" for attempt in runs]
    broken += call_rules.find_violations(site.cloud.calls, sites.ALTERNATION_S)
    broken += _judge_endings(site) + _judge_limits(site)
    broken += [
        f"{falls} of {runners} brittle runners fell over"
        for falls, runners in site.falls
        if falls > _FALLS + runners / 10
    ]
    return broken + _judge_departures(site) + _judge_pauses(site)


def _judge_endings(site: sites.Site) -> list[str]:
    """Judges sends of requests that end runners, after their third end."""
    ends: dict[str, list[float]] = {}
    for each in site.ended_by_requests:
        ends.setdefault(each.path, []).append(each.at)
    found = []
    instances = {each.attempt: each.instance for each in site.asked}
    disturbed = {each.host: each.disturbed for each in site.gateways}
    for path, moments in ends.items():
        if len(moments) < _ENDS:
            continue
        late = [
            run
            for run in site.record.runs
            if run.path == path
            and run.began > moments[_ENDS - 1] + _TOUCH_S
            and run.began > disturbed[instances[run.attempt]] + _TOUCH_S
        ]
        if len(late) > _ENDS:
            found.append(f"{path}: {len(late)} sends after {len(moments)} ends")
    return found


def _judge_limits(site: sites.Site) -> list[str]:
    """Judges what runners got while they named a rate limit."""
    instances = {each.attempt: each.instance for each in site.asked}
    interrupted = {each.host: each.interrupted for each in site.gateways}
    found = []
    for period in site.limited:
        times = [
            each.at
            for each in site.record.arrivals
            if each.runner == period.runner
            and period.since + _TOUCH_S <= each.at < period.until
            and _is_calm(interrupted[instances[each.attempt]], each.at)
        ]
        most = max((_count_after(times, at) for at in times), default=0)
        if most > 1.5 * period.rate * _LIMIT_WINDOW_S + _LIMIT_EXTRA:
            found.append(
                f"{period.runner}: {most} requests in {_LIMIT_WINDOW_S:g} s "
                f"at a limit of {period.rate:g}"
            )
    return found


def _judge_departures(site: sites.Site) -> list[str]:
    """Judges what reached runners that had said that they leave.

    A gateway that has passed such an answer on sends nothing there from 2 s
    later on, unless it was restarted or stood still since then. A runner that
    restarts says nothing of the kind.
    """
    asked = {each.attempt: each for each in site.asked}
    interrupted = {each.host: each.interrupted for each in site.gateways}
    told: dict[tuple[str, str], float] = {}
    found = []
    for arrival in sorted(site.record.arrivals, key=lambda each: each.at):
        request = asked[arrival.attempt]
        key = request.instance, arrival.runner
        at = told.get(key, float("inf"))
        excused = any(at < each <= arrival.at for each in interrupted[key[0]])
        if not arrival.leaving or excused:
            told.pop(key, None)
        elif request.sent > at + sites.DRAIN_S:
            found.append(
                f"{request.attempt} by {request.instance}: reached "
                f"{arrival.runner} {request.sent - at:.2f} s after its word"
            )
        if arrival.leaving and "server-leaving" in request.headers:
            told.setdefault(key, request.ended)
    return found


def _judge_pauses(site: sites.Site) -> list[str]:
    """Judges what reached runners that had asked for a pause."""
    interrupted = {each.host: each.interrupted for each in site.gateways}
    found = []
    for refusal in site.record.arrivals:
        if not refusal.pause_s:
            continue
        # The pause is asked of the gateway that sent the request, which isn't
        # the caller's if that one has forwarded it.
        host = refusal.sender
        since = refusal.at + _PAUSE_SLACK_S
        until = refusal.at + refusal.pause_s
        later = [
            each
            for each in site.record.arrivals
            if each.runner == refusal.runner
            # A pause ends with the runner that asked for it.
            and each.started == refusal.started
            and since < each.at < until
            and each.sender == host
        ]
        excused = any(refusal.at < at < until for at in interrupted[host])
        if len(later) > _PAUSE_ALLOWED and not excused:
            found.append(
                f"{host}: {len(later)} requests in a pause of {refusal.runner}"
            )
    return found


def _is_calm(moments: list[float], at: float) -> bool:
    """Returns whether none of some moments was just before another one."""
    return not any(moment <= at < moment + _TOUCH_S for moment in moments)


def _count_after(times: list[float], since: float) -> int:
    return sum(since <= at < since + _LIMIT_WINDOW_S for at in times)


def _judge(
    asked: caller.Asked, runs: list[records.Run], site: sites.Site
) -> list[str]:
    found = []
    once = asked.kind in ("unsafe", "stream")
    if once and len(runs) > 1:
        found.append("ran twice")
    if len(runs) > _MAX_RUNS:
        found.append(f"ran {len(runs)} times")
    if asked.status in _PROMISES and runs and once:
        found.append(f"{asked.status}, and it ran")
    if asked.kind in ("stream", "resume"):
        found += stream_judge.find_faults([stream_judge.make_try(asked, runs)])
    elif asked.status == 200 and asked.whole and not _is_whole(asked):
        found.append(f"not its whole answer: {asked.body[:60]!r}")
    if asked.status in (401, 404) and _is_in_force(asked, site):
        found.append(f"{asked.status} for a key that is in force")
    found += _judge_runs(asked, runs, site)
    return [
        f"{asked.attempt} {asked.kind} by {asked.instance}: {what}"
        for what in found
    ]


def _judge_runs(
    asked: caller.Asked, runs: list[records.Run], site: sites.Site
) -> list[str]:
    found = []
    revoked = site.revoked.get(asked.key)
    gateway = next(g for g in site.gateways if g.host == asked.instance)
    for run in runs:
        if revoked and asked.sent > revoked + sites.REVOKE_S:
            found.append(f"ran {asked.sent - revoked:.2f} s after its key")
        if run.path != asked.path:
            found.append(f"ran as {run.path}")
        left = site.gone.get(run.runner)
        if left is None:
            continue
        late = run.began - left - sites.DRAIN_S - _SLACK_S
        calm = gateway.disturbed + _TOUCH_S < left
        if late > 0 and calm:
            found.append(f"reached a runner {late:.2f} s too late")
    return found


def _is_in_force(asked: caller.Asked, site: sites.Site) -> bool:
    """Returns whether an instance in touch must know the request's key."""
    if asked.key in site.revoked:
        return False
    added = site.added.get(asked.key)
    if added is None:
        return True
    gateway = next(g for g in site.gateways if g.host == asked.instance)
    known = added + sites.APPLY_S
    return asked.sent > max(known, gateway.disturbed + _TOUCH_S)


def _is_whole(asked: caller.Asked) -> bool:
    return asked.body == f"{asked.attempt} model answer".encode()
