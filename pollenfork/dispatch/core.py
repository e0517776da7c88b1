"""Choice of an endpoint: the least part of its slots in use."""

import msgspec

from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import messages
from pollenfork.settings import model


class _Attempt(msgspec.Struct):
    request: ids.RequestId
    endpoint: ids.EndpointId
    tier: ids.Tier


class Endpoints:
    """The endpoints, their state and the attempts they hold."""

    def __init__(self, instance: ids.InstanceId) -> None:
        self._instance = instance
        self._settings: dict[ids.EndpointId, model.EndpointSettings] = {}
        self._services: dict[ids.ServiceName, model.ServiceSettings] = {}
        self._states: dict[ids.EndpointId, messages.EndpointState] = {}
        self._attempts: dict[ids.AttemptId, _Attempt] = {}
        self._in_flight: dict[ids.EndpointId, int] = {}
        self._count = 0

    def apply_tree(self, tree: model.Tree) -> None:
        """Takes the endpoints and services of a tree that came into force."""
        self._settings = tree.root.endpoints
        self._services = tree.root.services

    def note_state(self, notice: messages.EndpointNotice) -> None:
        """Takes an endpoint's state."""
        self._states[notice.endpoint] = notice.state

    def grant(
        self,
        ask: admission_messages.Ask,
        avoid: tuple[ids.EndpointId, ...] = (),
    ) -> messages.Grant | None:
        """Returns a slot for the request, or None while there is none."""
        usable = [
            name
            for name in self._list_able(ask)
            if name not in avoid and self._has_slot(name)
        ]
        if not usable:
            return None
        name = min(usable, key=self._rate_use)
        return self._start_attempt(ask, name)

    def is_served(self, ask: admission_messages.Ask) -> bool:
        """Returns whether any endpoint could ever carry the request."""
        return bool(self._list_able(ask))

    def end(self, ended: messages.AttemptEnded) -> None:
        """Gives the attempt's slot back."""
        attempt = self._attempts.pop(ended.attempt, None)
        if attempt:
            self._in_flight[attempt.endpoint] -= 1

    def list_occupancies(self) -> tuple[messages.Occupancy, ...]:
        """Returns the slots this instance holds, by endpoint and tier."""
        counts: dict[tuple[ids.EndpointId, ids.Tier], int] = {}
        for attempt in list(self._attempts.values()):
            key = (attempt.endpoint, attempt.tier)
            counts[key] = counts.get(key, 0) + 1
        return tuple(
            messages.Occupancy(endpoint, tier, count)
            for (endpoint, tier), count in counts.items()
        )

    def _list_able(self, ask: admission_messages.Ask) -> list[ids.EndpointId]:
        if ask.service is not None:
            service = self._services.get(ask.service)
            names = service.endpoints if service else ()
        else:
            names = tuple(
                name
                for name, endpoint in self._settings.items()
                if ask.model in endpoint.models
            )
        live = messages.EndpointState.LIVE
        return [n for n in names if self._states.get(n, live) is live]

    def _has_slot(self, name: ids.EndpointId) -> bool:
        return self._in_flight.get(name, 0) < self._settings[name].slots

    def _rate_use(self, name: ids.EndpointId) -> float:
        return self._in_flight.get(name, 0) / self._settings[name].slots

    def _start_attempt(
        self, ask: admission_messages.Ask, name: ids.EndpointId
    ) -> messages.Grant:
        self._count += 1
        attempt = ids.AttemptId(f"{ask.request}.{self._count}")
        self._attempts[attempt] = _Attempt(ask.request, name, ask.tier)
        self._in_flight[name] = self._in_flight.get(name, 0) + 1
        return messages.Grant(
            request=ask.request,
            attempt=attempt,
            endpoint=name,
            address=self._settings[name].address,
            priority=ask.tier,
        )
