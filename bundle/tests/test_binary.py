"""The built file, as an instance runs it; `make binary-check` builds it."""

import json
import pathlib
import signal
import subprocess

import psutil
import pytest

BINARY = pathlib.Path(__file__).parents[2] / "dist" / "pollenfork"
LIMIT_S = 60
SETTINGS = {
    "instance": "entry-1",
    "data_centre": "amman-1",
    "listen": "127.0.0.1:0",
    "peer_listen": "127.0.0.1:0",
    "platform": "127.0.0.1:1",
}
# What would go on more slowly, or differently, without its C part.
EXTENSIONS = (
    "_heapq", "_json", "_random", "_ssl", "_struct", "cygrpc", "msgspec",
    "_message", "xxhash", "zlib",
)  # fmt: skip


def run(*words) -> subprocess.CompletedProcess:
    return subprocess.run(
        [BINARY, *words], capture_output=True, text=True, timeout=LIMIT_S
    )


@pytest.fixture
def nowhere(tmp_path):
    """An empty folder, home and place for temporary files alike."""
    folder = tmp_path / "nowhere"
    folder.mkdir()
    return folder


@pytest.fixture
def entry(tmp_path, nowhere):
    settings = tmp_path / "entry.json"
    settings.write_text(json.dumps(SETTINGS))
    process = subprocess.Popen(
        [BINARY, "entry", "--settings", settings],
        cwd=nowhere,
        env={"HOME": str(nowhere), "TMPDIR": str(nowhere)},
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    assert process.stdout.readline().startswith("listening on 127.0.0.1:")
    yield process
    if process.poll() is None:
        process.kill()
        process.wait()
    process.stdout.close()


def test_it_tells_its_version():
    ended = run("--version")
    assert (ended.returncode, ended.stdout) == (0, "0.1.0\n")


def test_its_exit_status_and_errors_are_the_programs():
    ended = run("entry", "--settings", "/nowhere.json")
    assert ended.returncode == 2
    assert "No such file" in ended.stderr
    assert "Traceback" not in ended.stderr


def test_it_is_one_process_that_writes_no_file(entry, nowhere):
    process = psutil.Process(entry.pid)
    assert process.children(recursive=True) == []
    assert process.parent().pid == psutil.Process().pid
    assert [file.path for file in process.open_files()] == []
    assert list(nowhere.iterdir()) == []


def test_every_extension_comes_from_its_own_memory(entry):
    mapped = {m.path for m in psutil.Process(entry.pid).memory_maps()}
    libraries = {path for path in mapped if "/memfd:" in path}
    for name in EXTENSIONS:
        assert any(name in path for path in libraries), name
    assert not [path for path in mapped if "site-packages" in path]


def test_a_stop_is_graceful(entry):
    entry.send_signal(signal.SIGTERM)
    assert entry.wait(LIMIT_S) == 0
