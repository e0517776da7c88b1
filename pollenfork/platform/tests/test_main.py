"""Starting the gateway's process."""

import os
import signal
import subprocess
import sys

from pollenfork.platform.tests.soak import site as sites


def start(path) -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, "-m", "pollenfork.platform"],
        cwd=sites.ROOT,
        env={**os.environ, "POLLENFORK_BOOT": str(path)},
        stderr=subprocess.PIPE,
        text=True,
    )


def test_unreadable_settings_end_the_process_with_one_line(tmp_path) -> None:
    process = start(tmp_path / "missing.toml")
    _, error = process.communicate(timeout=20)
    assert process.returncode == 1
    assert error.startswith("pollenfork: ")
    assert error.count("\n") == 1


def test_sighup_does_not_end_a_starting_process(tmp_path) -> None:
    pipe = tmp_path / "boot.toml"
    os.mkfifo(pipe)
    process = start(pipe)
    # Opening blocks until the process reads its settings, before it serves.
    with pipe.open("w") as settings:
        process.send_signal(signal.SIGHUP)
        settings.write("no = settings")
    process.communicate(timeout=20)
    assert process.returncode == 1
