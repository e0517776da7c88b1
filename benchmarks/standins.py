"""CPU per event of the engine stand-in and of the load tool.

Each stands beside the relay benchmark's bare engine and bare client in the
same run, so that a relay measured between them is known to be what is
measured. Usage: python -m benchmarks.standins [--streams 200 400]
"""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any

import msgspec
import psutil

from benchmarks import relay_client
from pollenfork.load import scenario as scenarios
from pollenfork.standin.engine import config as configs
from pollenfork.standin.engine import prompt as prompts

RESULTS = pathlib.Path(__file__).parent / "results" / "standins.json"
PAIRS = (("bare", "bare"), ("standin", "bare"), ("standin", "load"))
_GAP_MS = 49.0
# Both clients must ask alike, and the bare one states no length.
_BODY = relay_client._BODY
_MODEL = msgspec.json.decode(_BODY)["model"]
_TOKENS = 175
_SETTLED_S = 1.8
_MEASURED_S = 5.0


class Row(msgspec.Struct, kw_only=True):
    """One pair at one number of streams; times in milliseconds."""

    engine: str
    client: str
    streams: int
    engine_cores: float
    engine_us_per_event: float
    client_cores: float
    client_us_per_event: float
    gap_p95: float
    gap_p99: float
    whole: int


def _find_default_length() -> int:
    """Returns the setting that gives the bare client about `_TOKENS`."""

    def miss(default: int) -> int:
        prompt = prompts.parse(_BODY, True, default).unwrap()
        return abs(prompt.length - _TOKENS)

    return min(range(_TOKENS // 2, 2 * _TOKENS), key=miss)


def _start(*words: Any) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", *(str(word) for word in words)]
    return subprocess.Popen(
        command,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )


def _start_engine(
    kind: str, folder: pathlib.Path
) -> tuple[subprocess.Popen[str], int]:
    if kind == "bare":
        seconds = _TOKENS * _GAP_MS / 1000
        process = _start("benchmarks.relay_engine", seconds)
    else:
        settings = configs.EngineConfig(
            models=(_MODEL,),
            slots=1000,
            step_ms=_GAP_MS,
            step_per_request_ms=0.0,
            prefill_token_ms=0.0,
            kv_tokens=1_000_000,
            default_length=_find_default_length(),
            keep_alive=False,  # The bare client reads until the close.
        )
        path = folder / "engine.json"
        path.write_bytes(msgspec.json.encode(settings))
        process = _start("pollenfork", "standin", "engine", "--settings", path)
    assert process.stdout
    return process, int(process.stdout.readline().rpartition(":")[2])


def _start_client(
    kind: str, folder: pathlib.Path, port: int, streams: int
) -> subprocess.Popen[str]:
    if kind == "bare":
        return _start("benchmarks.relay_client", port, streams)
    length = scenarios.Length(median=_TOKENS)
    sent = scenarios.LoadClass(
        key="key", model=_MODEL, prompt=scenarios.Length(median=1),
        answer=length,
    )  # fmt: skip
    arriving = scenarios.Phase(duration_s=1.0, rates={"all": streams})
    scenario = scenarios.Scenario(classes={"all": sent}, phases=(arriving,))
    path = folder / "scenario.json"
    path.write_bytes(msgspec.json.encode(scenario))
    return _start(
        "pollenfork", "load", "--scenario", path,
        "--to", f"127.0.0.1:{port}", "--format", "json",
    )  # fmt: skip


def _read_cpu(process: subprocess.Popen[str]) -> float:
    return sum(psutil.Process(process.pid).cpu_times()[:2])


def _read_gaps(kind: str, shown: str) -> tuple[float, float, int]:
    """Returns the gaps' p95 and p99, and how many answers were whole."""
    readings = json.loads(shown)
    if kind == "load":
        figures = readings["classes"]["all"]
        return figures["gap_p95"], figures["gap_p99"], figures["whole"]
    gaps = sorted(readings["gaps"])
    p95, p99 = (gaps[int(len(gaps) * part)] * 1000 for part in (0.95, 0.99))
    return p95, p99, readings["whole"]


def measure(engine: str, client: str, streams: int) -> Row:
    """Returns the readings of one pair."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        serving, port = _start_engine(engine, folder)
        sending = _start_client(client, folder, port, streams)
        try:
            # CPU is read after the arrivals and before the endings.
            time.sleep(_SETTLED_S)
            before = _read_cpu(serving), _read_cpu(sending)
            began = time.monotonic()
            time.sleep(_MEASURED_S)
            after = _read_cpu(serving), _read_cpu(sending)
            lasted = time.monotonic() - began
            shown, _ = sending.communicate(timeout=60)
        finally:
            for process in (sending, serving):
                process.kill()
                process.wait()
    p95, p99, whole = _read_gaps(client, shown)
    cores = [(b - a) / lasted for a, b in zip(before, after, strict=True)]
    events_per_s = max(whole, 1) / (_GAP_MS / 1000)
    return Row(
        engine=engine,
        client=client,
        streams=streams,
        engine_cores=round(cores[0], 3),
        engine_us_per_event=round(cores[0] / events_per_s * 1e6, 1),
        client_cores=round(cores[1], 3),
        client_us_per_event=round(cores[1] / events_per_s * 1e6, 1),
        gap_p95=round(p95, 1),
        gap_p99=round(p99, 1),
        whole=whole,
    )


def main() -> None:
    """Prints the table and writes the JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, nargs="+", default=[200, 400])
    parser.add_argument("--trial", action="store_true", help="write no JSON")
    options = parser.parse_args()
    fields = Row.__struct_fields__
    print(" ".join(f"{field:>20}" for field in fields))
    rows = []
    for streams in options.streams:
        for engine, client in PAIRS:
            row = measure(engine, client, streams)
            values = [str(getattr(row, field)) for field in fields]
            print(" ".join(f"{value:>20}" for value in values), flush=True)
            rows.append(row)
    if not options.trial:
        RESULTS.parent.mkdir(exist_ok=True)
        RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(rows)))


if __name__ == "__main__":
    main()
