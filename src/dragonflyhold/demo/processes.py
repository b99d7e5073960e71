"""Starts, signals and stops child processes; signals no other process."""

import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from typing import final

from dragonflyhold.errors import DragonflyholdError

POLL_S = 0.05
# Lets a daemon finish its requests after SIGTERM without delaying the demo for long.
TERMINATE_TIMEOUT_S = 15.0
LOG_TAIL_BYTES = 2000


@final
class DeploymentError(DragonflyholdError):
    """A process exited early, an expected condition was not met, or a check failed."""


@final
class ManagedProcess:
    """A child process whose output goes to a log file."""

    def __init__(self, name: str, arguments: list[str], log_path: pathlib.Path) -> None:
        self.name = name
        self.arguments = arguments
        self.log_path = log_path
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """Process id; raises ``DeploymentError`` if the process was never started."""
        if self._process is None:
            raise DeploymentError(f"{self.name} was not started")
        return self._process.pid

    @property
    def exit_status(self) -> int | None:
        """Exit status, negative for a signal; ``None`` while the process runs."""
        return self._process.poll() if self._process is not None else None

    def start(self) -> None:
        """Start the process, also again after it exited; do nothing if it is running."""
        if self.is_running:
            return
        with self.log_path.open("ab") as log:
            command = [sys.executable, "-m", "dragonflyhold", *self.arguments]
            self._process = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT)

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has exited."""
        self._signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def suspend(self) -> None:
        """Send SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM without waiting; see ``wait``."""
        self._signal(signal.SIGTERM)

    def wait(self, timeout_s: float = TERMINATE_TIMEOUT_S) -> bool:
        """Wait for the process to exit; return whether it did in time."""
        if self._process is None:
            return True
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return False
        return True

    def log_tail(self) -> str:
        """Return the end of the log file."""
        if not self.log_path.exists():
            return ""
        return self.log_path.read_bytes()[-LOG_TAIL_BYTES:].decode("utf-8", "replace")

    def _signal(self, number: signal.Signals) -> None:
        # An exited process stays a zombie until ``poll`` reaps it, so its id is not reused.
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)


@final
class ProcessGroup:
    """The processes of one deployment."""

    def __init__(self, log_directory: pathlib.Path) -> None:
        self._log_directory = log_directory
        self._processes: list[ManagedProcess] = []

    def add(self, name: str, arguments: list[str]) -> ManagedProcess:
        """Start ``dragonflyhold ARGUMENTS``."""
        process = ManagedProcess(name, arguments, self._log_directory / f"{name}.log")
        self._processes.append(process)
        process.start()
        return process

    def check(self) -> None:
        """Raise ``DeploymentError`` with the end of the log if a process has exited."""
        for process in self._processes:
            if not process.is_running:
                raise DeploymentError(
                    f"{process.name} ended with status {process.exit_status}:\n{process.log_tail()}"
                )

    def log_tails(self) -> str:
        """Return the end of the log file of each process."""
        return "\n".join(f"--- {process.name}\n{process.log_tail()}" for process in self._processes)

    def stop(self) -> None:
        """Stop all processes in reverse order; kill those that do not exit in time."""
        for process in reversed(self._processes):
            process.resume()
            process.terminate()
        deadline = time.monotonic() + TERMINATE_TIMEOUT_S
        for process in reversed(self._processes):
            if not process.wait(max(0.0, deadline - time.monotonic())):
                process.kill()
        self._processes.clear()


def wait_until(condition: str, is_reached: Callable[[], bool], timeout_s: float) -> None:
    """Poll until ``is_reached``; on a timeout, raise ``DeploymentError`` with ``condition``."""
    deadline = time.monotonic() + timeout_s
    while not is_reached():
        if time.monotonic() >= deadline:
            raise DeploymentError(f"timed out after {timeout_s:g} s waiting for {condition}")
        time.sleep(POLL_S)
