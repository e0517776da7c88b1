"""Tracks whether endpoints accept new work, from several sources.

An endpoint is leaving as long as any source reports it so. A source's report is
cleared only by evidence from the same source; see `docs/design/leaving.md`.
"""

from collections.abc import Collection, Mapping

from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.endpoints import messages
from pollenfork.store import edges as platform_edges

# Successive failed probes after which an endpoint is gone.
UNREACHABLE_PROBES = 3
# Successive ready answers after which an endpoint that refused is ready again.
READY_ANSWERS = 3
# An endpoint that was missing from the list for so long is listed anew.
ABSENT_S = 10.0
# The most that the instance list lags: by then it shows a leaving endpoint.
LIST_LAG_S = 120.0

_NEVER = float("-inf")
_Source = messages.LeavingSource
_State = dispatch_messages.EndpointState


class EndpointHealth:
    """The health of one endpoint; times are in monotonic seconds."""

    def __init__(self) -> None:
        self.state: _State | None = None
        self.leaving_sources: set[_Source] = set()
        self.last_answer_at = _NEVER
        self._probed_at = _NEVER  # When the latest completed probe was sent.
        self._ready_answers = 0
        self._failures = 0
        self._failing_since = _NEVER
        # Whether the port refused a connection since the endpoint last
        # answered that it isn't ready, or last restarted.
        self._port_closed = False
        self._restarted_at = _NEVER  # When a restart was last detected.
        self._listed_leaving_at = _NEVER  # When first listed as leaving.
        # Since when it is listed as live again, after it was listed leaving.
        self._listed_live_since: float | None = None
        self._absent_since: float | None = None
        # When each peer last reported the endpoint as leaving.
        self._peer_claims: dict[ids.InstanceId | None, float] = {}
        # Claims from before a restart, until their peers withdraw them.
        self._stale_claims: set[ids.InstanceId | None] = set()

    def record_ready(self, ready: bool, sent_at: float, now: float) -> None:
        """Records the answer to a readiness probe sent at `sent_at`."""
        if sent_at < self._probed_at:
            return  # A later probe was answered first.
        self._probed_at = sent_at
        self.last_answer_at = now
        self._failures = 0
        if not ready:
            self._ready_answers = 0
            self._port_closed = False
            self.leaving_sources.add(_Source.READINESS)
            return
        self._ready_answers += 1
        if self._ready_answers < READY_ANSWERS:
            return
        self.leaving_sources.discard(_Source.READINESS)
        if self._port_closed:
            self._port_closed = False
            self._restarted_at = now
            self._stale_claims = set(self._peer_claims)
            self.expire_claims(now)

    def record_failure(self, refused: bool, sent_at: float, now: float) -> None:
        """Records a probe that got no answer."""
        if sent_at < self._probed_at:
            return
        self._probed_at = sent_at
        self._ready_answers = 0
        if not self._failures:
            self._failing_since = now
        self._failures += 1
        self._port_closed = self._port_closed or refused

    def record_listed(
        self, status: platform_edges.InstanceStatus | None, now: float
    ) -> None:
        """Records the status in the platform's list; None if it is absent.

        The status "live" clears an earlier "leaving" of the list only if the
        endpoint was absent from the list in between or has restarted since. If
        the restart came shortly before, the list may have lagged and meant the
        earlier process; it must then say "live" for as long as it may lag.
        """
        if status is None:
            if self._absent_since is None:
                self._absent_since = now
            return
        since, self._absent_since = self._absent_since, None
        if status is platform_edges.InstanceStatus.LEAVING:
            self._listed_live_since = None
            if _Source.INSTANCE_LIST not in self.leaving_sources:
                self._listed_leaving_at = now
                self.leaving_sources.add(_Source.INSTANCE_LIST)
            return
        if _Source.INSTANCE_LIST not in self.leaving_sources:
            return
        if self._listed_live_since is None:
            self._listed_live_since = now
        relisted = since is not None and now - since >= ABSENT_S
        restarted_since = self._restarted_at > self._listed_leaving_at
        restarted_before = (
            self._restarted_at > self._listed_leaving_at - LIST_LAG_S
        )
        lasting = now - self._listed_live_since >= LIST_LAG_S
        if relisted or restarted_since or (restarted_before and lasting):
            self._listed_live_since = None
            self.leaving_sources.discard(_Source.INSTANCE_LIST)

    def record_drain(self, requested: bool) -> None:
        """Records whether an operator requested a drain."""
        if requested:
            self.leaving_sources.add(_Source.DRAIN)
        else:
            self.leaving_sources.discard(_Source.DRAIN)

    def record_peer(
        self, leaving: bool, peer: ids.InstanceId | None, now: float
    ) -> None:
        """Records a peer's report; `peer` is None if its name is unknown."""
        self.expire_claims(now)
        if leaving:
            self._peer_claims[peer] = now
            if peer is None:  # It can't withdraw, so each report is new.
                self._stale_claims.discard(None)
        else:
            self._peer_claims.pop(peer, None)
        self.expire_claims(now)

    def expire_claims(self, now: float) -> None:
        """Drops claims that their peers haven't repeated in time."""
        self._peer_claims = {
            peer: at
            for peer, at in self._peer_claims.items()
            if now - at < LIST_LAG_S
        }
        self._stale_claims &= self._peer_claims.keys()
        if self._peer_claims.keys() - self._stale_claims:
            self.leaving_sources.add(_Source.PEER)
        else:
            self.leaving_sources.discard(_Source.PEER)

    def is_suspect(self) -> bool:
        """Returns whether to probe the endpoint even if it isn't assigned."""
        return self.state is not _State.LIVE or self._failures > 0

    def is_announced(self, now: float) -> bool:
        """Returns whether this instance tells peers that it is leaving.

        Reports of peers are not passed on, as two instances would confirm each
        other forever. Nor is a leaving endpoint announced once it has been
        unreachable for long, as this instance couldn't see its return.
        """
        unreachable = self._failures >= UNREACHABLE_PROBES
        if unreachable and now - self._failing_since > LIST_LAG_S:
            return False
        return bool(self.leaving_sources - {_Source.PEER})

    def evaluate(self) -> _State | None:
        """Returns the endpoint's state; None while nothing is known."""
        if self._failures >= UNREACHABLE_PROBES:
            return _State.GONE
        if self.leaving_sources:
            return _State.LEAVING
        return _State.LIVE if self._ready_answers else self.state


class Health:
    """The health of all endpoints of this data centre."""

    def __init__(self) -> None:
        self._endpoints: dict[ids.EndpointId, EndpointHealth] = {}
        self._addresses: dict[ids.EndpointId, str] = {}
        self._leaving_by_peer: dict[
            ids.InstanceId | None, set[ids.EndpointId]
        ] = {}
        self._drain_requests: frozenset[ids.EndpointId] = frozenset()
        self._changed: set[ids.EndpointId] = set()  # To be evaluated again.

    def set_endpoints(self, addresses: Mapping[ids.EndpointId, str]) -> None:
        """Sets the endpoints; one with a new address is a new endpoint."""
        self._endpoints = {
            name: self._endpoints[name]
            if self._addresses.get(name) == address
            else EndpointHealth()
            for name, address in addresses.items()
        }
        self._addresses = dict(addresses)
        self.record_drains(self._drain_requests)

    def get(self, endpoint: ids.EndpointId) -> EndpointHealth | None:
        """Returns the health of an endpoint, if it is known."""
        return self._endpoints.get(endpoint)

    def get_for_update(self, endpoint: ids.EndpointId) -> EndpointHealth:
        """Returns an endpoint's health and marks it as changed."""
        self._changed.add(endpoint)
        return self._endpoints[endpoint]

    def mark_all_changed(self) -> None:
        """Marks all endpoints, as their state also depends on the time."""
        self._changed.update(self._endpoints)

    def record_list(
        self, listed: tuple[platform_edges.ListedInstance, ...], now: float
    ) -> None:
        """Records the platform's list, which was just fetched."""
        status: Mapping[str, platform_edges.InstanceStatus] = {
            entry.name: entry.status for entry in listed
        }
        for name in self._endpoints:
            self.get_for_update(name).record_listed(status.get(name), now)

    def record_drains(self, requested: Collection[ids.EndpointId]) -> None:
        """Records the endpoints that operators requested to drain."""
        self._drain_requests = frozenset(requested)
        for name in self._endpoints:
            self.get_for_update(name).record_drain(name in self._drain_requests)

    def record_peer(
        self,
        leaving: Collection[ids.EndpointId],
        peer: ids.InstanceId | None,
        now: float,
    ) -> None:
        """Records the endpoints that a peer reports as leaving.

        The list of a named peer replaces its earlier one; one without a name
        is added to those reported earlier.
        """
        previous = self._leaving_by_peer.get(peer, set()) if peer else set()
        for name in previous - set(leaving):
            if name in self._endpoints:
                self.get_for_update(name).record_peer(False, peer, now)
        for name in leaving:
            if name in self._endpoints:
                self.get_for_update(name).record_peer(True, peer, now)
        if peer:
            self._leaving_by_peer[peer] = set(leaving)

    def drop_lost_peers(self, live: Collection[ids.InstanceId]) -> None:
        """Drops the lists of peers that are gone; their claims expire."""
        self._leaving_by_peer = {
            p: s for p, s in self._leaving_by_peer.items() if p in live
        }

    def list_leaving(self, now: float) -> tuple[ids.EndpointId, ...]:
        """Returns the leaving endpoints to announce to peers."""
        return tuple(
            name
            for name, endpoint_health in self._endpoints.items()
            if endpoint_health.leaving_sources
            and endpoint_health.is_announced(now)
        )

    def evaluate(self, now: float) -> list[dispatch_messages.EndpointNotice]:
        """Returns a notice for each endpoint whose state has changed."""
        changed, self._changed = self._changed, set()
        notices = []
        for name in changed & self._endpoints.keys():
            endpoint_health = self._endpoints[name]
            if endpoint_health.leaving_sources:
                endpoint_health.expire_claims(now)
            state = endpoint_health.evaluate()
            if state is None or state is endpoint_health.state:
                continue
            endpoint_health.state = state
            notices.append(
                dispatch_messages.EndpointNotice(endpoint=name, state=state)
            )
        return notices
