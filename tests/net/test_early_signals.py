"""Signals that arrive before the limiter has installed its handlers, or during the shutdown.

To send a signal early, the configuration is a named pipe, on which the program blocks at its start.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import orjson
import pytest

from tests.net.test_net_parts import GOOD


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1])
def test_signal_during_the_start_is_handled_when_the_limiter_runs(
    number: int, tmp_path: Path
) -> None:
    """A signal arrives while the program reads its configuration.

    It must neither end the process nor be lost.
    """
    pipe, document = tmp_path / "config.json", orjson.dumps({**GOOD, "listen": "127.0.0.1:0"})
    os.mkfifo(pipe)
    command = [sys.executable, "-m", "hazelhollow", "serve"]
    with subprocess.Popen(
        command, env={"RELAY_CONFIG": str(pipe)}, text=True, stderr=subprocess.PIPE
    ) as program:
        assert program.stderr
        with open(pipe, "wb") as writing:  # blocks until the program opens the pipe
            program.send_signal(number)
            (tmp_path / "new").write_bytes(document)
            os.replace(tmp_path / "new", pipe)  # for the reload
            writing.write(document)
        lines = iter(program.stderr)
        assert any("listens at" in line for line in lines)
        if number == signal.SIGHUP:
            assert any("reloaded: discovery at" in line for line in lines)
        if number == signal.SIGUSR1:
            assert any('"accepted":0' in line for line in lines)
        if number != signal.SIGTERM:
            program.send_signal(signal.SIGTERM)
        assert program.wait(30) == 0


def test_signals_during_the_shutdown_do_not_interrupt_it(tmp_path: Path) -> None:
    """More signals arrive during the shutdown. It continues and ends with exit status 0."""
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps({**GOOD, "listen": "127.0.0.1:0"}))
    command = [sys.executable, "-m", "hazelhollow", "serve"]
    with subprocess.Popen(
        command, env={"RELAY_CONFIG": str(path)}, text=True, stderr=subprocess.PIPE
    ) as program:
        assert program.stderr
        lines = iter(program.stderr)
        assert any("listens at" in line for line in lines)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            program.send_signal(number)
        rest = list(lines)
        assert (
            program.wait(30) == 0 and sum("shutdown complete after" in line for line in rest) == 1
        )
