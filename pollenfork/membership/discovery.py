"""Candidate addresses of other instances, which aren't members yet."""

from collections.abc import Iterable
import random

from pollenfork import ids
from pollenfork.store import edges

_PROBE_INTERVAL_S = 2.0
_HINT_TTL_S = 60.0


class Discovery:
    """Addresses from the platform's list, from seeds and from peers' updates.

    This instance sends heartbeats to them; only an answer makes a member, so
    that a stale list doesn't bring back an instance that is gone.
    """

    def __init__(
        self, own_address: str, data_centre: ids.DataCentre, seeds: tuple
    ) -> None:
        self._own_address = own_address
        self._data_centre = data_centre
        self._seeds = tuple(seed for seed in seeds if seed != own_address)
        self._listed: dict[str, ids.DataCentre] = {}
        self._hints: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}

    def set_listed(self, listed: Iterable[edges.ListedInstance]) -> None:
        """Replaces the addresses of the platform's earlier list."""
        self._listed = {
            entry.address: entry.data_centre
            for entry in listed
            if entry.role is edges.InstanceRole.ENTRY
            and entry.address != self._own_address
        }

    def add_hint(self, address: str, now: float) -> None:
        """Keeps an address of this data centre for a minute."""
        if address != self._own_address:
            self._hints[address] = now + _HINT_TTL_S

    def probe_now(self, address: str, now: float) -> None:
        """Includes the address in the next heartbeat, as an answer to it."""
        self.add_hint(address, now)
        self._probed_at.pop(address, None)

    def take_due_probes(self, known: set[str], now: float) -> list[str]:
        """Returns addresses to probe now, each at most every two seconds.

        Args:
            known: Addresses of present members, which are left out.
            now: Monotonic seconds.
        """
        self._hints = {a: t for a, t in self._hints.items() if t > now}
        listed = [a for a, d in self._listed.items() if d == self._data_centre]
        candidates = {*self._seeds, *listed, *self._hints} - known
        self._probed_at = {
            a: t for a, t in self._probed_at.items() if a in candidates
        }
        due = sorted(
            address
            for address in candidates
            if now - self._probed_at.get(address, -_PROBE_INTERVAL_S)
            >= _PROBE_INTERVAL_S
        )
        self._probed_at.update(dict.fromkeys(due, now))
        return due

    def choose_remote(
        self, members: dict[ids.DataCentre, list[str]], rng: random.Random
    ) -> list[str]:
        """Returns one address in each other data centre, at random.

        Args:
            members: Addresses of present members by data centre.
            rng: Random generator.
        """
        pools = {
            centre: set(addresses) for centre, addresses in members.items()
        }
        for address, centre in self._listed.items():
            if centre != self._data_centre:
                pools.setdefault(centre, set()).add(address)
        return [
            rng.choice(sorted(pool))
            for _, pool in sorted(pools.items())
            if pool
        ]
