"""Handles callers' requests, readiness checks and metrics scrapes."""

import logging

import msgspec
import result

from pollenfork import logs
from pollenfork.gateway import admission
from pollenfork.gateway import callers
from pollenfork.gateway import cluster_state
from pollenfork.gateway import context
from pollenfork.gateway import exchange
from pollenfork.gateway import forwarding
from pollenfork.gateway import messages
from pollenfork.gateway import readiness
from pollenfork.gateway import replies

_LOG = logging.getLogger(__name__)

_BAD_REQUEST = 400


class RequestHandler:
    """Entry point for callers, the load balancer and scrapers."""

    def __init__(
        self,
        deps: context.Dependencies,
        state: cluster_state.ClusterState,
        ready: readiness.Readiness,
    ) -> None:
        """Creates a handler.

        Args:
            deps: Dependencies that all exchanges share.
            state: The instance's view of the configuration and the runners.
            ready: Decides whether the load balancer should send callers here.
        """
        self._deps = deps
        self._state = state
        self._readiness = ready
        self._forwarded = 0

    async def serve(
        self, call: messages.Request, caller: callers.CallerConnection
    ) -> None:
        """Serves or refuses one request of a caller."""
        await self._serve(call, caller, None)

    async def serve_forwarded(
        self,
        call: messages.Request,
        forwarded: forwarding.Forwarded,
        caller: callers.CallerConnection,
    ) -> None:
        """Serves a caller's request that another instance forwards.

        Args:
            call: The request as the caller sent it.
            forwarded: What the other instance has told about it.
            caller: The connection of that instance.
        """
        _LOG.info(
            "event=forward_received request=%s sender=%s attempts=%d",
            logs.quote_value(
                self._deps.codec.decode_request(call.headers).attempt
            ),
            logs.quote_value(forwarded.sender),
            forwarded.attempts,
            extra=logs.ORDINARY,
        )
        self._forwarded += 1
        try:
            await self._serve(call, caller, forwarded)
        finally:
            self._forwarded -= 1

    @property
    def forwarded(self) -> int:
        """Forwarded requests in progress."""
        return self._forwarded

    async def _serve(
        self,
        call: messages.Request,
        caller: callers.CallerConnection,
        forwarded: forwarding.Forwarded | None,
    ) -> None:
        repeated = self._deps.codec.find_duplicate(call.headers)
        if repeated is not None:
            refusal = replies.Refusal(
                _BAD_REQUEST, replies.Reason.REPEATED_HEADER
            )
            self._refuse(call, caller, refusal, "")
            return
        head = self._deps.codec.decode_request(call.headers)
        admitted = admission.admit(
            self._state,
            call,
            head,
            self._deps.loop.time(),
            self._deps.learned.outputs,
        )
        if isinstance(admitted, result.Err):
            self._refuse(call, caller, admitted.err_value, head.attempt)
            return
        request = admitted.ok_value
        if forwarded is not None:
            request = _limit_attempts(request, forwarded)
            if self._readiness.state is readiness.State.STOPPING:
                refusal = replies.Refusal(503, replies.Reason.STOPPING)
                self._refuse(call, caller, refusal, head.attempt)
                return
        await exchange.Exchange(self._deps, request, caller, forwarded).run()

    def _refuse(
        self,
        call: messages.Request,
        caller: callers.CallerConnection,
        refusal: replies.Refusal,
        request: str,
    ) -> None:
        self._deps.counters.record_refused(refusal.reason)
        age_s = self._state.freshness.age(self._deps.loop.time())
        lookup = self._state.lookup
        _LOG.info(
            "event=refused request=%s status=%d reason=%s host=%s path=%s "
            "configuration=%s age_ms=%s",
            logs.quote_value(request),
            refusal.status,
            refusal.reason.value,
            logs.quote_value(admission.find_host(call)),
            logs.quote_value(admission.find_path(call)),
            lookup.configuration.version if lookup else "-",
            "-" if age_s is None else int(age_s * 1000),
        )
        caller.write(replies.write_refusal(refusal, caller.closing))

    async def serve_probe(
        self, call: messages.Request, caller: callers.CallerConnection
    ) -> None:
        """Answers a readiness check or a metrics scrape."""
        if not self._deps.codec.is_ready_check(call.target):
            caller.write(replies.write_text(200, self._deps.counters.write()))
            return
        now = self._deps.loop.time()
        ready = self._readiness.check(now)
        status = 200 if ready else 503
        caller.write(replies.write_text(status, b"ready" if ready else b"no"))


def _limit_attempts(
    admitted: context.AdmittedRequest, forwarded: forwarding.Forwarded
) -> context.AdmittedRequest:
    """Returns a request without the attempts that were made elsewhere."""
    left = max(1, admitted.route.attempts - forwarded.attempts)
    route = msgspec.structs.replace(admitted.route, attempts=left)
    return msgspec.structs.replace(admitted, route=route)
