"""Forwards requests to an instance that reaches the runners.

An instance that is partitioned from all runners of a service still has callers.
It passes their requests on whole, with their keys, to another instance, which
admits them, chooses runners and counts them as if they were its own callers'.

The body is sent only when the helper asks for it. A helper that is frozen or
has just ended thus never gets a whole request, which may then be sent to
another one, even if it must not run twice.
"""

import asyncio
from collections.abc import Callable, Sequence
import http
import logging
from typing import Any
import urllib.parse

import msgspec

from pollenfork import ids
from pollenfork import logs
from pollenfork.fleet import messages as fleet_messages
from pollenfork.gateway import attempt
from pollenfork.gateway import buffers
from pollenfork.gateway import connection
from pollenfork.gateway import context
from pollenfork.gateway import edges
from pollenfork.gateway import header_fields
from pollenfork.gateway import messages
from pollenfork.gateway import replies
from pollenfork.gateway import timeouts
from pollenfork.loads import messages as loads
from pollenfork.loads import reach_messages
from pollenfork.reach import helpers
from pollenfork.routes import model as routes

_LOG = logging.getLogger(__name__)

# Names the forwarding instance; requests that have it aren't forwarded again.
FORWARDED_BY = b"forwarded-by"
# The number of runners that the request has been sent to.
ATTEMPTS = b"forwarded-attempts"
# The software version at which a stream that has begun must go on, quoted as
# in a URL.
VERSION = b"forwarded-version"

_CONNECT_TIMEOUT_S = 0.2
# A process whose processor quota is used up is paused for up to 0.1 s.
_ACCEPT_TIMEOUT_S = 0.25
# The most that the headers of the forwarding instance add to a request's.
_ADDED_HEADER_BYTES = 1024
# The maximum number of helpers tried for one request.
_MAX_HELPERS = 3
# What a helper answers if it can't help; another one may.
_DECLINED = frozenset(
    {
        replies.Reason.STOPPING.value,
        replies.Reason.NO_RUNNER.value,
        replies.Reason.UNREACHABLE.value,
        replies.Reason.NO_SETTINGS.value,
        replies.Reason.SETTINGS_STALE.value,
    }
)

End = fleet_messages.End
Outcome = context.ForwardOutcome


class Forwarded(msgspec.Struct, frozen=True):
    """What another instance has told about a request that it forwards.

    Attributes:
        sender: That instance's name.
        attempts: The number of runners that it has sent the request to.
        version: The only software version that may serve it; None: any, or
            the instance is of a build that doesn't tell.
    """

    sender: str
    attempts: int
    version: ids.SoftwareVersion | None = None


def take_forwarded(
    call: messages.Request,
) -> tuple[messages.Request, Forwarded] | None:
    """Returns a forwarded request without what was added to it.

    Returns:
        None if it isn't a forwarded request.
    """
    found = dict(call.headers)
    sender = found.get(FORWARDED_BY)
    if sender is None:
        return None
    stated = found.get(ATTEMPTS, b"")
    attempts = int(stated) if stated.isdigit() and len(stated) < 4 else 0
    kept = [
        header
        for header in call.headers
        if header[0] not in (FORWARDED_BY, ATTEMPTS, VERSION)
    ]
    original = msgspec.structs.replace(call, headers=kept)
    version = None
    if VERSION in found:
        quoted = found[VERSION].decode("latin-1")
        version = ids.SoftwareVersion(urllib.parse.unquote(quoted))
    return original, Forwarded(sender.decode("latin-1"), attempts, version)


def make_limits(limits: routes.CallerLimits) -> routes.CallerLimits:
    """Returns the limits for forwarded requests of callers with such limits."""
    return routes.CallerLimits(
        header_bytes=limits.header_bytes + _ADDED_HEADER_BYTES,
        body_bytes=limits.body_bytes,
    )


class _HelperAttempt(attempt.Attempt):
    """Receives the answer of a helper: a runner's, or the helper's own."""

    def on_end(self, proof: connection.EndProof) -> None:
        """Determines the result from a complete answer."""
        head = self._head
        assert head is not None
        if proof is not connection.EndProof.FRAMING:
            # Instances frame what they send, so this one has ended.
            self.on_failure(connection.ResponseFailure.CLOSED)
            return
        if head.sealed:
            super().on_end(proof)
            return
        self.phase = attempt.Phase.ENDED
        body = b"".join(self._body)
        self._finish(attempt.AttemptResult(End.REFUSED, head, body))


class Peers(msgspec.Struct, frozen=True):
    """How other instances are found and asked.

    Attributes:
        list_hosts: Returns all known hosts, or those of one data centre.
        locate: Returns another instance's address.
        send: Sends one instance a message.
    """

    list_hosts: Callable[[str | None], list[str]]
    locate: Callable[[str | None], loads.Address | None]
    send: Callable[[str, loads.Message], None]


class Forwarder:
    """Asks for helpers, and sends them requests.

    Attributes:
        counts: The number of forwarded requests, by what became of them.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        codec: edges.Codec,
        known: helpers.Helpers,
        instance: ids.InstanceId,
        data_centre: ids.DataCentre,
    ) -> None:
        """Creates a forwarder that knows no peers.

        Args:
            loop: Provides the clock.
            codec: Encodes requests and decodes answers.
            known: The instances that have offered help.
            instance: This instance's name.
            data_centre: Where this instance runs.
        """
        self._loop = loop
        self._codec = codec
        self._helpers = known
        self._instance = instance
        self._data_centre = data_centre
        self._peers: Peers | None = None
        self.counts = dict.fromkeys(Outcome, 0)

    def join(self, peers: Peers) -> None:
        """Sets the other instances."""
        self._peers = peers

    def ask(self) -> None:
        """Asks other instances whether they help, if that is due."""
        peers = self._peers
        if peers is None:
            return
        near = [
            host
            for host in peers.list_hosts(self._data_centre)
            if peers.locate(host) is not None
        ]
        everywhere = [
            host
            for host in peers.list_hosts(None)
            if peers.locate(host) is not None
        ]
        query = reach_messages.HelpQuery(self._data_centre)
        now = self._loop.time()
        for host in self._helpers.choose_asked(near, everywhere, now):
            peers.send(host, query)

    def record_offer(self, host: str, offer: reach_messages.HelpOffer) -> None:
        """Records an instance's offer."""
        self._helpers.record_offer(host, offer, self._loop.time())

    async def forward(
        self,
        admitted: context.AdmittedRequest,
        sent: int,
        relay: attempt.StreamRelay | None,
        held: buffers.CallerBuffers,
        hosts: Sequence[str] = (),
        version: ids.SoftwareVersion | None = None,
        claim: Callable[[], bool] | None = None,
    ) -> attempt.AttemptResult | None:
        """Sends a request to a helper; returns the result.

        Args:
            claim: Asks whether the helper may answer, while a runner may too;
                None: it may.
            hosts: The hosts that may help; none: those that have offered to.
            version: The only software version that may serve it; None: any.
                Hosts of earlier builds don't keep to it and aren't asked.
            admitted: The request.
            sent: The number of runners that it has been sent to.
            relay: Forwards a stream to the caller; None if it isn't streamed.
            held: What is held for the caller.

        Returns:
            None if nobody helps; nothing has run then.
        """
        tried: set[str] = set()
        while len(tried) < _MAX_HELPERS:
            now = self._loop.time()
            if hosts:
                host = self._helpers.choose_from(hosts, tried)
            else:
                service = admitted.demand.service
                host = self._helpers.choose(
                    service, tried, now, keeps_versions=version is not None
                )
            if host is None or now >= admitted.deadline:
                break
            tried.add(host)
            self._helpers.record_sent(host)
            try:
                ended = await self._send(
                    host, admitted, sent, relay, held, version, claim
                )
            finally:
                self._helpers.record_ended(host)
            if ended.end is End.UNSENT or _is_declined(ended):
                self._helpers.record_failed(host, self._loop.time())
                self._log("event=forward_declined ", host, admitted, ended)
                continue
            self._count(ended)
            self._log("event=forward_ended ", host, admitted, ended)
            return ended
        self.counts[Outcome.NO_HELPER] += 1
        return None

    async def _send(
        self,
        host: str,
        admitted: context.AdmittedRequest,
        sent: int,
        relay: attempt.StreamRelay | None,
        held: buffers.CallerBuffers,
        version: ids.SoftwareVersion | None,
        claim: Callable[[], bool] | None,
    ) -> attempt.AttemptResult:
        opened = await self._connect(host)
        if opened is None:
            return attempt.AttemptResult(End.UNSENT)
        receiver = _HelperAttempt(
            self._loop,
            self._codec,
            admitted.head,
            relay,
            on_first_output=_ignore,
            on_buffered=held.record_answer,
        )
        receiver.claim = claim
        try:
            head = self._encode(admitted, sent, relay, version)
            if not await self._is_accepted(opened, head, receiver):
                return attempt.AttemptResult(End.UNSENT)
            opened.send_rest(_encode_body(admitted.call.body))
            held.attach(opened, receiver.record_paused)
            limits = timeouts.AttemptTimeouts(admitted.deadline)
            return await limits.wait(receiver, self._loop)
        finally:
            held.detach()
            opened.abort()

    async def _connect(self, host: str) -> connection.Connection | None:
        address = self._peers.locate(host) if self._peers else None
        if address is None:
            return None
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, opened = await self._loop.create_connection(
                    lambda: connection.Connection(self._loop), *address
                )
        except (OSError, TimeoutError):
            return None
        return opened

    async def _is_accepted(
        self,
        opened: connection.Connection,
        head: bytes,
        receiver: attempt.Attempt,
    ) -> bool:
        """Sends the head; returns whether the helper asks for the body."""
        accepted: asyncio.Future[None] = self._loop.create_future()

        def accept() -> None:
            if not accepted.done():
                accepted.set_result(None)

        opened.on_continue = accept
        opened.send(head, receiver)
        awaited: set[asyncio.Future[Any]] = {accepted, receiver.done}
        await asyncio.wait(
            awaited,
            timeout=_ACCEPT_TIMEOUT_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return accepted.done() and not receiver.done.done()

    def _encode(
        self,
        admitted: context.AdmittedRequest,
        sent: int,
        relay: attempt.StreamRelay | None,
        version: ids.SoftwareVersion | None,
    ) -> bytes:
        last_event = relay.progress.last if relay else None
        remaining_s = admitted.deadline - self._loop.time()
        head = self._codec.encode_forwarded(
            admitted.call, remaining_s, last_event
        )
        if version is not None:
            quoted = urllib.parse.quote(version, safe="")
            head += b"%b: %b\r\n" % (VERSION, quoted.encode())
        return head + (
            b"%b: %b\r\n%b: %d\r\nexpect: 100-continue\r\n"
            b"transfer-encoding: chunked\r\nconnection: close\r\n\r\n"
            % (FORWARDED_BY, self._instance.encode(), ATTEMPTS, sent)
        )

    def _count(self, ended: attempt.AttemptResult) -> None:
        match ended.end:
            case End.WHOLE:
                self.counts[Outcome.ANSWERED] += 1
            case End.REFUSED:
                self.counts[Outcome.REFUSED] += 1
            case _:
                self.counts[Outcome.BROKEN] += 1

    def _log(
        self,
        event: str,
        host: str,
        admitted: context.AdmittedRequest,
        ended: attempt.AttemptResult,
    ) -> None:
        now = self._loop.time()
        _LOG.info(
            event + "request=%s route=%s helper=%s end=%s status=%s "
            "took_ms=%d left_ms=%d run=%s",
            logs.quote_value(admitted.head.attempt),
            admitted.route.name,
            host,
            ended.end.value,
            ended.head.status if ended.head else "-",
            (now - admitted.call.arrived) * 1000,
            (admitted.deadline - now) * 1000,
            ended.run or "-",
            extra=logs.ORDINARY if ended.end is End.WHOLE else None,
        )


def read_refusal(ended: attempt.AttemptResult) -> replies.Refusal:
    """Returns a helper's refusal, for the caller."""
    assert ended.head is not None
    reason = _read_reason(ended.body) or replies.Reason.UNREACHABLE
    stated = header_fields.parse_numbers(ended.head.headers, b"retry-after")
    wait_s = next((each for each in stated if each is not None), None)
    return replies.Refusal(ended.head.status, reason, wait_s)


def _is_declined(ended: attempt.AttemptResult) -> bool:
    """Returns whether a helper has refused what another one may serve."""
    if ended.end is not End.REFUSED or ended.head is None:
        return False
    status = ended.head.status
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        reason = _read_reason(ended.body)
        return reason is None or reason.value in _DECLINED
    # The request was admitted here, so the helper's configuration differs.
    return status < http.HTTPStatus.INTERNAL_SERVER_ERROR


def _read_reason(body: bytes) -> replies.Reason | None:
    try:
        return replies.Reason(msgspec.json.decode(body)["error"])
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return None


def _encode_body(body: bytes) -> bytes:
    """Returns a body in chunked encoding."""
    last = b"0\r\n\r\n"
    return b"%x\r\n%b\r\n%b" % (len(body), body, last) if body else last


def _ignore() -> None:
    """Ignores that a runner has started to answer; its instance notes it."""
