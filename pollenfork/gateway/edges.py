"""Protocols of the wire formats that the gateway depends on."""

from collections.abc import Iterable
from typing import Protocol

import result

from pollenfork import failures
from pollenfork.catalogue import changes
from pollenfork.catalogue import messages as catalogue
from pollenfork.duties import messages as duties
from pollenfork.fleet import errors
from pollenfork.fleet import messages as fleet_messages
from pollenfork.fleet import model as fleet
from pollenfork.gateway import messages
from pollenfork.routes import model as routes


class Codec(Protocol):
    """Decodes and encodes request and response heads.

    Attributes:
        EVENT_FIELDS: Fields of events besides those of the standard.
    """

    EVENT_FIELDS: frozenset[bytes]

    def find_duplicate(self, headers: list[messages.Header]) -> bytes | None:
        """Returns the name of a single-valued header that occurs repeatedly."""

    def decode_request(
        self, headers: list[messages.Header]
    ) -> messages.RequestHead:
        """Decodes a caller's request headers."""

    def encode_request(
        self, call: messages.Request, sending: messages.ForwardContext
    ) -> bytes:
        """Encodes a request for a runner."""

    def encode_forwarded(
        self,
        call: messages.Request,
        remaining_s: float,
        last_event: int | None,
    ) -> bytes:
        """Encodes the head of a request for another instance, unframed."""

    def decode_response(
        self, status: int, headers: list[messages.Header]
    ) -> messages.ResponseHead:
        """Decodes a runner's response head."""

    def encode_response(
        self, head: messages.ResponseHead, length: int | None, closing: bool
    ) -> bytes:
        """Encodes a runner's response head for the caller."""

    def is_ready_check(self, target: bytes) -> bool:
        """Returns whether a target is that of the load balancer's check."""


class CacheCodec(Protocol):
    """Decodes and encodes requests for the contents of runners' KV caches."""

    def encode_feed_request(
        self, runner: fleet.Runner, after: int, wait_s: float
    ) -> bytes:
        """Returns the long-poll request for changes after a sequence number."""

    def encode_list_request(self, runner: fleet.Runner) -> bytes:
        """Returns the request for all cached parts."""

    def decode_feed(
        self, status: int, body: bytes
    ) -> result.Result[fleet_messages.CacheReport, failures.Failure]:
        """Decodes the response to `encode_feed_request`."""

    def decode_list(
        self, status: int, body: bytes
    ) -> result.Result[fleet_messages.CacheReport, failures.Failure]:
        """Decodes the response to `encode_list_request`."""


class Store(Protocol):
    """Decodes and encodes calls to the store."""

    def encode_configuration_read(self, ask: catalogue.ReadCall) -> bytes:
        """Returns the request that watches the configuration."""

    def encode_runners_read(self, ask: catalogue.ReadCall) -> bytes:
        """Returns the request that watches the registry of runners."""

    def encode_range_read(self, table: changes.Table, start: str) -> bytes:
        """Returns the request for the rows of a table, starting at a key."""

    def encode_change(self, change: changes.Change) -> bytes:
        """Returns the request that writes and removes rows."""

    def decode_change_result(
        self, status: int, body: bytes, headers: Iterable[messages.Header]
    ) -> result.Result[int, changes.WriteFailure]:
        """Decodes the response to a change: the version of the rows written."""

    def decode_rows(
        self, status: int, body: bytes, headers: Iterable[messages.Header]
    ) -> result.Result[catalogue.Rows, catalogue.ReadFailure]:
        """Decodes the response to any read."""

    def decode_configuration(
        self, row: catalogue.Row
    ) -> result.Result[routes.Configuration, failures.Failure] | None:
        """Decodes a row; returns None if it isn't the configuration."""

    def decode_runner(
        self, row: catalogue.Row
    ) -> result.Result[fleet.Runner, errors.BadEntry]:
        """Decodes a row of the registry."""


class Cloud(Protocol):
    """Encodes calls to the platform, which one instance at a time makes."""

    def encode(self, task: duties.PlatformCall) -> bytes:
        """Returns the request that reports usage or orders runners."""

    def decode(self, status: int) -> duties.Reply:
        """Decodes the status of a response."""
