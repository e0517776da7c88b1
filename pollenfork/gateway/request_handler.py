"""Takes callers' requests in, and answers whoever asks about this instance."""

import logging

import result

from pollenfork import logs
from pollenfork.gateway import admission
from pollenfork.gateway import callers
from pollenfork.gateway import context
from pollenfork.gateway import exchange
from pollenfork.gateway import knowledge
from pollenfork.gateway import messages
from pollenfork.gateway import readiness
from pollenfork.gateway import replies

_LOG = logging.getLogger(__name__)

_BAD_REQUEST = 400


class RequestHandler:
    """What callers, the balancer and scrapers reach first."""

    def __init__(
        self,
        tools: context.Dependencies,
        known: knowledge.Knowledge,
        ready: readiness.Readiness,
    ) -> None:
        """Takes what it needs.

        Args:
            tools: What all exchanges share.
            known: What is known of the configuration and of the runners.
            ready: Says whether callers should be sent here.
        """
        self._tools = tools
        self._known = known
        self._readiness = ready

    async def serve(
        self, call: messages.Request, caller: callers.CallerConnection
    ) -> None:
        """Serves one request of a caller, or refuses it."""
        repeated = self._tools.codec.find_duplicate(call.headers)
        if repeated is not None:
            refusal = replies.Refusal(
                _BAD_REQUEST, replies.Reason.REPEATED_HEADER
            )
            self._refuse(call, caller, refusal, "")
            return
        head = self._tools.codec.decode_request(call.headers)
        admitted = admission.admit(
            self._known, call, head, self._tools.loop.time()
        )
        if isinstance(admitted, result.Err):
            self._refuse(call, caller, admitted.err_value, head.attempt)
            return
        await exchange.Exchange(self._tools, admitted.ok_value, caller).run()

    def _refuse(
        self,
        call: messages.Request,
        caller: callers.CallerConnection,
        refusal: replies.Refusal,
        request: str,
    ) -> None:
        self._tools.counters.note_refused(refusal.reason)
        age_s = self._known.freshness.age(self._tools.loop.time())
        known = self._known.lookup
        _LOG.info(
            "event=refused request=%s status=%d reason=%s host=%s path=%s "
            "configuration=%s age_ms=%s",
            logs.write_value(request),
            refusal.status,
            refusal.reason.value,
            logs.write_value(admission.find_host(call)),
            logs.write_value(admission.find_path(call)),
            known.configuration.version if known else "-",
            "-" if age_s is None else int(age_s * 1000),
        )
        caller.write(replies.write_refusal(refusal, caller.closing))

    async def serve_probe(
        self, call: messages.Request, caller: callers.CallerConnection
    ) -> None:
        """Answers the balancer, or shows the counts."""
        if not self._tools.codec.is_ready_check(call.target):
            caller.write(replies.write_text(200, self._tools.counters.write()))
            return
        now = self._tools.loop.time()
        ready = self._readiness.check(now)
        status = 200 if ready else 503
        caller.write(replies.write_text(status, b"ready" if ready else b"no"))
