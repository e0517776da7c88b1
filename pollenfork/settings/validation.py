"""Validates rules that span several fields of the settings tree."""

from collections.abc import Callable, Iterator, Mapping
import ipaddress
import re

import result

from pollenfork import ids
from pollenfork.settings import documents
from pollenfork.settings import errors
from pollenfork.settings import model
from pollenfork.settings import paths
from pollenfork.settings import schema

_PORT = re.compile(r"[1-9][0-9]{0,4}")

FindOwner = Callable[[str], str | None]
"""Returns the other `team/account` that has a key with this digest."""


def check_file(
    body: bytes,
) -> result.Result[model.Tree, errors.BadDocument | errors.BadTree]:
    """Decodes and validates a settings file, or returns all errors."""
    decoded = documents.decode(body)
    if isinstance(decoded, result.Err):
        return decoded
    return check_tree(decoded.ok_value)


def check_tree(value: object) -> result.Result[model.Tree, errors.BadTree]:
    """Validates a whole tree, or returns all errors."""
    converted = schema.convert(value, model.Tree, "")
    if isinstance(converted, result.Err):
        return errors.refuse_tree(converted.err_value)
    tree = converted.ok_value
    found = list(find_root_violations(tree.root, tree.teams))
    owners: dict[str, str] = {}
    for team, subtree in tree.teams.items():
        found += find_account_violations(team, subtree, owners.get)
        for name, account in subtree.accounts.items():
            owners.setdefault(account.key_sha256, f"{team}/{name}")
    return errors.refuse_tree(found) if found else result.Ok(tree)


def check_root(
    value: object, teams: Mapping[ids.Team, model.TeamSettings]
) -> result.Result[model.RootSettings, errors.BadTree]:
    """Validates a new root against all teams, or returns all errors."""
    converted = schema.convert(value, model.RootSettings, paths.ROOT)
    if isinstance(converted, result.Err):
        return errors.refuse_tree(converted.err_value)
    found = list(find_root_violations(converted.ok_value, teams))
    return errors.refuse_tree(found) if found else result.Ok(converted.ok_value)


def check_team(
    value: object,
    team: ids.Team,
    root: model.RootSettings,
    find_owner: FindOwner,
) -> result.Result[model.TeamSettings, errors.BadTree]:
    """Validates a team's new subtree against the root and other teams."""
    converted = schema.convert(
        value, model.TeamSettings, schema.join("teams", team)
    )
    if isinstance(converted, result.Err):
        return errors.refuse_tree(converted.err_value)
    subtree = converted.ok_value
    found = list(_find_team_violations(team, subtree, root))
    found += find_account_violations(team, subtree, find_owner)
    return errors.refuse_tree(found) if found else result.Ok(subtree)


def find_root_violations(
    root: model.RootSettings, teams: Mapping[ids.Team, model.TeamSettings]
) -> Iterator[errors.Violation]:
    """Yields violations in the root and teams' violations of ceilings."""
    yield from _find_endpoint_violations(root)
    yield from _find_service_violations(root)
    for team, subtree in teams.items():
        yield from _find_team_violations(team, subtree, root)


def find_account_violations(
    team: ids.Team, subtree: model.TeamSettings, find_owner: FindOwner
) -> Iterator[errors.Violation]:
    """Yields violations in a team's accounts."""
    seen: dict[str, str] = {}
    for name, account in subtree.accounts.items():
        path = f"teams.{team}.accounts.{name}"
        for rule in _check_account(account, subtree):
            yield errors.Violation(path, rule)
        digest = account.key_sha256
        owner = seen.setdefault(digest, f"{team}/{name}")
        if owner == f"{team}/{name}":
            owner = find_owner(digest) or owner
        if owner != f"{team}/{name}":
            rule = f"key_sha256 is also that of {owner}"
            yield errors.Violation(path, rule)


def _check_account(
    account: model.Account, subtree: model.TeamSettings
) -> Iterator[str]:
    for index, name in enumerate(account.classes):
        if name not in subtree.classes:
            yield f"classes[{index}] must be a class of the team, not {name}"
    if account.default_class not in account.classes:
        yield "default_class must be one of the account's classes"
    if account.max_in_flight > subtree.max_in_flight:
        yield f"max_in_flight must be <= {subtree.max_in_flight}, the team's"


def _find_team_violations(
    team: ids.Team, subtree: model.TeamSettings, root: model.RootSettings
) -> Iterator[errors.Violation]:
    path = f"teams.{team}"
    ceiling = root.ceilings.get(team)
    if ceiling is None:
        rule = f"the team must have a ceiling at root.ceilings.{team}"
        yield errors.Violation(path, rule)
        return
    if subtree.max_in_flight > ceiling.max_in_flight:
        rule = f"max_in_flight must be <= {ceiling.max_in_flight}, the ceiling"
        yield errors.Violation(path, rule)
    for name, service_class in subtree.classes.items():
        for rule in _check_class(service_class, ceiling):
            yield errors.Violation(f"{path}.classes.{name}", rule)


def _check_class(
    service_class: model.ServiceClass, ceiling: model.Ceiling
) -> Iterator[str]:
    if service_class.tier < ceiling.best_tier:
        yield f"tier must be >= {ceiling.best_tier}, the ceiling"
    if service_class.protected and not ceiling.may_protect:
        yield "protected must be false: the ceiling's may_protect is false"
    if service_class.minimum_share > ceiling.max_minimum_share:
        bound = ceiling.max_minimum_share
        yield f"minimum_share must be <= {bound:g}, the ceiling"


def _find_endpoint_violations(
    root: model.RootSettings,
) -> Iterator[errors.Violation]:
    owners: dict[str, ids.EndpointId] = {}
    for name, endpoint in root.endpoints.items():
        path = f"root.endpoints.{name}"
        if not _is_address(endpoint.address):
            rule = "address must be IP:PORT, such as 10.0.0.7:8000"
            yield errors.Violation(path, rule)
        owner = owners.setdefault(endpoint.address, name)
        if owner != name:
            rule = f"address is also that of endpoint {owner}"
            yield errors.Violation(path, rule)


def _find_service_violations(
    root: model.RootSettings,
) -> Iterator[errors.Violation]:
    for name, service in root.services.items():
        for index, endpoint in enumerate(service.endpoints):
            known = root.endpoints.get(endpoint)
            if known is None:
                rule = f"must be a known endpoint, not {endpoint}"
            elif known.kind is not model.EndpointKind.SERVICE:
                rule = f"must be of kind service, which {endpoint} is not"
            else:
                continue
            path = f"root.services.{name}"
            yield errors.Violation(path, f"endpoints[{index}] {rule}")


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    # Only one spelling per port (no leading zeros): otherwise two endpoints
    # could have the same address unnoticed.
    return bool(_PORT.fullmatch(port)) and int(port) < 65536
