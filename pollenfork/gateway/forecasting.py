"""The parts of a gateway that serve forecast services."""

import asyncio
import random

from pollenfork.fleet import choice
from pollenfork.forecast import costs
from pollenfork.gateway import cluster_state
from pollenfork.gateway import counters
from pollenfork.gateway import pace_samples
from pollenfork.gateway import peers
from pollenfork.gateway import pool
from pollenfork.gateway import updates
from pollenfork.gateway.connections import connect_costs
from pollenfork.gateway.connections import subsets
from pollenfork.pace import estimator
from pollenfork.returns import planner as return_planner
from pollenfork.room import learning


class Forecasting:
    """Creates the parts that forecasts need and keeps them up to date.

    Attributes:
        paces: The paces of runners.
        learned: What earlier answers show about output and duration.
        returns: Plans the returns of refused callers.
        updates: The updates exchanged with other instances.
        costs: The costs of candidate runners.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        state: cluster_state.ClusterState,
        connections: pool.Pool,
        counted: counters.Counters,
        host: str,
        alone: bool,
    ) -> None:
        """Creates the parts.

        Args:
            loop: Provides the clock.
            rng: Spreads actions of many instances over time.
            state: The configuration and the runners.
            connections: The connections to runners.
            counted: Counts planned returns.
            host: The host of this instance.
            alone: Whether it runs without other instances.
        """
        self._loop = loop
        self._state = state
        index = pace_samples.RunnerIndex(state.runners, loop.time)
        self.paces = estimator.PaceTable(index.find)
        state.runners.when_restarted(
            lambda runner: self.paces.forget(
                pace_samples.hash_incarnation(runner)
            )
        )
        self.learned = learning.LearnedAnswers()
        self.returns = return_planner.ReturnPlanner(rng, counted, alone=alone)
        self.updates = updates.UpdateExchange(self.paces, loop.time)
        self._subset = subsets.RunnerSubset(host)
        connecting = connect_costs.ConnectCosts(connections, self._subset)
        self.costs = costs.ForecastCosts(
            self.paces, connecting.find_cost, self.learned.get_typical_s
        )

    def join(self) -> None:
        """Connects the planned returns with those of other instances."""
        self.returns.join(self.updates)

    def share(self, joined: peers.Peers) -> None:
        """Applies the number of instances and the runners in use."""
        lookup = self._state.lookup
        if lookup is None:
            return
        now = self._loop.time()
        self.returns.set_instances(joined.instances, now)
        self.paces.set_instances(joined.instances)
        services = lookup.configuration.services
        forecast = [each for each in services if lookup.is_forecast(each)]
        joined.prefer_capacity(bool(forecast))
        self._subset.retain(forecast)
        for name in forecast:
            accepting = self._state.runners.list_accepting(name)
            self._subset.update(name, joined.list_hosts(), accepting, now)

    def refresh(self) -> None:
        """Updates the paces from the samples received."""
        self.paces.refresh(self._loop.time())

    def retain(self, chooser: choice.Chooser) -> None:
        """Forgets runners that are gone."""
        self.paces.retain(chooser.list_hashes())
