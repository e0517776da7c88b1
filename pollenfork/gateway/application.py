"""One gateway process: creates its parts, starts and stops them in order."""

import asyncio
from collections.abc import Callable
import itertools
import logging
import random
import signal
import time
from typing import TYPE_CHECKING

import result

from pollenfork import failures
from pollenfork import ids
from pollenfork import logs
from pollenfork.fleet import choice
from pollenfork.fleet import continuity
from pollenfork.fleet import evidence
from pollenfork.fleet import model as fleet
from pollenfork.fleet import retry_budget
from pollenfork.gateway import brittle_runners
from pollenfork.gateway import buffers
from pollenfork.gateway import cache_feed
from pollenfork.gateway import callers
from pollenfork.gateway import cluster_state
from pollenfork.gateway import context
from pollenfork.gateway import counters
from pollenfork.gateway import crash_probes
from pollenfork.gateway import duty_agent
from pollenfork.gateway import edges
from pollenfork.gateway import forecasting
from pollenfork.gateway import forwarding
from pollenfork.gateway import limit_events
from pollenfork.gateway import messages
from pollenfork.gateway import peers
from pollenfork.gateway import permits
from pollenfork.gateway import pool
from pollenfork.gateway import probing
from pollenfork.gateway import quarantine_page
from pollenfork.gateway import quarantine_store
from pollenfork.gateway import reach_monitor
from pollenfork.gateway import readiness
from pollenfork.gateway import request_handler
from pollenfork.gateway import runner_notices
from pollenfork.gateway import scaler
from pollenfork.gateway import scrape
from pollenfork.gateway import settings
from pollenfork.gateway import sources
from pollenfork.gateway import tables
from pollenfork.gateway.shedding import shedder
from pollenfork.gateway.streams import doubt_exchange
from pollenfork.gateway.streams import origin_directory
from pollenfork.gateway.streams import runner_continuity
from pollenfork.gateway.version_records import recorder
from pollenfork.gateway.version_records import start_proof
from pollenfork.loads import messages as loads
from pollenfork.loads import reach_messages
from pollenfork.poison import quarantine
from pollenfork.reach import helpers

if TYPE_CHECKING:
    from pollenfork import metrics

_LOG = logging.getLogger(__name__)

_SWEEP_S = 0.5
# The entry of a runner that has ended is removed after so many renewals have
# failed, and this is known here so many seconds later.
_ENTRY_RENEWALS = 3
_ENTRY_NEWS_S = 1.5
# How often state about unregistered runners is removed, in seconds. A new
# runner becomes known to all instances in less time.
_CLEANUP_S = 3.0
# How long an instance goes on accepting callers when it stops, in seconds. The
# load balancer checks once a second and removes an instance after two failed
# checks; until then it sends callers, who must be served.
_REMOVAL_WAIT_S = 2.6
# The rest of the grace period, in seconds, at which remaining answers are cut
# off.
_CUT_OFF_S = 0.8
_STOP_POLL_S = 0.05
# How old the proof that the registry is current may be, in seconds.
_CURRENT_S = 1.0
_BACKLOG = 512


Reread = Callable[[], result.Result[settings.GatewaySettings, failures.Failure]]


class Application:
    """Creates and runs all parts of one gateway."""

    def __init__(
        self,
        config: settings.GatewaySettings,
        codec: edges.Codec,
        store: edges.Store,
        cache_codec: edges.CacheCodec,
        make_cloud: Callable[[settings.DutySettings], edges.Cloud],
        rng: random.Random,
        reread: Reread,
    ) -> None:
        """Creates all parts; `run` starts them.

        Args:
            config: The settings.
            codec: Decodes and encodes callers' and runners' heads.
            store: Decodes and encodes the store's calls.
            cache_codec: Decodes and encodes runners' calls about their caches.
            make_cloud: Returns a codec of the duty holder's calls to the
                platform.
            rng: Spreads actions of many instances over time.
            reread: Reads the settings again, for a reload.
        """
        self._settings = config
        self._reread = reread
        self._codec = codec
        self._loop = asyncio.get_running_loop()
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners: list[asyncio.Server] = []
        self.counters = counters.Counters()
        self.state = cluster_state.ClusterState(
            store, config.revocation_s, config.heartbeat_s
        )
        connections = pool.Pool(self._loop)
        me = config.peer or config.front
        granted = permits.Permits(self._loop, me.host, config.data_centre)
        self._forecasting = forecasting.Forecasting(
            self._loop,
            rng,
            self.state,
            connections,
            self.counters,
            me.host,
            alone=config.peer is None,
        )
        self._brittle = brittle_runners.BrittleRunners(
            self._loop, self.state.runners, me.host, config.data_centre
        )
        self._continuity = continuity.Continuity(
            self.state.runners,
            _ENTRY_RENEWALS * config.heartbeat_s + _ENTRY_NEWS_S,
        )
        chooser = choice.Chooser(
            self.state.runners,
            rng,
            self._read_others,
            granted,
            forecasts=self._forecasting.costs,
            has_place=self._brittle.has_place,
            is_certain=self._is_certain,
        )
        self._brittle.watch(chooser)
        findings = evidence.Evidence(
            self.state.runners, chooser.get_state, config.data_centre
        )
        request_quarantine = quarantine.Quarantine(
            self.state.runners,
            config.front.host,
            lambda runner, at: chooser.get_state(runner).is_alive_since(at),
            self._loop.time,
        )
        findings.when_ended(request_quarantine.record_absence)
        self._reach = reach_monitor.ReachMonitor(
            self._loop, connections, self.state.runners, chooser, rng
        )
        self._forwarder = forwarding.Forwarder(
            self._loop,
            codec,
            helpers.Helpers(config.data_centre, rng),
            config.instance,
            config.data_centre,
        )
        self._reach.when_suspected(self._forwarder.ask)
        self._track_versions(store, cache_codec)
        self._observed = runner_continuity.RunnerContinuity(
            self._loop,
            self._continuity,
            connections,
            self.state.runners,
            findings,
            prove_start=self._start_proof.ask,
        )
        self._duty_agent: duty_agent.DutyAgent | None = None
        if config.duties is not None:
            self._duty_agent = duty_agent.DutyAgent(
                self._loop,
                config,
                config.duties,
                store,
                make_cloud(config.duties),
                rng,
            )
        self._quarantine_store = quarantine_store.QuarantineStore(
            config.store, store, request_quarantine, time.time
        )
        self.state.when_restored(self._quarantine_store.rewrite)
        self._deps = context.Dependencies(
            loop=self._loop,
            rng=rng,
            codec=codec,
            chooser=chooser,
            evidence=findings,
            crash_probes=crash_probes.CrashProbes(
                connections,
                findings,
                request_quarantine,
                chooser.get_state,
                self._reach,
            ),
            request_quarantine=request_quarantine,
            limit_events=limit_events.LimitEvents(),
            runner_notices=runner_notices.RunnerNotices(
                self.state.runners,
                chooser.pauses,
                self._loop.time,
                self._brittle,
            ),
            permits=granted,
            record_started=(
                self._duty_agent.accounts.record_started
                if self._duty_agent
                else _count_nothing
            ),
            claim_trial=self._quarantine_store.claim_trial,
            pool=connections,
            prober=probing.Prober(connections, self.state.runners, rng),
            retry_budget=retry_budget.RetryBudget(
                config.retry_ratio, config.retry_window_s, config.retry_extra
            ),
            shedder=shedder.Shedder(self._loop, rng, chooser),
            counters=self.counters,
            read_loads_age=self._read_loads_age,
            reach=self._reach,
            brittle=self._brittle,
            forwarder=self._forwarder,
            paces=self._forecasting.paces,
            stream_origins=self._stream_origins,
            learned=self._forecasting.learned,
            returns=self._forecasting.returns,
        )
        request_quarantine.when_probe_needed(self._deps.crash_probes.probe)
        self._watch_runners(connections)
        self._readiness = readiness.Readiness(self.state, self._stopping.is_set)
        self._sources = sources.Sources(config.store, store, self.state, rng)
        self._sources.tables.add_page(
            quarantine_page.QuarantinePage(request_quarantine, self._loop.time)
        )
        self._cache_feed = cache_feed.CacheFeed(
            cache_codec,
            self._deps.chooser,
            self.state,
            config.data_centre,
            rng,
            self._on_cache_head,
        )
        self._start_scaling(chooser)
        self._peers: peers.Peers | None = None
        self.counters.when_scraped(self._show_state)
        if self._duty_agent is not None:
            self.counters.when_scraped(self._duty_agent.show)
        self._handler = handler = request_handler.RequestHandler(
            self._deps, self.state, self._readiness
        )
        self._sources.tables.accept_forwarded(handler.serve_forwarded)
        self._buffers = buffers.Account(config.memory_bytes)
        self.counters.when_scraped(self._buffers.show)
        self._front = callers.Server(self._loop, handler.serve, self._buffers)
        self._probes = callers.Server(self._loop, handler.serve_probe)
        # Serves other instances, also the requests that they forward.
        self._peer_server = tables.make_server(
            self._sources.tables, self._buffers
        )

    def _track_versions(
        self, store: edges.Store, cache_codec: edges.CacheCodec
    ) -> None:
        """Creates what keeps streams at the versions that began them."""
        config = self._settings
        host = (config.peer or config.front).host
        self._version_records = recorder.Recorder(
            config.store, store, host, time.time
        )
        self.state.when_restored(self._version_records.rewrite)
        self._start_proof = start_proof.StartProof(
            self._loop,
            cache_codec,
            self.state.runners,
            self._continuity,
        )
        self._stream_origins = origin_directory.OriginDirectory(
            self._loop,
            self.state.runners,
            host,
            config.data_centre,
            self._continuity,
            self._version_records,
        )

    def _start_scaling(self, chooser: choice.Chooser) -> None:
        """Lets the duty holder order runners, if that is a duty here."""
        duties, agent = self._settings.duties, self._duty_agent
        if agent is None or duties is None or not duties.scales:
            return
        service_scaler = scaler.Scaler(agent.lease, self.state, chooser)
        agent.when_held(service_scaler.check)
        agent.when_answered(service_scaler.record_reply)
        self.counters.when_scraped(service_scaler.show)

    async def run(self) -> None:
        """Serves until `stop` is called, then drains and closes."""
        await self._start()
        await self._stopping.wait()
        await self._drain()
        self._close()

    def stop(self) -> None:
        """Starts to stop; requests in progress are still answered."""
        if not self._stopping.is_set():
            _LOG.info("event=stopping instance=%s", self._settings.instance)
            self._deps.permits.leave()
        self._stopping.set()

    # Starting and stopping.

    async def _start(self) -> None:
        self._loop.add_signal_handler(signal.SIGTERM, self.stop)
        self._loop.add_signal_handler(signal.SIGINT, self.stop)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._listen(self._front, self._settings.front)
        if self._settings.readiness != self._settings.front:
            await self._listen(self._probes, self._settings.readiness)
        if self._settings.metrics is not None:
            await self._listen(self._probes, self._settings.metrics)
        self._sources.when_configured(self._apply_limits)
        self._tasks += self._sources.start()
        self._tasks.append(self._loop.create_task(self._quarantine_store.run()))
        self._tasks.append(self._loop.create_task(self._sweep()))
        self._tasks.append(self._loop.create_task(self._clean_up()))
        self._tasks.append(self._loop.create_task(self._version_records.run()))
        if self._duty_agent is not None:
            self._tasks.append(self._loop.create_task(self._run_duties()))
        await self._join_peers()
        _LOG.info(
            "event=started instance=%s data_centre=%s front=%s:%d store=%s:%d",
            self._settings.instance,
            self._settings.data_centre,
            *self._settings.front,
            *self._settings.store,
        )

    async def _listen(
        self, server: callers.Server, address: settings.Address
    ) -> None:
        listener = await self._loop.create_server(
            server.make_connection, *address, backlog=_BACKLOG
        )
        self._listeners.append(listener)

    async def _join_peers(self) -> None:
        me = self._settings.peer
        if me is None:
            return
        instance = peers.LocalInstance(
            self._deps.chooser,
            self.state,
            self._deps.evidence,
            self._deps.runner_notices,
            self._deps.request_quarantine,
            self._settings.data_centre,
            self._forecasting.updates,
        )
        self._forecasting.join()
        self._deps.shedder.join(self._forecasting.updates)
        _, joined = await self._loop.create_datagram_endpoint(
            lambda: peers.Peers(instance, self._settings, me), local_addr=me
        )
        joined.when_ticked(lambda: self._sources.choose(joined))
        joined.when_ticked(lambda: self._cache_feed.check(joined))
        self._deps.permits.join(joined)
        joined.on_limits(self._deps.permits.receive)
        joined.when_ticked(self._deps.permits.tick)
        self._deps.chooser.when_long(joined.announce_soon)
        self._deps.runner_notices.when_announced(joined.flush_departures)
        self._deps.request_quarantine.when_urgent(joined.flush_suspicions)
        self._peers = joined
        if self._duty_agent is not None:
            self._duty_agent.join(joined)
            joined.when_duty(self._duty_agent.receive)
        self._forwarder.join(
            forwarding.Peers(joined.list_hosts, joined.locate, joined.send)
        )
        joined.on_reach(self._receive_reach)
        doubts = doubt_exchange.DoubtExchange(
            self._loop,
            self._continuity,
            self.state,
            joined,
            me.host,
            self._settings.data_centre,
            self._start_proof,
        )
        if any(seed.host != me.host for seed in self._settings.seeds):
            doubts.hold()
        joined.on_streams(doubts.receive)
        self._stream_origins.join(joined, doubts.wait_until_settled)
        joined.on_streams(self._stream_origins.receive)
        self._version_records.join(
            lambda: itertools.chain.from_iterable(
                joined.list_members().values()
            )
        )
        self._brittle.join(joined)
        joined.on_rooms(self._brittle.receive)
        joined.when_ticked(self._brittle.tick)
        joined.when_ticked(self._reach.tick)
        await self._listen(self._peer_server, me)
        self._tasks.append(self._loop.create_task(joined.run()))
        for task in self._tasks:
            task.add_done_callback(_log_failure)
        asking = self._loop.create_task(doubts.ask())
        asking.add_done_callback(_log_error)
        self._tasks.append(asking)

    async def _run_duties(self) -> None:
        """Runs the duties, whose first rows show that instances have served."""
        assert self._duty_agent is not None
        await self._version_records.started.wait()
        await self._duty_agent.run()

    def _is_certain(self, runner: fleet.Runner) -> bool:
        """Returns whether a runner's version is certain, and recorded."""
        return self._continuity.is_certain(
            runner
        ) and self._stream_origins.is_recorded(runner)

    def _receive_reach(
        self, message: reach_messages.ReachMessage, host: str
    ) -> None:
        """Answers an instance that asks for help, or records its offer."""
        if isinstance(message, reach_messages.HelpOffer):
            self._forwarder.record_offer(host, message)
            return
        if self._peers is None or not self._readiness.check(self._loop.time()):
            return
        lost = [
            loads.hash_name(each.encode()) for each in self._reach.list_lost()
        ]
        offer = reach_messages.HelpOffer(
            self._settings.data_centre,
            self._handler.forwarded,
            tuple(lost),
            keeps_versions=True,
        )
        self._peers.send(host, offer)

    def _on_cache_head(
        self, runner: fleet.Runner, status: int, headers: list[messages.Header]
    ) -> None:
        head = self._codec.decode_response(status, headers)
        self._deps.runner_notices.on_head(runner, head)

    def _watch_runners(self, connections: pool.Pool) -> None:
        connections.watch_registry(self.state.runners)
        self.state.runners.when_gone(self._deps.limit_events.forget)

    def _knows_runners(self) -> bool:
        """Returns whether the registry is known to be current."""
        age_s = self.state.freshness.age(self._loop.time())
        return (
            age_s is not None
            and age_s <= _CURRENT_S
            and not self.state.runners_versions.is_newer_elsewhere
        )

    def _read_others(self, runner: int) -> loads.Load:
        if self._peers is None:
            return loads.Load()
        return self._peers.read_others(runner)

    def _read_loads_age(self) -> float | None:
        return None if self._peers is None else self._peers.read_age()

    def _apply_limits(self) -> None:
        if self.state.lookup is not None:
            limits = self.state.lookup.configuration.limits
            self._front.limits = limits
            self._peer_server.limits = forwarding.make_limits(limits)
            self._buffers.set_forecast(self.state.lookup.has_forecast)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            self._share_budgets()
            self._deps.pool.close_expired()
            now = self._loop.time()
            self.state.expire_runners(now)
            self._forecasting.refresh()
            self._deps.shedder.sweep()
            self._buffers.refresh()
            self._deps.request_quarantine.sweep(now)
            for service in self._reach.list_lost():
                self._continuity.forget_observed(service)
            self._continuity.sweep(now, is_current=self._knows_runners())
            self._stream_origins.sweep()
            self._readiness.check(now)

    def _share_budgets(self) -> None:
        lookup = self.state.lookup
        if lookup is None or self._peers is None:
            return
        self._deps.retry_budget.set_instances(
            self._peers.instances, self._loop.time()
        )
        self._deps.chooser.pauses.set_instances(self._peers.instances)
        self._deps.shedder.set_instances(self._peers.instances)
        self._forecasting.share(self._peers)
        for service in lookup.configuration.services.values():
            self._deps.pool.set_accepted(
                service.name,
                service.max_connections,
                self._peers.instances,
                lookup.is_forecast(service.name),
            )

    async def _clean_up(self) -> None:
        while True:
            await asyncio.sleep(_CLEANUP_S)
            self._deps.chooser.sweep()
            known = self._deps.chooser.list_hashes()
            self._deps.permits.retain(known)
            self._brittle.retain(known)
            self._forecasting.retain(self._deps.chooser)

    def _reload(self) -> None:
        """Reads the settings again and applies those that are reloadable."""
        read = self._reread()
        if isinstance(read, result.Err):
            _LOG.error(
                "event=reload_failed instance=%s detail=%s",
                self._settings.instance,
                logs.quote_value(read.err_value.detail),
            )
            return
        changes = self._settings.find_changes(read.ok_value)
        config = self._settings = self._settings.with_reloadable(read.ok_value)
        self.state.freshness.set_bound(config.revocation_s)
        self._deps.retry_budget.set_limits(
            config.retry_ratio, config.retry_window_s, config.retry_extra
        )
        if self._peers is not None:
            self._peers.set_seeds(config.seeds)
        _LOG.info(
            "event=reload instance=%s taken=%s left=%s",
            config.instance,
            ",".join(changes.applied) or "-",
            ",".join(changes.pending) or "-",
        )

    async def _drain(self) -> None:
        """Serves until no more callers are sent and all are answered."""
        self._front.closing = True
        begun = self._loop.time()
        last = begun + self._settings.grace_s - _CUT_OFF_S
        while self._loop.time() < min(begun + _REMOVAL_WAIT_S, last):
            await asyncio.sleep(_STOP_POLL_S)
        # Requests that arrive now would be cut off at the end of the grace
        # period.
        for listener in self._listeners:
            listener.close()
        self._front.close_idle()
        self._peer_server.close_idle()
        while self._is_busy and self._loop.time() < last:
            await asyncio.sleep(_STOP_POLL_S)
            self._front.close_idle()
        _LOG.info(
            "event=stopped instance=%s left=%d took_ms=%d",
            self._settings.instance,
            len(self._front.connections),
            (self._loop.time() - begun) * 1000,
        )

    @property
    def _is_busy(self) -> bool:
        """Whether any caller's request is in progress here."""
        return self._front.busy or self._handler.forwarded > 0

    def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._cache_feed.close()
        self._deps.prober.close()
        self._deps.crash_probes.close()
        self._observed.close()
        self._version_records.close()
        self._reach.close()
        self._deps.pool.close()

    def _show_state(self, shown: "metrics.Metrics") -> None:
        scrape.show(shown, self._deps, self.state, self._front.counters.refused)


def _count_nothing(account: ids.AccountId) -> None:
    """Counts nothing, as this instance has no duties."""


def _log_error(task: asyncio.Task[None]) -> None:
    """Logs the failure of a task that may end."""
    if not task.cancelled() and task.exception() is not None:
        _log_failure(task)


def _log_failure(task: asyncio.Task[None]) -> None:
    """Logs the failure of a task that should run until the end."""
    if task.cancelled():
        return
    _LOG.critical("event=part_failed", exc_info=task.exception())
