"""Virtual time: the real cores of several instances before engine models."""

import random

from benchmarks.decisions import engine
from benchmarks.decisions import policies
from benchmarks.decisions import records
from benchmarks.decisions import timeline
from benchmarks.decisions import workload
from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import messages
from pollenfork.settings import messages as settings_messages
from pollenfork.settings import model
from pollenfork.settings import snapshot

_TICK_S = 0.1
_PRESSURE_PERIOD_S = 0.5
_PRESSURE_DELAY_S = (0.05, 0.5)
_PRESSURE_LOST = 0.02
_REPORT_PERIOD_S = 1.0
_REPORT_AGE_S = 0.5
_PROGRESS_S = 2.0
_NETWORK_S = 0.001
_RETURN_S = 1.0
_MS = 1000

_End = messages.AttemptEnd
_Retry = messages.RetryReason


class World:
    """Instances, engines, callers and the lossy talk between them."""

    def __init__(
        self,
        policy: str,
        instances: int,
        seed: int,
        engines: int = workload.ENGINES,
    ) -> None:
        self.later = timeline.Timeline()
        self.rng = random.Random(seed)
        self.policy = policy
        self.engines = {
            f"runner-{n}": engine.Engine(f"runner-{n}", self.later)
            for n in range(engines)
        }
        self.records: list[records.Record] = []
        self.report_age_s = _REPORT_AGE_S
        self.frozen_reports: set[str] = set()
        self.lost_instances: set[int] = set()
        self.cut_pairs: set[tuple[int, int]] = set()
        self.gone_part = 0.0
        self.most_returns = 0
        self.wasted = 0
        self.abandoned = 0
        self.lost_with_instance = 0
        self.attempts = 0
        self._asked = 0
        self._slots = engine.SLOTS
        self._loads: dict[str, list[tuple[float, int, int, float]]] = {
            name: [(0.0, 0, 0, 1.0)] for name in self.engines
        }
        self._requests: dict[str, records.Request] = {}
        self.instances = [
            policies.create(
                policy,
                ids.InstanceId(f"entry-{n}"),
                instances,
                random.Random(seed * 1000 + n),
            )
            for n in range(instances)
        ]
        for n in range(instances):
            self._start_instance(n)

    def run(self, arrivals: list[workload.Arrival], seconds: float) -> None:
        """Plays the arrivals, then lets what is left end."""
        for arrival in arrivals:
            self.later(arrival.at, lambda a=arrival: self._arrive(a))
        self.later(0.25, self._sample_loads)
        self.later.run_until(seconds)

    def pick_engine(self, number: int) -> engine.Engine:
        """Returns an engine by number, however few there are."""
        names = list(self.engines)
        return self.engines[names[number % len(names)]]

    def set_slots(self, slots: int) -> None:
        """Lets every engine batch that much, and the settings say so."""
        self._slots = slots
        for one in self.engines.values():
            one.slots = slots
        for n in range(len(self.instances)):
            self._apply_tree(n)

    def notify(self, name: str, state: messages.EndpointState) -> None:
        """Tells every instance of an endpoint's state, a little apart."""
        for n in range(len(self.instances)):
            self.notify_one(n, name, state, self.rng.uniform(0, 1.0))

    def notify_one(
        self,
        instance: int,
        name: str,
        state: messages.EndpointState,
        after: float,
    ) -> None:
        """Tells one instance of an endpoint's state."""
        notice = messages.EndpointNotice(
            endpoint=ids.EndpointId(name), state=state
        )
        self.later(
            self.later.now + after, lambda: self._report(instance, notice)
        )

    def lose_instance(self, lost: int) -> None:
        """Ends an instance: its callers and attempts break off."""
        self.lost_instances.add(lost)
        for request in list(self._requests.values()):
            if request.instance == lost and not request.is_closed:
                self._abandon(request)
        name = ids.InstanceId(f"entry-{lost}")
        event = messages.PeerLost(name)
        for n in range(len(self.instances)):
            at = self.later.now + self.rng.uniform(1.5, 3.0)
            self.later(at, lambda n=n: self._report(n, event))

    # Instances.

    def _start_instance(self, n: int) -> None:
        self._apply_tree(n)
        self.later(self.rng.uniform(0, _TICK_S), lambda: self._tick(n))
        at = self.rng.uniform(0, _PRESSURE_PERIOD_S)
        if policies.hears_peers(self.policy):
            self.later(at, lambda: self._send_pressure(n))
        at = self.rng.uniform(0, _REPORT_PERIOD_S)
        self.later(at, lambda: self._poll_loads(n))

    def _apply_tree(self, n: int) -> None:
        tree = self._build_tree(n)
        message = settings_messages.TreeInForce(tree, snapshot.Snapshot(tree))
        self._report(n, message)

    def _build_tree(self, instance: int) -> model.Tree:
        names = list(self.engines)
        if self.policy == "subset":
            count = len(self.instances)
            names = [e for k, e in enumerate(names) if k % count == instance]
        endpoints = {
            ids.EndpointId(name): model.EndpointSettings(
                address=name,
                data_centre=ids.DataCentre("a"),
                models=(workload.MODEL,),
                slots=self._slots,
            )
            for name in names
        }
        classes = {ids.ClassName(k.name): k.settings for k in workload.KINDS}
        team = model.TeamSettings(classes=classes)
        return model.Tree(
            root=model.RootSettings(endpoints=endpoints),
            teams={workload.TEAM: team},
            revision=ids.Revision(1),
        )

    def _tick(self, n: int) -> None:
        if n in self.lost_instances:
            return
        self._carry_out(n, self.instances[n].tick(self.later.now))
        self.later(self.later.now + _TICK_S, lambda: self._tick(n))

    def _send_pressure(self, n: int) -> None:
        if n in self.lost_instances:
            return
        now = self.later.now
        pressure = self.instances[n].read_pressure(now)
        for peer in range(len(self.instances)):
            is_cut = (min(n, peer), max(n, peer)) in self.cut_pairs
            if peer == n or is_cut or self.rng.random() < _PRESSURE_LOST:
                continue
            at = now + self.rng.uniform(*_PRESSURE_DELAY_S)
            self.later(at, lambda p=peer: self._report(p, pressure))
        self.later(now + _PRESSURE_PERIOD_S, lambda: self._send_pressure(n))

    def _sample_loads(self) -> None:
        now = self.later.now
        for name, one in self.engines.items():
            history = self._loads[name]
            history.append((now, *one.read_load()))
            del history[:-40]
        self.later(now + 0.25, self._sample_loads)

    def _poll_loads(self, n: int) -> None:
        now = self.later.now
        for name, one in self.engines.items():
            if not one.is_up:
                continue
            if name in self.frozen_reports:
                at, running, waiting, free = self._loads[name][0]
                at = now
            else:
                wanted = now - self.report_age_s
                history = self._loads[name]
                older = [h for h in history if h[0] <= wanted]
                at, running, waiting, free = (older or history[:1])[-1]
            report = messages.EndpointReport(
                endpoint=ids.EndpointId(name),
                running=running,
                waiting=waiting,
                kv_free=free,
                measured_at=at,
            )
            self._report(n, report)
        self.later(now + _REPORT_PERIOD_S, lambda: self._poll_loads(n))

    def _report(self, n: int, event: object) -> None:
        if n not in self.lost_instances:
            decided = self.instances[n].report(event, self.later.now)
            self._carry_out(n, decided)

    # Requests.

    def _arrive(self, arrival: workload.Arrival) -> None:
        n = self._pick_instance()
        self.records.append(records.Record(arrival))
        self._ask(self.records[-1], n)

    def _ask(self, record: records.Record, n: int) -> None:
        self._asked += 1
        ask = records.make_ask(
            record.arrival, f"q{self._asked}", self.later.now
        )
        request = records.Request(record, n, ask)
        self._requests[ask.request] = request
        if self.rng.random() < self.gone_part:
            at = self.later.now + self.rng.uniform(0.0, 10.0)
            self.later(at, lambda: self._abandon(request))
        self.later(ask.give_up_at + 0.01, lambda: self._give_up(request))
        self._carry_out(n, self.instances[n].submit(ask, self.later.now))

    def _give_up(self, request: records.Request) -> None:
        if request.record.first_at is None:
            self._abandon(request)

    def _abandon(self, request: records.Request) -> None:
        if request.is_closed:
            return
        request.record.gone_at = self.later.now
        request.is_closed = True
        for copy in list(request.copies):
            done = self._cancel(request, copy)
            if request.instance in self.lost_instances:
                self.lost_with_instance += done
            else:
                self.abandoned += done
        withdrawn = admission_messages.Withdrawn(request=request.ask.request)
        self._report(request.instance, withdrawn)
        self._close(request)
        self._return(request, _RETURN_S)

    def _return(self, request: records.Request, after: float) -> None:
        """Lets the caller come back after a refusal or a wait in vain."""
        record = request.record
        if record.returns >= self.most_returns:
            return
        record.returns += 1
        n = self._pick_instance()

        def ask() -> None:
            record.returned_at = self.later.now
            self._ask(record, n)

        self.later(self.later.now + after, ask)

    def _pick_instance(self) -> int:
        return self.rng.choice(
            [
                n
                for n in range(len(self.instances))
                if n not in self.lost_instances
            ]
        )

    def _close(self, request: records.Request) -> None:
        request.is_closed = True
        closed = messages.RequestClosed(request=request.ask.request)
        self._report(request.instance, closed)
        self._requests.pop(request.ask.request, None)

    def _carry_out(self, n: int, decided: list) -> None:
        for decision in decided:
            request = self._requests.get(decision.request)
            if isinstance(decision, messages.Grant):
                self._send(n, request, decision)
            elif request is not None and not request.copies:
                request.record.refused = decision.reason.value
                self._close(request)
                self._return(request, decision.retry_after_s or _RETURN_S)

    def _send(
        self, n: int, request: records.Request | None, grant: messages.Grant
    ) -> None:
        if request is None or request.is_closed:
            self._end(n, grant, _End.NEVER_SENT, 0)
            return
        record = request.record
        record.sent += 1
        self.attempts += 1
        if record.granted_at is None:
            record.granted_at = self.later.now
        continues = not isinstance(self.instances[n], policies.Fifo)
        base = request.position if continues else 0
        if base:
            record.saved += base
        job = engine.Job(
            grant.attempt,
            grant.priority,
            request.ask.prompt_tokens + base,
            max(1, record.arrival.tokens - base),
            record.arrival.prefix,
            lambda: self._note_first(request, copy),
            lambda whole, done: self._note_end(request, copy, whole, done),
        )
        copy = records.Copy(grant, job, base)
        request.copies.append(copy)
        at = self.later.now + _NETWORK_S
        self.later(at, lambda: self._deliver(request, copy))
        if grant.hedge_after_s is not None:
            at = self.later.now + grant.hedge_after_s
            self.later(at, lambda: self._ask_hedge(request))

    def _deliver(self, request: records.Request, copy: records.Copy) -> None:
        if copy not in request.copies:
            return
        one = self.engines[copy.grant.endpoint]
        if one.submit(copy.job, self.later.now):
            return
        how = _End.REFUSED_BY_ENDPOINT if one.is_up else _End.NEVER_SENT
        request.copies.remove(copy)
        self._end(request.instance, copy.grant, how, 0)
        reason = _Retry.REFUSED_BY_ENDPOINT if one.is_up else _Retry.NEVER_SENT
        self._ask_again(request, copy, reason)

    def _note_first(self, request: records.Request, copy: records.Copy) -> None:
        now = self.later.now
        for other in list(request.copies):
            if other is not copy:
                self.wasted += self._cancel(request, other)
        if request.record.first_at is None:
            request.record.first_at = now
        first = messages.FirstToken(attempt=copy.grant.attempt, at=now)
        self._report(request.instance, first)
        self.later(
            now + _PROGRESS_S, lambda: self._note_progress(request, copy)
        )

    def _note_progress(
        self, request: records.Request, copy: records.Copy
    ) -> None:
        if copy not in request.copies:
            return
        now = self.later.now
        one = self.engines[copy.grant.endpoint]
        progress = messages.Progress(
            attempt=copy.grant.attempt,
            tokens=one.read_progress(copy.job, now),
            at=now,
        )
        self._report(request.instance, progress)
        self.later(
            now + _PROGRESS_S, lambda: self._note_progress(request, copy)
        )

    def _note_end(
        self,
        request: records.Request,
        copy: records.Copy,
        whole: bool,
        done: int,
    ) -> None:
        if copy not in request.copies:
            return
        request.copies.remove(copy)
        if whole:
            request.record.done_at = self.later.now
            request.record.delivered = copy.base + done
            self._end(request.instance, copy.grant, _End.FINISHED, done)
            self._close(request)
            return
        broke = done > 0
        how = _End.BROKEN_MIDWAY if broke else _End.BROKEN_BEFORE_FIRST
        self._end(request.instance, copy.grant, how, done)
        continues = not isinstance(
            self.instances[request.instance], policies.Fifo
        )
        if continues:
            request.position += done
        else:
            self.wasted += done
        reason = (
            _Retry.CONTINUE_ELSEWHERE if broke else _Retry.BROKEN_BEFORE_FIRST
        )
        self._ask_again(request, copy, reason)

    def _ask_again(
        self,
        request: records.Request,
        copy: records.Copy,
        reason: messages.RetryReason,
    ) -> None:
        if request.is_closed or request.copies:
            return
        request.avoid.append(copy.grant.endpoint)
        again = messages.AskAgain(
            request=request.ask.request,
            reason=reason,
            avoid=tuple(request.avoid),
        )
        n = request.instance
        decided = self.instances[n].ask_again(again, self.later.now)
        self._carry_out(n, decided)

    def _ask_hedge(self, request: records.Request) -> None:
        is_waiting = request.record.first_at is None and request.copies
        if request.is_closed or not is_waiting:
            return
        again = messages.AskAgain(
            request=request.ask.request,
            reason=_Retry.HEDGE,
            avoid=(request.copies[0].grant.endpoint,),
        )
        n = request.instance
        decided = self.instances[n].ask_again(again, self.later.now)
        self._carry_out(n, decided)

    def _cancel(self, request: records.Request, copy: records.Copy) -> int:
        """Cancels a copy; returns the tokens it had generated."""
        request.copies.remove(copy)
        one = self.engines[copy.grant.endpoint]
        done = 0
        if copy.job.state in ("queued", "prefill", "decode"):
            done = one.cancel(copy.job, self.later.now)
        copy.job.state = "gone"
        self._end(request.instance, copy.grant, _End.CANCELLED, done)
        return done

    def _end(
        self,
        n: int,
        grant: messages.Grant,
        how: messages.AttemptEnd,
        tokens: int,
    ) -> None:
        ended = messages.AttemptEnded(
            attempt=grant.attempt, how=how, tokens=tokens, at=self.later.now
        )
        self._report(n, ended)
