"""What the gateway needs from whoever speaks the wire format."""

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
    """Decodes and encodes heads."""

    def find_duplicate(self, headers: list[messages.Header]) -> bytes | None:
        """Returns a header that may stand once and stands more often."""

    def decode_request(
        self, headers: list[messages.Header]
    ) -> messages.RequestHead:
        """Decodes what a caller's headers say."""

    def encode_request(
        self, call: messages.Request, sending: messages.ForwardContext
    ) -> bytes:
        """Returns the request as a runner gets it."""

    def decode_response(
        self, status: int, headers: list[messages.Header]
    ) -> messages.ResponseHead:
        """Decodes a runner's head."""

    def encode_response(
        self, head: messages.ResponseHead, length: int | None, closing: bool
    ) -> bytes:
        """Returns a runner's head as the caller gets it."""

    def is_ready_check(self, target: bytes) -> bool:
        """Returns whether the balancer asks if this instance is ready."""


class CacheCodec(Protocol):
    """Decodes and encodes runners' calls about what they keep of prompts."""

    def write_feed_ask(
        self, runner: fleet.Runner, after: int, wait_s: float
    ) -> bytes:
        """Returns the request for the changes after one, as they come."""

    def write_list_ask(self, runner: fleet.Runner) -> bytes:
        """Returns the request for all parts kept."""

    def read_feed(
        self, status: int, body: bytes
    ) -> result.Result[fleet_messages.CacheNews, failures.Failure]:
        """Decodes the answer to the first."""

    def read_list(
        self, status: int, body: bytes
    ) -> result.Result[fleet_messages.CacheNews, failures.Failure]:
        """Decodes the answer to the second."""


class Store(Protocol):
    """Decodes and encodes the store's calls."""

    def write_configuration_ask(self, ask: catalogue.Ask) -> bytes:
        """Returns the request that follows the configuration."""

    def write_runners_ask(self, ask: catalogue.Ask) -> bytes:
        """Returns the request that follows the registry."""

    def write_range_ask(self, table: changes.Table, start: str) -> bytes:
        """Returns the request for the rows of a table, from a key on."""

    def write_change(self, change: changes.Change) -> bytes:
        """Returns the request that writes and removes rows."""

    def read_changed(
        self, status: int, body: bytes
    ) -> result.Result[int, changes.Trouble]:
        """Decodes the answer to that: the version of the rows written."""

    def read_rows(
        self, status: int, body: bytes
    ) -> result.Result[catalogue.Rows, catalogue.Trouble]:
        """Decodes the answer to any that reads."""

    def read_configuration(
        self, row: catalogue.Row
    ) -> result.Result[routes.Configuration, failures.Failure] | None:
        """Decodes a row; None where it isn't the configuration."""

    def read_runner(
        self, row: catalogue.Row
    ) -> result.Result[fleet.Runner, errors.BadEntry]:
        """Decodes a row of the registry."""


class Cloud(Protocol):
    """Encodes the calls to the platform that one instance at a time makes."""

    def write(self, task: duties.Task) -> bytes:
        """Returns the request that tells or orders something."""

    def read(self, status: int) -> duties.Reply:
        """Decodes the status of an answer."""
