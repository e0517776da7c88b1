"""Implements the operators' commands."""

from collections.abc import Mapping, Sequence
import datetime
import http
import pathlib
import time
import uuid

import msgspec
import result

from pollenfork import context
from pollenfork import status
from pollenfork import tables
from pollenfork.cli import arguments
from pollenfork.cli import operator_client
from pollenfork.cli import operator_commands
from pollenfork.operator import errors
from pollenfork.operator import messages
from pollenfork.settings import validation

_Reply = operator_client.Reply
_Outcome = result.Result[_Reply, status.ExitStatus]

_TOKEN_VARIABLE = "POLLENFORK_TOKEN"
_URLS_VARIABLE = "POLLENFORK_TO"
_WRITE_ID_HEADER = "Idempotency-Key"
_wait = time.sleep  # Replaced in tests.


def check_settings(
    command: operator_commands.Check, env: context.Environment
) -> status.ExitStatus:
    """Validates a settings file and writes all of its errors."""
    body = _read_file(command.file, env)
    if isinstance(body, result.Err):
        return body.err_value
    checked = validation.check_file(body.ok_value)
    failure = checked.err()
    violations = failure.violations if failure else ()
    if command.format is arguments.Format.JSON:
        _write_json(msgspec.json.encode({"violations": violations}), env)
    else:
        for violation in violations:
            where = "" if violation.path else f"{command.file}: "
            env.stdout.write(f"{where}{violation}\n")
        if not violations:
            env.stdout.write("ok\n")
    if violations:
        return status.ExitStatus.REFUSED
    return status.ExitStatus.SUCCESS


def get_settings(
    command: operator_commands.Get, env: context.Environment
) -> status.ExitStatus:
    """Writes the value at a path of the settings."""
    path = f"settings/{command.path.strip('/')}"
    reply = _call(command, env, "GET", path)
    if isinstance(reply, result.Err):
        return reply.err_value
    revision = reply.ok_value.headers["ETag"].strip('"')
    source = reply.ok_value.headers["X-Settings-Source"]
    if command.format is arguments.Format.JSON:
        shown = {
            "path": command.path.strip("/"),
            "revision": int(revision),
            "source": source,
            "value": msgspec.Raw(reply.ok_value.body),
        }
        _write_json(msgspec.json.encode(shown), env)
    else:
        _write_json(reply.ok_value.body, env)
        env.stderr.write(f"revision {revision}, read from {source}\n")
    return status.ExitStatus.SUCCESS


def put_settings(
    command: operator_commands.Put, env: context.Environment
) -> status.ExitStatus:
    """Stores a file's content at a path of the settings."""
    body = _read_file(command.file, env)
    if isinstance(body, result.Err):
        return body.err_value
    write_id = command.write_id or uuid.uuid4().hex
    headers = {
        _WRITE_ID_HEADER: write_id,
        "Content-Type": "application/json",
    }
    if command.revision is None:
        headers["If-None-Match"] = "*"
    else:
        headers["If-Match"] = f'"{command.revision}"'
    path = f"settings/{command.path.strip('/')}"
    reply = _call(command, env, "PUT", path, headers, body.ok_value)
    if isinstance(reply, result.Err):
        return reply.err_value
    written = msgspec.json.decode(reply.ok_value.body, type=messages.WriteReply)
    if command.format is arguments.Format.JSON:
        _write_json(reply.ok_value.body, env)
    else:
        place = written.path or "the tree"
        env.stdout.write(f"{place} is at revision {written.revision}\n")
    return status.ExitStatus.SUCCESS


def show_history(
    command: operator_commands.History, env: context.Environment
) -> status.ExitStatus:
    """Writes the history of a subtree, or its value at one revision."""
    path = f"settings-history/{command.path.strip('/')}"
    has_revision = command.revision is not None
    query = f"?revision={command.revision}" if has_revision else ""
    reply = _call(command, env, "GET", path, query=query)
    if isinstance(reply, result.Err):
        return reply.err_value
    if has_revision or command.format is arguments.Format.JSON:
        _write_json(reply.ok_value.body, env)
        return status.ExitStatus.SUCCESS
    history = msgspec.json.decode(
        reply.ok_value.body, type=messages.HistoryReply
    )
    rows = [
        (str(e.revision), _format_time(e.at), e.operator, e.write_id)
        for e in history.entries
    ]
    _write_table(("revision", "at", "operator", "write id"), rows, env)
    return status.ExitStatus.SUCCESS


def list_endpoints(
    command: operator_commands.Endpoints, env: context.Environment
) -> status.ExitStatus:
    """Writes the endpoints and their state at the answering instance."""
    reply = _call(command, env, "GET", "endpoints")
    if isinstance(reply, result.Err):
        return reply.err_value
    if command.format is arguments.Format.JSON:
        _write_json(reply.ok_value.body, env)
        return status.ExitStatus.SUCCESS
    listed = msgspec.json.decode(
        reply.ok_value.body, type=messages.EndpointsReply
    )
    columns = (
        "endpoint", "kind", "data centre", "address", "state", "in flight",
        "running", "waiting", "report age",
    )  # fmt: skip
    _write_table(columns, [_make_row(e) for e in listed.endpoints], env)
    return status.ExitStatus.SUCCESS


def drain_endpoint(
    command: operator_commands.Drain, env: context.Environment
) -> status.ExitStatus:
    """Requests that an endpoint take no new work."""
    path = f"endpoints/{command.endpoint}/drain"
    reply = _call(command, env, "POST", path)
    if isinstance(reply, result.Err):
        return reply.err_value
    if command.format is arguments.Format.JSON:
        _write_json(reply.ok_value.body, env)
    else:
        env.stdout.write(f"{command.endpoint} takes no new work\n")
    return status.ExitStatus.SUCCESS


def show_status(
    command: operator_commands.Status, env: context.Environment
) -> status.ExitStatus:
    """Writes all instances and the settings revision in force at each."""
    reply = _call(command, env, "GET", "status")
    if isinstance(reply, result.Err):
        return reply.err_value
    if command.format is arguments.Format.JSON:
        _write_json(reply.ok_value.body, env)
        return status.ExitStatus.SUCCESS
    shown = msgspec.json.decode(reply.ok_value.body, type=messages.StatusReply)
    rows = [
        (
            report.instance,
            report.data_centre,
            report.state.value,
            str(report.revision),
            str(shown.newest - report.revision),
            _format_seconds(report.age_s),
            _format_seconds(report.heard_s_ago),
        )
        for report in shown.instances
    ]
    columns = (
        "instance", "data centre", "state", "revision", "behind", "age",
        "heard",
    )  # fmt: skip
    _write_table(columns, rows, env)
    return status.ExitStatus.SUCCESS


def _call(
    command: operator_commands.Target,
    env: context.Environment,
    method: str,
    path: str,
    headers: Mapping[str, str] | None = None,
    body: bytes | None = None,
    query: str = "",
) -> _Outcome:
    urls = command.to or env.variables.get(_URLS_VARIABLE, "").split()
    if not urls:
        env.fail(f"say whom to ask: --to URL, or {_URLS_VARIABLE}")
        return result.Err(status.ExitStatus.USAGE)
    token = _read_token(command.token_file, env)
    if isinstance(token, result.Err):
        return token
    client = operator_client.OperatorClient(urls, token.ok_value, _wait)
    reply = client.call(method, path, headers, body, query)
    if isinstance(reply, result.Err):
        failure = reply.err_value
        env.fail(f"no answer: {failure.detail}")
        write_id = (headers or {}).get(_WRITE_ID_HEADER)
        if failure.sent and write_id:
            env.fail(f"it may be written: repeat with --write-id {write_id}")
        return result.Err(status.ExitStatus.UNREACHABLE)
    if reply.ok_value.status < http.HTTPStatus.BAD_REQUEST:
        return reply
    return result.Err(_report_refusal(reply.ok_value, env))


def _report_refusal(
    reply: _Reply, env: context.Environment
) -> status.ExitStatus:
    try:
        error = msgspec.json.decode(reply.body, type=errors.ErrorEnvelope).error
    except msgspec.MsgspecError:
        env.fail(f"HTTP status {reply.status}")
        return status.ExitStatus.REFUSED
    if error.violations:
        for violation in error.violations:
            env.fail(str(violation))
    else:
        env.fail(f"{error.code}: {error.message}")
    if reply.status == http.HTTPStatus.PRECONDITION_FAILED:
        env.fail("read it again, and put your change on top of that")
        return status.ExitStatus.CONFLICT
    return status.ExitStatus.REFUSED


def _read_token(
    path: pathlib.Path | None, env: context.Environment
) -> result.Result[str, status.ExitStatus]:
    if path is not None:
        read = _read_file(path, env)
        return read.map(lambda body: body.decode().strip())
    token = env.variables.get(_TOKEN_VARIABLE, "")
    if token:
        return result.Ok(token)
    env.fail(
        f"give the operator's token: --token-file FILE, or {_TOKEN_VARIABLE}"
    )
    return result.Err(status.ExitStatus.USAGE)


def _read_file(
    path: pathlib.Path, env: context.Environment
) -> result.Result[bytes, status.ExitStatus]:
    try:
        if str(path) == "-":
            return result.Ok(env.stdin.read().encode())
        return result.Ok(path.read_bytes())
    except OSError as error:
        env.fail(f"{path}: {error.strerror}")
        return result.Err(status.ExitStatus.USAGE)


def _write_json(body: bytes, env: context.Environment) -> None:
    env.stdout.write(msgspec.json.format(body).decode() + "\n")


def _write_table(
    columns: tuple[str, ...],
    rows: Sequence[tuple[str, ...]],
    env: context.Environment,
) -> None:
    tables.write_table(columns, rows, env.stdout, env.stdout_is_terminal)


def _make_row(entry: messages.EndpointEntry) -> tuple[str, ...]:
    settings, live = entry.settings, entry.live
    configured = (
        entry.endpoint,
        settings.kind.value,
        settings.data_centre,
        settings.address,
    )
    if live is None:
        return (*configured, "-", "-", "-", "-", "-")
    return (
        *configured,
        live.state.value,
        str(live.in_flight),
        str(live.running),
        str(live.waiting),
        _format_seconds(live.report_age_s),
    )


def _format_seconds(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds:.1f} s"


def _format_time(at: float) -> str:
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S UTC")
