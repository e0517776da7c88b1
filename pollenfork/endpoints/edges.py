"""The control interface of an endpoint.

Requests and their answers are sent by `answers`.
"""

import enum
from typing import Protocol

import msgspec
import result

from pollenfork import failures
from pollenfork import ids


class EndpointFailure(failures.Failure, frozen=True, kw_only=True):
    """Base class of failed calls to an endpoint."""


class Unreachable(EndpointFailure, frozen=True, kw_only=True):
    """The connection failed; the call was not sent.

    Attributes:
        refused: The host refused the connection, so the process that
            listened on the port has ended.
    """

    refused: bool = False


class Unanswered(EndpointFailure, frozen=True, kw_only=True):
    """The call was sent, but no valid answer arrived."""


class Fenced(EndpointFailure, frozen=True, kw_only=True):
    """The endpoint refused: it has seen a higher fencing number."""


class Rejected(EndpointFailure, frozen=True, kw_only=True):
    """The endpoint refused the call."""


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's answer to `GET /v1/load`; `age_ms` is the report's age."""

    running: int
    waiting: int
    kv_free: float
    models: tuple[ids.ModelName, ...] = ()
    ready: bool = True
    age_ms: int = 0


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A prompt prefix was added to the engine's cache or evicted."""

    sequence: int
    prefix: int
    stored: bool


class OrderKind(enum.Enum):
    """The action that an order requests."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"
    DRAIN = "drain"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An order to an endpoint; `argument` names the model or role."""

    order_id: str
    kind: OrderKind
    argument: str = ""
    fencing: ids.FencingNumber


class CancelOutcome(enum.Enum):
    """The outcome of a cancelled request."""

    NOT_RUN = "not_run"
    CANCELLED = "cancelled"
    FINISHED = "finished"
    UNKNOWN_REQUEST = "unknown_request"


class Endpoint(Protocol):
    """Control calls to one endpoint."""

    def check_ready(self) -> result.Result[bool, EndpointFailure]:
        """Returns whether the endpoint accepts new work; False if it leaves."""

    def fetch_load(self) -> result.Result[LoadReport, EndpointFailure]:
        """Returns the endpoint's load report, which may be outdated."""

    def fetch_cache_events(
        self, after: int
    ) -> result.Result[tuple[CacheEvent, ...], EndpointFailure]:
        """Returns cache events after sequence `after`; gaps are possible."""

    def cancel(
        self, attempt: ids.AttemptId
    ) -> result.Result[CancelOutcome, EndpointFailure]:
        """Cancels an attempt and returns its outcome."""

    def give_order(self, order: Order) -> result.Result[None, EndpointFailure]:
        """Sends an order; fails with `Fenced` if a later holder sent one."""
