"""One request's return to the gateway after a refusal."""

from pollenfork import logs
from pollenfork.fleet import candidates
from pollenfork.fleet import outcomes
from pollenfork.gateway import context
from pollenfork.returns import planner as return_planner
from pollenfork.returns import promises


class CallerReturn:
    """Connects a request to the planned returns of its service.

    It does nothing for services whose answers aren't forecast.
    """

    def __init__(
        self, deps: context.Dependencies, admitted: context.AdmittedRequest
    ) -> None:
        """Creates the connection of one request.

        Args:
            deps: Dependencies that all exchanges share.
            admitted: The request.
        """
        self._deps = deps
        self._admitted = admitted
        self._planner = deps.returns if admitted.demand.forecast else None
        self._caller = return_planner.Caller(
            request=logs.quote_value(admitted.head.attempt),
            service=admitted.demand.service,
            digest=admitted.digest,
            tokens=admitted.demand.unshared_tokens,
            target_s=admitted.demand.target_s,
            arrived=admitted.call.arrived,
            deadline=admitted.deadline,
            tier=admitted.tier,
        )
        self._claimed: promises.Kept | promises.Early | None = None
        self._has_claimed = False
        self._plan: return_planner.Plan | None = None

    def claim(self) -> promises.Kept | promises.Early | None:
        """Returns what was promised to the request; None: nothing.

        A promise that is due is used up by the first call. Later calls return
        the same.
        """
        if self._planner is not None and not self._has_claimed:
            now = self._deps.loop.time()
            self._claimed = self._planner.claim(self._caller, now)
            self._has_claimed = True
        return self._claimed

    @property
    def is_early(self) -> bool:
        """Whether the request came before the time that it was told."""
        return isinstance(self._claimed, promises.Early)

    def settle(self, found: outcomes.Outcome) -> None:
        """Uses the claimed promise up if a runner was found, or renews it."""
        claimed = self._claimed
        if self._planner is None or not isinstance(claimed, promises.Kept):
            return
        if isinstance(found, outcomes.Grant):
            self._planner.confirm(self._caller, claimed)
            return
        now = self._deps.loop.time()
        self._planner.restore(self._caller, claimed, now)
        self._claimed = None
        self._has_claimed = False

    def limit_prefill(self) -> float | None:
        """Returns the prefill limit, less the work of returns due soon."""
        limit_s = self._admitted.prefill_limit_s
        if self._planner is None or limit_s is None:
            return limit_s
        now = self._deps.loop.time()
        backlog_s = self._planner.measure_backlog(
            self._find_rate(), now, self._admitted.tier
        )
        return max(0.0, limit_s - backlog_s)

    def promise(self, found: outcomes.Overloaded) -> bool:
        """Promises the request a time to return, if there is a free place.

        Args:
            found: Why it would be refused.
        """
        if self._planner is None:
            return False
        self._plan = self._planner.plan(
            self._caller,
            return_planner.Overload(
                found.wait_s, found.mean_backlog_s, self._find_rate()
            ),
            self._deps.loop.time(),
        )
        return self._plan.obstacle is None

    def find_retry_after(self) -> float | None:
        """Returns the seconds after which the refused caller should return.

        None: returns aren't planned for its service.
        """
        if self._planner is None:
            return None
        if isinstance(self._claimed, promises.Early):
            now = self._deps.loop.time()
            return self._planner.refuse_early(self._caller, self._claimed, now)
        if self._plan is None or self._plan.obstacle is None:
            return self._plan.wait_s if self._plan else None
        return self._planner.refuse_unplanned(self._caller, self._plan)

    def _find_rate(self) -> float:
        """Returns the prompt tokens that its runners process per second."""
        available = self._deps.chooser.availability
        runners = available.count_accepting(self._admitted.demand.service)
        return runners * candidates.PREFILL_TOKENS_PER_S
