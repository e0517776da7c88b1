"""An endpoint's control interface as the rest of the program sees it.

The data path (requests and their answers) is `answers`' own.
"""

import enum
from typing import Protocol

import msgspec
import result

from pollenfork import failures
from pollenfork import ids


class EndpointFailure(failures.Failure, frozen=True, kw_only=True):
    """Base of the failures of calls to an endpoint."""


class Unreachable(EndpointFailure, frozen=True, kw_only=True):
    """No connection: the call was never sent.

    Attributes:
        refused: The host answered that nothing listens at the port, so the
            process that did has ended.
    """

    refused: bool = False


class Unanswered(EndpointFailure, frozen=True, kw_only=True):
    """The call was sent, the answer was lost."""


class Fenced(EndpointFailure, frozen=True, kw_only=True):
    """The endpoint has seen a higher fencing number and refused."""


class Rejected(EndpointFailure, frozen=True, kw_only=True):
    """The endpoint refused the call."""


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """`GET /v1/load` of an engine; `age_ms` is how old it is."""

    running: int
    waiting: int
    kv_free: float
    models: tuple[ids.ModelName, ...] = ()
    ready: bool = True
    age_ms: int = 0


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A prompt prefix entered or left the engine's cache."""

    sequence: int
    prefix: int
    stored: bool


class OrderKind(enum.Enum):
    """What an order tells an endpoint to do."""

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
    """What became of a request that was cancelled."""

    NOT_RUN = "not_run"
    CANCELLED = "cancelled"
    FINISHED = "finished"
    UNKNOWN_REQUEST = "unknown_request"


class Endpoint(Protocol):
    """Control calls to one endpoint."""

    def check_ready(self) -> result.Result[bool, EndpointFailure]:
        """Returns whether the endpoint takes new work; False as it leaves."""

    def fetch_load(self) -> result.Result[LoadReport, EndpointFailure]:
        """Returns the endpoint's load report, which lags."""

    def fetch_cache_events(
        self, after: int
    ) -> result.Result[tuple[CacheEvent, ...], EndpointFailure]:
        """Returns cache events past sequence `after`; late, with gaps."""

    def cancel(
        self, attempt: ids.AttemptId
    ) -> result.Result[CancelOutcome, EndpointFailure]:
        """Cancels an attempt and says what became of it."""

    def give_order(self, order: Order) -> result.Result[None, EndpointFailure]:
        """Gives an order; `Fenced` where a later holder was seen."""
