"""The settings file of one process: who it is, where it listens."""

import pathlib
from typing import Annotated, TypeVar

import msgspec
import result

from pollenfork import failures
from pollenfork import ids

T = TypeVar("T")
Positive = Annotated[int, msgspec.Meta(gt=0)]


class BadSettingsFile(failures.Failure, frozen=True, kw_only=True):
    """The file is missing, isn't JSON, or breaks a rule; `detail` says."""


class EntryConfig(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One entry instance.

    Addresses are `host:port`.

    Attributes:
        listen: Where callers and operators connect.
        peer_listen: Where the other entry instances connect.
        peers: Peer addresses to try besides those in the platform's list.
        platform: The platform's table, objects, instance list and weights.
        streams: Answers relayed at once; a caller beyond is refused at once.
        waiting: Requests that may wait for a slot.
        body_limit: Bytes of a request's body.
        stop_limit_s: The longest wait for requests in progress at a stop.
        operator_sha256: Digests of operator tokens bound to everything: they
            write the first tree and undo a lock-out.
    """

    instance: ids.InstanceId
    data_centre: ids.DataCentre
    listen: str
    peer_listen: str
    platform: str
    peers: tuple[str, ...] = ()
    streams: Positive = 350
    waiting: Positive = 256
    body_limit: Positive = 4 * 1024 * 1024
    stop_limit_s: Positive = 900
    operator_sha256: tuple[str, ...] = ()


def read_file(
    path: pathlib.Path, kind: type[T]
) -> result.Result[T, BadSettingsFile]:
    """Returns the file's content as `kind`, validated."""
    try:
        return result.Ok(msgspec.json.decode(path.read_bytes(), type=kind))
    except OSError as error:
        return result.Err(BadSettingsFile(detail=f"{path}: {error.strerror}"))
    except msgspec.MsgspecError as error:
        return result.Err(BadSettingsFile(detail=f"{path}: {error}"))
