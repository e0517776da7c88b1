import base64
import json

import pytest
import result

from pollenfork.catalogue import messages
from pollenfork.platform import boot
from pollenfork.platform import documents
from pollenfork.platform import rows
from pollenfork.platform import store
from pollenfork.routes import model as routes

ROUTE = {
    "name": "r",
    "host": "Ficu95.example",
    "prefix": "/lohu930/",
    "kind": "stream",
    "timeout-ms": 10000,
    "target-latency-ms": 1500,
    "priority": 2,
    "traffic-split": [
        {"service": "huvo", "weight": 90},
        {"service": "wuno", "weight": 10},
    ],
    "max-attempts": 1,
    "public": False,
    "session-affinity": True,
    "stream-resume": True,
    "target-gap-ms": 800,
    "unheard-of": 1,
}
CONFIG = {
    "version": 7,
    "routes": [
        ROUTE,
        {**ROUTE, "kind": "unsafe", "traffic-split": [], "service": "huvo"},
    ],
    "services": [
        {
            "name": "huvo",
            "max-connections": 370,
            "engine": {
                "kv-capacity-tokens": 640439,
                "kv-token-bytes": 20_000,
                "stride": 4,
                "link-mbps": 400_000.0,
            },
        },
        {"name": "wuno"},
    ],
    "limits": {"max-header-bytes": 100, "idle-timeout-ms": 1500},
    "tenants": [
        {"name": "hule", "api-keys": ["k1", "k2"], "priority": 1},
        {"name": "mano", "api-keys": []},
    ],
}


def decode(config: dict):
    return documents.decode_configuration(json.dumps(config).encode())


def test_all_fields_of_a_configuration_are_decoded() -> None:
    decoded = decode(CONFIG).unwrap()
    first, second = decoded.routes
    assert decoded.version == 7
    assert (first.host, first.time_limit_s) == ("ficu95.example", 10.0)
    assert (first.target_s, first.gap_s) == (1.5, 0.8)
    assert [t.weight for t in first.targets] == [90, 10]
    assert first.kind is routes.Kind.STREAM and first.idempotent
    assert second.kind is routes.Kind.AT_MOST_ONCE
    assert [t.service for t in second.targets] == ["huvo"]
    assert decoded.services["huvo"].cache_tokens == 640439
    assert decoded.services["huvo"].copy_s == pytest.approx(0.4e-6)
    assert decoded.services["wuno"].copy_s is None
    assert decoded.services["huvo"].event_tokens == 4
    assert decoded.services["wuno"].event_tokens == 1
    assert decoded.limits.header_bytes == 100 and decoded.limits.idle_s == 1.5
    assert set(decoded.accounts) == {"k1", "k2"}
    assert decoded.accounts["k1"].tier == 1


def test_missing_accounts_differ_from_an_empty_list() -> None:
    without = {k: v for k, v in CONFIG.items() if k != "tenants"}
    assert decode(without).unwrap().accounts is None
    assert decode({**CONFIG, "tenants": []}).unwrap().accounts == {}


def test_invalid_configurations_are_errors() -> None:
    for bad in (b"", b"{}", b'{"version":"x"}'):
        assert isinstance(documents.decode_configuration(bad), result.Err)
    unknown_kind = {**CONFIG, "routes": [{**ROUTE, "kind": "sometimes"}]}
    assert isinstance(decode(unknown_kind), result.Err)


def test_rows_are_decoded() -> None:
    body = json.dumps(
        {
            "rows": [
                {
                    "table": "op",
                    "part": "",
                    "key": "config",
                    "value": base64.b64encode(b"x").decode(),
                    "row-version": 412,
                },
                {
                    "table": "op",
                    "key": "old",
                    "row-version": 413,
                    "removed": True,
                },
            ],
            "has-more": True,
            "row-version": 530,
            "now-ms": 5,
        }
    ).encode()
    decoded = rows.decode(body).unwrap()
    assert (decoded.version, decoded.more) == (530, True)
    assert decoded.rows[0] == messages.Row("config", b"x", 412)
    assert decoded.rows[1].removed
    for bad in (b"", b"[]", b'{"row-version":1,"rows":[{"key":1}]}'):
        assert isinstance(rows.decode(bad), result.Err)


def test_read_calls_are_encoded_as_complete_requests() -> None:
    platform = store.Store("10.0.0.1:80")
    call = messages.ReadCall(after=530, wait_s=1.5, timeout_s=2.0)
    assert platform.encode_configuration_read(call) == (
        b"GET /api/rows-feed?table=op&after-revision=530&wait-ms=1500 HTTP/1.1"
        b"\r\nhost: 10.0.0.1:80\r\n\r\n"
    )
    call = messages.ReadCall(after=None, start="a\0", timeout_s=2.0)
    assert b"table=servers&part=&from=a%00 " in platform.encode_runners_read(
        call
    )


def test_missing_history_and_refusals_are_distinguished() -> None:
    platform = store.Store("h")
    gone = platform.decode_rows(410, b"").unwrap_err()
    assert gone is messages.ReadFailure.HISTORY_GONE
    assert platform.decode_rows(503, b"").unwrap_err() is (
        messages.ReadFailure.REFUSED
    )
    assert platform.decode_rows(200, b"?").unwrap_err() is (
        messages.ReadFailure.UNREADABLE
    )


BOOT = """
node-name = "front-amman-a-1"
ip = "10.1.0.40"
zone = "amman-a"
internal-ports = [7340, 7355]
seeds = ["10.1.0.40:8229", "10.2.0.29:8229"]
later = "field"
[listen]
front = "10.1.0.40:8227"
readiness = "10.1.0.40:8220"
[bounds]
revoke-ms = 5000
strict-revocation = true
grace-s = 8
[platform]
address = "10.200.1.7:8223"
"""


def test_a_settings_file_is_decoded(tmp_path) -> None:
    path = tmp_path / "boot.toml"
    path.write_text(BOOT)
    config = boot.load(path).unwrap()
    assert config.instance == "front-amman-a-1"
    assert config.front == ("10.1.0.40", 8227)
    assert config.peer == ("10.1.0.40", 7340)
    assert config.seeds == (("10.1.0.40", 7340), ("10.2.0.29", 7340))
    assert config.revocation_s == 5.0
    path.write_text(BOOT.replace("revocation = true", "revocation = false"))
    assert boot.load(path).unwrap().revocation_s is None


def test_invalid_settings_files_are_errors(tmp_path) -> None:
    path = tmp_path / "boot.toml"
    assert isinstance(boot.load(path), result.Err)
    path.write_text("ip = 3")
    assert isinstance(boot.load(path), result.Err)
