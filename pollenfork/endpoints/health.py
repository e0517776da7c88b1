"""Whether endpoints take new work, by whoever speaks first.

An endpoint is leaving as long as any sign of it stands, and each kind of
sign is taken back by its own evidence only; see `docs/design/leaving.md`.
"""

from collections.abc import Collection, Mapping

from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.endpoints import messages
from pollenfork.store import edges as platform_edges

UNREACHABLE_PROBES = 3  # Failures in a row before an endpoint is gone.
READY_ANSWERS = 3  # In a row before an endpoint's own refusal is over.
ABSENT_S = 10.0  # Out of the list for so long, then in it: listed anew.
LIST_LAG_S = 120.0  # The list tells of a leaving endpoint by then.

_NEVER = float("-inf")
_Sign = messages.Sign
_State = dispatch_messages.EndpointState


class Record:
    """What is known of one endpoint; times are monotonic seconds."""

    def __init__(self) -> None:
        self.state: _State | None = None
        self.signs: set[_Sign] = set()
        self.heard_at = _NEVER
        self._asked_at = _NEVER  # When the latest answered probe was sent.
        self._ready = 0
        self._failed = 0
        self._failed_since = _NEVER
        self._ended = False  # Nothing listened at its port meanwhile.
        self._started_at = _NEVER  # When it was seen to have started anew.
        self._listed_at = _NEVER  # When the list's sign was first seen.
        self._unlisted_at: float | None = None  # Then it said live, till now.
        self._absent_since: float | None = None
        self._claims: dict[ids.InstanceId | None, float] = {}
        # Claims from before a new start, until their peers take them back.
        self._outdated: set[ids.InstanceId | None] = set()

    def hear_ready(self, ready: bool, sent_at: float, now: float) -> None:
        """Takes the endpoint's own word, asked for at `sent_at`."""
        if sent_at < self._asked_at:
            return  # A later question was answered first.
        self._asked_at = sent_at
        self.heard_at = now
        self._failed = 0
        if not ready:
            self._ready = 0
            self._ended = False
            self.signs.add(_Sign.OWN)
            return
        self._ready += 1
        if self._ready < READY_ANSWERS:
            return
        self.signs.discard(_Sign.OWN)
        if self._ended:
            self._ended = False
            self._started_at = now
            self._outdated = set(self._claims)
            self.drop_old_claims(now)

    def hear_failure(self, refused: bool, sent_at: float, now: float) -> None:
        """Takes a question without answer."""
        if sent_at < self._asked_at:
            return
        self._asked_at = sent_at
        self._ready = 0
        if not self._failed:
            self._failed_since = now
        self._failed += 1
        self._ended = self._ended or refused

    def hear_list(
        self, status: platform_edges.InstanceStatus | None, now: float
    ) -> None:
        """Takes what the platform's list says; None where it is absent.

        A list that says live takes its own sign back only after the
        endpoint was absent from it, or was seen to have started anew. Where
        the start came first, the sign may be of the life before it, as the
        list lags; the list has then to say live for as long as it may lag.
        """
        if status is None:
            if self._absent_since is None:
                self._absent_since = now
            return
        since, self._absent_since = self._absent_since, None
        if status is platform_edges.InstanceStatus.LEAVING:
            self._unlisted_at = None
            if _Sign.LIST not in self.signs:
                self._listed_at = now
                self.signs.add(_Sign.LIST)
            return
        if _Sign.LIST not in self.signs:
            return
        if self._unlisted_at is None:
            self._unlisted_at = now
        listed_anew = since is not None and now - since >= ABSENT_S
        started_since = self._started_at > self._listed_at
        started_before = self._started_at > self._listed_at - LIST_LAG_S
        lasting = now - self._unlisted_at >= LIST_LAG_S
        if listed_anew or started_since or (started_before and lasting):
            self._unlisted_at = None
            self.signs.discard(_Sign.LIST)

    def hear_drain(self, wished: bool) -> None:
        """Takes whether an operator wants it drained."""
        if wished:
            self.signs.add(_Sign.DRAIN)
        else:
            self.signs.discard(_Sign.DRAIN)

    def hear_peer(
        self, leaving: bool, peer: ids.InstanceId | None, now: float
    ) -> None:
        """Takes what a peer says; None stands for one without a name."""
        self.drop_old_claims(now)
        if leaving:
            self._claims[peer] = now
            if peer is None:  # It never takes back: each one is news.
                self._outdated.discard(None)
        else:
            self._claims.pop(peer, None)
        self.drop_old_claims(now)

    def drop_old_claims(self, now: float) -> None:
        """Drops claims that their peers took back or no longer repeat."""
        self._claims = {
            peer: at
            for peer, at in self._claims.items()
            if now - at < LIST_LAG_S
        }
        self._outdated &= self._claims.keys()
        if self._claims.keys() - self._outdated:
            self.signs.add(_Sign.PEER)
        else:
            self.signs.discard(_Sign.PEER)

    def is_suspect(self) -> bool:
        """Returns whether it has to be asked more closely."""
        return self.state is not _State.LIVE or self._failed > 0

    def is_told(self, now: float) -> bool:
        """Returns whether peers hear from here that it is leaving.

        What was only heard from peers is not passed on: two instances would
        confirm each other for ever. Nor is it once the endpoint has long
        been out of reach from here, as its return could not be seen.
        """
        lost = self._failed >= UNREACHABLE_PROBES
        if lost and now - self._failed_since > LIST_LAG_S:
            return False
        return bool(self.signs - {_Sign.PEER})

    def judge(self) -> _State | None:
        """Returns its state, None while nothing is known."""
        if self._failed >= UNREACHABLE_PROBES:
            return _State.GONE
        if self.signs:
            return _State.LEAVING
        return _State.LIVE if self._ready else self.state


class Health:
    """The health of every endpoint of this data centre."""

    def __init__(self) -> None:
        self._records: dict[ids.EndpointId, Record] = {}
        self._addresses: dict[ids.EndpointId, str] = {}
        self._said: dict[ids.InstanceId | None, set[ids.EndpointId]] = {}
        self._drained: frozenset[ids.EndpointId] = frozenset()
        self._touched: set[ids.EndpointId] = set()  # To be judged again.

    def plan(self, addresses: Mapping[ids.EndpointId, str]) -> None:
        """Sets which endpoints there are; one that moved is a new one."""
        self._records = {
            name: self._records[name]
            if self._addresses.get(name) == address
            else Record()
            for name, address in addresses.items()
        }
        self._addresses = dict(addresses)
        self.hear_drains(self._drained)

    def find(self, endpoint: ids.EndpointId) -> Record | None:
        """Returns what is known of an endpoint."""
        return self._records.get(endpoint)

    def change(self, endpoint: ids.EndpointId) -> Record:
        """Returns a record about to be told something."""
        self._touched.add(endpoint)
        return self._records[endpoint]

    def touch_all(self) -> None:
        """Has every endpoint judged again: time has passed."""
        self._touched.update(self._records)

    def hear_list(
        self, listed: tuple[platform_edges.ListedInstance, ...], now: float
    ) -> None:
        """Takes the platform's list as read just now."""
        status: Mapping[str, platform_edges.InstanceStatus] = {
            entry.name: entry.status for entry in listed
        }
        for name in self._records:
            self.change(name).hear_list(status.get(name), now)

    def hear_drains(self, wished: Collection[ids.EndpointId]) -> None:
        """Takes the endpoints that operators want drained."""
        self._drained = frozenset(wished)
        for name in self._records:
            self.change(name).hear_drain(name in self._drained)

    def hear_peer(
        self,
        leaving: Collection[ids.EndpointId],
        peer: ids.InstanceId | None,
        now: float,
    ) -> None:
        """Takes all endpoints that a peer says are leaving.

        What a named peer said earlier and says no longer is taken back;
        news without a name are added to the earlier ones.
        """
        before = self._said.get(peer, set()) if peer else set()
        for name in before - set(leaving):
            if name in self._records:
                self.change(name).hear_peer(False, peer, now)
        for name in leaving:
            if name in self._records:
                self.change(name).hear_peer(True, peer, now)
        if peer:
            self._said[peer] = set(leaving)

    def forget_peers(self, live: Collection[ids.InstanceId]) -> None:
        """Drops lists of peers that are gone; their claims run out."""
        self._said = {p: s for p, s in self._said.items() if p in live}

    def list_leaving(self, now: float) -> tuple[ids.EndpointId, ...]:
        """Returns the endpoints that peers should hear are leaving."""
        return tuple(
            name
            for name, record in self._records.items()
            if record.signs and record.is_told(now)
        )

    def judge(self, now: float) -> list[dispatch_messages.EndpointNotice]:
        """Returns the endpoints whose state has changed."""
        touched, self._touched = self._touched, set()
        notices = []
        for name in touched & self._records.keys():
            record = self._records[name]
            if record.signs:
                record.drop_old_claims(now)
            state = record.judge()
            if state is None or state is record.state:
                continue
            record.state = state
            notices.append(
                dispatch_messages.EndpointNotice(endpoint=name, state=state)
            )
        return notices
