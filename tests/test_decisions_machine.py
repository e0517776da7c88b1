"""Invariants of the decision core over random sequences of events."""

import collections
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from pollenfork import decisions
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import messages
from pollenfork.settings import messages as settings_messages
from pollenfork.settings import model
from pollenfork.settings import snapshot

INSTANCES = 2
ENDPOINTS = ("runner-0", "runner-1", "runner-2")
SLOTS = 2
WAITING_LIMIT = 6
MAX_WAIT_S = 40.0
PRESSURE_TTL_S = 3.0  # How long a peer's pressure is used.

_Reason = admission_messages.RefusalReason
_State = messages.EndpointState
_End = messages.AttemptEnd
_RETRY_REASONS = {
    _End.BROKEN_BEFORE_FIRST: messages.RetryReason.BROKEN_BEFORE_FIRST,
    _End.BROKEN_MIDWAY: messages.RetryReason.CONTINUE_ELSEWHERE,
    _End.NEVER_SENT: messages.RetryReason.NEVER_SENT,
    _End.REFUSED_BY_ENDPOINT: messages.RetryReason.REFUSED_BY_ENDPOINT,
}


class Site:
    """An instance's core and the state that its decisions are checked with."""

    def __init__(self, number: int) -> None:
        self.name = f"entry-{number}"
        self.core = decisions.DecisionCore(
            self.name, random.Random(number), WAITING_LIMIT
        )
        self.asks: dict[str, admission_messages.Ask] = {}
        self.pending: set[str] = set()
        self.started: set[str] = set()
        self.running: dict[str, messages.Grant] = {}
        self.avoid: dict[str, tuple[str, ...]] = collections.defaultdict(tuple)
        self.unavailable: set[str] = set()
        self.peer_pressure: messages.Pressure | None = None
        self.peer_pressure_at = 0.0


class DecisionsMachine(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.count = 0
        self.sites = [Site(n) for n in range(INSTANCES)]
        tree = make_tree()
        event = settings_messages.TreeInForce(tree, snapshot.Snapshot(tree))
        for site in self.sites:
            self.check(site, site.core.report(event, self.now))

    def pick_running(self, site: Site, data: strategies.DataObject) -> str:
        return data.draw(strategies.sampled_from(sorted(site.running)))

    @stateful.rule(
        n=strategies.integers(0, INSTANCES - 1),
        tier=strategies.sampled_from((0, 1, 3, 6)),
        protected=strategies.booleans(),
        late_refused=strategies.booleans(),
        idempotent=strategies.booleans(),
        account=strategies.sampled_from(("large", "small")),
        times=strategies.integers(1, 6),
    )
    def arrive(
        self,
        n: int,
        tier: int,
        protected: bool,
        late_refused: bool,
        idempotent: bool,
        account: str,
        times: int,
    ) -> None:
        for _ in range(times):
            self.count += 1
            ask = admission_messages.Ask(
                request=f"q{self.count}",
                team="users",
                account=account,
                class_name=f"class-{tier}",
                tier=tier,
                model="lines",
                arrived=self.now,
                first_token_due=self.now + 5.0,
                give_up_at=self.now + MAX_WAIT_S,
                late_refused=late_refused,
                protected=protected,
                idempotent=idempotent,
                account_limit=9,
                hedge=tier == 1,
                prefix=self.count % 3,
            )
            site = self.sites[n]
            site.asks[ask.request] = ask
            site.pending.add(ask.request)
            self.check(site, site.core.submit(ask, self.now), ask)

    @stateful.precondition(lambda self: any(s.running for s in self.sites))
    @stateful.rule(
        data=strategies.data(), how=strategies.sampled_from(list(_End))
    )
    def end_attempt(self, data: strategies.DataObject, how: _End) -> None:
        site = next(s for s in self.sites if s.running)
        attempt = self.pick_running(site, data)
        self.end(site, attempt, how)
        # A duplicate report must have no effect.
        event = messages.AttemptEnded(
            attempt=attempt, how=how, tokens=9, at=self.now
        )
        self.check(site, site.core.report(event, self.now))

    @stateful.precondition(lambda self: any(s.running for s in self.sites))
    @stateful.rule(data=strategies.data(), tokens=strategies.integers(2, 90))
    def first_token(self, data: strategies.DataObject, tokens: int) -> None:
        site = next(s for s in self.sites if s.running)
        attempt = self.pick_running(site, data)
        first = messages.FirstToken(attempt=attempt, at=self.now)
        self.check(site, site.core.report(first, self.now))
        progress = messages.Progress(
            attempt=attempt, tokens=tokens, at=self.now + 0.5
        )
        self.check(site, site.core.report(progress, self.now))

    @stateful.precondition(lambda self: any(s.running for s in self.sites))
    @stateful.rule(data=strategies.data())
    def hedge(self, data: strategies.DataObject) -> None:
        site = next(s for s in self.sites if s.running)
        grant = site.running[self.pick_running(site, data)]
        if grant.request in site.pending:
            return
        self.ask_again(site, grant, messages.RetryReason.HEDGE)

    @stateful.rule(
        endpoint=strategies.sampled_from(ENDPOINTS),
        midway=strategies.booleans(),
    )
    def crash(self, endpoint: str, midway: bool) -> None:
        how = _End.BROKEN_MIDWAY if midway else _End.BROKEN_BEFORE_FIRST
        for site in self.sites:
            for attempt, grant in list(site.running.items()):
                if grant.endpoint == endpoint:
                    self.end(site, attempt, how)
        self.notice(endpoint, _State.GONE)

    @stateful.rule(
        endpoint=strategies.sampled_from(ENDPOINTS),
        state=strategies.sampled_from(list(_State)),
    )
    def notice(self, endpoint: str, state: _State) -> None:
        event = messages.EndpointNotice(endpoint=endpoint, state=state)
        for site in self.sites:
            if state is _State.LIVE:
                site.unavailable.discard(endpoint)
            else:
                site.unavailable.add(endpoint)
            self.check(site, site.core.report(event, self.now))

    @stateful.rule(
        endpoint=strategies.sampled_from(ENDPOINTS),
        running=strategies.integers(0, 4),
        age_s=strategies.floats(0, 9),
    )
    def load_report(self, endpoint: str, running: int, age_s: float) -> None:
        event = messages.EndpointReport(
            endpoint=endpoint,
            running=running,
            waiting=0,
            kv_free=0.5,
            measured_at=self.now - age_s,
        )
        for site in self.sites:
            self.check(site, site.core.report(event, self.now))

    @stateful.rule()
    def exchange_pressure(self) -> None:
        pressures = [site.core.read_pressure(self.now) for site in self.sites]
        for n, site in enumerate(self.sites):
            site.peer_pressure, site.peer_pressure_at = (
                pressures[1 - n],
                self.now,
            )
            self.check(site, site.core.report(site.peer_pressure, self.now))

    @stateful.rule(n=strategies.integers(0, INSTANCES - 1))
    def lose_peer(self, n: int) -> None:
        event = messages.PeerLost(self.sites[1 - n].name)
        self.sites[n].peer_pressure = None
        self.check(self.sites[n], self.sites[n].core.report(event, self.now))

    @stateful.precondition(lambda self: any(s.pending for s in self.sites))
    @stateful.rule(data=strategies.data())
    def withdraw(self, data: strategies.DataObject) -> None:
        site = next(s for s in self.sites if s.pending)
        request = data.draw(strategies.sampled_from(sorted(site.pending)))
        event = admission_messages.Withdrawn(request=request)
        self.check(site, site.core.report(event, self.now))
        assert request not in site.pending

    @stateful.rule(seconds=strategies.floats(0.05, 6.0))
    def advance(self, seconds: float) -> None:
        self.now += seconds
        for site in self.sites:
            self.check(site, site.core.tick(self.now))

    @stateful.invariant()
    def accounting_is_exact(self) -> None:
        for site in self.sites:
            assert site.core.count_in_flight() == len(site.running)
            assert site.core.count_waiting() == len(site.pending)
            held: dict[tuple[str, int], int] = collections.Counter(
                (grant.endpoint, site.asks[grant.request].tier)
                for grant in site.running.values()
            )
            pressure = site.core.read_pressure(self.now)
            assert held == {
                (o.endpoint, o.tier): o.in_flight for o in pressure.occupancies
            }
            assert sum(d.waiting for d in pressure.demands) == len(site.pending)

    @stateful.invariant()
    def no_request_waits_past_its_deadline(self) -> None:
        for site in self.sites:
            for request in site.pending - site.started:
                ask = site.asks[request]
                assert self.now <= ask.give_up_at + 6.0

    def teardown(self) -> None:
        """Ends all requests; none may remain waiting, running or counted."""
        for endpoint in ENDPOINTS:
            self.notice(endpoint, _State.LIVE)
        for _ in range(60):
            for site in self.sites:
                for attempt in list(site.running):
                    self.end(site, attempt, _End.FINISHED)
            self.advance(1.0)
        for site in self.sites:
            assert not site.pending
            assert site.core.count_in_flight() == len(site.running) == 0
            assert site.core.count_open() == 0

    def end(self, site: Site, attempt: str, how: _End) -> None:
        grant = site.running.pop(attempt)
        site.avoid[grant.request] += (grant.endpoint,)
        event = messages.AttemptEnded(
            attempt=attempt, how=how, tokens=9, at=self.now
        )
        self.check(site, site.core.report(event, self.now))
        is_last_attempt = all(
            g.request != grant.request for g in site.running.values()
        )
        if (
            how in _RETRY_REASONS
            and is_last_attempt
            and grant.request not in site.pending
        ):
            self.ask_again(site, grant, _RETRY_REASONS[how])
        elif is_last_attempt and grant.request not in site.pending:
            self.close(site, grant.request)

    def ask_again(
        self, site: Site, grant: messages.Grant, reason: messages.RetryReason
    ) -> None:
        again = messages.AskAgain(
            request=grant.request,
            reason=reason,
            avoid=site.avoid[grant.request],
        )
        site.pending.add(grant.request)
        self.check(site, site.core.ask_again(again, self.now))

    def close(self, site: Site, request: str) -> None:
        event = messages.RequestClosed(request=request)
        self.check(site, site.core.report(event, self.now))

    def check(
        self,
        site: Site,
        decided: list[decisions.Decision],
        submitted: admission_messages.Ask | None = None,
    ) -> None:
        """Checks each decision against the recorded state."""
        for decision in decided:
            request = decision.request
            # Each request for a slot gets exactly one decision.
            assert request in site.pending
            site.pending.discard(request)
            if isinstance(decision, messages.Grant):
                self.check_grant(site, decision)
            else:
                self.check_refused(site, decision, submitted)

    def check_grant(self, site: Site, grant: messages.Grant) -> None:
        ask = site.asks[grant.request]
        assert grant.endpoint not in site.unavailable
        assert grant.attempt not in site.running
        if grant.request in site.started:
            assert grant.endpoint not in site.avoid[grant.request]
            assert ask.idempotent or not self.may_have_run(site, ask)
        elif grant.priority == ask.tier:
            self.check_order(site, ask)
        site.started.add(grant.request)
        site.running[grant.attempt] = grant

    def check_order(self, site: Site, ask: admission_messages.Ask) -> None:
        """Apart from minimum shares, no request overtakes a higher tier."""
        higher = [
            other
            for other in site.pending - site.started
            if site.asks[other].tier < ask.tier
        ]
        assert not higher
        if (
            site.peer_pressure is not None
            and self.now <= site.peer_pressure_at + PRESSURE_TTL_S
        ):
            waiting = sum(
                d.waiting
                for d in site.peer_pressure.demands
                if d.tier < ask.tier
            )
            assert waiting < SLOTS * len(ENDPOINTS)

    def may_have_run(self, site: Site, ask: admission_messages.Ask) -> bool:
        return any(g.request == ask.request for g in site.running.values())

    def check_refused(
        self,
        site: Site,
        refused: admission_messages.Refused,
        submitted: admission_messages.Ask | None,
    ) -> None:
        ask = site.asks[refused.request]
        if refused.reason is _Reason.EVICTED:
            assert submitted is not None
            assert refused.request not in site.started
            assert ask.tier > submitted.tier
            if ask.protected:
                assert not [
                    other
                    for other in site.pending - site.started
                    if site.asks[other].tier > submitted.tier
                    and not site.asks[other].protected
                ]
        if refused.request in site.started:
            assert refused.reason is not _Reason.EVICTED
            held = [
                g for g in site.running.values() if g.request == ask.request
            ]
            if not held:
                self.close(site, refused.request)


def make_tree() -> model.Tree:
    endpoints = {
        name: model.EndpointSettings(
            address=name, data_centre="a", models=("lines",), slots=SLOTS
        )
        for name in ENDPOINTS
    }
    classes = {
        f"class-{tier}": model.ServiceClass(tier=tier) for tier in (0, 1, 3, 6)
    }
    return model.Tree(
        root=model.RootSettings(endpoints=endpoints),
        teams={"users": model.TeamSettings(classes=classes)},
        revision=1,
    )


TestDecisions = DecisionsMachine.TestCase
TestDecisions.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=30
)
