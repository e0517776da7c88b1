"""The settings file of a process: its identity and addresses."""

import pathlib
from typing import Annotated, TypeVar

import msgspec
import result

from pollenfork import failures
from pollenfork import ids

T = TypeVar("T")
Positive = Annotated[int, msgspec.Meta(gt=0)]


class BadSettingsFile(failures.Failure, frozen=True, kw_only=True):
    """The file is missing, isn't valid JSON, or fails validation."""


class EntryConfig(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of one entry instance.

    Addresses are `host:port`.

    Attributes:
        listen: Address for callers and operators.
        peer_listen: Address for the other entry instances.
        peers: Peer addresses to try besides those that the platform lists.
        platform: Address of the platform, which holds the table, the objects,
            the instance list and the weights.
        streams: Maximum number of answers relayed concurrently; further
            requests are refused immediately.
        waiting: Maximum number of requests waiting for a slot.
        body_limit: Maximum size of a request body, in bytes.
        stop_limit_s: How long shutdown waits for requests in progress.
        operator_sha256: SHA-256 digests of operator tokens with access to all
            settings. They are needed to write the first tree and to recover
            from a lock-out.
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
    """Reads the file and returns its content, validated, as `kind`."""
    try:
        return result.Ok(msgspec.json.decode(path.read_bytes(), type=kind))
    except OSError as error:
        return result.Err(BadSettingsFile(detail=f"{path}: {error.strerror}"))
    except msgspec.MsgspecError as error:
        return result.Err(BadSettingsFile(detail=f"{path}: {error}"))
